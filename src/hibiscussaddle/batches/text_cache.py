"""Texts of items whose batch ended before their group was complete.

Trainers submit such groups again under the same ids; a text is used when
its weight versions fit the later batch.
"""

import collections
import dataclasses
import typing

from hibiscussaddle.batches import model

# About two steps of a trainer; a text has a few kilobytes.
_MAX_TEXTS: typing.Final = 512


@dataclasses.dataclass(frozen=True)
class CachedText:
    """Hold the text of one item, complete or not."""

    checkpoint: model.TextCheckpoint | None = None
    result: model.Result | None = None


class TextCache:
    """Keep the newest texts of ended batches in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self._found: collections.OrderedDict[str, CachedText]
        self._found = collections.OrderedDict()

    def put(self, item_id: str, text: CachedText) -> None:
        """Keep a text, dropping the oldest one above the limit."""
        self._found[item_id] = text
        self._found.move_to_end(item_id)
        while len(self._found) > _MAX_TEXTS:
            self._found.popitem(last=False)

    def pop(self, item_id: str) -> CachedText:
        """Return and forget the text of an item."""
        return self._found.pop(item_id, CachedText())
