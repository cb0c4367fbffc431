"""Tell whether this instance knows recent enough keys of callers."""

import logging
import typing

import anyio

from hibiscussaddle import clocks
from hibiscussaddle.fleet import confirmation as confirmation_lib
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Interval of the check that logs a change when no request arrives.
_CHECK_SECONDS: typing.Final = 0.5


class KeyAge:
    """Read the age of the known keys and log when it passes its bound."""

    def __init__(
        self, confirmation: confirmation_lib.Confirmation | None
    ) -> None:
        """Take None where a revoked key may work for any time."""
        self._confirmation = confirmation
        self._was_fresh = False

    def seconds(self) -> float:
        """Return the age; not a number where it doesn't matter."""
        if self._confirmation is None:
            return float("nan")
        return self._confirmation.age(clocks.boot_seconds())

    def is_fresh(self) -> bool:
        """Return whether requests with a key may be accepted now."""
        if self._confirmation is None:
            return True
        now = clocks.boot_seconds()
        is_fresh = self._confirmation.is_fresh(now)
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            logs.event(
                _LOG,
                "keys_fresh" if is_fresh else "keys_stale",
                logging.INFO if is_fresh else logging.WARNING,
                age=self._confirmation.age(now),
            )
        return is_fresh

    async def run(self) -> None:
        """Log changes until cancelled."""
        while self._confirmation is not None:
            self.is_fresh()
            await anyio.sleep(_CHECK_SECONDS)
