"""Simulate plain services in virtual time: slots, queues, service times."""

from collections import abc
import dataclasses
import heapq
import itertools
import random
import typing

# Calls that a service queues beyond its slots before it refuses.
MAX_QUEUED_CALLS: typing.Final = 24


@dataclasses.dataclass
class _Service:
    slots: int
    running: int = 0
    waiting: list[tuple[float, abc.Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )

    @property
    def load(self) -> int:
        """Return the number of running and queued calls."""
        return self.running + len(self.waiting)


class ServiceModel:
    """Simulate calls to several services as discrete events."""

    def __init__(self, services: int, slots: int, seed: int) -> None:
        """Start idle at time 0."""
        self.now = 0.0
        self.rng = random.Random(seed)
        self._services = [_Service(slots) for _ in range(services)]
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time: float, action: abc.Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def call(
        self, service_seconds: float, done: abc.Callable[[bool], None]
    ) -> None:
        """Call the least loaded service.

        done() gets whether the call ran; False means that it was refused.
        The service time varies log-normally (sigma 0.5) around the given one.
        """
        service = min(self._services, key=lambda candidate: candidate.load)
        seconds = service_seconds * self.rng.lognormvariate(-0.125, 0.5)
        if len(service.waiting) >= MAX_QUEUED_CALLS:
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
        """Run until no event is left."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
