"""Read batches and their results at any instance."""

import collections
from collections import abc
import dataclasses
import logging
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import storage
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Batches whose listed results an instance keeps; each holds about half a
# megabyte of text. Those that it runs are kept besides.
_MAX_CACHED: typing.Final = 12
_MAX_OWNED: typing.Final = 24
# Shortest wait that is worth a watch, in seconds.
_SHORTEST_WATCH: typing.Final = 0.05


def _never() -> bool:
    return False


@dataclasses.dataclass
class Cached:
    """Hold what is known of a batch; listed results never change."""

    head: model.Head
    results: list[model.Result] = dataclasses.field(default_factory=list)
    # Keys of the log entries, with the position after each.
    keys: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    # Revision of the store up to which the results are known.
    revision: int | None = None
    items: dict[str, bytes] = dataclasses.field(default_factory=dict)
    # Whether this instance surely lists the batch's results now.
    is_owned: abc.Callable[[], bool] = _never
    # The batch was ended, so that nothing is listed any more.
    is_ended: bool = False
    # Nothing was listed when its end was known: the results are all.
    is_final: bool = False
    # Set, and replaced, when results are added.
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    @property
    def last_key(self) -> str:
        """Return the key of the newest known log entry."""
        return self.keys[-1][0] if self.keys else ""

    @property
    def is_whole(self) -> bool:
        """Tell whether no more results can come."""
        return self.is_final or len(self.results) >= self.head.total

    def add(self, entries: abc.Iterable[storage.LogEntry]) -> None:
        """Append log entries that are not known yet."""
        before = len(self.results)
        for entry in entries:
            if entry.key > self.last_key:
                self.results.extend(entry.results)
                self.keys.append((entry.key, len(self.results)))
        if len(self.results) > before:
            changed, self.changed = self.changed, anyio.Event()
            changed.set()

    def after(self, key: str) -> tuple[storage.LogEntry, ...]:
        """Return the known log entries after a key."""
        start = 0
        found = []
        for entry_key, end in self.keys:
            if entry_key > key:
                results = tuple(self.results[start:end])
                found.append(storage.LogEntry(entry_key, results))
            start = end
        return tuple(found)


@dataclasses.dataclass(frozen=True)
class Page:
    """Hold results from one position on."""

    total: int
    results: tuple[model.Result, ...]


@dataclasses.dataclass(frozen=True)
class PeerAnswer:
    """Hold what the instance that runs a batch says of it."""

    head: model.Head
    # Log entries that the asker does not know.
    entries: tuple[storage.LogEntry, ...]
    # Whether no more results can come.
    is_final: bool
    # Bodies by item, only where the asker wants them.
    items: dict[str, bytes]


class Peers(typing.Protocol):
    """Ask the instance that runs a batch."""

    async def ask(
        self,
        batch_id: str,
        route: str,
        after: str,
        wait: float,
        wants_items: bool,
    ) -> PeerAnswer | None:
        """Return what it says; None when nobody surely knows.

        The route is empty while it is unknown.
        """


