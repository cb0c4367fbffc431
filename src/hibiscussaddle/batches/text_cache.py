"""Texts of items whose batch ended before their group was complete.

Trainers submit such groups again under the same ids; a text is reused if
its weight versions are allowed in the later batch.
"""

import collections
import dataclasses
import typing

from hibiscussaddle.batches import model

# About two steps of a trainer; a text takes a few kilobytes.
_MAX_TEXTS: typing.Final = 512


@dataclasses.dataclass(frozen=True)
class CachedText:
    """Hold the text of one item, complete or not."""

    checkpoint: model.TextCheckpoint | None = None
    result: model.Result | None = None


class TextCache:
    """Keep the newest texts of ended batches in memory."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._texts: collections.OrderedDict[str, CachedText]
        self._texts = collections.OrderedDict()

    def put(self, item_id: str, text: CachedText) -> None:
        """Store a text and evict the oldest ones above the limit."""
        self._texts[item_id] = text
        self._texts.move_to_end(item_id)
        while len(self._texts) > _MAX_TEXTS:
            self._texts.popitem(last=False)

    def cached_bytes(self) -> int:
        """Return the memory that the cached texts hold."""
        return sum(
            model.held_bytes(text.checkpoint.texts if text.checkpoint else ())
            + model.held_bytes([text.result.text] if text.result else ())
            for text in self._texts.values()
        )

    def pop(self, item_id: str) -> CachedText:
        """Remove and return the text of an item, empty if there is none."""
        return self._texts.pop(item_id, CachedText())
