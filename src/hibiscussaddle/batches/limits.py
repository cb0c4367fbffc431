"""Decide which texts become results and when items are abandoned."""

from collections import abc
import time
import typing

from hibiscussaddle.batches import model
from hibiscussaddle.batches import runs
from hibiscussaddle.customers import priority
from hibiscussaddle.routes import routing_config

# Clocks of instances may differ by this much; an item must not be abandoned
# before its retention ends.
_MAX_CLOCK_SKEW_SECONDS: typing.Final = 3.0
# Attempts of an item whose route was removed from the configuration.
_DEFAULT_MAX_ATTEMPTS: typing.Final = 3
# Batches whose route names no time are ordered as if due after this time.
_DEFAULT_DUE_SECONDS: typing.Final = 60.0


class ItemLimits:
    """Apply the limits of a batch and of its route's current configuration."""

    def __init__(
        self,
        batch: model.Batch,
        route: abc.Callable[[], routing_config.Route | None],
        workspace: abc.Callable[
            [], routing_config.Workspace | None
        ] = lambda: None,
    ) -> None:
        """Call route() at each check; it returns None for a removed route.

        The same for the workspace of the batch.
        """
        self._workspace = workspace
        self._batch = batch
        self._route = route

    def accepts_versions(self, versions: set[int]) -> bool:
        """Return whether a text of these weight versions may be a result."""
        if not versions or min(versions) < self._batch.min_version:
            return False
        route = self._route()
        return route is None or not route.single_version or len(versions) == 1

    def is_abandoned(self, progress: runs.Progress) -> bool:
        """Return whether an item failed too often or its batch expired."""
        return progress.failures >= self.max_attempts() or self.is_expired()

    def is_expired(self) -> bool:
        """Return whether the retention time of the batch has passed."""
        route = self._route()
        if route is None or not route.retention:
            return False
        age = time.time() - self._batch.submitted_at
        return age > route.retention + _MAX_CLOCK_SKEW_SECONDS

    def max_attempts(self) -> int:
        """Return the number of failures after which an item is abandoned."""
        route = self._route()
        return route.max_attempts if route else _DEFAULT_MAX_ATTEMPTS

    def priority(self) -> int:
        """Return the priority of the workspace, or else of the route.

        0 is the highest.
        """
        route = self._route()
        if route is None:
            return 0
        return priority.effective_priority(self._workspace(), route)

    def due_at(self) -> float:
        """Return the wall-clock seconds at which the results are due."""
        route = self._route()
        due_after = route.results_due_after if route else 0.0
        return self._batch.submitted_at + (due_after or _DEFAULT_DUE_SECONDS)

    def seconds_left(self) -> float:
        """Return the seconds until the results are due."""
        route = self._route()
        if route is None or not route.results_due_after:
            return float("inf")
        age = time.time() - self._batch.submitted_at
        return route.results_due_after - age
