"""Account of the bytes that an instance holds for callers."""

import collections
from collections import abc
import time
import typing

# Resident bytes of an instance in calm, with its caches filled.
CALM_BYTES: typing.Final = 72_000_000
# Part of the remaining memory that is accounted. The rest is for what isn't:
# buffers of connections, spare capacity of growing bodies, and pages that the
# allocator keeps.
_BUDGET_FRACTION: typing.Final = 0.6
_MIN_BUDGET_BYTES: typing.Final = 4 << 20
UNLIMITED_BYTES: typing.Final = 1 << 40
# Holds up to this size are small. They may take the reserve.
SMALL_BYTES: typing.Final = 64 << 10
_RESERVE_FRACTION: typing.Final = 0.1
# A younger hold is not ended for others, as its rate is not known yet.
MIN_AGE_SECONDS: typing.Final = 1.0

Clock: typing.TypeAlias = abc.Callable[[], float]


def budget_bytes(memory_mb: float) -> int:
    """Return the budget for a machine's memory in MB; 0 is unknown."""
    if not memory_mb:
        return UNLIMITED_BYTES
    free_bytes = memory_mb * 1_000_000 - CALM_BYTES
    return max(_MIN_BUDGET_BYTES, int(_BUDGET_FRACTION * free_bytes))


class Hold:
    """Hold bytes for one caller until it is closed.

    While on_evict is set, the account may end the hold: it calls on_evict
    once and counts the bytes as released.
    """

    def __init__(self, account: "Account", holder: str) -> None:
        """Use Account.open() instead."""
        self.holder = holder
        self.on_evict: abc.Callable[[], None] | None = None
        # Bytes that came from the caller or went to it.
        self.moved_bytes = 0
        self.size = 0
        self.opened_at = account.clock()
        self.is_ended = False
        self._account = account

    def resize(self, size: int) -> bool:
        """Set the bytes; return False if the hold must end instead."""
        return self._account.resize(self, size, is_forced=False)

    def force(self, size: int) -> None:
        """Set the bytes, which exist already, at the expense of others."""
        self._account.resize(self, size, is_forced=True)

    def rate(self, now: float) -> float:
        """Return the bytes that the caller moved per second."""
        return self.moved_bytes / max(MIN_AGE_SECONDS, now - self.opened_at)

    def close(self) -> None:
        """Release all bytes."""
        self._account.close(self)


class Account:
    """Bound the sum of all holds.

    When the budget is spent, the slowest caller's hold ends first. A part of
    the budget is reserved for small holds.
    """

    def __init__(
        self, budget: int = UNLIMITED_BYTES, clock: Clock = time.monotonic
    ) -> None:
        """Create an account without holds; the budget is in bytes."""
        self.budget = budget
        self.reserve = int(_RESERVE_FRACTION * budget)
        self.clock = clock
        self.held_bytes = 0
        # Bytes by holder, and holds ended or refused by holder and reason.
        self.by_holder: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[tuple[str, str]]
        self.refusals = collections.Counter()
        self._holds: dict[Hold, None] = {}

    def open(self, holder: str) -> Hold:
        """Return a hold without bytes."""
        hold = Hold(self, holder)
        self._holds[hold] = None
        return hold

    def close(self, hold: Hold) -> None:
        """Release a hold, which may be closed already."""
        self._release(hold)
        self._holds.pop(hold, None)

    def resize(self, hold: Hold, size: int, is_forced: bool) -> bool:
        """Set the bytes of a hold; return whether it may go on."""
        if hold.is_ended:
            return False
        grown = size - hold.size
        if grown > 0:
            bound = self.budget - self.reserve
            if size <= SMALL_BYTES:
                bound = self.budget
            while self.held_bytes + grown > bound:
                if not self._evict_for(hold, size, is_forced):
                    if is_forced:
                        break
                    self._end(hold, "refused")
                    return False
        self.held_bytes += grown
        self.by_holder[hold.holder] += grown
        hold.size = size
        return True

    def evict_slowest(self, holders: abc.Collection[str], reason: str) -> bool:
        """End the slowest hold of some holders; return whether one is left."""
        now = self.clock()
        found = [
            hold
            for hold in self._holds
            if hold.on_evict and hold.holder in holders
        ]
        if not found:
            return False
        self._end(min(found, key=lambda hold: hold.rate(now)), reason)
        return True

    def _evict_for(self, asker: Hold, size: int, is_forced: bool) -> bool:
        """End one hold in favour of the asker, if that is fair."""
        now = self.clock()
        # Small holds end last, and only for small ones.
        is_small = size <= SMALL_BYTES
        found = [
            hold
            for hold in self._holds
            if hold is not asker
            and hold.on_evict
            and hold.size
            and (hold.size > SMALL_BYTES or is_small or is_forced)
            and (is_forced or now - hold.opened_at >= MIN_AGE_SECONDS)
        ]
        if not found:
            return False
        victim = min(
            found,
            key=lambda hold: (hold.size <= SMALL_BYTES, hold.rate(now)),
        )
        if (
            not is_forced
            and not is_small
            and now - asker.opened_at >= MIN_AGE_SECONDS
            and asker.rate(now) <= victim.rate(now)
        ):
            return False
        self._end(victim, "evicted")
        return True

    def _end(self, hold: Hold, reason: str) -> None:
        self.refusals[hold.holder, reason] += 1
        on_evict, hold.on_evict = hold.on_evict, None
        hold.is_ended = True
        self._release(hold)
        if on_evict is not None and reason != "refused":
            on_evict()

    def _release(self, hold: Hold) -> None:
        self.held_bytes -= hold.size
        self.by_holder[hold.holder] -= hold.size
        hold.size = 0
