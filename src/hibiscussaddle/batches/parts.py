"""Encode batches as the values that the store holds.

A batch is encoded as records, each a batch with some of its items. A reader
needs no more than one record at a time. Records and values are independent, as
a value is smaller than the largest item.
"""

from collections import abc
import dataclasses
import struct
import typing

import msgspec

from hibiscussaddle.batches import model
from hibiscussaddle.batches import slices
from hibiscussaddle import decoding

# Encoded batches are split into values below the store's limit of a megabyte.
PART_BYTES: typing.Final = 600_000
# A transaction holds at most 32 entries, including the head and the owner.
MAX_PARTS: typing.Final = 30
MAX_ENCODED_BYTES: typing.Final = MAX_PARTS * PART_BYTES
# Never the first byte of MessagePack, with which builds before began.
_MAGIC: typing.Final = b"\xc1"
_LENGTH: typing.Final = struct.Struct(">I")
# Items of a record. Fewer if they are long, but at least one.
_RECORD_ITEMS: typing.Final = 256
_RECORD_BYTES: typing.Final = 64 << 10


def encode(batch: model.Batch) -> slices.Steps[list[bytes]]:
    """Return the values of a batch, in slices."""
    data = bytearray(_MAGIC)
    for items in _record_items(batch.items):
        record = msgspec.msgpack.encode(
            dataclasses.replace(batch, items=tuple(items))
        )
        data += _LENGTH.pack(len(record))
        data += record
        yield
    view = memoryview(data)
    return [
        bytes(view[start : start + PART_BYTES])
        for start in range(0, len(view), PART_BYTES)
    ]


def _record_items(
    items: abc.Iterable[model.Item],
) -> abc.Iterator[list[model.Item]]:
    found: list[model.Item] = []
    size = 0
    for item in items:
        length = len(item.body)
        if item.scoring is not None:
            length += len(item.scoring.body)
        if found and (
            len(found) >= _RECORD_ITEMS or size + length > _RECORD_BYTES
        ):
            yield found
            found, size = [], 0
        found.append(item)
        size += length
    yield found


class Decoder:
    """Decode the records of a batch from its values, one after another."""

    def __init__(self) -> None:
        """Start before the first value."""
        self._buffer = bytearray()
        self._has_magic: bool | None = None

    def feed(self, value: bytes) -> list[model.Batch]:
        """Return the records that a value completes.

        Raises ValueError if they are malformed.
        """
        if self._has_magic is None and value:
            self._has_magic = value.startswith(_MAGIC)
            value = value[len(_MAGIC) :] if self._has_magic else value
        self._buffer += value
        records: list[model.Batch] = []
        if not self._has_magic:
            return records
        start = 0
        while start + _LENGTH.size <= len(self._buffer):
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            end = start + _LENGTH.size + length
            if length > MAX_ENCODED_BYTES:
                raise ValueError(f"record of {length} bytes is too long")
            if end > len(self._buffer):
                break
            record = bytes(self._buffer[start + _LENGTH.size : end])
            records.append(decoding.decode_msgpack(record, model.Batch))
            start = end
        del self._buffer[:start]
        return records

    def finish(self) -> list[model.Batch]:
        """Return the rest after the last value.

        Raises ValueError if a value is missing.
        """
        if self._has_magic:
            if self._buffer:
                raise ValueError("the last record of the batch is incomplete")
            return []
        # The encoding of builds before: one batch, in all values together.
        data = bytes(self._buffer)
        self._buffer.clear()
        return [decoding.decode_msgpack(data, model.Batch)]


def join(records: abc.Sequence[model.Batch]) -> model.Batch:
    """Return the batch of its records; raise ValueError without any."""
    if not records:
        raise ValueError("the batch has no records")
    return dataclasses.replace(
        records[0],
        items=tuple(item for record in records for item in record.items),
    )


def decode(values: abc.Iterable[bytes]) -> model.Batch:
    """Return the batch of its values; raise ValueError if malformed."""
    decoder = Decoder()
    records = [record for value in values for record in decoder.feed(value)]
    return join(records + decoder.finish())
