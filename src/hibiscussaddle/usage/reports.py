"""Decide which usage report is fixed or sent next.

The state machine returns the next step and receives its outcome. It does no
I/O. Times are Unix seconds and are passed in.

One key of the store holds the newest report that was fixed. A report is sent
only once it is in that key, and the next one is fixed only once it was
accepted. So a successor that repeats what it finds there never sends different
counts for a window.
"""

import dataclasses
import enum
import random
import typing

from hibiscussaddle.platform import control_wire
from hibiscussaddle.usage import counter
from hibiscussaddle.usage import totals as totals_lib

# Fraction of the time until a report is due for which the totals of instances
# are waited for. The rest is left for a change of the holder or a slow API.
_COLLECT_FRACTION: typing.Final = 0.7
# Instances register again within a second after an outage of the store and
# send their totals each second; until then the members listed may be few.
_LISTING_SETTLE_SECONDS: typing.Final = 3.0
# Bounds of the wait before a call that failed is repeated.
_RETRY_SECONDS: typing.Final = (0.2, 2.0)


@dataclasses.dataclass(frozen=True)
class ReportConfig:
    """Configure the windows; times are in seconds."""

    window_seconds: float
    # From the end of a window until its report is due.
    late_seconds: float


class StepKind(enum.Enum):
    """Enumerate what a holder may have to do."""

    # Read the report that was fixed last.
    LOAD = "load"
    # Write the report of the next window, on condition of the revision read.
    FIX = "fix"
    # Send the report that is fixed.
    SEND = "send"


@dataclasses.dataclass(frozen=True)
class Step:
    """Describe one step."""

    kind: StepKind
    window: int = -1
    # The exact bytes of the report.
    body: bytes = b""
    expected_revision: int = 0


class WriteOutcome(enum.Enum):
    """Enumerate the outcomes of the write of a report."""

    OK = "ok"
    # The call had no effect.
    FAILED = "failed"
    # Another holder may have written, or the outcome is unknown.
    UNCLEAR = "unclear"


