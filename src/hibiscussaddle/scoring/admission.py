"""Limit the concurrency of scoring calls and order the waiting ones.

Scoring calls come in bursts, as the items of a group end together, and share
the endpoints of their service with interactive callers.
This module only decides: the time is an argument, and nothing is sent.
"""

from collections import abc
import dataclasses
import typing

# Fraction of a service's slots that the scoring calls of all batch routes may
# use together; the rest is reserved for interactive callers.
SLOTS_FRACTION: typing.Final = 0.5
# The window shrinks by this factor on overload, at most once in the interval:
# refusals within it have the same cause.
_DECREASE_FACTOR: typing.Final = 0.5
_DECREASE_INTERVAL_SECONDS: typing.Final = 0.2


@dataclasses.dataclass(frozen=True, order=True)
class Rank:
    """Order waiting calls; lower ranks start first."""

    # Whether the results of the batch are overdue; such batches go last.
    is_late: bool
    # Wall-clock seconds at which the batch was submitted.
    submitted_at: float
    # Items of the group without a result; groups with the fewest go first.
    missing_results: int
    # Keeps the calls of one group together among equal ranks.
    group: str


class ConcurrencyWindow:
    """Adapt the number of concurrent calls to the capacity of a service.

    The window grows additively and shrinks multiplicatively (AIMD), below a
    cap that the caller derives from the slots of the service.
    """

    def __init__(self) -> None:
        """Start without a limit; limit() applies the cap."""
        self.running = 0
        self._size = float("inf")
        self._decreased_at = float("-inf")

    def limit(self, cap: int) -> int:
        """Apply the cap and return how many calls may run at once.

        The limit is at least one.
        """
        self._size = min(self._size, float(max(1, cap)))
        return int(self._size)

    def has_capacity(self, cap: int) -> bool:
        """Return whether another call may start."""
        return self.running < self.limit(cap)

    def record_start(self) -> None:
        """Record that a call started."""
        self.running += 1

    def record_end(self) -> None:
        """Record that a call ended."""
        self.running -= 1

    def record_response(self) -> None:
        """Record a response, which widens the window."""
        self._size += 1 / max(1.0, self._size)

    def record_overload(self, now: float) -> None:
        """Record that a call was refused or got no response."""
        if now - self._decreased_at < _DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        # A window that stays wider than the running calls limits nothing.
        self._size = max(1.0, min(self._size, self.running) * _DECREASE_FACTOR)


@dataclasses.dataclass(eq=False)
class WaitingCall:
    """Hold a call that waits for admission."""

    rank: abc.Callable[[], Rank]
    # Called once, when the call may start.
    on_admitted: abc.Callable[[], None]
    is_admitted: bool = False


class AdmissionQueue:
    """Admit the calls of one service in the order of their ranks."""

    def __init__(self, cap: abc.Callable[[], int]) -> None:
        """Start with an empty queue.

        The callable returns the highest number of calls to run at once.
        """
        self.window = ConcurrencyWindow()
        self._cap = cap
        self._waiting: list[WaitingCall] = []

    def enqueue(self, call: WaitingCall) -> None:
        """Add a call to the queue."""
        self._waiting.append(call)
        self.admit_calls()

    def release(self, call: WaitingCall) -> None:
        """Release the slot of an admitted call, or remove a waiting one."""
        if call.is_admitted:
            self.window.record_end()
        else:
            self._waiting.remove(call)
        self.admit_calls()

    def admit_calls(self) -> None:
        """Start the calls with the lowest ranks while there is capacity."""
        cap = self._cap()
        while self._waiting and self.window.has_capacity(cap):
            first = min(self._waiting, key=lambda call: call.rank())
            self._waiting.remove(first)
            first.is_admitted = True
            self.window.record_start()
            first.on_admitted()


def max_calls_per_owner(slots: int, owners: int) -> int:
    """Return how many calls to a service one owner may run at once.

    Each batch route has one owner. Owners don't know each other's calls, so
    each takes an equal share.
    """
    return max(1, int(slots * SLOTS_FRACTION / max(1, owners)))
