"""Decide which texts of a batch may be listed, and when items are over."""

from collections import abc
import time
import typing

from hibiscussaddle.batches import model
from hibiscussaddle.batches import runs
from hibiscussaddle.routes import routing_config

# Clocks of instances may differ by this much, in seconds; an item must not
# be given up before its time.
_CLOCK_SECONDS: typing.Final = 3.0
# Attempts of an item on a route that is gone from the configuration.
_DEFAULT_ATTEMPTS: typing.Final = 3


class ItemLimits:
    """Apply the limits of a batch and of its route as it is now."""

    def __init__(
        self,
        batch: model.Batch,
        route: abc.Callable[[], routing_config.Route | None],
    ) -> None:
        """Read the route at each question, None when it is gone."""
        self._batch = batch
        self._route = route

    def fits(self, versions: set[int]) -> bool:
        """Tell whether a text of these versions may be listed."""
        if not versions or min(versions) < self._batch.min_version:
            return False
        route = self._route()
        return route is None or not route.single_version or len(versions) == 1

    def is_over(self, progress: runs.Progress) -> bool:
        """Tell whether an item is given up."""
        return progress.failures >= self.max_attempts() or self.is_expired()

    def is_expired(self) -> bool:
        """Tell whether the batch is so old that its items may be given up."""
        route = self._route()
        if route is None or not route.retention:
            return False
        age = time.time() - self._batch.submitted_at
        return age > route.retention + _CLOCK_SECONDS

    def max_attempts(self) -> int:
        """Return the failures after which an item is given up."""
        route = self._route()
        return route.max_attempts if route else _DEFAULT_ATTEMPTS

    def seconds_left(self) -> float:
        """Return the seconds until the results are due."""
        route = self._route()
        if route is None or not route.results_due:
            return float("inf")
        age = time.time() - self._batch.submitted_at
        return route.results_due - age
