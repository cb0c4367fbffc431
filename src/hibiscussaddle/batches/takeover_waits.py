"""Log the batches that wait to be taken over."""

import logging
import time
import typing

from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Interval between two lines about one batch and reason.
_REPEAT_SECONDS: typing.Final = 10.0
# Lines within the period. The next one counts those that were left out.
_MAX_LINES: typing.Final = 5
_PERIOD_SECONDS: typing.Final = 1.0
# A batch that was not recorded for this long waits no more. Each retry of a
# takeover records it.
_FORGET_SECONDS: typing.Final = 30.0


class TakeoverWaits:
    """Log why batches wait for a takeover, a few lines at a time."""

    def __init__(self) -> None:
        """Start without waiting batches."""
        # Monotonic seconds of the newest line, by batch and reason.
        self._logged_at: dict[tuple[str, str], float] = {}
        # Monotonic seconds of the first and the newest record of each batch.
        self._recorded: dict[str, tuple[float, float]] = {}
        self._period_start = float("-inf")
        self._lines = 0
        self._left_out = 0

    def record(
        self,
        batch_id: str,
        owner: str,
        why: str,
        since: float | None = None,
    ) -> None:
        """Log that a batch waits, unless a line said so recently.

        It waits since its first record, or since earlier monotonic seconds.
        """
        now = time.monotonic()
        if now - self._period_start >= _PERIOD_SECONDS:
            self._period_start = now
            self._lines = 0
            self._forget_old(now)
        first, _ = self._recorded.get(batch_id, (now, now))
        if since is not None:
            first = min(first, since)
        self._recorded[batch_id] = first, now
        logged_at = self._logged_at.get((batch_id, why), float("-inf"))
        if now - logged_at < _REPEAT_SECONDS:
            return
        if self._lines >= _MAX_LINES:
            self._left_out += 1
            return
        self._lines += 1
        self._logged_at[batch_id, why] = now
        logs.event(
            _LOG,
            "takeover_waits",
            logging.WARNING,
            batch=batch_id,
            owner=owner or "-",
            why=why,
            seconds=now - first,
            left_out=self._left_out,
        )
        self._left_out = 0

    def end(self, batch_id: str) -> None:
        """Record that a batch waits no more."""
        self._recorded.pop(batch_id, None)

    def _forget_old(self, now: float) -> None:
        self._logged_at = {
            key: at
            for key, at in self._logged_at.items()
            if now - at < _REPEAT_SECONDS
        }
        self._recorded = {
            batch_id: (first, newest)
            for batch_id, (first, newest) in self._recorded.items()
            if now - newest < _FORGET_SECONDS
        }
