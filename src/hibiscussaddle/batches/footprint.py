"""Estimate the memory that a batch takes at the instance that runs it.

The estimates are bytes of the account of an instance (callers/memory.py),
whose budget leaves 0.6 of the free memory.
"""

import typing

from hibiscussaddle.batches import start_window

# A decoded item, its place in the order and in the read cache: 1.5 kB
# resident beside its encoded form.
ITEM_BYTES: typing.Final = 1_024
# Tasks and queue entry of an item that waits or runs: 7.2 kB resident.
BEGUN_ITEM_BYTES: typing.Final = 5_120
# A JSON object while a submission is decoded: 0.8 kB resident.
_OBJECT_BYTES: typing.Final = 512
# Bytes accounted for each byte of a submission while it is decoded: it is held
# as text, as strings and as decoded items.
_DECODING_COPIES: typing.Final = 3
# The same for each encoded byte while a batch is written to the store: values,
# their base64 text, and the request that is sent.
WRITING_COPIES: typing.Final = 3


def batch_bytes(encoded_bytes: int, items: int) -> int:
    """Return the bytes of a batch while it runs."""
    begun = min(items, start_window.MAX_WAITING_OF_BATCH)
    return encoded_bytes + items * ITEM_BYTES + begun * BEGUN_ITEM_BYTES


def decoding_bytes(body: bytes | bytearray) -> int:
    """Return the bytes while a submission is decoded.

    No JSON object begins without a brace, whatever the text holds, so their
    number is known before anything is decoded.
    """
    objects = body.count(b"{")
    return _DECODING_COPIES * len(body) + objects * _OBJECT_BYTES
