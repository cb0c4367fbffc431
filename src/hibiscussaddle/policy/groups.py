"""Progress of a step: starts, stragglers, duplicates and scoring."""

import collections
from collections import abc
import dataclasses
import heapq
import statistics
import typing

DUPLICATE_FRACTION: typing.Final = 0.05
# A sample that has run for this many times the median is a straggler.
STRAGGLER_FACTOR: typing.Final = 2.0
# Durations of finished samples needed for a median, and kept for it.
_MIN_DURATION_COUNT: typing.Final = 3
_MAX_DURATION_COUNT: typing.Final = 64

_Sample = typing.TypeVar("_Sample")


@dataclasses.dataclass(frozen=True)
class Attempt:
    """Identify one generation of a slot's sample."""

    slot: int
    number: int
    started_at: float
    is_duplicate: bool = False


class DuplicateBudget:
    """Limit duplicate work to a fraction of the kept samples, in tokens.

    The fraction applies to generated tokens and not to token limits: samples
    often end far below their limit, stragglers do not.
    """

    def __init__(self, fraction: float = DUPLICATE_FRACTION) -> None:
        """Start without budget."""
        self.fraction = fraction
        self.kept_tokens = 0
        self.duplicate_tokens = 0

    def add_kept_tokens(self, tokens: int) -> None:
        """Add the tokens of a kept sample to the base of the budget."""
        self.kept_tokens += tokens

    def withdraw(self, tokens: int) -> bool:
        """Withdraw tokens for a duplicate; return False above the budget."""
        if self.duplicate_tokens + tokens > self.fraction * self.kept_tokens:
            return False
        self.duplicate_tokens += tokens
        return True

    def refund(self, tokens: int) -> None:
        """Return tokens to the budget that a duplicate did not generate."""
        self.duplicate_tokens -= tokens


@dataclasses.dataclass(frozen=True)
class Counts:
    """Hold the number of slots of a step by state."""

    pending: int
    running: int
    # Finished but not ready.
    finished: int
    ready: int
    received: int


