"""Name where an unfinished item is and why it waits.

Callers pass the time in, and nothing here performs I/O.
"""

import collections
from collections import abc
import dataclasses
import enum
import typing

# An item that got no event for this long is named in the log.
QUIET_SECONDS: typing.Final = 2.0
# An item for which no engine was sought for this long is skipped: every
# assignment stops at others of its pool.
SKIPPED_SECONDS: typing.Final = 1.0
# Interval between two lines or mentions of one item.
REPEAT_SECONDS: typing.Final = 5.0
# Lines about single items of one batch at each check. The items beyond them
# share one more line.
_LINES_PER_CHECK: typing.Final = 2
# Items that this line names. It must not exceed the longest line of the log.
_MAX_NAMED: typing.Final = 40
# Lines of all batches of an instance within the period.
_MAX_LINES: typing.Final = 20
_BUDGET_PERIOD_SECONDS: typing.Final = 1.0


class State(enum.Enum):
    """Name where an unfinished item is."""

    # Has no place in the start window.
    NOT_BEGUN = "not_begun"
    # Waits in the queue for an engine.
    WAITING = "waiting"
    RUNNING = "running"
    # Ended several engines and is not run again.
    MARKED = "marked"
    # Neither queued nor running, such as in the delay after an error.
    BETWEEN_RUNS = "between_runs"
    # The text is complete and waits for its score.
    SCORING = "scoring"


# States in which an item should be at an engine.
_UNSERVED: typing.Final = (
    State.NOT_BEGUN,
    State.WAITING,
    State.MARKED,
    State.BETWEEN_RUNS,
)
# Order in which items are named.
_LOG_ORDER: typing.Final = (
    State.WAITING,
    State.RUNNING,
    State.BETWEEN_RUNS,
    State.MARKED,
    State.SCORING,
    State.NOT_BEGUN,
)


class Reason(enum.Enum):
    """Name why an item waits, or why an engine was not chosen for it."""

    OWNERSHIP_UNCONFIRMED = "ownership_unconfirmed"
    NO_ROUTE = "no_route"
    # The service of the item has no engine that takes new work.
    NO_ENGINE = "no_engine"
    # No engine was sought: others of its pool come first and got none.
    SKIPPED = "skipped"
    MARKED = "marked"
    # Engines ended under the item, and others have just ended.
    ENGINES_END = "engines_end"
    # The batch has as many waiting items as it may have.
    START_WINDOW = "start_window"
    # Runs since the newest event that brought none.
    SILENT_RUNS = "silent_runs"
    # Not determined, since too many items wait.
    UNEXAMINED = "unexamined"

    # Engines by what keeps the item from them.
    OLD_WEIGHTS = "old_weights"
    # Another software version began the text.
    OTHER_SOFTWARE = "other_software"
    FULL = "full"
    # Nothing is sent for a while after a refusal or a failure.
    REFUSED = "refused"
    FAILED = "failed"
    # The item was just moved off it.
    EXCLUDED = "excluded"
    # A probe run shows whether the engine has recovered.
    PROBING = "probing"
    # The engine needs a probe run, and none has begun.
    SUSPECT = "suspect"
    SLOW = "slow"
    # Its capacity is kept for a longer run.
    RESERVED = "reserved"
    # The engine refused an item of this size.
    TOO_SMALL = "too_small"
    # Another item that may have ended an engine runs there.
    AVOIDED = "avoided"
    # The engine has a rate limit, and no permit is there.
    NO_PERMIT = "no_permit"
    # Nothing keeps the item from the engine.
    FREE = "free"


Reasons: typing.TypeAlias = collections.Counter[Reason]


@dataclasses.dataclass
class Track:
    """Record where an unfinished item is."""

    state: State = State.NOT_BEGUN
    # Monotonic seconds at which the newest run with an event ended.
    served_until: float | None = None
    # Runs that brought no event since then.
    silent_runs: int = 0
    # Monotonic seconds at which the item was queued last.
    waiting_since: float = 0.0
    # Monotonic seconds at which an engine was last sought in the queue.
    sought_at: float = float("-inf")

    def end_run(self, had_event: bool, now: float) -> None:
        """Record that the item left an engine."""
        self.state = State.BETWEEN_RUNS
        if had_event:
            self.served_until = now
            self.silent_runs = 0
        else:
            self.silent_runs += 1