class Reports:
    """Track the reports from the view of one instance."""

    def __init__(
        self,
        cfg: ReportConfig,
        table: totals_lib.Table,
        rng: random.Random,
    ) -> None:
        """Report what the table holds."""
        self.cfg = cfg
        self.reported_count = 0
        self.refused_count = 0
        # Windows that were given up without an accepted report.
        self.skipped_count = 0
        self._table = table
        self._rng = rng
        self._is_loaded = False
        self._revision = 0
        # Window and bytes of the report that is fixed but not accepted.
        self._fixed: tuple[int, bytes] | None = None
        self._next_window = 0
        self._retry_at = 0.0
        self._wait = _RETRY_SECONDS[0]

    def reset(self) -> None:
        """Forget what the store holds, since the duty was lost."""
        self._is_loaded = False
        self._fixed = None

    def windows_behind(self, now: float) -> int:
        """Return the windows whose reports are due; 0 while unknown."""
        if not self._is_loaded:
            return 0
        due = counter.window_at(
            now - self.cfg.late_seconds, self.cfg.window_seconds
        )
        return max(0, due - self._next_window)

    def next_step(
        self,
        now: float,
        sources: frozenset[totals_lib.Source],
        steady_seconds: float = float("inf"),
    ) -> Step | None:
        """Return the step that is due.

        The sources are the processes that ran in the last late_seconds. Their
        listing has been complete, without a failure, for steady_seconds.
        """
        if now < self._retry_at:
            return None
        if not self._is_loaded:
            return Step(StepKind.LOAD)
        if self._fixed is not None:
            window, body = self._fixed
            return Step(StepKind.SEND, window, body)
        window = self._next_window
        is_steady = steady_seconds >= _LISTING_SETTLE_SECONDS
        if not self._is_complete(window, now, sources, is_steady):
            return None
        body = control_wire.encode_usage(window, self._table.sum(window))
        return Step(StepKind.FIX, window, body, self._revision)

    def _is_complete(
        self,
        window: int,
        now: float,
        sources: frozenset[totals_lib.Source],
        is_steady: bool,
    ) -> bool:
        seconds = self.cfg.window_seconds
        end = counter.window_end(window, seconds)
        if now < end:
            return False
        # A process that started after the window has counted nothing in it.
        # Incarnations are Unix milliseconds.
        required = [source for source in sources if source[1] / 1000 < end]
        final = self._table.final_count(window, required)
        is_late = now >= end + _COLLECT_FRACTION * self.cfg.late_seconds
        if not is_late:
            # Without a required process, or right after an outage, the members
            # listed may be a few of those that ran. A process that is known
            # to have counts to come is waited for even if it isn't listed.
            return (
                is_steady
                and 0 < len(required) == final
                and not self._table.has_unfinished(window)
            )
        # A holder whose clock is ahead must not report windows early, nor one
        # that reaches hardly any instance report empty ones. Processes that
        # aren't listed any more don't count here: they may never answer.
        return not required or 2 * final > len(required)

    def on_loaded(
        self, body: bytes | None, revision: int, first_window: int, now: float
    ) -> None:
        """Take over the report that was fixed last, if any.

        Without one, the reports begin with the first window. Raises
        ValueError if the report is malformed.
        """
        if body is None:
            self._fixed = None
            next_window = first_window
        else:
            window, _ = control_wire.decode_usage(body)
            self._fixed = (window, body)
            next_window = window
            self._table.record_reported(window - 1)
        self._revision = revision
        self._next_window = next_window
        self._is_loaded = True
        self._skip_old_windows(now)
        self._succeed()

    def _skip_old_windows(self, now: float) -> None:
        oldest = counter.oldest_window(now, self.cfg.window_seconds)
        if self._fixed is None:
            self._next_window = max(self._next_window, oldest)

    def on_load_failed(self, now: float) -> None:
        """Read the report again after a wait."""
        self._fail(now)

    def on_fixed(
        self, step: Step, outcome: WriteOutcome, revision: int, now: float
    ) -> None:
        """Process the outcome of a write."""
        if outcome is WriteOutcome.OK:
            self._revision = revision
            self._fixed = (step.window, step.body)
            self._succeed()
            return
        if outcome is WriteOutcome.UNCLEAR:
            # What was written, by whomever, is sent as it is.
            self.reset()
        self._fail(now)

    def on_sent(
        self, step: Step, outcome: control_wire.Outcome, now: float
    ) -> bool:
        """Process the outcome of a call; return whether a window is skipped.

        A window that the API denies is skipped once its report is overdue. A
        report that it rejects would be rejected again, so it is skipped at
        once. The later windows must not wait for either.
        """
        if self._fixed != (step.window, step.body):
            return False
        kinds = control_wire.Outcome
        if outcome is kinds.NOT_HELD:
            self.reset()
            return False
        if outcome is kinds.ACCEPTED:
            self.reported_count += 1
        else:
            self.refused_count += 1
        end = counter.window_end(step.window, self.cfg.window_seconds)
        is_overdue = now >= end + self.cfg.late_seconds
        is_denied = outcome in (kinds.DENIED, kinds.UNAVAILABLE)
        if outcome in (kinds.REFUSED, kinds.UNKNOWN) or (
            is_denied and not is_overdue
        ):
            self._fail(now)
            return False
        is_skipped = outcome is not kinds.ACCEPTED
        self.skipped_count += is_skipped
        self._fixed = None
        self._next_window = step.window + 1
        self._table.record_reported(step.window)
        self._skip_old_windows(now)
        self._succeed()
        return is_skipped

    def _succeed(self) -> None:
        self._wait = _RETRY_SECONDS[0]
        self._retry_at = 0.0

    def _fail(self, now: float) -> None:
        # Reduced by up to half.
        wait = self._wait * (0.5 + 0.5 * self._rng.random())
        self._retry_at = now + wait
        self._wait = min(_RETRY_SECONDS[1], self._wait * 2)
