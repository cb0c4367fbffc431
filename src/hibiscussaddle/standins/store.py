"""Fake key-value service: compare-and-swap, leases and watches."""

from collections import abc
import dataclasses
import itertools
import time
import typing

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.standins import faults as faults_lib

MAX_VALUE_BYTES: typing.Final = 1 << 20
MAX_WATCH_SECONDS: typing.Final = 30.0


@dataclasses.dataclass(frozen=True)
class Entry:
    """Hold one key's value with its revision and lease."""

    key: str
    value: typing.Any
    revision: int
    lease: str | None = None


@dataclasses.dataclass
class Lease:
    """Hold one lease and its expiry on the service's clock."""

    id: str
    holder: str
    ttl: float
    expires_at: float


class Store:
    """Keep keys, leases and a log of changes."""

    def __init__(self, now: abc.Callable[[], float] = time.monotonic) -> None:
        """Start empty at revision 0."""
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.leases: dict[str, Lease] = {}
        self.changes: list[Entry] = []
        self.calls: dict[str, int] = {}
        # Watches that wait now, and the most that ever waited at once.
        self.watching = 0
        self.most_watching = 0
        self.faults = faults_lib.Faults()
        self._now = now
        self._ids = itertools.count(1)
        self._changed = anyio.Event()

    def count(self, kind: str) -> None:
        """Count one call by kind."""
        self.calls[kind] = self.calls.get(kind, 0) + 1

    def expire(self) -> None:
        """Delete lapsed leases with their keys."""
        now = self._now()
        lapsed = [le for le in self.leases.values() if le.expires_at <= now]
        for lease in lapsed:
            self.revoke(lease.id)

    def revoke(self, lease_id: str) -> None:
        """Delete a lease and every key attached to it."""
        self.leases.pop(lease_id, None)
        attached = [e for e in self.entries.values() if e.lease == lease_id]
        for entry in attached:
            self.entries.pop(entry.key)
            self._record(Entry(entry.key, None, self._next_revision()))

    def grant(self, ttl: float, holder: str) -> Lease:
        """Create a lease."""
        lease_id = f"lease-{next(self._ids)}"
        lease = Lease(lease_id, holder, ttl, self._now() + ttl)
        self.leases[lease.id] = lease
        return lease

    def renew(self, lease_id: str) -> Lease | None:
        """Extend a lease that has not lapsed."""
        self.expire()
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_at = self._now() + lease.ttl
        return lease

    def put(
        self, key: str, value: typing.Any, expected: int, lease: str | None
    ) -> Entry | None:
        """Swap the value if the revision matches; None on a conflict."""
        self.expire()
        current = self.entries.get(key)
        if (current.revision if current else 0) != expected:
            return None
        if lease is not None and lease not in self.leases:
            return None
        entry = Entry(key, value, self._next_revision(), lease)
        self.entries[key] = entry
        self._record(entry)
        return entry

    def changes_after(self, prefix: str, after: int) -> list[Entry]:
        """Return the changes of a prefix later than a revision."""
        found = []
        for entry in reversed(self.changes):
            if entry.revision <= after:
                break
            if entry.key.startswith(prefix):
                found.append(entry)
        return found[::-1]

    async def wait_change(self) -> None:
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
    return dataclasses.asdict(entry)


def create_app(store: Store) -> applications.Starlette:
    """Return the HTTP interface of the fake."""

    def route(
        path: str, method: str, kind: str, handler: typing.Any
    ) -> routing.Route:
        async def endpoint(req: requests.Request) -> responses.Response:
            store.count(kind)
            refused = await faults_lib.apply_before(store.faults)
            if refused is not None:
                return refused
            store.expire()
            resp: responses.Response = await handler(req)
            if method != "GET":
                await faults_lib.apply_after(store.faults)
            return resp

        return routing.Route(path, endpoint, methods=[method])

    async def get(req: requests.Request) -> responses.Response:
        entry = store.entries.get(req.path_params["key"])
        if entry is None:
            return responses.JSONResponse(
                {"revision": store.revision}, status_code=404
            )
        return responses.JSONResponse(_to_dict(entry))

    async def scan(req: requests.Request) -> responses.Response:
        prefix = req.query_params.get("prefix", "")
        found = [
            _to_dict(entry)
            for key, entry in sorted(store.entries.items())
            if key.startswith(prefix)
        ]
        return responses.JSONResponse(
            {"entries": found, "revision": store.revision}
        )

    async def put(req: requests.Request) -> responses.Response:
        raw = await req.body()
        if len(raw) > MAX_VALUE_BYTES:
            return responses.JSONResponse(
                {"error": "value too large"}, status_code=413
            )
        body = await req.json()
        key = req.path_params["key"]
        entry = store.put(
            key,
            body["value"],
            int(body["expected_revision"]),
            body.get("lease"),
        )
        if entry is None:
            current = store.entries.get(key)
            revision = current.revision if current else 0
            return responses.JSONResponse(
                {"revision": revision}, status_code=409
            )
        return responses.JSONResponse({"revision": entry.revision})

    async def grant(req: requests.Request) -> responses.Response:
        body = await req.json()
        lease = store.grant(float(body["ttl"]), str(body["holder"]))
        return responses.JSONResponse({"lease": lease.id, "ttl": lease.ttl})

    async def renew(req: requests.Request) -> responses.Response:
        lease = store.renew(req.path_params["id"])
        if lease is None:
            return responses.JSONResponse(
                {"error": "lease lapsed"}, status_code=404
            )
        return responses.JSONResponse({"lease": lease.id, "ttl": lease.ttl})

    async def revoke(req: requests.Request) -> responses.Response:
        store.revoke(req.path_params["id"])
        return responses.JSONResponse({})

    async def watch(req: requests.Request) -> responses.Response:
        prefix = req.query_params.get("prefix", "")
        after = int(req.query_params.get("after", "0"))
        timeout = min(
            float(req.query_params.get("timeout", "10")), MAX_WATCH_SECONDS
        )
        store.watching += 1
        store.most_watching = max(store.most_watching, store.watching)
        try:
            with anyio.move_on_after(timeout):
                while not store.changes_after(prefix, after):
                    await store.wait_change()
        finally:
            store.watching -= 1
        events = [_to_dict(e) for e in store.changes_after(prefix, after)]
        return responses.JSONResponse(
            {"events": events, "revision": store.revision}
        )

    async def calls(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {**store.calls, "most_watching": store.most_watching}
        )

    async def expire(_: requests.Request) -> responses.Response:
        for lease_id in list(store.leases):
            store.revoke(lease_id)
        return responses.JSONResponse({})

    return applications.Starlette(
        routes=[
            route("/v1/kv", "GET", "read", scan),
            route("/v1/kv/{key:path}", "GET", "read", get),
            route("/v1/kv/{key:path}", "PUT", "write", put),
            route("/v1/leases", "POST", "write", grant),
            route("/v1/leases/{id}/renew", "POST", "write", renew),
            route("/v1/leases/{id}", "DELETE", "write", revoke),
            route("/v1/watch", "GET", "watch", watch),
            routing.Route("/calls", calls),
            routing.Route("/expire", expire, methods=["POST"]),
            faults_lib.create_route(store.faults),
        ]
    )
