"""Read batches and their results at any instance."""

import collections
import dataclasses
import logging
import time
import typing

import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import storage
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Batches whose listed results an instance keeps; each holds about half a
# megabyte of text.
_MAX_CACHED: typing.Final = 24
# Shortest wait that is worth a watch, in seconds.
_SHORTEST_WATCH: typing.Final = 0.05


@dataclasses.dataclass
class Cached:
    """Hold what is known of a batch; listed results never change."""

    head: model.Head
    results: list[model.Result] = dataclasses.field(default_factory=list)
    last_key: str = ""
    # Revision of the store up to which the results are known.
    revision: int | None = None
    items: dict[str, bytes] = dataclasses.field(default_factory=dict)

    def add(self, entries: list[storage.LogEntry], revision: int) -> None:
        """Append log entries that are not known yet."""
        if entries or self.revision is None:
            # An answer without entries may come from a watch that missed
            # some; the next one starts where the last entries were.
            self.revision = max(self.revision or 0, revision)
        for entry in entries:
            if entry.key > self.last_key:
                self.results.extend(entry.results)
                self.last_key = entry.key


@dataclasses.dataclass(frozen=True)
class Page:
    """Hold results from one position on."""

    total: int
    results: tuple[model.Result, ...]


class BatchReader:
    """Answer reads from the cache where that is certain."""

    def __init__(self, batches: storage.BatchStorage) -> None:
        """Start with an empty cache."""
        self._storage = batches
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
        if position >= len(cached.results) < cached.head.total:
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

    async def _find(
        self, batch_id: str
    ) -> result.Result[Cached, store.StoreError]:
        cached = self._cache.get(batch_id)
        if cached is None:
            head = await self._storage.head(batch_id)
            if isinstance(head, result.Err):
                return head
            cached = self._cache.setdefault(batch_id, Cached(head.ok_value))
        self._cache.move_to_end(batch_id)
        while len(self._cache) > _MAX_CACHED:
            dropped, _ = self._cache.popitem(last=False)
            logs.event(_LOG, "batch_uncached", logging.DEBUG, batch=dropped)
        return result.Ok(cached)

    async def _refresh(
        self, batch_id: str, cached: Cached, position: int, wait: float
    ) -> store.StoreError | None:
        until = time.monotonic() + wait
        while True:
            left = max(0.0, until - time.monotonic())
            if cached.revision is None:
                answer = await self._storage.log_after(
                    batch_id, cached.last_key
                )
            else:
                # Returns at once if anything was listed since.
                answer = await self._storage.watch_log(
                    batch_id, cached.revision, left
                )
            if isinstance(answer, result.Err):
                if answer.err_value.failure is store.StoreFailure.HISTORY_GONE:
                    cached.revision = None
                    continue
                return answer.err_value
            cached.add(*answer.ok_value)
            left = until - time.monotonic()
            if len(cached.results) > position or left < _SHORTEST_WATCH:
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
