"""Read batches and their results at any instance."""

import collections
from collections import abc
import contextlib
import dataclasses
import functools
import logging
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import shared_reads
from hibiscussaddle.batches import storage
from hibiscussaddle.callers import memory
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Limits of the cache. Batches that this instance runs don't count against
# those it only reads.
_MAX_CACHED_BATCHES: typing.Final = 12
_MAX_OWNED_BATCHES: typing.Final = 24
# Limit of the texts and bodies of the batches that are only read. Holds two
# steps of the target size, 1,024 texts of 8 kB each; twelve such steps would
# take nearly all of an instance's 128 MB.
_MAX_CACHED_BYTES: typing.Final = 20 * 1024 * 1024
# Limit of the encoded results in one response to a peer. Whole logs have 0.6
# to 0.9 MB; a few at once on the owner's 7.5 MB/s link exceeded the peers'
# timeout of 0.3 s, and the bytes already sent were lost. 17 responses of this
# size fit into that time.
MAX_PEER_PAGE_BYTES: typing.Final = 128 * 1024
# Bodies of a batch that are cached and sent to peers together. Others are read
# one by one: 24 calls for bodies of a batch of 20 MB, which each read all of
# it, exceeded 300 MB.
MAX_BODIES_TOGETHER_BYTES: typing.Final = 1 << 20
# A longer body is read from the store, as peers' responses are bounded.
MAX_PEER_BODY_BYTES: typing.Final = 4 << 20
# Bytes accounted for a read under way: a page of results from a peer or the
# store, or a page of a stored batch, with their decoded forms.
_READ_BYTES: typing.Final = 4 * MAX_PEER_PAGE_BYTES
_SCAN_BYTES: typing.Final = 4 << 20
_HOLDER: typing.Final = "batch_reads"
# A remaining wait below this isn't worth another call.
_MIN_WATCH_SECONDS: typing.Final = 0.05


_BodyResult: typing.TypeAlias = result.Result[bytes, store.StoreError]
_MISSING: typing.Final = result.Err(
    store.StoreError(store.StoreFailure.MISSING)
)
_NO_ROOM: typing.Final = result.Err(
    store.StoreError(store.StoreFailure.NO_ROOM)
)


def _never() -> bool:
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
    # Memory that the texts of the results and the bodies hold. Kept up to
    # date by add() and set_items(), since each read compares it to a limit.
    held_bytes: int = 0
    # Returns whether this instance owns the batch and knows all results now.
    is_authoritative: abc.Callable[[], bool] = _never
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
        self.held_bytes -= model.held_bytes(self.items.values())
        self.held_bytes += model.held_bytes(items.values())
        self.items = items

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


class _BodyScan:
    """Collect the bodies that are wanted, and all of them while short."""

    def __init__(self, wanted: set[str], hold: memory.Hold) -> None:
        """Account what is found."""
        self.found: dict[str, _BodyResult] = {}
        self.all_bodies: dict[str, bytes] | None = {}
        self._all_bytes = 0
        self._wanted = wanted
        self._hold = hold

    @property
    def is_done(self) -> bool:
        """Return whether the rest of the batch isn't needed."""
        return self.all_bodies is None and not self._wanted

    def add(self, items: abc.Iterable[model.Item]) -> None:
        """Take the items of one record."""
        for item in items:
            if item.id in self._wanted:
                self._wanted.remove(item.id)
                self.found[item.id] = _account_body(item.body, self._hold)
            if self.all_bodies is not None:
                self.all_bodies[item.id] = item.body
                self._all_bytes += model.held_bytes([item.body])
                if self._all_bytes > MAX_BODIES_TOGETHER_BYTES:
                    self.all_bodies = None


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


