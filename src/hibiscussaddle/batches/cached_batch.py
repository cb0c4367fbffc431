"""Hold what an instance knows of a batch and its results."""

from collections import abc
import dataclasses
import typing

import anyio

from hibiscussaddle.batches import model
from hibiscussaddle.batches import storage

# Limit of the encoded results in one response to a peer. Whole logs have 0.6
# to 0.9 MB; a few at once on the owner's 7.5 MB/s link exceeded the peers'
# timeout of 0.3 s, and the bytes already sent were lost. 17 responses of this
# size fit into that time.
MAX_PEER_PAGE_BYTES: typing.Final = 128 * 1024


def never() -> bool:
    """Return that this instance doesn't own a batch."""
    return False


@dataclasses.dataclass
class CachedBatch:
    """Hold the known state of a batch; logged results never change."""

    head: model.Head
    results: list[model.Result] = dataclasses.field(default_factory=list)
    # Key of each log entry and the position after its last result.
    entry_ends: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    # Store revision from which the next watch starts, None to read the log
    # without one.
    revision: int | None = None
    # Bodies by item id, empty while they are unknown.
    items: dict[str, bytes] = dataclasses.field(default_factory=dict)
    # Memory of the bodies, and of the bodies and texts together. Kept up to
    # date by add() and set_items(), since reads compare them to limits.
    body_bytes: int = 0
    held_bytes: int = 0
    # Returns whether this instance owns the batch and knows all results now.
    is_authoritative: abc.Callable[[], bool] = never
    # Whether the batch has ended, after which no results are logged.
    is_ended: bool = False
    # Whether the log was read after the end, so that no results are missing.
    is_final: bool = False
    # Whether the last response of a peer left out entries that it knew.
    has_more: bool = False
    # Set and replaced when results are added or ownership is lost.
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    @property
    def last_key(self) -> str:
        """Return the key of the newest known log entry."""
        return self.entry_ends[-1][0] if self.entry_ends else ""

    @property
    def is_complete(self) -> bool:
        """Return whether no more results can be added."""
        return self.is_final or len(self.results) >= self.head.total

    def add(self, entries: abc.Iterable[storage.LogEntry]) -> None:
        """Append the log entries that are not known yet."""
        before = len(self.results)
        for entry in entries:
            if entry.key > self.last_key:
                self.results.extend(entry.results)
                self.held_bytes += model.held_bytes(
                    item_result.text for item_result in entry.results
                )
                self.entry_ends.append((entry.key, len(self.results)))
        if len(self.results) > before:
            changed, self.changed = self.changed, anyio.Event()
            changed.set()

    def set_items(self, items: dict[str, bytes]) -> None:
        """Replace the bodies by item id."""
        self.held_bytes -= self.body_bytes
        self.body_bytes = model.held_bytes(items.values())
        self.held_bytes += self.body_bytes
        self.items = items

    def add_response(self, response: "PeerResponse") -> None:
        """Add the state that a peer returned."""
        self.add(response.entries)
        self.has_more = response.has_more
        if response.is_final and not response.has_more:
            self.is_final = True
        if not self.items and len(response.items) >= response.head.total:
            self.set_items(response.items)

    def entries_after(
        self, key: str, max_bytes: int
    ) -> tuple[tuple[storage.LogEntry, ...], bool]:
        """Return the next known log entries and whether more follow.

        The entries are within a size, but at least one if any is known.
        """
        start = 0
        size = 0
        entries: list[storage.LogEntry] = []
        for entry_key, end in self.entry_ends:
            if entry_key > key:
                results = self.results[start:end]
                size += len(model.encode_results(results))
                if entries and size > max_bytes:
                    return tuple(entries), True
                entries.append(storage.LogEntry(entry_key, tuple(results)))
            start = end
        return tuple(entries), False


@dataclasses.dataclass(frozen=True)
class Page:
    """Hold the results of a batch from one position on."""

    # Number of items of the batch.
    total: int
    results: tuple[model.Result, ...]


@dataclasses.dataclass(frozen=True)
class PeerResponse:
    """Hold the state of a batch as known to the instance that runs it."""

    head: model.Head
    # The first log entries that the requester does not know.
    entries: tuple[storage.LogEntry, ...]
    # Whether no results can follow the entries. False in a response that was
    # cut: builds that don't know has_more then request the rest.
    is_final: bool
    # Bodies by item id, empty unless requested.
    items: dict[str, bytes]
    # Whether the responder knows entries after these. Builds without this
    # field return all entries.
    has_more: bool = False


class PeerClient(typing.Protocol):
    """Read batches from the instance that runs them."""

    async def fetch(
        self,
        batch_id: str,
        route: str,
        after: str,
        wait: float,
        wants_items: bool,
        item_id: str = "",
    ) -> PeerResponse | None:
        """Return the owner's response, None if no peer is authoritative.

        The route is empty while it is unknown. The body of the item comes
        alone if all bodies together are long.
        """
