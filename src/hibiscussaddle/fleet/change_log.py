"""Keep the keys of one prefix with their newest changes, for others to read.

Pure state: nothing is sent.
"""

import collections
from collections import abc
import dataclasses
import typing

from hibiscussaddle.adapters import store

# Changes that are kept; a reader that lags further gets the whole listing.
# Four times the servers of the target size.
_MAX_CHANGES: typing.Final = 4096

Meaning: typing.TypeAlias = abc.Callable[[store.StoreEntry], object]


@dataclasses.dataclass(frozen=True)
class Page:
    """Hold keys of one prefix as of a revision of the store."""

    entries: tuple[store.StoreEntry, ...]
    revision: int
    # All keys of the prefix, not only those that changed.
    is_listing: bool = False


def _bytes_of(entry: store.StoreEntry) -> object:
    return entry.data


class ChangeLog:
    """Follow the keys of one prefix and tell what changed after a revision."""

    def __init__(self, meaning: Meaning = _bytes_of) -> None:
        """Pass on a change only when the meaning of its entry differs."""
        self.revision = 0
        self._meaning = meaning
        self._entries: dict[str, store.StoreEntry] = {}
        self._meanings: dict[str, object] = {}
        self._changes: collections.deque[store.StoreEntry]
        self._changes = collections.deque()
        # All changes later than this revision are kept.
        self._complete_after = 0

    def put(self, page: Page) -> bool:
        """Take a page of the store; tell whether anything changed."""
        if page.is_listing:
            return self._put_listing(page)
        count = len(self._changes)
        for entry in page.entries:
            if entry.data is None:
                self._remove(entry)
            else:
                self._set(entry)
        self.revision = max(self.revision, page.revision)
        changed = len(self._changes) != count
        self._drop_oldest()
        return changed

    def _put_listing(self, page: Page) -> bool:
        # A key may have come and gone since the page before; a follower
        # that saw it needs the listing as well.
        self._entries = {entry.key: entry for entry in page.entries}
        self._meanings = {
            entry.key: self._meaning(entry) for entry in page.entries
        }
        self._changes.clear()
        self.revision = self._complete_after = page.revision
        return True

    def _set(self, entry: store.StoreEntry) -> None:
        meaning = self._meaning(entry)
        known = entry.key in self._entries
        self._entries[entry.key] = entry
        if not known or self._meanings[entry.key] != meaning:
            self._meanings[entry.key] = meaning
            self._changes.append(entry)

    def _remove(self, entry: store.StoreEntry) -> None:
        if self._entries.pop(entry.key, None) is not None:
            del self._meanings[entry.key]
            self._changes.append(entry)

    def _drop_oldest(self) -> None:
        while len(self._changes) > _MAX_CHANGES:
            dropped = self._changes.popleft()
            self._complete_after = max(self._complete_after, dropped.revision)

    def after(self, revision: int | None) -> Page:
        """Return the changes after a revision, or all keys without one."""
        if revision is None or revision < self._complete_after:
            entries = tuple(self._entries.values())
            return Page(entries, self.revision, is_listing=True)
        found = tuple(e for e in self._changes if e.revision > revision)
        return Page(found, self.revision)
