"""Stand-in of the platform's store, after PROTOCOL."""

import asyncio
import base64
import itertools
import time

import http11

PAGE_ITEMS = 500


class Store:
    """Hold keys, leases and the history of changes."""

    def __init__(self):
        """Start empty."""
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.history = []
        self.ids = itertools.count(1)
        self.changed = asyncio.Event()
        # Called with each request; may return a status to answer with.
        self.intercept = None
        self.watchers = set()

    def expire(self):
        """Remove the keys of leases that have ended."""
        now = time.monotonic()
        for lease, (_, ends_at) in list(self.leases.items()):
            if ends_at <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, it in self.items.items() if it["lease"] == lease]:
            self.remove(key)

    def put(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def value(self, key):
        """Return the value of a key; None without one."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def _record(self, change):
        self.history.append(change)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _after(self, prefix, after):
        found = []
        for change in reversed(self.history):
            if change["revision"] <= after:
                break
            if change["key"].startswith(prefix):
                found.append(change)
        return found[::-1]

    async def expire_loop(self):
        """End leases in time."""
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    async def handle(self, req, reader, writer):
        """Answer one call."""
        self.expire()
        query = req.query
        path = req.path
        if self.intercept is not None:
            done = await self.intercept(req, reader, writer)
            if done is not None:
                return done
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                http11.answer(writer, 404, {"currentRev": self.revision})
            else:
                http11.answer(
                    writer, 200, {**item, "currentRev": self.revision}
                )
        elif path == "/-/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            )
            page, size = [], 0
            for key in keys[:PAGE_ITEMS]:
                size += len(self.items[key]["value"])
                if page and size > 1_000_000:
                    break
                page.append(self.items[key])
            http11.answer(
                writer,
                200,
                {
                    "items": page,
                    "hasMore": len(page) < len(keys),
                    "currentRev": self.revision,
                },
            )
        elif path == "/-/kv-watch":
            return await self._watch(query, reader, writer)
        elif path == "/-/kv-txn":
            self._commit(req.json(), writer)
        elif path == "/-/kv-lease":
            lease, ttl = next(self.ids), req.json()["ttlMs"]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            http11.answer(writer, 200, {"lease": lease, "ttlMs": ttl})
        elif path.startswith("/-/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                http11.answer(writer, 404, {})
            else:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                http11.answer(writer, 200, {"ttlMs": ttl})
        elif path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rpartition("/")[2]))
            http11.answer(writer, 200, {})
        else:
            http11.answer(writer, 400, {})
        return True

    async def _watch(self, query, reader, writer):
        prefix, after = query.get("prefix", ""), int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        token = (prefix, writer)
        self.watchers.add(token)
        try:
            while not (found := self._after(prefix, after)):
                left = deadline - time.monotonic()
                if left <= 0 or writer.is_closing():
                    break
                try:
                    async with asyncio.timeout(min(left, 0.5)):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        finally:
            self.watchers.discard(token)
        if writer.is_closing():
            return False
        http11.answer(
            writer, 200, {"events": found, "currentRev": self.revision}
        )
        return True

    def _commit(self, body, writer):
        expected = body.get("expected", [])

        def revision(key):
            return self.items.get(key, {"revision": 0})["revision"]

        if any(revision(row["key"]) != row["revision"] for row in expected):
            items = [
                self.items.get(row["key"], {"key": row["key"], "revision": 0})
                for row in expected
            ]
            http11.answer(writer, 412, {"items": items})
            return
        puts = body.get("put", [])
        if any(
            put.get("lease") and put["lease"] not in self.leases
            for put in puts
        ):
            http11.answer(writer, 404, {})
            return
        for put in puts:
            data = base64.b64decode(put["value"], validate=True)
            if len(data) > 1 << 20:
                http11.answer(writer, 400, {})
                return
        for put in puts:
            data = base64.b64decode(put["value"], validate=True)
            self.put(put["key"], data, put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        http11.answer(writer, 200, {"revision": self.revision})
