"""Queue of work before it is sent: classes, ageing, early refusal."""

import collections
from collections import abc
import dataclasses
import enum
import heapq
import itertools
import typing

SHORT_TOKENS: typing.Final = 128.0
MAX_QUEUED_ENTRIES: typing.Final = 2000
# A class is served as if its work had arrived this much later (seconds),
# so that older work of a lower class overtakes newer work of a higher.
CLASS_DELAY_SECONDS: typing.Final = {
    "short": 0.0,
    "trainer": 5.0,
    "long": 10.0,
}
# One step of contract priority counts like this much waiting (seconds).
PRIORITY_SECONDS: typing.Final = 0.2
_SMOOTHING_FACTOR = 0.1
# A start interval above this is an idle time, not the pace of the queue.
_MAX_INTERVAL_SECONDS = 5.0


class WorkClass(enum.Enum):
    """List the classes of work."""

    SHORT = "short"
    LONG = "long"
    TRAINER = "trainer"


_ENGINE_BASE: typing.Final = {
    WorkClass.SHORT: 20,
    WorkClass.TRAINER: 10,
    WorkClass.LONG: 0,
}


def engine_priority(work_class: WorkClass, contract_priority: int) -> int:
    """Return the priority to send; a higher one is admitted first."""
    return _ENGINE_BASE[work_class] + contract_priority


class LengthModel:
    """Learn the expected length of work by customer and kind."""

    def __init__(self) -> None:
        """Start without knowledge."""
        self._tokens: dict[tuple[str, str], float] = {}

    def observe(self, customer: str, kind: str, tokens: float) -> None:
        """Note the true length of finished work, in tokens."""
        key = (customer, kind)
        before = self._tokens.get(key)
        if before is None:
            self._tokens[key] = tokens
        else:
            self._tokens[key] = before + _SMOOTHING_FACTOR * (tokens - before)

    def expected_tokens(self, customer: str, kind: str, limit: float) -> float:
        """Return the expected length; the request's limit is the most."""
        learnt = self._tokens.get((customer, kind))
        return limit if learnt is None else min(learnt, limit)


def classify(is_trainer: bool, expected_tokens: float) -> WorkClass:
    """Return the class of work."""
    if is_trainer:
        return WorkClass.TRAINER
    if expected_tokens <= SHORT_TOKENS:
        return WorkClass.SHORT
    return WorkClass.LONG


@dataclasses.dataclass(frozen=True, eq=False)
class Entry:
    """Hold one piece of waiting work."""

    customer: str
    work_class: WorkClass
    priority: int
    enqueued_at: float
    # Monotonic seconds by which the work must have started.
    start_by: float
    expected_tokens: float

    @property
    def rank(self) -> float:
        """Return the virtual arrival; the lowest is served first.

        The rank never changes: all entries age equally.
        """
        delay = CLASS_DELAY_SECONDS[self.work_class.value]
        return self.enqueued_at + delay - PRIORITY_SECONDS * self.priority


_Lane: typing.TypeAlias = tuple[str, WorkClass]


class Queue:
    """Hold waiting work, ordered by rank within customer and class."""

    def __init__(self, bound: int = MAX_QUEUED_ENTRIES) -> None:
        """Hold at most `bound` entries."""
        self._bound = bound
        self._lanes: dict[_Lane, list[tuple[float, int, Entry]]] = {}
        self._live: dict[int, Entry] = {}
        self._counts: collections.Counter[_Lane] = collections.Counter()
        self._order = itertools.count()
        self._interval: dict[_Lane, float] = {}
        self._last_start: dict[_Lane, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting entries."""
        return len(self._live)

    @property
    def utilization(self) -> float:
        """Return the filled part of the bound."""
        return len(self._live) / self._bound

    def waiting_count(self, customer: str, work_class: WorkClass) -> int:
        """Return the waiting entries of a customer's class."""
        return self._counts[(customer, work_class)]

    def waiting_by_customer(self) -> dict[str, int]:
        """Return the waiting entries by customer."""
        found: dict[str, int] = {}
        for (customer, _), count in self._counts.items():
            if count > 0:
                found[customer] = found.get(customer, 0) + count
        return found

    def expected_wait_seconds(
        self, customer: str, work_class: WorkClass
    ) -> float:
        """Return the expected wait of new work, in seconds.

        Without entries ahead it is 0 whatever was learnt, so that a
        pessimistic estimate can't refuse work for ever.
        """
        ahead = self.waiting_count(customer, work_class)
        return ahead * self._interval.get((customer, work_class), 0.0)

    def push(self, entry: Entry) -> Entry | None:
        """Add work; return the entry that is shed when it is full."""
        shed: Entry | None = None
        if len(self._live) >= self._bound:
            shed = max(
                self._live.values(), key=lambda e: (-e.priority, e.rank)
            )
            if shed.priority >= entry.priority:
                return entry
            self.remove(shed)
        lane = (entry.customer, entry.work_class)
        if not self.waiting_count(*lane):
            self._last_start[lane] = entry.enqueued_at
        self._live[id(entry)] = entry
        self._counts[lane] += 1
        item = (entry.rank, next(self._order), entry)
        heapq.heappush(self._lanes.setdefault(lane, []), item)
        return shed

    def remove(self, entry: Entry) -> None:
        """Take an entry out without starting it."""
        if self._live.pop(id(entry), None) is not None:
            self._counts[(entry.customer, entry.work_class)] -= 1

    def heads(self) -> list[Entry]:
        """Return the first entry of each customer's class, by rank."""
        found: list[Entry] = []
        for lane in list(self._lanes):
            heap = self._lanes[lane]
            while heap and id(heap[0][2]) not in self._live:
                heapq.heappop(heap)
            if heap:
                found.append(heap[0][2])
            else:
                del self._lanes[lane]
        return sorted(found, key=lambda e: (e.rank, e.customer))

    def start(self, entry: Entry, now: float) -> None:
        """Take an entry out because it starts now."""
        self.remove(entry)
        lane = (entry.customer, entry.work_class)
        last = self._last_start.get(lane, entry.enqueued_at)
        interval = min(_MAX_INTERVAL_SECONDS, max(0.0, now - last))
        before = self._interval.get(lane, interval)
        self._interval[lane] = before + _SMOOTHING_FACTOR * (interval - before)
        self._last_start[lane] = now

    def expired_entries(self, now: float) -> abc.Iterator[Entry]:
        """Yield entries whose start time has passed."""
        for entry in list(self._live.values()):
            if now > entry.start_by:
                yield entry
