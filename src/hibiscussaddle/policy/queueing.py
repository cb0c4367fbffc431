"""Queue of work that waits to be sent, with classes and ageing."""

import collections
from collections import abc
import dataclasses
import enum
import heapq
import itertools
import typing

# Work with a larger expected length is long.
MAX_SHORT_TOKENS: typing.Final = 128.0
MAX_QUEUED_ENTRIES: typing.Final = 2000
# A class is served as if its work had arrived this many seconds later, so
# that older work of a lower class precedes newer work of a higher one.
CLASS_DELAY_SECONDS: typing.Final = {
    "short": 0.0,
    "trainer": 5.0,
    "long": 10.0,
}
# One level of contract priority counts like this many seconds of waiting.
PRIORITY_SECONDS: typing.Final = 0.2
_SMOOTHING_FACTOR = 0.1
# A longer interval between starts is idle time, not the rate of the queue.
_MAX_INTERVAL_SECONDS = 5.0


class WorkClass(enum.Enum):
    """Enumerate the classes of work."""

    SHORT = "short"
    LONG = "long"
    TRAINER = "trainer"


# Steps of 10, so that contract priorities (0 to 9) never outweigh the class.
_ENGINE_BASE_PRIORITY: typing.Final = {
    WorkClass.SHORT: 20,
    WorkClass.TRAINER: 10,
    WorkClass.LONG: 0,
}


def engine_priority(work_class: WorkClass, contract_priority: int) -> int:
    """Return the priority for the engine, which admits higher ones first."""
    return _ENGINE_BASE_PRIORITY[work_class] + contract_priority


class LengthModel:
    """Estimate the length of work by customer and kind."""

    def __init__(self) -> None:
        """Start without observations."""
        self._tokens: dict[tuple[str, str], float] = {}

    def observe(self, customer: str, kind: str, tokens: float) -> None:
        """Record the actual length of finished work, in tokens."""
        key = (customer, kind)
        before = self._tokens.get(key)
        if before is None:
            self._tokens[key] = tokens
        else:
            self._tokens[key] = before + _SMOOTHING_FACTOR * (tokens - before)

    def expected_tokens(self, customer: str, kind: str, limit: float) -> float:
        """Return the expected length, at most the limit of the request."""
        estimate = self._tokens.get((customer, kind))
        return limit if estimate is None else min(estimate, limit)


def classify(is_trainer: bool, expected_tokens: float) -> WorkClass:
    """Return the class of work."""
    if is_trainer:
        return WorkClass.TRAINER
    if expected_tokens <= MAX_SHORT_TOKENS:
        return WorkClass.SHORT
    return WorkClass.LONG


@dataclasses.dataclass(frozen=True, eq=False)
class Entry:
    """Describe one request that waits."""

    customer: str
    work_class: WorkClass
    priority: int
    enqueued_at: float
    # Monotonic seconds by which the work must have started.
    start_by: float
    expected_tokens: float

    @property
    def rank(self) -> float:
        """Return the virtual arrival time; the lowest is served first.

        The rank never changes, since all entries age equally.
        """
        delay = CLASS_DELAY_SECONDS[self.work_class.value]
        return self.enqueued_at + delay - PRIORITY_SECONDS * self.priority


_QueueKey: typing.TypeAlias = tuple[str, WorkClass]


class Queue:
    """Hold waiting entries, ordered by rank within customer and class."""

    def __init__(self, max_entries: int = MAX_QUEUED_ENTRIES) -> None:
        """Hold at most `max_entries` entries."""
        self._max_entries = max_entries
        self._heaps: dict[_QueueKey, list[tuple[float, int, Entry]]] = {}
        self._entries: dict[int, Entry] = {}
        self._counts: collections.Counter[_QueueKey] = collections.Counter()
        self._sequence = itertools.count()
        self._start_intervals: dict[_QueueKey, float] = {}
        self._last_starts: dict[_QueueKey, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting entries."""
        return len(self._entries)

    @property
    def utilization(self) -> float:
        """Return the fraction of the queue's capacity that is in use."""
        return len(self._entries) / self._max_entries

    def waiting_count(self, customer: str, work_class: WorkClass) -> int:
        """Return the number of waiting entries of a customer's class."""
        return self._counts[(customer, work_class)]

    def waiting_by_customer(self) -> dict[str, int]:
        """Return the number of waiting entries by customer."""
        counts: dict[str, int] = {}
        for (customer, _), count in self._counts.items():
            if count > 0:
                counts[customer] = counts.get(customer, 0) + count
        return counts

    def expected_wait_seconds(
        self, customer: str, work_class: WorkClass
    ) -> float:
        """Return the expected wait of a new entry.

        Without entries ahead it is 0 whatever the estimate, so that a
        pessimistic estimate can't cause all work to be refused forever.
        """
        ahead = self.waiting_count(customer, work_class)
        return ahead * self._start_intervals.get((customer, work_class), 0.0)

    def push(self, entry: Entry) -> Entry | None:
        """Add an entry; return the shed entry if the queue is full.

        The new entry itself is shed unless one of lower priority waits.
        """
        shed: Entry | None = None
        if len(self._entries) >= self._max_entries:
            shed = max(
                self._entries.values(), key=lambda e: (-e.priority, e.rank)
            )
            if shed.priority >= entry.priority:
                return entry
            self.remove(shed)
        key = (entry.customer, entry.work_class)
        if not self.waiting_count(*key):
            self._last_starts[key] = entry.enqueued_at
        self._entries[id(entry)] = entry
        self._counts[key] += 1
        item = (entry.rank, next(self._sequence), entry)
        heapq.heappush(self._heaps.setdefault(key, []), item)
        return shed

    def remove(self, entry: Entry) -> None:
        """Remove an entry without starting it."""
        if self._entries.pop(id(entry), None) is not None:
            self._counts[(entry.customer, entry.work_class)] -= 1

    def heads(self) -> list[Entry]:
        """Return the first entry of each customer and class, by rank."""
        heads: list[Entry] = []
        for key in list(self._heaps):
            heap = self._heaps[key]
            while heap and id(heap[0][2]) not in self._entries:
                heapq.heappop(heap)
            if heap:
                heads.append(heap[0][2])
            else:
                del self._heaps[key]
        return sorted(heads, key=lambda e: (e.rank, e.customer))

    def start(self, entry: Entry, now: float) -> None:
        """Remove an entry because it starts now."""
        self.remove(entry)
        key = (entry.customer, entry.work_class)
        last = self._last_starts.get(key, entry.enqueued_at)
        interval = min(_MAX_INTERVAL_SECONDS, max(0.0, now - last))
        before = self._start_intervals.get(key, interval)
        self._start_intervals[key] = before + _SMOOTHING_FACTOR * (
            interval - before
        )
        self._last_starts[key] = now

    def expired_entries(self, now: float) -> abc.Iterator[Entry]:
        """Yield the waiting entries whose start_by has passed."""
        for entry in list(self._entries.values()):
            if now > entry.start_by:
                yield entry
