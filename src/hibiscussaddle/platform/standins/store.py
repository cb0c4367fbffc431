"""Stand-in for the key-value store, with leases and watches."""

import base64
from collections import abc
import dataclasses
import itertools
import time
import typing

import anyio
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import decoding
from hibiscussaddle.standins import faults as faults_lib

MAX_VALUE_BYTES: typing.Final = 1 << 20
# A transaction of the maximum size: 32 values of a megabyte, in base64.
MAX_BODY_BYTES: typing.Final = 45 << 20
MAX_PAGE_ITEMS: typing.Final = 500
MAX_WATCH_SECONDS: typing.Final = 30.0


@dataclasses.dataclass(frozen=True)
class Entry:
    """Represent one key with its revision and lease."""

    key: str
    # None for a deleted key.
    data: bytes | None
    revision: int
    lease: int = 0
    # Revision at which the key was created.
    created: int = 0

    @property
    def value(self) -> typing.Any:
        """Return the decoded JSON value."""
        return None if self.data is None else decoding.decode_json(self.data)


@dataclasses.dataclass
class Lease:
    """Represent one lease and its expiry on the store's clock."""

    id: int
    ttl: float
    expires_at: float


class Store:
    """Hold keys, leases and a log of changes."""

    def __init__(self, now: abc.Callable[[], float] = time.monotonic) -> None:
        """Create an empty store at revision 0."""
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.leases: dict[int, Lease] = {}
        self.changes: list[Entry] = []
        # Changes up to this revision are compacted.
        self.compacted_revision = 0
        self.calls: dict[str, int] = {}
        # Number of waiting watches, and its maximum.
        self.active_watches = 0
        self.max_active_watches = 0
        self.faults = faults_lib.Faults()
        self._now = now
        self._ids = itertools.count(1)
        self._changed = anyio.Event()

    def count_call(self, kind: str) -> None:
        """Count one call of a kind."""
        self.calls[kind] = self.calls.get(kind, 0) + 1

    def expire_leases(self) -> None:
        """Revoke expired leases."""
        now = self._now()
        expired = [
            lease for lease in self.leases.values() if lease.expires_at <= now
        ]
        for lease in expired:
            self.revoke(lease.id)

    def revoke(self, lease_id: int) -> None:
        """Delete a lease and every key attached to it."""
        self.leases.pop(lease_id, None)
        attached = [
            entry for entry in self.entries.values() if entry.lease == lease_id
        ]
        for entry in attached:
            self.remove(entry.key)

    def grant(self, ttl: float) -> Lease:
        """Create a lease."""
        lease = Lease(next(self._ids), ttl, self._now() + ttl)
        self.leases[lease.id] = lease
        return lease

    def renew(self, lease_id: int) -> Lease | None:
        """Renew a lease; return None if it has expired."""
        self.expire_leases()
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_at = self._now() + lease.ttl
        return lease

    def put(
        self,
        key: str,
        value: typing.Any,
        expected: int,
        lease: int | None = None,
    ) -> Entry | None:
        """Compare-and-swap a JSON value; return None on a conflict."""
        self.expire_leases()
        if self.revision_of(key) != expected:
            return None
        if lease and lease not in self.leases:
            return None
        return self.write(key, msgspec.json.encode(value), lease or 0)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key; 0 if it does not exist."""
        current = self.entries.get(key)
        return current.revision if current else 0

    def write(self, key: str, data: bytes, lease: int = 0) -> Entry:
        """Set a key unconditionally."""
        revision = self._next_revision()
        current = self.entries.get(key)
        created = current.created if current else revision
        entry = Entry(key, data, revision, lease, created)
        self.entries[key] = entry
        self._record(entry)
        return entry

    def remove(self, key: str) -> None:
        """Delete a key if it exists."""
        if self.entries.pop(key, None) is not None:
            self._record(Entry(key, None, self._next_revision()))

    def compact_history(self) -> None:
        """Drop all changes so far, so that older watches fail."""
        self.changes.clear()
        self.compacted_revision = self.revision

    def changes_after(self, prefix: str, after: int) -> list[Entry]:
        """Return the changes of a prefix after a revision."""
        found = []
        for entry in reversed(self.changes):
            if entry.revision <= after:
                break
            if entry.key.startswith(prefix):
                found.append(entry)
        return found[::-1]

    async def wait_for_change(self) -> None:
        """Wait until the next change."""
        await self._changed.wait()

    def _next_revision(self) -> int:
        self.revision += 1
        return self.revision

    def _record(self, entry: Entry) -> None:
        self.changes.append(entry)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


def _to_dict(entry: Entry) -> dict[str, typing.Any]:
    if entry.data is None:
        return {
            "key": entry.key,
            "revision": entry.revision,
            "deleted": True,
        }
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.data).decode(),
        "revision": entry.revision,
        "created": entry.created,
        "lease": entry.lease,
    }


def _current_item(store: Store, key: str) -> dict[str, typing.Any]:
    entry = store.entries.get(key)
    return {"key": key, "revision": 0} if entry is None else _to_dict(entry)


def commit(
    store: Store, body: dict[str, typing.Any]
) -> responses.JSONResponse:
    """Apply a transaction if all expected revisions match."""
    expected = body.get("expected", [])
    if any(store.revision_of(e["key"]) != e["revision"] for e in expected):
        items = [_current_item(store, e["key"]) for e in expected]
        return responses.JSONResponse({"items": items}, status_code=412)
    puts = body.get("put", [])
    # Base64 takes four characters for three bytes, with padding.
    limit = MAX_VALUE_BYTES * 4 // 3 + 4
    if any(len(put["value"]) > limit for put in puts):
        return responses.JSONResponse(
            {"error": "value too large"}, status_code=413
        )
    if any(p.get("lease") and p["lease"] not in store.leases for p in puts):
        return responses.JSONResponse(
            {"error": "lease lapsed"}, status_code=404
        )
    for put in puts:
        data = base64.b64decode(put["value"], validate=True)
        store.write(put["key"], data, put.get("lease", 0))
    for key in body.get("remove", []):
        store.remove(key)
    return responses.JSONResponse({"revision": store.revision})


def create_app(store: Store) -> applications.Starlette:
    """Return the HTTP interface of the store."""

    def route(
        path: str, method: str, kind: str, handler: typing.Any
    ) -> routing.Route:
        async def endpoint(req: requests.Request) -> responses.Response:
            store.count_call(kind)
            error_response = await faults_lib.apply_request_faults(
                store.faults
            )
            if error_response is not None:
                return error_response
            store.expire_leases()
            resp: responses.Response = await handler(req)
            if method != "GET":
                await faults_lib.apply_response_faults(store.faults)
            return resp

        return routing.Route(path, endpoint, methods=[method])

    async def get(req: requests.Request) -> responses.Response:
        entry = store.entries.get(req.query_params["key"])
        if entry is None:
            return responses.JSONResponse({}, status_code=404)
        return responses.JSONResponse(
            {**_to_dict(entry), "currentRev": store.revision}
        )

    async def scan(req: requests.Request) -> responses.Response:
        prefix = req.query_params.get("prefix", "")
        after = req.query_params.get("after", "")
        found = [
            _to_dict(entry)
            for key, entry in sorted(store.entries.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[:MAX_PAGE_ITEMS]
        return responses.JSONResponse(
            {
                "items": page,
                "hasMore": len(found) > len(page),
                "currentRev": store.revision,
            }
        )

    async def txn(req: requests.Request) -> responses.Response:
        raw = await req.body()
        if len(raw) > MAX_BODY_BYTES:
            return responses.JSONResponse(
                {"error": "value too large"}, status_code=413
            )
        return commit(store, await req.json())

    async def grant(req: requests.Request) -> responses.Response:
        body = await req.json()
        lease = store.grant(body["ttlMs"] / 1000)
        return responses.JSONResponse(
            {"lease": lease.id, "ttlMs": int(lease.ttl * 1000)}
        )

    async def renew(req: requests.Request) -> responses.Response:
        lease = store.renew(req.path_params["id"])
        if lease is None:
            return responses.JSONResponse(
                {"error": "lease lapsed"}, status_code=404
            )
        return responses.JSONResponse({"ttlMs": int(lease.ttl * 1000)})

    async def revoke(req: requests.Request) -> responses.Response:
        store.revoke(req.path_params["id"])
        return responses.JSONResponse({})

    async def watch(req: requests.Request) -> responses.Response:
        prefix = req.query_params.get("prefix", "")
        after = int(req.query_params.get("after", "0"))
        wait_ms = int(req.query_params.get("waitMs", "10000"))
        timeout = min(wait_ms / 1000, MAX_WATCH_SECONDS)
        if after < store.compacted_revision:
            return responses.JSONResponse({}, status_code=410)
        store.active_watches += 1
        store.max_active_watches = max(
            store.max_active_watches, store.active_watches
        )
        try:
            with anyio.move_on_after(timeout):
                while not store.changes_after(prefix, after):
                    await store.wait_for_change()
        finally:
            store.active_watches -= 1
        events = [_to_dict(e) for e in store.changes_after(prefix, after)]
        return responses.JSONResponse(
            {"events": events, "currentRev": store.revision}
        )

    async def calls(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {**store.calls, "most_watching": store.max_active_watches}
        )

    async def expire(_: requests.Request) -> responses.Response:
        for lease_id in list(store.leases):
            store.revoke(lease_id)
        return responses.JSONResponse({})

    return applications.Starlette(
        routes=[
            route("/-/kv-key", "GET", "read", get),
            route("/-/kv-range", "GET", "read", scan),
            route("/-/kv-txn", "POST", "write", txn),
            route("/-/kv-lease", "POST", "write", grant),
            route("/-/kv-keep/{id:int}", "POST", "write", renew),
            route("/-/kv-lease-end/{id:int}", "DELETE", "write", revoke),
            route("/-/kv-watch", "GET", "watch", watch),
            routing.Route("/calls", calls),
            routing.Route("/expire", expire, methods=["POST"]),
            faults_lib.create_route(store.faults),
        ]
    )
