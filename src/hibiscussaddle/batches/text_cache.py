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
# About twice the memory of that many texts of 8 kB. The count alone doesn't
# limit the memory of longer texts, or of those that arrive as many short
# events.
_MAX_BYTES: typing.Final = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class CachedText:
    """Hold the text of one item, complete or not."""

    checkpoint: model.TextCheckpoint | None = None
    result: model.Result | None = None

    def held_bytes(self) -> int:
        """Return the memory that the text holds."""
        return model.held_bytes(
            self.checkpoint.texts if self.checkpoint else ()
        ) + model.held_bytes([self.result.text] if self.result else ())


class TextCache:
    """Keep the newest texts of ended batches in memory."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        # Each text and its size, which is read once: that of a string grows
        # when its encoded form is cached.
        self._texts: collections.OrderedDict[
            tuple[str, str], tuple[CachedText, int]
        ]
        self._texts = collections.OrderedDict()
        self._held_bytes = 0

    def put(self, item_id: str, text: CachedText, workspace: str = "") -> None:
        """Store a text and evict the oldest ones above the limits."""
        self.pop(item_id, workspace)
        size = text.held_bytes()
        self._texts[workspace, item_id] = (text, size)
        self._held_bytes += size
        while len(self._texts) > _MAX_TEXTS or (
            len(self._texts) > 1 and self._held_bytes > _MAX_BYTES
        ):
            _, (_, evicted_size) = self._texts.popitem(last=False)
            self._held_bytes -= evicted_size

    def has(self, item_id: str, workspace: str = "") -> bool:
        """Return whether a text of an item is cached."""
        return (workspace, item_id) in self._texts

    def cached_bytes(self) -> int:
        """Return the memory that the cached texts hold."""
        return self._held_bytes

    def pop(self, item_id: str, workspace: str = "") -> CachedText:
        """Remove and return the text of an item, empty if there is none.

        Callers choose the IDs, so those of other workspaces may be equal.
        """
        text, size = self._texts.pop((workspace, item_id), (CachedText(), 0))
        self._held_bytes -= size
        return text
