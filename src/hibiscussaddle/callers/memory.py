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
# A young hold ends only others that are slower than this or have stalled. At
# this rate the largest legal body takes over eight minutes.
_MOVING_BYTES_PER_SECOND: typing.Final = 64 << 10
# Holder of the responses that are written. Their requests have run.
RESPONSES: typing.Final = "responses"

Clock: typing.TypeAlias = abc.Callable[[], float]


def budget_bytes(memory_mb: float) -> int:
    """Return the budget for a machine's memory in MB; 0 is unknown."""
    if not memory_mb:
        return UNLIMITED_BYTES
    free_bytes = memory_mb * 1_000_000 - CALM_BYTES
    return max(_MIN_BUDGET_BYTES, int(_BUDGET_FRACTION * free_bytes))


def usable_bytes(budget: int) -> int:
    """Return the part of a budget that is no reserve for small holds."""
    return budget - int(_RESERVE_FRACTION * budget)


class Hold:
    """Hold bytes for one caller until it is closed.

    While on_evict is set, the account may end the hold: it calls on_evict
    once and counts the bytes as released.
    """

    def __init__(self, account: "Account", holder: str) -> None:
        """Use Account.open() instead."""
        self.holder = holder
        self.on_evict: abc.Callable[[], None] | None = None
        self.size = 0
        self.opened_at = account.clock()
        self._moved_bytes = 0
        self._moved_at = self.opened_at
        self.is_ended = False
        self._account = account

    @property
    def moved_bytes(self) -> int:
        """Return the bytes that came from the caller or went to it."""
        return self._moved_bytes

    @moved_bytes.setter
    def moved_bytes(self, count: int) -> None:
        self._moved_bytes = count
        self._moved_at = self._account.clock()

    def resize(self, size: int) -> bool:
        """Set the bytes; return False if the hold must end instead."""
        return self._account.resize(self, size, is_forced=False)

    def force(self, size: int) -> None:
        """Set the bytes, which exist already, at the expense of others."""
        self._account.resize(self, size, is_forced=True)

    def rate(self, now: float) -> float:
        """Return the bytes that the caller moved per second."""
        return self.moved_bytes / max(MIN_AGE_SECONDS, now - self.opened_at)

    def is_young(self, now: float) -> bool:
        """Return whether the rate is not known yet."""
        return now - self.opened_at < MIN_AGE_SECONDS

    def is_moving(self, now: float) -> bool:
        """Return whether the caller keeps up a rate."""
        return (
            now - self._moved_at < MIN_AGE_SECONDS
            and self.rate(now) >= _MOVING_BYTES_PER_SECOND
        )

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
        self.reserve = budget - usable_bytes(budget)
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
            needed = self.held_bytes + grown - bound
            if needed > 0:
                victims = self._victims(hold, size, is_forced, needed)
                if not victims and not is_forced:
                    self._end(hold, "refused")
                    return False
                for victim in victims:
                    self._end(victim, "evicted")
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
        # A response that has just begun is not the slowest.
        victim = min(
            found, key=lambda hold: (hold.is_young(now), hold.rate(now))
        )
        self._end(victim, reason)
        return True

    def _victims(
        self, asker: Hold, size: int, is_forced: bool, needed: int
    ) -> list[Hold]:
        """Return the holds to end, the slowest first.

        Without force there are none unless they cover what is needed. With
        force as many are ended as there are, since the bytes exist.
        """
        now = self.clock()
        found = sorted(
            (
                hold
                for hold in self._holds
                if self._may_end(hold, asker, size, is_forced, now)
            ),
            key=lambda hold: (
                # Young and small holds end last.
                hold.is_young(now),
                hold.size <= SMALL_BYTES,
                hold.rate(now),
            ),
        )
        victims = []
        for hold in found:
            if needed <= 0:
                break
            victims.append(hold)
            needed -= hold.size
        return victims if is_forced or needed <= 0 else []

    def _may_end(
        self, hold: Hold, asker: Hold, size: int, is_forced: bool, now: float
    ) -> bool:
        """Return whether one hold may end in favour of the asker."""
        if hold is asker or not hold.on_evict or not hold.size:
            return False
        # Only another response is worth one: a body can be refused truthfully
        # and the other bytes are of requests that have not run.
        if hold.holder == RESPONSES and not (
            is_forced and asker.holder == RESPONSES
        ):
            return False
        if is_forced:
            return True
        if hold.is_young(now):
            return False
        if size <= SMALL_BYTES:
            return True
        # Small holds end only for small ones.
        if hold.size <= SMALL_BYTES or hold.rate(now) >= asker.rate(now):
            return False
        return not (asker.is_young(now) and hold.is_moving(now))

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
