"""Read the bodies of items at an instance that doesn't run their batch."""

from collections import abc
import contextlib
import typing

import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import cached_batch as cached_lib
from hibiscussaddle.batches import model
from hibiscussaddle.batches import shared_reads
from hibiscussaddle.batches import storage
from hibiscussaddle.callers import memory

# Bodies of a batch that are cached and sent to peers together. Others are read
# one by one: 24 calls for bodies of a batch of 20 MB, which each read all of
# it, exceeded 300 MB.
MAX_BODIES_TOGETHER_BYTES: typing.Final = 1 << 20
# A longer body is read from the store, as peers' responses are bounded.
MAX_PEER_BODY_BYTES: typing.Final = 4 << 20
# Bytes accounted for a page of a stored batch, with its decoded form.
_SCAN_BYTES: typing.Final = 4 << 20
# Holder of the reads of batches in the account.
HOLDER: typing.Final = "batch_reads"

BodyResult: typing.TypeAlias = result.Result[bytes, store.StoreError]
_MISSING: typing.Final = result.Err(
    store.StoreError(store.StoreFailure.MISSING)
)
NO_ROOM: typing.Final = result.Err(
    store.StoreError(store.StoreFailure.NO_ROOM)
)


class FetchItem(typing.Protocol):
    """Ask a peer for the body of an item."""

    async def __call__(
        self, batch_id: str, cached: cached_lib.CachedBatch, item_id: str
    ) -> cached_lib.PeerResponse | None:
        """Return its response; all bodies, if it has them, become cached."""


class _BodyScan:
    """Collect the bodies that are wanted, and all of them while short."""

    def __init__(self, wanted: set[str], hold: memory.Hold) -> None:
        """Account what is found."""
        self.found: dict[str, BodyResult] = {}
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


class BodyReads:
    """Read bodies from a peer or the store, calls for one batch together."""

    def __init__(
        self,
        batch_storage: storage.BatchStorage,
        account: memory.Account,
        fetch_item: FetchItem,
    ) -> None:
        """Draw what is read from the account of the instance."""
        self._storage = batch_storage
        self._account = account
        self._fetch_item = fetch_item
        self._parts: shared_reads.SharedParts[BodyResult]
        self._parts = shared_reads.SharedParts()

    async def read(
        self, batch_id: str, cached: cached_lib.CachedBatch, item_id: str
    ) -> BodyResult:
        """Return the body of an item, MISSING if there is none."""

        async def read_wanted(
            wanted: abc.Collection[str],
        ) -> dict[str, BodyResult]:
            return await self._read_bodies(batch_id, cached, wanted)

        return await self._parts.read(batch_id, item_id, read_wanted)

    async def _read_bodies(
        self,
        batch_id: str,
        cached: cached_lib.CachedBatch,
        wanted: abc.Collection[str],
    ) -> dict[str, BodyResult]:
        """Return some bodies from a peer, or else from the store."""
        hold = self._account.open(HOLDER)
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
        cached: cached_lib.CachedBatch,
        wanted: abc.Collection[str],
        hold: memory.Hold,
    ) -> dict[str, BodyResult]:
        """Return the bodies that a peer has."""
        found: dict[str, BodyResult] = {}
        for item_id in wanted:
            response = None
            if not cached.items:
                response = await self._fetch_item(batch_id, cached, item_id)
            if cached.items:
                return {name: find(cached.items, name) for name in wanted}
            if response is None or item_id not in response.items:
                break
            found[item_id] = _account_body(response.items[item_id], hold)
        return found

    async def _scan_bodies(
        self,
        batch_id: str,
        cached: cached_lib.CachedBatch,
        wanted: abc.Collection[str],
        hold: memory.Hold,
    ) -> dict[str, BodyResult]:
        """Return some bodies from the store, and cache all if they are short.

        Holds a page of the store at a time.
        """
        if not hold.resize(hold.size + _SCAN_BYTES):
            return dict.fromkeys(wanted, NO_ROOM)
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
        return {name: scan.found.get(name, _MISSING) for name in wanted}


def _account_body(body: bytes, hold: memory.Hold) -> BodyResult:
    """Return a body that was read, or that there is no room for it."""
    if hold.resize(hold.size + len(body)):
        return result.Ok(body)
    return NO_ROOM


def find(items: abc.Mapping[str, bytes], item_id: str) -> BodyResult:
    """Return a body among all of a batch, MISSING if there is none."""
    return result.Ok(items[item_id]) if item_id in items else _MISSING


def peer_bodies(
    cached: cached_lib.CachedBatch, item_id: str
) -> dict[str, bytes]:
    """Return the bodies to send to a peer that wants that of an item."""
    if cached.body_bytes <= MAX_BODIES_TOGETHER_BYTES:
        return cached.items
    body = cached.items.get(item_id)
    if body is None or len(body) > MAX_PEER_BODY_BYTES:
        return {}
    return {item_id: body}
