"""Keep the keys of one prefix and their latest changes for followers.

Holds state only; nothing is sent.
"""

import collections
from collections import abc
import dataclasses
import typing

from hibiscussaddle.adapters import store

# A follower that missed more changes gets the complete listing. Four times the
# number of endpoints of the target fleet.
_MAX_CHANGES: typing.Final = 4096

ContentExtractor: typing.TypeAlias = abc.Callable[[store.StoreEntry], object]


@dataclasses.dataclass(frozen=True)
class Page:
    """Hold entries of one prefix as of a store revision."""

    entries: tuple[store.StoreEntry, ...]
    revision: int
    # Whether the page holds all keys of the prefix or only the changed ones.
    is_listing: bool = False


def _entry_bytes(entry: store.StoreEntry) -> object:
    return entry.data


class ChangeLog:
    """Track the keys of one prefix and the changes after a revision."""

    def __init__(
        self, extract_content: ContentExtractor = _entry_bytes
    ) -> None:
        """Record a change only when the extracted content differs."""
        self.revision = 0
        self._extract_content = extract_content
        self._entries: dict[str, store.StoreEntry] = {}
        self._contents: dict[str, object] = {}
        self._changes: collections.deque[store.StoreEntry]
        self._changes = collections.deque()
        # Every change after this revision is still in the log.
        self._complete_after = 0

    def apply(self, page: Page) -> bool:
        """Apply a page of the store; return whether anything changed."""
        if page.is_listing:
            return self._apply_listing(page)
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

    def _apply_listing(self, page: Page) -> bool:
        # A key may have been added and removed since the previous page. A
        # follower that received it from the store needs the listing to drop
        # it.
        self._entries = {entry.key: entry for entry in page.entries}
        self._contents = {
            entry.key: self._extract_content(entry) for entry in page.entries
        }
        self._changes.clear()
        self.revision = self._complete_after = page.revision
        return True

    def _set(self, entry: store.StoreEntry) -> None:
        content = self._extract_content(entry)
        known = entry.key in self._entries
        self._entries[entry.key] = entry
        if not known or self._contents[entry.key] != content:
            self._contents[entry.key] = content
            self._changes.append(entry)

    def _remove(self, entry: store.StoreEntry) -> None:
        if self._entries.pop(entry.key, None) is not None:
            del self._contents[entry.key]
            self._changes.append(entry)

    def removals(
        self, listing: abc.Iterable[store.StoreEntry], revision: int
    ) -> list[store.StoreEntry]:
        """Return the removals of the known keys that a listing lacks."""
        listed = {entry.key for entry in listing}
        return [
            store.StoreEntry(key, None, revision, 0)
            for key in self._entries
            if key not in listed
        ]

    def _drop_oldest(self) -> None:
        while len(self._changes) > _MAX_CHANGES:
            dropped = self._changes.popleft()
            self._complete_after = max(self._complete_after, dropped.revision)

    def changes_after(self, revision: int | None) -> Page:
        """Return the changes after a revision, or all keys if it is None."""
        if revision is None or revision < self._complete_after:
            entries = tuple(self._entries.values())
            return Page(entries, self.revision, is_listing=True)
        changes = tuple(e for e in self._changes if e.revision > revision)
        return Page(changes, self.revision)