class Progress(typing.Generic[_Sample]):
    """Track the slots of one step until the trainer has received them.

    A slot is pending, running, finished, ready (scored, or finished in a
    step without scoring) and received, in this order. It becomes pending
    again when its last attempt fails or its sample is stale.
    """

    def __init__(
        self, size: int, samples_per_group: int, scored: bool
    ) -> None:
        """Start with every slot pending."""
        self.size = size
        self._per_group = samples_per_group
        self._is_scored = scored
        self._pending = set(range(size))
        self._running: dict[int, dict[int, Attempt]] = {}
        self.samples: dict[int, _Sample] = {}
        self._ready: set[int] = set()
        self._received: set[int] = set()
        # Complete groups that wait for the scorer, in order of completion.
        self._unscored_groups: dict[int, None] = {}
        self._last_number = 0
        self._durations: collections.deque[float] = collections.deque(
            maxlen=_MAX_DURATION_COUNT
        )
        # Slots of each group that have no sample yet.
        self._unfinished_counts = [samples_per_group] * (
            size // samples_per_group
        )
        # May hold outdated entries of a group, which next_slot() removes.
        self._group_heap = [
            (count, group)
            for group, count in enumerate(self._unfinished_counts)
        ]
        self._heap_entries = set(self._group_heap)
        self._scoring_groups: set[int] = set()

    def _slots(self, group: int) -> range:
        first = group * self._per_group
        return range(first, first + self._per_group)

    def _change_unfinished_count(self, slot: int, change: int) -> None:
        group = slot // self._per_group
        self._unfinished_counts[group] += change
        entry = (self._unfinished_counts[group], group)
        if self._unfinished_counts[group] and entry not in self._heap_entries:
            self._heap_entries.add(entry)
            heapq.heappush(self._group_heap, entry)

    def next_slot(self) -> int | None:
        """Return a pending slot of the group that is nearest to completion."""
        while self._group_heap:
            count, group = self._group_heap[0]
            if self._unfinished_counts[group] == count:
                for slot in self._slots(group):
                    if slot in self._pending:
                        return slot
            self._heap_entries.discard(heapq.heappop(self._group_heap))
        return None

    def start(self, slot: int, now: float) -> Attempt:
        """Start the first attempt of a pending slot."""
        self._pending.remove(slot)
        return self._create_attempt(slot, now, False)

    def _create_attempt(
        self, slot: int, now: float, duplicate: bool
    ) -> Attempt:
        self._last_number += 1
        attempt = Attempt(slot, self._last_number, now, duplicate)
        self._running.setdefault(slot, {})[attempt.number] = attempt
        return attempt

    def median_seconds(self) -> float | None:
        """Return the median time of a sample; None with too few finished."""
        if len(self._durations) < _MIN_DURATION_COUNT:
            return None
        return statistics.median(self._durations)

    def straggler_slot(self, now: float) -> int | None:
        """Return the slot to duplicate; None without a straggler.

        It is the slot whose single attempt has run for longest.
        """
        median = self.median_seconds()
        if median is None or not self._running:
            return None
        single_attempts = [
            next(iter(attempts.values()))
            for attempts in self._running.values()
            if len(attempts) == 1
        ]
        if not single_attempts:
            return None
        slowest = min(
            single_attempts, key=lambda item: (item.started_at, item.number)
        )
        is_late = now - slowest.started_at > STRAGGLER_FACTOR * median
        return slowest.slot if is_late else None

    def start_duplicate(
        self, slot: int, now: float, tokens: int, budget: DuplicateBudget
    ) -> Attempt | None:
        """Start a second attempt if the budget allows it."""
        if len(self._running.get(slot, ())) != 1 or not budget.withdraw(
            tokens
        ):
            return None
        return self._create_attempt(slot, now, True)

    def complete(
        self, attempt: Attempt, sample: _Sample, now: float
    ) -> tuple[bool, tuple[Attempt, ...]]:
        """Record a complete sample.

        Return whether it is the first of its slot and so is kept, and the
        other attempts, which are to be cancelled.
        """
        attempts = self._running.get(attempt.slot, {})
        if attempts.pop(attempt.number, None) is None:
            return False, ()
        other_attempts = tuple(self._running.pop(attempt.slot).values())
        self._durations.append(now - attempt.started_at)
        self.samples[attempt.slot] = sample
        self._change_unfinished_count(attempt.slot, -1)
        if not self._is_scored:
            self._ready.add(attempt.slot)
        self._queue_for_scoring(attempt.slot // self._per_group)
        return True, other_attempts

    def fail(self, attempt: Attempt) -> None:
        """Make the slot pending again when its last attempt has failed."""
        attempts = self._running.get(attempt.slot, {})
        if attempts.pop(attempt.number, None) is None or attempts:
            return
        del self._running[attempt.slot]
        self._pending.add(attempt.slot)
        # Only queues the group again: next_slot() removes groups from the heap
        # that have no pending slot.
        self._change_unfinished_count(attempt.slot, 0)

    def _queue_for_scoring(self, group: int) -> None:
        if (
            not self._is_scored
            or self._unfinished_counts[group]
            or group in self._scoring_groups
        ):
            return
        if any(self._needs_score(slot) for slot in self._slots(group)):
            self._unscored_groups[group] = None

    def _needs_score(self, slot: int) -> bool:
        return slot in self.samples and slot not in self._ready

    def next_unscored_group(self) -> tuple[int, dict[int, _Sample]] | None:
        """Start scoring the first group completed; return it with samples."""
        while self._unscored_groups:
            group = next(iter(self._unscored_groups))
            del self._unscored_groups[group]
            if self._unfinished_counts[group]:
                continue
            found = {
                slot: self.samples[slot]
                for slot in self._slots(group)
                if slot in self.samples
            }
            if found:
                self._scoring_groups.add(group)
                return group, found
        return None

    def apply_scores(
        self, group: int, scored: abc.Mapping[int, tuple[_Sample, _Sample]]
    ) -> None:
        """Replace samples by scored ones; each pair is (old, scored)."""
        for slot, (before, after) in scored.items():
            if self.samples.get(slot) is before:
                self.samples[slot] = after
                self._ready.add(slot)
        self.end_scoring(group)

    def end_scoring(self, group: int) -> None:
        """Record that scoring has ended; requeue samples without a reward."""
        self._scoring_groups.discard(group)
        self._queue_for_scoring(group)

    def is_ready(self, slot: int) -> bool:
        """Return whether the slot's sample may be delivered."""
        return slot in self._ready

    def discard_sample(self, slot: int) -> None:
        """Discard a stale sample, so that it is generated again."""
        if self.samples.pop(slot, None) is None:
            return
        self._ready.discard(slot)
        self._pending.add(slot)
        self._change_unfinished_count(slot, 1)

    def mark_received(self, slots: abc.Iterable[int]) -> tuple[Attempt, ...]:
        """Discard the samples of received slots; return attempts to cancel."""
        to_cancel: list[Attempt] = []
        for slot in slots:
            if slot in self._received:
                continue
            self._received.add(slot)
            if self.samples.pop(slot, None) is None:
                self._pending.discard(slot)
                to_cancel += self._running.pop(slot, {}).values()
                self._change_unfinished_count(slot, -1)
            self._ready.discard(slot)
            self._queue_for_scoring(slot // self._per_group)
        return tuple(to_cancel)

    def running_attempts(self) -> tuple[Attempt, ...]:
        """Return the attempts that are running."""
        return tuple(
            item for found in self._running.values() for item in found.values()
        )

    def counts(self) -> Counts:
        """Return the number of slots by state."""
        return Counts(
            len(self._pending),
            len(self._running),
            len(self.samples) - len(self._ready),
            len(self._ready),
            len(self._received),
        )