class BatchReader:
    """Answer reads from the cache where that is certain.

    The instance that runs a batch knows every listed result, so others ask
    it before the store, whose calls are counted.
    """

    def __init__(
        self, batches: storage.BatchStorage, peers: Peers | None = None
    ) -> None:
        """Start with an empty cache."""
        self._storage = batches
        self._peers = peers
        self._cache: collections.OrderedDict[str, Cached]
        self._cache = collections.OrderedDict()

    async def results(
        self, batch_id: str, position: int, wait: float, max_bytes: int
    ) -> result.Result[Page, store.StoreError]:
        """Return results from a position on, waiting for the first one."""
        found = await self._find(batch_id)
        if isinstance(found, result.Err):
            return found
        cached = found.ok_value
        if position >= len(cached.results) and not cached.is_whole:
            error = await self._refresh(batch_id, cached, position, wait)
            if error is not None:
                return result.Err(error)
        page = _cut(cached.results[position:], max_bytes)
        return result.Ok(Page(cached.head.total, page))

    async def item_body(
        self, batch_id: str, item_id: str
    ) -> result.Result[bytes, store.StoreError]:
        """Return the body of one item; MISSING when there is none."""
        found = await self._find(batch_id)
        if isinstance(found, result.Err):
            return found
        cached = found.ok_value
        if not cached.items:
            await self._ask(batch_id, cached, 0.0, wants_items=True)
        if not cached.items:
            batch = await self._storage.batch(batch_id)
            if isinstance(batch, result.Err):
                return batch
            items = batch.ok_value.items
            cached.items = {item.id: item.body for item in items}
        if item_id not in cached.items:
            missing = store.StoreError(store.StoreFailure.MISSING)
            return result.Err(missing)
        return result.Ok(cached.items[item_id])

    async def head(
        self, batch_id: str
    ) -> result.Result[model.Head, store.StoreError]:
        """Return the head of a batch, MISSING when it does not exist."""
        return (await self._find(batch_id)).map(lambda cached: cached.head)

    async def answer_peer(
        self, batch_id: str, after: str, wait: float, wants_items: bool
    ) -> PeerAnswer | None:
        """Return what this instance surely knows of a batch, else None."""
        cached = self._cache.get(batch_id)
        if cached is None:
            return None
        if cached.last_key <= after and cached.is_owned():
            with anyio.move_on_after(wait):
                await cached.changed.wait()
        if cached.is_ended and not cached.is_whole:
            await self._read_last(batch_id, cached)
        if not (cached.is_whole or cached.is_owned()):
            return None
        return PeerAnswer(
            cached.head,
            cached.after(after),
            cached.is_whole,
            cached.items if wants_items else {},
        )

    def note_owned(
        self,
        batch: model.Batch,
        entries: abc.Iterable[storage.LogEntry],
        is_owned: abc.Callable[[], bool],
    ) -> None:
        """Take a batch that this instance runs, with what is listed."""
        head = model.create_head(batch)
        cached = self._cache.setdefault(batch.id, Cached(head))
        cached.items = {item.id: item.body for item in batch.items}
        cached.is_owned = is_owned
        cached.add(entries)
        self._trim(batch.id)

    def note_listed(self, batch_id: str, entry: storage.LogEntry) -> None:
        """Take an entry that this instance has listed."""
        cached = self._cache.get(batch_id)
        if cached is not None:
            cached.add([entry])

    def note_released(
        self, batch_id: str, is_owned: abc.Callable[[], bool]
    ) -> None:
        """Note that who answered is_owned lists no more results."""
        cached = self._cache.get(batch_id)
        if cached is not None and cached.is_owned == is_owned:
            cached.is_owned = _never
            changed, cached.changed = cached.changed, anyio.Event()
            changed.set()

    def note_ended(self, batch_id: str) -> None:
        """Note an end that the store has acknowledged."""
        cached = self._cache.get(batch_id)
        if cached is not None:
            cached.is_ended = True

    async def _find(
        self, batch_id: str
    ) -> result.Result[Cached, store.StoreError]:
        cached = self._cache.get(batch_id)
        if cached is None and self._peers is not None:
            answer = await self._peers.ask(batch_id, "", "", 0.0, False)
            if answer is not None:
                cached = Cached(answer.head)
                cached.add(answer.entries)
                cached.is_final = answer.is_final
        if cached is None:
            head = await self._storage.head(batch_id)
            if isinstance(head, result.Err):
                return head
            cached = Cached(head.ok_value)
        cached = self._cache.setdefault(batch_id, cached)
        self._trim(batch_id)
        return result.Ok(cached)

    def _trim(self, newest: str) -> None:
        """Forget the batches that were not asked for longest."""
        self._cache.move_to_end(newest)
        kept = collections.Counter[bool]()
        for batch_id, cached in reversed(list(self._cache.items())):
            is_run = cached.is_owned is not _never
            kept[is_run] += 1
            if kept[is_run] > (_MAX_OWNED if is_run else _MAX_CACHED):
                del self._cache[batch_id]
                logs.event(
                    _LOG, "batch_uncached", logging.DEBUG, batch=batch_id
                )

    async def _ask(
        self, batch_id: str, cached: Cached, wait: float, wants_items: bool
    ) -> bool:
        """Take what a peer knows; tell whether one surely does."""
        if self._peers is None:
            return False
        answer = await self._peers.ask(
            batch_id, cached.head.route, cached.last_key, wait, wants_items
        )
        if answer is None:
            return False
        cached.add(answer.entries)
        cached.is_final = cached.is_final or answer.is_final
        cached.items = cached.items or answer.items
        return True

    async def _refresh(
        self, batch_id: str, cached: Cached, position: int, wait: float
    ) -> store.StoreError | None:
        until = time.monotonic() + wait
        while True:
            left = max(0.0, until - time.monotonic())
            if cached.is_owned():
                with anyio.move_on_after(left):
                    await cached.changed.wait()
                is_known = cached.is_owned() or cached.is_whole
            else:
                is_known = await self._ask(batch_id, cached, left, False)
            if not is_known:
                error = await self._read_store(batch_id, cached, left)
                if error is not None:
                    return error
            left = until - time.monotonic()
            if len(cached.results) > position or left < _SHORTEST_WATCH:
                return None
            if cached.is_whole:
                return None

    async def _read_store(
        self, batch_id: str, cached: Cached, wait: float
    ) -> store.StoreError | None:
        """Take what the store lists, waiting for something new."""
        if cached.is_ended:
            return await self._read_last(batch_id, cached)
        if cached.revision is None:
            answer = await self._storage.log_after(batch_id, cached.last_key)
        else:
            # Returns at once if anything was listed since.
            answer = await self._storage.watch_log(
                batch_id, cached.revision, wait
            )
        if isinstance(answer, result.Err):
            if answer.err_value.failure is store.StoreFailure.HISTORY_GONE:
                cached.revision = None
                # Lists all entries, which needs no history.
                return await self._read_store(batch_id, cached, wait)
            return answer.err_value
        entries, revision = answer.ok_value
        if entries or cached.revision is None:
            # An answer without entries may come from a watch that missed
            # some; the next one starts where the last entries were.
            cached.revision = max(cached.revision or 0, revision)
        cached.add(entries)
        return None

    async def _read_last(
        self, batch_id: str, cached: Cached
    ) -> store.StoreError | None:
        """Read the rest of a batch that was ended before this call.

        Its owner record is gone, so that no append succeeds after the end.
        """
        answer = await self._storage.log_after(batch_id, cached.last_key)
        if isinstance(answer, result.Err):
            return answer.err_value
        cached.add(answer.ok_value[0])
        cached.is_final = True
        return None


def _cut(
    results: list[model.Result], max_bytes: int
) -> tuple[model.Result, ...]:
    """Return the first results within a size, one at least."""
    size = 0
    for number, found in enumerate(results):
        size += len(found.text.encode())
        if number and size > max_bytes:
            return tuple(results[:number])
    return tuple(results)