class BatchReader:
    """Serve reads from a cache that peers and the store keep current.

    The instance that runs a batch knows every logged result, so others read
    from it before the store, whose calls are counted.
    """

    def __init__(
        self,
        batch_storage: storage.BatchStorage,
        peers: PeerClient | None = None,
        account: memory.Account | None = None,
    ) -> None:
        """Start with an empty cache; None bounds no memory of reads."""
        self._storage = batch_storage
        self._peers = peers
        self._account = account or memory.Account()
        self._reads = shared_reads.SharedReads()
        self._bodies: shared_reads.SharedParts[_BodyResult]
        self._bodies = shared_reads.SharedParts()
        self._cache: collections.OrderedDict[str, CachedBatch]
        self._cache = collections.OrderedDict()

    async def results(
        self,
        batch_id: str,
        position: int,
        wait: float,
        max_bytes: int,
        workspace: str | None = None,
    ) -> result.Result[Page, store.StoreError]:
        """Return the results from a position on, waiting for the first.

        Other workspaces' batches are MISSING; with None there are none.
        """
        lookup = await self._usable_batch(batch_id, workspace)
        if isinstance(lookup, result.Err):
            return lookup
        cached = lookup.ok_value
        is_missing = position >= len(cached.results) or cached.has_more
        if is_missing and not cached.is_complete:
            error = await self._refresh(batch_id, cached, position, wait)
            if error is not None and position >= len(cached.results):
                return result.Err(error)
        page = _first_results(cached.results[position:], max_bytes)
        return result.Ok(Page(cached.head.total, page))

    async def item_body(
        self, batch_id: str, item_id: str, workspace: str | None = None
    ) -> result.Result[bytes, store.StoreError]:
        """Return the body of one item, MISSING if there is none."""
        lookup = await self._usable_batch(batch_id, workspace)
        if isinstance(lookup, result.Err):
            return lookup
        cached = lookup.ok_value
        if cached.items:
            return _body(cached.items, item_id)

        async def read_wanted(
            wanted: abc.Collection[str],
        ) -> dict[str, _BodyResult]:
            return await self._read_bodies(batch_id, cached, wanted)

        return await self._bodies.read(batch_id, item_id, read_wanted)

    async def _read_bodies(
        self, batch_id: str, cached: CachedBatch, wanted: abc.Collection[str]
    ) -> dict[str, _BodyResult]:
        """Return some bodies from a peer, or else from the store."""
        hold = self._account.open(_HOLDER)
        try:
            found = await self._ask_for_bodies(batch_id, cached, wanted, hold)
            missing = [name for name in wanted if name not in found]
            if missing:
                found.update(
                    await self._scan_bodies(batch_id, cached, missing, hold)
                )
            return found
        finally:
            # From here on the responses to the callers count.
            hold.close()

    async def _ask_for_bodies(
        self,
        batch_id: str,
        cached: CachedBatch,
        wanted: abc.Collection[str],
        hold: memory.Hold,
    ) -> dict[str, _BodyResult]:
        """Return the bodies that a peer has."""
        found: dict[str, _BodyResult] = {}
        for item_id in wanted:
            response = None
            if not cached.items:
                response = await self._fetch_from_peer(
                    batch_id, cached, 0.0, item_id
                )
            if cached.items:
                return {name: _body(cached.items, name) for name in wanted}
            if response is None or item_id not in response.items:
                break
            found[item_id] = _account_body(response.items[item_id], hold)
        return found

    async def _scan_bodies(
        self,
        batch_id: str,
        cached: CachedBatch,
        wanted: abc.Collection[str],
        hold: memory.Hold,
    ) -> dict[str, _BodyResult]:
        """Return some bodies from the store, and cache all if they are short.

        Holds a page of the store at a time.
        """
        if not hold.resize(hold.size + _SCAN_BYTES):
            return dict.fromkeys(wanted, _NO_ROOM)
        scan = _BodyScan(set(wanted), hold)
        async with contextlib.aclosing(
            self._storage.records(batch_id)
        ) as records:
            async for record in records:
                if isinstance(record, result.Err):
                    return {
                        name: scan.found.get(name, record) for name in wanted
                    }
                scan.add(record.ok_value.items)
                if scan.is_done:
                    break
            else:
                if scan.all_bodies:
                    cached.set_items(scan.all_bodies)
                    self._record_use(batch_id, cached)
        return {name: scan.found.get(name, _MISSING) for name in wanted}

    async def head(
        self, batch_id: str, workspace: str | None = None
    ) -> result.Result[model.Head, store.StoreError]:
        """Return the head of a batch, MISSING if there is none."""
        return (await self._usable_batch(batch_id, workspace)).map(
            lambda cached: cached.head
        )

    async def peer_response(
        self,
        batch_id: str,
        after: str,
        wait: float,
        wants_items: bool,
        item_id: str = "",
    ) -> PeerResponse | None:
        """Return the state of a batch if it is current here, else None."""
        cached = self._cache.get(batch_id)
        if cached is None:
            return None
        self._record_use(batch_id, cached)
        if cached.last_key <= after and cached.is_authoritative():
            with anyio.move_on_after(wait):
                await cached.changed.wait()
        if cached.is_ended and not cached.is_complete:
            await self._read_remaining(batch_id, cached)
        if not (cached.is_complete or cached.is_authoritative()):
            return None
        entries, has_more = cached.entries_after(after, MAX_PEER_PAGE_BYTES)
        return PeerResponse(
            cached.head,
            entries,
            cached.is_complete and not has_more,
            _peer_bodies(cached.items, item_id) if wants_items else {},
            has_more,
        )

    def cached_bytes(self) -> int:
        """Return the memory that cached results and item bodies hold."""
        return sum(cached.held_bytes for cached in self._cache.values())

    def record_owned_batch(
        self,
        batch: model.Batch,
        entries: abc.Iterable[storage.LogEntry],
        is_authoritative: abc.Callable[[], bool],
    ) -> None:
        """Cache a batch that this instance runs, with its logged results."""
        head = model.create_head(batch)
        cached = self._cache.setdefault(batch.id, CachedBatch(head))
        cached.set_items({item.id: item.body for item in batch.items})
        cached.is_authoritative = is_authoritative
        cached.add(entries)
        self._record_use(batch.id, cached)

    def record_entry(self, batch_id: str, entry: storage.LogEntry) -> None:
        """Cache an entry that this instance has logged."""
        cached = self._cache.get(batch_id)
        if cached is not None:
            cached.add([entry])

    def record_owner_stopped(
        self, batch_id: str, is_authoritative: abc.Callable[[], bool]
    ) -> None:
        """Record that this instance no longer runs a batch.

        Ignored if another run of the batch has replaced the callback.
        """
        cached = self._cache.get(batch_id)
        if cached is not None and cached.is_authoritative == is_authoritative:
            cached.is_authoritative = _never
            changed, cached.changed = cached.changed, anyio.Event()
            changed.set()
            # Peers read the last results here, so older batches go first.
            self._record_use(batch_id, cached)

    def record_end(self, batch_id: str) -> None:
        """Record that the store has acknowledged the end of a batch."""
        cached = self._cache.get(batch_id)
        if cached is not None:
            cached.is_ended = True

    async def _usable_batch(
        self, batch_id: str, workspace: str | None
    ) -> result.Result[CachedBatch, store.StoreError]:
        """Return a batch, MISSING if it belongs to another workspace."""
        lookup = await self._cached_batch(batch_id)
        if isinstance(lookup, result.Ok) and not model.may_use(
            workspace, lookup.ok_value.head
        ):
            return result.Err(store.StoreError(store.StoreFailure.MISSING))
        return lookup

    async def _cached_batch(
        self, batch_id: str
    ) -> result.Result[CachedBatch, store.StoreError]:
        cached = self._cache.get(batch_id)
        if cached is None and self._peers is not None:
            response = await self._reads.read(
                (batch_id, "head"),
                functools.partial(
                    self._peers.fetch, batch_id, "", "", 0.0, False
                ),
            )
            if response is not None:
                cached = CachedBatch(response.head)
                _add_response(cached, response)
        if cached is None:
            head = await self._storage.head(batch_id)
            if isinstance(head, result.Err):
                return head
            cached = CachedBatch(head.ok_value)
        cached = self._cache.setdefault(batch_id, cached)
        self._record_use(batch_id, cached)
        return result.Ok(cached)

    def _record_use(self, batch_id: str, cached: CachedBatch) -> None:
        """Make a batch the most recently used one and evict others.

        Called after each growth of a batch that isn't run here. A read keeps
        its batch when another read evicts it meanwhile; it isn't cached again
        then, since a newer copy may have taken its place.
        """
        if self._cache.get(batch_id) is cached:
            self._cache.move_to_end(batch_id)
            self._evict()

    def _evict(self) -> None:
        """Evict the least recently used batches.

        The newest batch that isn't run here stays whatever its size, or each
        read of a large one would request all of it again.
        """
        owned_count = read_count = read_bytes = 0
        for batch_id, cached in reversed(list(self._cache.items())):
            if cached.is_authoritative is not _never:
                owned_count += 1
                is_evicted = owned_count > _MAX_OWNED_BATCHES
            else:
                read_count += 1
                read_bytes += cached.held_bytes
                is_evicted = read_count > _MAX_CACHED_BATCHES or (
                    read_count > 1 and read_bytes > _MAX_CACHED_BYTES
                )
            if is_evicted:
                del self._cache[batch_id]
                logs.event(
                    _LOG, "batch_uncached", logging.DEBUG, batch=batch_id
                )

    async def _fetch_from_peer(
        self,
        batch_id: str,
        cached: CachedBatch,
        wait: float,
        item_id: str = "",
    ) -> PeerResponse | None:
        """Add the log entries of a peer; return its response if it has one.

        With an item the peer is asked for bodies, too.
        """
        if self._peers is None:
            return None
        after = cached.last_key
        wanted = (True, item_id) if item_id else (False,)
        response = await self._peers.fetch(
            batch_id, cached.head.route, after, wait, *wanted
        )
        if response is None:
            return None
        _add_response(cached, response)
        self._record_use(batch_id, cached)
        if response.has_more and cached.last_key == after:
            # The same request would follow without end.
            cached.has_more = False
            return None
        return response

    async def _refresh(
        self, batch_id: str, cached: CachedBatch, position: int, wait: float
    ) -> store.StoreError | None:
        """Read all that a peer knows, waiting for results after a position."""
        # max() also replaces "not a number", which no time ever reaches.
        deadline = time.monotonic() + max(0.0, wait)
        while True:
            remaining = max(0.0, deadline - time.monotonic())
            if cached.is_authoritative():
                with anyio.move_on_after(remaining):
                    await cached.changed.wait()
                is_current = cached.is_authoritative() or cached.is_complete
            else:
                is_current = False
            if not is_current:
                error = await self._read_elsewhere(batch_id, cached, remaining)
                if error is not None:
                    return error
            if cached.is_complete:
                return None
            if cached.has_more:
                continue
            remaining = deadline - time.monotonic()
            if (
                len(cached.results) > position
                or remaining < _MIN_WATCH_SECONDS
            ):
                return None

    async def _read_elsewhere(
        self, batch_id: str, cached: CachedBatch, wait: float
    ) -> store.StoreError | None:
        """Add new entries from a peer or the store, together with others.

        Reads that wait share none with those that don't, which would be late.
        """
        return await self._reads.read(
            (batch_id, cached.last_key, wait > 0),
            functools.partial(self._read_entries, batch_id, cached, wait),
        )

    async def _read_entries(
        self, batch_id: str, cached: CachedBatch, wait: float
    ) -> store.StoreError | None:
        hold = self._account.open(_HOLDER)
        try:
            if not hold.resize(_READ_BYTES):
                return _NO_ROOM.err_value
            # A peer that knows more entries responds at once, so the wait
            # would only extend the timeout.
            response = await self._fetch_from_peer(
                batch_id, cached, 0.0 if cached.has_more else wait
            )
            if response is not None:
                return None
            error = await self._read_log(batch_id, cached, wait)
            if error is None:
                cached.has_more = False
            return error
        finally:
            hold.close()

    async def _read_log(
        self, batch_id: str, cached: CachedBatch, wait: float
    ) -> store.StoreError | None:
        """Add new log entries from the store, waiting for the first."""
        if cached.is_ended:
            return await self._read_remaining(batch_id, cached)
        if cached.revision is None:
            response = await self._storage.log_entries_after(
                batch_id, cached.last_key
            )
        else:
            # Returns at once if anything was logged since.
            response = await self._storage.watch_log(
                batch_id, cached.revision, wait
            )
        if isinstance(response, result.Err):
            if response.err_value.failure is store.StoreFailure.HISTORY_GONE:
                cached.revision = None
                # The retry reads all entries, which needs no history.
                return await self._read_log(batch_id, cached, wait)
            return response.err_value
        entries, revision = response.ok_value
        if entries or cached.revision is None:
            # An empty response may come from a watch that missed entries, so
            # it doesn't advance the revision from which the next one starts.
            cached.revision = max(cached.revision or 0, revision)
        cached.add(entries)
        self._record_use(batch_id, cached)
        return None

    async def _read_remaining(
        self, batch_id: str, cached: CachedBatch
    ) -> store.StoreError | None:
        """Read the remaining results of a batch that has ended.

        Its owner record is gone, so no append succeeds after the end.
        """
        response = await self._storage.log_entries_after(
            batch_id, cached.last_key
        )
        if isinstance(response, result.Err):
            return response.err_value
        cached.add(response.ok_value[0])
        cached.is_final = True
        self._record_use(batch_id, cached)
        return None


