"""HTTP calls and responses of the platform's key-value store."""

import base64
from collections import abc
import dataclasses
import typing

import msgspec

from hibiscussaddle import decoding

# Upper limit of a watch's timeout in the store's protocol.
_MAX_WATCH_MS: typing.Final = 30_000


@dataclasses.dataclass(frozen=True)
class Call:
    """Describe one HTTP call to the store."""

    # "read", "stale_read", "write", "lease" (grant or revoke), "renew" or
    # "watch"; each kind has a different cost.
    kind: str
    method: str
    path: str
    params: abc.Mapping[str, str | int] | None = None
    json: object = None


@dataclasses.dataclass(frozen=True)
class Item:
    """Represent one key as returned by the store."""

    key: str
    # None for a deleted key.
    data: bytes | None
    revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True)
class Page:
    """Hold one page of a listing, or the events of a watch."""

    items: tuple[Item, ...]
    # The store's revision at the response; a watch continues from here.
    revision: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True)
class Put:
    """Describe a write; without a lease (0) the key does not expire."""

    key: str
    data: bytes
    lease: int = 0


class _Item(msgspec.Struct, rename="camel"):
    key: str
    revision: decoding.Int
    value: str = ""
    lease: decoding.Int = 0
    deleted: bool = False


class _Range(msgspec.Struct, rename="camel"):
    items: list[_Item]
    # Revision of the whole store, not of an item.
    current_rev: decoding.Int
    has_more: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Item]
    current_rev: decoding.Int


class _Conflict(msgspec.Struct):
    items: list[_Item]


class _Revision(msgspec.Struct):
    revision: decoding.Int


class _Lease(msgspec.Struct, rename="camel"):
    lease: decoding.Int
    # The store may grant a different TTL than requested.
    ttl_ms: decoding.Int


def get(key: str) -> Call:
    """Return the call that reads one key."""
    return Call("read", "GET", "/-/kv-key", {"key": key})


def scan(prefix: str, after: str, stale: bool) -> Call:
    """Return the call that lists the keys of a prefix after a key."""
    params: dict[str, str | int] = {"prefix": prefix}
    if after:
        params["after"] = after
    if stale:
        params["allowStale"] = 1
    kind = "stale_read" if stale else "read"
    return Call(kind, "GET", "/-/kv-range", params)


def watch(prefix: str, after: int, timeout: float) -> Call:
    """Return the call that waits up to timeout seconds for changes."""
    wait_ms = min(_MAX_WATCH_MS, int(timeout * 1000))
    params: dict[str, str | int] = {
        "prefix": prefix,
        "after": after,
        "waitMs": wait_ms,
    }
    return Call("watch", "GET", "/-/kv-watch", params)


def commit(
    expected: abc.Mapping[str, int],
    puts: abc.Iterable[Put],
    removes: abc.Iterable[str],
) -> Call:
    """Return the call that changes keys if all revisions match."""
    body = {
        "expected": [
            {"key": key, "revision": revision}
            for key, revision in expected.items()
        ],
        "put": [
            {
                "key": put.key,
                "value": base64.b64encode(put.data).decode(),
                "lease": put.lease,
            }
            for put in puts
        ],
        "remove": list(removes),
    }
    return Call("write", "POST", "/-/kv-txn", json=body)


def grant(ttl: float) -> Call:
    """Return the call that creates a lease of ttl seconds."""
    ttl_ms = int(ttl * 1000)
    return Call("lease", "POST", "/-/kv-lease", json={"ttlMs": ttl_ms})


def renew(lease: int) -> Call:
    """Return the call that renews a lease."""
    return Call("renew", "POST", f"/-/kv-keep/{lease}")


def revoke(lease: int) -> Call:
    """Return the call that revokes a lease."""
    return Call("lease", "DELETE", f"/-/kv-lease-end/{lease}")


def decode_item(body: bytes) -> Item:
    """Return the item in the response to get()."""
    return _to_item(decoding.decode_json(body, _Item))


def decode_page(body: bytes) -> Page:
    """Return the page in the response to scan()."""
    found = decoding.decode_json(body, _Range)
    items = tuple(_to_item(item) for item in found.items)
    return Page(items, found.current_rev, found.has_more)


def decode_events(body: bytes) -> Page:
    """Return the changes in the response to watch()."""
    found = decoding.decode_json(body, _Events)
    items = tuple(_to_item(item) for item in found.events)
    return Page(items, found.current_rev)


def decode_conflict(body: bytes) -> tuple[Item, ...]:
    """Return the current items in the response to a rejected commit()."""
    found = decoding.decode_json(body, _Conflict)
    return tuple(_to_item(item) for item in found.items)


def decode_revision(body: bytes) -> int:
    """Return the new revision in the response to commit()."""
    return decoding.decode_json(body, _Revision).revision


def decode_lease(body: bytes) -> int:
    """Return the lease ID in the response to grant()."""
    return decoding.decode_json(body, _Lease).lease


def _to_item(item: _Item) -> Item:
    if item.deleted or item.revision == 0:
        return Item(item.key, None, item.revision)
    # Invalid base64 raises ValueError, like a malformed body.
    data = base64.b64decode(item.value, validate=True)
    return Item(item.key, data, item.revision, item.lease)
