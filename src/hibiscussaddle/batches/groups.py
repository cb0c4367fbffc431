"""Track which groups of a batch have all of their results."""

import collections
from collections import abc

from hibiscussaddle.batches import model


class GroupTracker:
    """Count the complete groups that a trainer waits for."""

    def __init__(self, batch: model.Batch, logged: abc.Container[str]) -> None:
        """Start with the ids of the items that have a result already."""
        self._wanted = batch.groups_wanted
        self._missing = collections.Counter(
            {item.group: 0 for item in batch.items}
        )
        for item in batch.items:
            if item.id not in logged:
                self._missing[item.group] += 1
        # Groups whose items all have a result.
        self.complete_groups = sum(
            not count for count in self._missing.values()
        )

    def record_result(self, group: str) -> None:
        """Record a result of one more item of a group."""
        self._missing[group] -= 1
        self.complete_groups += not self._missing[group]

    def missing_results(self, group: str) -> int:
        """Return how many items of a group have no result yet."""
        return self._missing[group]

    def missing_groups(self) -> int:
        """Return how many groups the trainer still waits for."""
        wanted = self._wanted or len(self._missing)
        return max(0, wanted - self.complete_groups)

    def is_complete(self) -> bool:
        """Return whether every item has a result."""
        return self.complete_groups == len(self._missing)

    def has_enough_groups(self) -> bool:
        """Return whether the trainer has the groups that it waits for."""
        if not self._wanted:
            return self.is_complete()
        return self.complete_groups >= self._wanted
