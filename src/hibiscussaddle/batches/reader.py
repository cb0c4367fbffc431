"""Read batches and their results at any instance."""

import collections
from collections import abc
import functools
import logging
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import body_reads
from hibiscussaddle.batches import cached_batch as cached_lib
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
# Bytes accounted for a read under way: a page of results from a peer or the
# store, with its decoded form.
_READ_BYTES: typing.Final = 4 * cached_lib.MAX_PEER_PAGE_BYTES
# A remaining wait below this isn't worth another call.
_MIN_WATCH_SECONDS: typing.Final = 0.05


class BatchReader:
    """Serve reads from a cache that peers and the store keep current.

    The instance that runs a batch knows every logged result, so others read
    from it before the store, whose calls are counted.
    """

    def __init__(
        self,
        batch_storage: storage.BatchStorage,
        peers: cached_lib.PeerClient | None = None,
        account: memory.Account | None = None,
    ) -> None:
        """Start with an empty cache; None bounds no memory of reads."""
        self._storage = batch_storage
        self._peers = peers
        self._account = account or memory.Account()
        self._reads = shared_reads.SharedReads()
        self._bodies = body_reads.BodyReads(
            batch_storage, self._account, self._fetch_item
        )
        self._cache: collections.OrderedDict[str, cached_lib.CachedBatch]
        self._cache = collections.OrderedDict()

    async def results(
        self,
        batch_id: str,
        position: int,
        wait: float,
        max_bytes: int,
        workspace: str | None = None,
    ) -> result.Result[cached_lib.Page, store.StoreError]:
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
        return result.Ok(cached_lib.Page(cached.head.total, page))

    async def item_body(
        self, batch_id: str, item_id: str, workspace: str | None = None
    ) -> result.Result[bytes, store.StoreError]:
        """Return the body of one item, MISSING if there is none."""
        lookup = await self._usable_batch(batch_id, workspace)
        if isinstance(lookup, result.Err):
            return lookup
        cached = lookup.ok_value
        if cached.items:
            return body_reads.find(cached.items, item_id)
        body = await self._bodies.read(batch_id, cached, item_id)
        # All bodies may be cached now.
        self._record_use(batch_id, cached)
        return body

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
    ) -> cached_lib.PeerResponse | None:
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
        entries, has_more = cached.entries_after(
            after, cached_lib.MAX_PEER_PAGE_BYTES
        )
        return cached_lib.PeerResponse(
            cached.head,
            entries,
            cached.is_complete and not has_more,
            body_reads.peer_bodies(cached, item_id) if wants_items else {},
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
        cached = self._cache.setdefault(batch.id, cached_lib.CachedBatch(head))
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
            cached.is_authoritative = cached_lib.never
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
    ) -> result.Result[cached_lib.CachedBatch, store.StoreError]:
        """Return a batch, MISSING if it belongs to another workspace."""
        lookup = await self._cached_batch(batch_id)
        if isinstance(lookup, result.Ok) and not model.may_use(
            workspace, lookup.ok_value.head
        ):
            return result.Err(store.StoreError(store.StoreFailure.MISSING))
        return lookup

    async def _cached_batch(
        self, batch_id: str
    ) -> result.Result[cached_lib.CachedBatch, store.StoreError]:
        cached = self._cache.get(batch_id)
        if cached is None and self._peers is not None:
            response = await self._reads.read(
                (batch_id, "head"),
                functools.partial(
                    self._peers.fetch, batch_id, "", "", 0.0, False
                ),
            )
            if response is not None:
                cached = cached_lib.CachedBatch(response.head)
                cached.add_response(response)
        if cached is None:
            head = await self._storage.head(batch_id)
            if isinstance(head, result.Err):
                return head
            cached = cached_lib.CachedBatch(head.ok_value)
        cached = self._cache.setdefault(batch_id, cached)
        self._record_use(batch_id, cached)
        return result.Ok(cached)

    def _record_use(
        self, batch_id: str, cached: cached_lib.CachedBatch
    ) -> None:
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
            if cached.is_authoritative is not cached_lib.never:
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
        cached: cached_lib.CachedBatch,
        wait: float,
        item_id: str = "",
    ) -> cached_lib.PeerResponse | None:
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
        cached.add_response(response)
        self._record_use(batch_id, cached)
        if response.has_more and cached.last_key == after:
            # The same request would follow without end.
            cached.has_more = False
            return None
        return response

    async def _fetch_item(
        self, batch_id: str, cached: cached_lib.CachedBatch, item_id: str
    ) -> cached_lib.PeerResponse | None:
        return await self._fetch_from_peer(batch_id, cached, 0.0, item_id)

    async def _refresh(
        self,
        batch_id: str,
        cached: cached_lib.CachedBatch,
        position: int,
        wait: float,
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
        self, batch_id: str, cached: cached_lib.CachedBatch, wait: float
    ) -> store.StoreError | None:
        """Add new entries from a peer or the store, together with others.

        Reads that wait share none with those that don't, which would be late.
        """
        return await self._reads.read(
            (batch_id, cached.last_key, wait > 0),
            functools.partial(self._read_entries, batch_id, cached, wait),
        )

    async def _read_entries(
        self, batch_id: str, cached: cached_lib.CachedBatch, wait: float
    ) -> store.StoreError | None:
        hold = self._account.open(body_reads.HOLDER)
        try:
            if not hold.resize(_READ_BYTES):
                return body_reads.NO_ROOM.err_value
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
        self, batch_id: str, cached: cached_lib.CachedBatch, wait: float
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
        self, batch_id: str, cached: cached_lib.CachedBatch
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
