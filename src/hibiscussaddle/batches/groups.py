"""Count what the groups of a batch still miss."""

import collections
from collections import abc

from hibiscussaddle.batches import model


class GroupTracker:
    """Know which groups are whole; a trainer waits for a number of them."""

    def __init__(self, batch: model.Batch, logged: abc.Container[str]) -> None:
        """Count the items that have a result already."""
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
        """Count one more item with a result."""
        self._missing[group] -= 1
        self.complete_groups += not self._missing[group]

    def missing_results(self, group: str) -> int:
        """Return how many items of a group have no result."""
        return self._missing[group]

    def is_complete(self) -> bool:
        """Tell whether every item has a result."""
        return self.complete_groups == len(self._missing)

    def has_enough_groups(self) -> bool:
        """Tell whether the trainer has what it waits for."""
        if not self._wanted:
            return self.is_complete()
        return self.complete_groups >= self._wanted
