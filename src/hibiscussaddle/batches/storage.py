"""Store batches, their owner records and their result logs."""

from collections import abc
import dataclasses
import typing

import msgspec
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import parts
from hibiscussaddle.batches import slices
from hibiscussaddle import decoding

_Error: typing.TypeAlias = store.StoreError
_T = typing.TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class OwnerRecord:
    """Hold an owner and the record's revision, which fences its writes."""

    batch_id: str
    owner: model.Owner
    revision: int
    # Bytes of the account that the batch takes while it runs; 0 for a batch
    # that a build before accepted.
    footprint: int = 0
    # False for a record from a peer's message, which may have waited while
    # this instance was frozen: another owner may have replaced it.
    is_current: bool = True


class _StoredOwner(msgspec.Struct):
    """Hold the value of an owner record."""

    instance: str
    incarnation: decoding.Int
    footprint: decoding.WholeAmount = 0


@dataclasses.dataclass(frozen=True)
class LogEntry:
    """Hold one entry of a result log."""

    key: str
    results: tuple[model.Result, ...]


class BatchStorage:
    """Read batches and write them by compare-and-swap transactions."""

    def __init__(self, client: store.StoreClient) -> None:
        """Use the instance's one store client."""
        self._client = client

    async def accept(
        self,
        batch: model.Batch,
        owner: model.Owner,
        timeout: float,
        values: abc.Sequence[bytes] = (),
        footprint: int = 0,
    ) -> result.Result[int, _Error]:
        """Store a new batch and return the revision of its owner record.

        The values are those of parts.encode(), which are encoded here if
        there are none.
        """
        values = values or slices.run_at_once(parts.encode(batch))
        head = model.create_head(batch)
        puts = [
            store.Put(model.part_key(batch.id, number), value)
            for number, value in enumerate(values)
        ]
        puts.append(
            store.Put(model.head_key(batch.id), msgspec.json.encode(head))
        )
        puts.append(_owner_put(batch.id, owner, footprint))
        expected = {model.head_key(batch.id): 0}
        return await self._client.commit(expected, puts, timeout=timeout)

    async def head(self, batch_id: str) -> result.Result[model.Head, _Error]:
        """Return the head of a batch, MISSING if there is none."""
        response = await self._client.get(model.head_key(batch_id))
        return _decode(
            response.map(lambda entry: entry.data or b""),
            lambda data: decoding.decode_json(data, model.Head),
        )

    async def batch(self, batch_id: str) -> result.Result[model.Batch, _Error]:
        """Return a batch with its items, MISSING if there is none."""
        records: list[model.Batch] = []
        async for response in self.records(batch_id):
            if isinstance(response, result.Err):
                return response
            records.append(response.ok_value)
        if not records:
            return result.Err(store.StoreError(store.StoreFailure.MISSING))
        return result.Ok(parts.join(records))

    async def records(
        self, batch_id: str
    ) -> abc.AsyncGenerator[result.Result[model.Batch, _Error], None]:
        """Yield a batch in records, each with some of its items.

        Holds no more than a page of the store and a record. Ends with the
        first error; yields nothing for an unknown batch.
        """
        decoder = parts.Decoder()
        is_known = False
        async for page in self._client.scan_pages(
            model.parts_prefix(batch_id)
        ):
            if isinstance(page, result.Err):
                yield page
                return
            for entry in page.ok_value:
                is_known = True
                found = _decode(result.Ok(entry.data or b""), decoder.feed)
                if isinstance(found, result.Err):
                    yield found
                    return
                for record in found.ok_value:
                    yield result.Ok(record)
        if not is_known:
            return
        rest = _decode(result.Ok(None), lambda _: decoder.finish())
        if isinstance(rest, result.Err):
            yield rest
            return
        for record in rest.ok_value:
            yield result.Ok(record)

    async def owner(self, batch_id: str) -> result.Result[OwnerRecord, _Error]:
        """Return a batch's owner, MISSING if it is complete or ended."""
        response = await self._client.get(model.owner_key(batch_id))
        if isinstance(response, result.Err):
            return response
        return _decode(response, _decode_owner)

    async def owners(self) -> result.Result[list[OwnerRecord], _Error]:
        """Return the owners of all batches that are not complete."""
        response = await self._client.scan(model.OWNER_PREFIX)
        if isinstance(response, result.Err):
            return response
        return _decode(
            result.Ok(response.ok_value[0]),
            lambda entries: [_decode_owner(entry) for entry in entries],
        )

    async def take_over(
        self, record: OwnerRecord, owner: model.Owner
    ) -> result.Result[int, _Error]:
        """Replace an owner; writes of the previous one fail afterwards."""
        expected = {model.owner_key(record.batch_id): record.revision}
        puts = [_owner_put(record.batch_id, owner, record.footprint)]
        return await self._client.commit(expected, puts)

    async def log_entries_after(
        self, batch_id: str, last_key: str
    ) -> result.Result[tuple[list[LogEntry], int], _Error]:
        """Return the log entries after a key and the store's revision."""
        prefix = model.log_prefix(batch_id)
        response = await self._client.scan(prefix, after=last_key)
        return _decode(
            response, lambda scanned: (_decode_log(scanned[0]), scanned[1])
        )

    async def watch_log(
        self, batch_id: str, after: int, wait: float
    ) -> result.Result[tuple[list[LogEntry], int], _Error]:
        """Return the log entries after a revision, waiting for the first.

        The store waits at most the given number of seconds.
        """
        prefix = model.log_prefix(batch_id)
        response = await self._client.watch(prefix, after, wait)
        return _decode(
            response, lambda scanned: (_decode_log(scanned[0]), scanned[1])
        )

    async def append(
        self,
        batch_id: str,
        owner_revision: int,
        number: int,
        results: list[model.Result],
        checkpoints: list[model.TextCheckpoint],
        is_last: bool,
    ) -> result.Result[int, _Error]:
        """Append results to the log if the owner record is unchanged.

        The checkpoints replace those stored before. The last append of a
        batch also removes its owner record.
        """
        owner_key = model.owner_key(batch_id)
        key = model.log_key(batch_id, number)
        puts = [store.Put(key, model.encode_results(results))]
        if checkpoints:
            puts.append(_checkpoints_put(batch_id, checkpoints))
        return await self._client.commit(
            {owner_key: owner_revision, key: 0},
            puts,
            [owner_key] if is_last else [],
        )

    async def put_checkpoints(
        self,
        batch_id: str,
        owner_revision: int,
        checkpoints: list[model.TextCheckpoint],
    ) -> result.Result[int, _Error]:
        """Store text checkpoints if the owner record is unchanged."""
        expected = {model.owner_key(batch_id): owner_revision}
        return await self._client.commit(
            expected, [_checkpoints_put(batch_id, checkpoints)]
        )

    async def checkpoints(
        self, batch_id: str
    ) -> result.Result[list[model.TextCheckpoint], _Error]:
        """Return a batch's text checkpoints."""
        response = await self._client.get(model.checkpoints_key(batch_id))
        if isinstance(response, result.Err):
            if response.err_value.failure is store.StoreFailure.MISSING:
                return result.Ok([])
            return response
        return _decode(
            response.map(lambda entry: entry.data or b""),
            model.decode_checkpoints,
        )

    async def release(self, record: OwnerRecord) -> result.Result[int, _Error]:
        """Give up a batch so that any instance may take it over at once."""
        return await self.take_over(record, model.Owner("", 0))

    async def end(self, batch_id: str) -> result.Result[int, _Error]:
        """Mark a batch as ended and remove its owner record."""
        return await self._client.commit(
            {},
            [store.Put(model.end_key(batch_id), b"{}")],
            [model.owner_key(batch_id)],
        )

    async def is_ended(self, batch_id: str) -> result.Result[bool, _Error]:
        """Return whether a batch has ended."""
        response = await self._client.get(model.end_key(batch_id))
        if isinstance(response, result.Ok):
            return result.Ok(True)
        if response.err_value.failure is store.StoreFailure.MISSING:
            return result.Ok(False)
        return response


