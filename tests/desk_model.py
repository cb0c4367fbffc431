"""Model plain services in virtual time: slots, a queue, and work per call."""

from collections import abc
import dataclasses
import heapq
import itertools
import random
import typing

# Calls that a service queues beyond its slots before it refuses.
QUEUE: typing.Final = 24


@dataclasses.dataclass
class _Service:
    slots: int
    running: int = 0
    waiting: list[tuple[float, abc.Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )

    @property
    def load(self) -> int:
        """Return how many calls are at the service."""
        return self.running + len(self.waiting)


class Desks:
    """Play calls at several services; time moves from event to event."""

    def __init__(self, services: int, slots: int, seed: int) -> None:
        """Start idle at time 0."""
        self.now = 0.0
        self.rng = random.Random(seed)
        self._services = [_Service(slots) for _ in range(services)]
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, act: abc.Callable[[], None]) -> None:
        """Do something at a time in seconds."""
        heapq.heappush(self._events, (when, next(self._order), act))

    def call(self, work: float, done: abc.Callable[[bool], None]) -> None:
        """Call the least loaded service; done(False) when it is full.

        Work is in seconds and varies with a spread of a half.
        """
        service = min(self._services, key=lambda found: found.load)
        seconds = work * self.rng.lognormvariate(-0.125, 0.5)
        if len(service.waiting) >= QUEUE:
            self.at(self.now, lambda: done(False))
            return
        service.waiting.append((seconds, lambda: done(True)))
        self._start(service)

    def _start(self, service: _Service) -> None:
        while service.waiting and service.running < service.slots:
            seconds, done = service.waiting.pop(0)
            service.running += 1

            def end(done: abc.Callable[[], None] = done) -> None:
                service.running -= 1
                done()
                self._start(service)

            self.at(self.now + seconds, end)

    def run(self) -> None:
        """Play until nothing is left."""
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
