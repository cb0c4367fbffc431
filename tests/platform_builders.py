"""Build entries of the platform's store with default values."""

import json
import typing

from hibiscussaddle.adapters import store
from hibiscussaddle.platform import endpoint_wire


def endpoint_value(**changes: typing.Any) -> bytes:
    """Return the value of an engine's entry."""
    value = {
        "service": "engines",
        "address": "10.0.0.9:8080",
        "zone": "zone-a",
        "version": "v1",
        "slots": 12,
        "state": "ready",
        "coldRemainingMs": 0,
        "models": [{"name": "base", "version": 3, "adapters": []}],
        "sequence": 41,
        "born": 1700000000000,
    }
    return json.dumps({**value, **changes}).encode()


def endpoint_entry(
    endpoint_id: str, revision: int = 7, **changes: typing.Any
) -> store.StoreEntry:
    """Return the entry of an engine."""
    return store.StoreEntry(
        endpoint_wire.ENDPOINT_PREFIX + endpoint_id,
        endpoint_value(**changes),
        revision,
    )