def conflicting_head(error: _Error) -> model.Head | None:
    """Return the head that made accept() conflict, None if unreadable."""
    for entry in error.current:
        try:
            return decoding.decode_json(entry.data or b"", model.Head)
        except ValueError as exc:
            store.log_decode_error(exc)
    return None


def _owner_put(batch_id: str, owner: model.Owner, footprint: int) -> store.Put:
    stored = _StoredOwner(owner.instance, owner.incarnation, footprint)
    return store.Put(model.owner_key(batch_id), msgspec.json.encode(stored))


def _checkpoints_put(
    batch_id: str, checkpoints: list[model.TextCheckpoint]
) -> store.Put:
    key = model.checkpoints_key(batch_id)
    return store.Put(key, model.encode_checkpoints(checkpoints))


def _decode_owner(entry: store.StoreEntry) -> OwnerRecord:
    found = decoding.decode_json(entry.data or b"", _StoredOwner)
    owner = model.Owner(found.instance, found.incarnation)
    batch_id = entry.key.removeprefix(model.OWNER_PREFIX)
    return OwnerRecord(batch_id, owner, entry.revision, found.footprint)


def _decode_log(entries: list[store.StoreEntry]) -> list[LogEntry]:
    return [
        LogEntry(entry.key, tuple(model.decode_results(entry.data)))
        for entry in entries
        if entry.data is not None
    ]


def _decode(
    response: result.Result[typing.Any, _Error],
    decode: typing.Callable[[typing.Any], _T],
) -> result.Result[_T, _Error]:
    if isinstance(response, result.Err):
        return response
    try:
        return result.Ok(decode(response.ok_value))
    except ValueError as exc:
        store.log_decode_error(exc)
        return result.Err(store.StoreError(store.StoreFailure.UNKNOWN))
