"""Decide how many scoring calls run at once, and which one is next.

Scoring calls come in bursts, as the items of a group end together, and share
the endpoints of their service with callers who wait for an answer.
Pure decisions: time is passed in, nothing is sent.
"""

from collections import abc
import dataclasses
import typing

# Part of a service's slots that scoring calls may use, all owners together;
# the rest is for callers.
SLOTS_PART: typing.Final = 0.5
# Factor of the window after a sign of overload, and the time in which further
# signs belong to the same one, in seconds.
_SHRINK: typing.Final = 0.5
_SHRINK_SECONDS: typing.Final = 0.2


@dataclasses.dataclass(frozen=True, order=True)
class Rank:
    """Order waiting calls; lower ranks go first."""

    # Whether the results of the batch are overdue.
    is_late: bool
    # Wall-clock seconds of the batch's submission.
    submitted_at: float
    # Items of the group without a result: the fewest make a group whole first.
    missing: int
    group: str


class Window:
    """Bound the calls that run at once from what the service bears.

    Additive increase, multiplicative decrease, below a cap that the caller
    derives from the slots of the service.
    """

    def __init__(self) -> None:
        """Start at the cap."""
        self.running = 0
        self._size = float("inf")
        self._shrunk_at = float("-inf")

    def limit(self, cap: int) -> int:
        """Return how many calls may run at once, one at least."""
        self._size = min(self._size, float(max(1, cap)))
        return int(self._size)

    def has_room(self, cap: int) -> bool:
        """Tell whether another call may start."""
        return self.running < self.limit(cap)

    def started(self) -> None:
        """Count a call."""
        self.running += 1

    def ended(self) -> None:
        """Count the end of a call."""
        self.running -= 1

    def answered(self) -> None:
        """Note an answer."""
        self._size += 1 / max(1.0, self._size)

    def overloaded(self, now: float) -> None:
        """Note that a call was refused or got no answer."""
        if now - self._shrunk_at < _SHRINK_SECONDS:
            return
        self._shrunk_at = now
        self._size = max(1.0, min(self._size, self.running) * _SHRINK)


@dataclasses.dataclass(eq=False)
class Waiting:
    """Hold a call that waits for its turn."""

    rank: abc.Callable[[], Rank]
    # Called once when the call may start.
    admit: abc.Callable[[], None]
    admitted: bool = False


class Pool:
    """Admit the calls of one service in order."""

    def __init__(self, cap: abc.Callable[[], int]) -> None:
        """Start idle; the cap is read at each admission."""
        self.window = Window()
        self._cap = cap
        self._waiting: list[Waiting] = []

    def enter(self, waiting: Waiting) -> None:
        """Let a call wait for its turn."""
        self._waiting.append(waiting)
        self.admit()

    def leave(self, waiting: Waiting) -> None:
        """Count the end of a call that ran, or forget one that waited."""
        if waiting.admitted:
            self.window.ended()
        else:
            self._waiting.remove(waiting)
        self.admit()

    def admit(self) -> None:
        """Start the first calls while there is room."""
        cap = self._cap()
        while self._waiting and self.window.has_room(cap):
            first = min(self._waiting, key=lambda found: found.rank())
            self._waiting.remove(first)
            first.admitted = True
            self.window.started()
            first.admit()


def cap_of(slots: int, owners: int) -> int:
    """Return how many calls one owner may run at once at a service.

    Owners do not know each other's calls, so each takes an equal part.
    """
    return max(1, int(slots * SLOTS_PART / max(1, owners)))
