"""Decide whether an instance may use a plan that it can't confirm.

Instants are seconds of clocks.boot_seconds().
"""

import typing

import anyio

from hibiscussaddle import clocks
from hibiscussaddle.software_versions import deduction

# Interval at which a running process records that it runs.
_TICK_SECONDS: typing.Final = 1.0
# A process that paused longer may have missed changes of the plan, and its
# membership may not have expired. Shorter than deduction.PROPAGATION_SECONDS.
_MAX_PAUSE_SECONDS: typing.Final = 4.0
# Time after a pause in which a store in reach has passed on all changes.
_RECOVERY_SECONDS: typing.Final = 3.0


class PlanAge:
    """Track confirmations of the plans and pauses of the process."""

    def __init__(self, now: float) -> None:
        """Start with a process that runs and knows no plan."""
        self._ticked_at = now
        self._resumed_at = float("-inf")
        self._confirmed_at = float("-inf")

    async def run(self) -> None:
        """Record that the process runs until cancelled."""
        while True:
            self.tick(clocks.boot_seconds())
            await anyio.sleep(_TICK_SECONDS)

    def tick(self, now: float) -> None:
        """Record that the process runs."""
        if now - self._ticked_at > _MAX_PAUSE_SECONDS:
            self._resumed_at = now
        self._ticked_at = now

    def confirm(self, now: float) -> None:
        """Record that the store or the zone reader confirmed the plans."""
        self.tick(now)
        self._confirmed_at = now

    def is_usable(self, now: float) -> bool:
        """Return whether the process has caught up since its last pause."""
        self.tick(now)
        return (
            self._confirmed_at >= self._resumed_at
            or now - self._resumed_at >= _RECOVERY_SECONDS
        )

    def may_begin(self, now: float, has_several_versions: bool) -> bool:
        """Return whether new streams may begin by the known plan.

        A service with one version goes on while the store is out of reach.
        """
        if not self.is_usable(now):
            return False
        age = now - self._confirmed_at
        return (
            not has_several_versions
            or age <= deduction.MAX_UNCONFIRMED_SECONDS
        )
