"""Count what the groups of a batch still miss."""

import collections
from collections import abc

from hibiscussaddle.batches import model


class Groups:
    """Know which groups are whole; a trainer waits for a number of them."""

    def __init__(self, batch: model.Batch, listed: abc.Container[str]) -> None:
        """Count the items that have a result already."""
        self._wanted = batch.groups_wanted
        self._missing = collections.Counter(
            {item.group: 0 for item in batch.items}
        )
        for item in batch.items:
            if item.id not in listed:
                self._missing[item.group] += 1
        # Groups whose items all have a result.
        self.whole = sum(not count for count in self._missing.values())

    def note_result(self, group: str) -> None:
        """Count one more item with a result."""
        self._missing[group] -= 1
        self.whole += not self._missing[group]

    def missing(self, group: str) -> int:
        """Return how many items of a group have no result."""
        return self._missing[group]

    def is_complete(self) -> bool:
        """Tell whether every item has a result."""
        return self.whole == len(self._missing)

    def is_enough(self) -> bool:
        """Tell whether the trainer has what it waits for."""
        if not self._wanted:
            return self.is_complete()
        return self.whole >= self._wanted