def _add_response(cached: CachedBatch, response: PeerResponse) -> None:
    """Add the state that a peer returned."""
    cached.add(response.entries)
    cached.has_more = response.has_more
    if response.is_final and not response.has_more:
        cached.is_final = True
    if not cached.items and len(response.items) >= response.head.total:
        cached.set_items(response.items)


def _account_body(body: bytes, hold: memory.Hold) -> _BodyResult:
    """Return a body that was read, or that there is no room for it."""
    if hold.resize(hold.size + len(body)):
        return result.Ok(body)
    return _NO_ROOM


def _body(items: abc.Mapping[str, bytes], item_id: str) -> _BodyResult:
    return result.Ok(items[item_id]) if item_id in items else _MISSING


def _peer_bodies(items: dict[str, bytes], item_id: str) -> dict[str, bytes]:
    """Return the bodies to send to a peer that wants that of an item."""
    if model.held_bytes(items.values()) <= MAX_BODIES_TOGETHER_BYTES:
        return items
    body = items.get(item_id)
    if body is None or len(body) > MAX_PEER_BODY_BYTES:
        return {}
    return {item_id: body}


def _first_results(
    results: list[model.Result], max_bytes: int
) -> tuple[model.Result, ...]:
    """Return the first results within a size, but at least one if any."""
    size = 0
    for number, item_result in enumerate(results):
        size += len(item_result.text.encode())
        if number and size > max_bytes:
            return tuple(results[:number])
    return tuple(results)