@dataclasses.dataclass(frozen=True)
class Wait:
    """Describe an unfinished item at one time."""

    item_id: str
    state: State
    # Since the newest event, the end of its run once that ended, or else the
    # start of the batch at this instance.
    seconds: float
    # Engine of the current or else of the last run; empty without one.
    engine: str = ""
    last_event: int | None = None
    runs: int = 0
    silent_runs: int = 0
    # Seconds of the current run since its newest event or its start.
    run_seconds: float = 0.0

    @property
    def is_served(self) -> bool:
        """Return whether the item is where it should be."""
        return self.state not in _UNSERVED

    @property
    def is_overdue(self) -> bool:
        """Return whether the log should name the item.

        Runs that bring no event one after another count as one wait.
        """
        if self.seconds < QUIET_SECONDS:
            return False
        return (
            self.state is not State.RUNNING
            or self.silent_runs > 0
            or self.run_seconds >= QUIET_SECONDS
        )


def format_reasons(reasons: abc.Mapping[Reason, int]) -> str:
    """Return reasons with their counts, the most frequent ones first."""
    found = sorted(
        ((-count, reason.value) for reason, count in reasons.items() if count)
    )
    return ",".join(f"{name}:{-count}" for count, name in found)


def main_reason(reasons: abc.Mapping[Reason, int]) -> str:
    """Return the most frequent reason, '-' without any.

    A free engine comes first, since the item should have it.
    """
    if reasons.get(Reason.FREE):
        if reasons.get(Reason.SKIPPED):
            return Reason.SKIPPED.value
        return Reason.FREE.value
    first, _, _ = format_reasons(reasons).partition(":")
    return first or "-"


def longest_wait(waits: abc.Iterable[Wait]) -> float:
    """Return the seconds for which any item has been at no engine."""
    return max((w.seconds for w in waits if not w.is_served), default=0.0)


class LineBudget:
    """Bound the lines about waiting items of all batches of an instance."""

    def __init__(self) -> None:
        """Start with the whole budget."""
        self._period_start = float("-inf")
        self._left = _MAX_LINES

    def take(self, wanted: int, now: float) -> int:
        """Return how many of the wanted lines may be written now."""
        if now - self._period_start >= _BUDGET_PERIOD_SECONDS:
            self._period_start = now
            self._left = _MAX_LINES
        granted = min(wanted, self._left)
        self._left -= granted
        return granted


@dataclasses.dataclass(frozen=True)
class Selection:
    """Hold what the log says of a batch at one check."""

    # Items with a line of their own.
    lines: tuple[Wait, ...] = ()
    # IDs of further items that one more line names.
    named: tuple[str, ...] = ()
    # Overdue items that have no line now, the named ones and those with a line
    # at a recent check among them.
    left_out: int = 0


class LogSelector:
    """Choose the items of one batch that the log names at each check."""

    def __init__(self, budget: LineBudget) -> None:
        """Share the budget with the other batches."""
        self._budget = budget
        # Monotonic seconds at which each item was named.
        self._named_at: dict[str, float] = {}

    def select(self, waits: abc.Iterable[Wait], now: float) -> Selection:
        """Return what to log; items named recently are left out."""
        self._named_at = {
            item_id: at
            for item_id, at in self._named_at.items()
            if now - at < REPEAT_SECONDS
        }
        overdue = [wait for wait in waits if wait.is_overdue]
        fresh = [w for w in overdue if w.item_id not in self._named_at]
        if not fresh:
            return Selection(left_out=len(overdue))
        fresh.sort(key=lambda w: (_LOG_ORDER.index(w.state), -w.seconds))
        wanted = min(_LINES_PER_CHECK, len(fresh))
        has_more = len(fresh) > wanted
        granted = self._budget.take(wanted + has_more, now)
        lines = fresh[: min(wanted, granted)]
        named: list[Wait] = []
        if granted > wanted:
            named = fresh[wanted : wanted + _MAX_NAMED]
        for wait in [*lines, *named]:
            self._named_at[wait.item_id] = now
        return Selection(
            tuple(lines),
            tuple(wait.item_id for wait in named),
            len(overdue) - len(lines),
        )
