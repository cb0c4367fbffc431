"""Hold the items of a batch that have no result yet."""

import collections
from collections import abc

from hibiscussaddle.batches import events
from hibiscussaddle.batches import model
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle.scheduling import lengths as lengths_lib


class UnfinishedItems:
    """Track the items that have begun, and count the others by group."""

    def __init__(self, lengths: lengths_lib.LengthModel) -> None:
        """Start without items."""
        self._lengths = lengths
        # Items that have begun or have a text of an earlier owner or batch.
        self.progress: dict[str, runs.Progress] = {}
        # Items that have not begun and have no text, with the number and the
        # estimates of those of each group.
        self._idle: dict[str, model.Item] = {}
        self._idle_count: collections.Counter[str] = collections.Counter()
        self._idle_estimates: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self.progress) + len(self._idle)

    def __contains__(self, item_id: str) -> bool:
        return item_id in self.progress or item_id in self._idle

    def add(
        self, item: model.Item, transcript: events.Transcript | None = None
    ) -> None:
        """Add an item that has not begun, with the text that it has."""
        if transcript is not None:
            self.progress[item.id] = runs.Progress(item, transcript)
            return
        self._idle[item.id] = item
        self._count_idle(item, 1)

    def begin(self, item_id: str) -> runs.Progress:
        """Return the state of an item that begins."""
        item = self._idle.pop(item_id, None)
        if item is not None:
            self._count_idle(item, -1)
            created = runs.Progress(item, events.Transcript())
            self.progress[item_id] = created
        return self.progress[item_id]

    def remove(self, item_id: str) -> None:
        """Remove an item that has begun, which has a result."""
        self.progress.pop(item_id, None)

    @property
    def idle_count(self) -> int:
        """Return how many items have neither begun nor a text."""
        return len(self._idle)

    def idle_ids(self) -> abc.Iterable[str]:
        """Return the IDs of the items that have neither begun nor a text."""
        return self._idle

    def is_idle(self, item_id: str) -> bool:
        """Return whether an item has neither begun nor a text."""
        return item_id in self._idle

    def in_order(self, carried_over: abc.Container[str]) -> list[str]:
        """Return the IDs of all items in the order in which they start."""
        items = [progress.item for progress in self.progress.values()]
        items += self._idle.values()
        by_group: dict[str, list[model.Item]] = {}
        for item in items:
            by_group.setdefault(item.group, []).append(item)
        expected = {
            group: [item.expected_output or 0.0 for item in members]
            for group, members in by_group.items()
        }
        start_order = placement.order_items(expected, carried_over)
        return [by_group[group][index].id for group, index in start_order]

    def events_left(self, progress: runs.Progress) -> float:
        """Return the events that an item is expected to need."""
        return self._lengths.events_left(
            progress.item.expected_output, len(progress.transcript.texts)
        )

    def events_left_by_group(self) -> dict[str, float]:
        """Return the events that the incomplete texts of groups need."""
        left = {
            group: self._lengths.expected_events(
                self._idle_estimates.get(group)
            )
            for group in self._idle_count
        }
        for progress in self.progress.values():
            if not progress.transcript.is_complete:
                group = progress.item.group
                left[group] = left.get(group, 0.0) + self.events_left(progress)
        return left

    def _count_idle(self, item: model.Item, change: int) -> None:
        group = item.group
        self._idle_count[group] += change
        if not self._idle_count[group]:
            del self._idle_count[group]
            # Without the rounding errors of the sum.
            self._idle_estimates.pop(group, None)
            return
        estimate = item.expected_output
        if lengths_lib.is_usable(estimate):
            known = self._idle_estimates.get(group, 0.0)
            self._idle_estimates[group] = known + change * estimate
