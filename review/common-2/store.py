"""Stand-in for the platform's store, as PROTOCOL.md describes it.

python3 store.py PORT. Holds everything in memory.
"""

import asyncio
import base64
import json
import sys
import time

import httpd

PAGE_BYTES = 1_000_000
PAGE_ITEMS = 500
ANSWER_S = 0.004
VALUE_BYTES = 1_048_576


class Store:
    """Hold keys, leases and the history of changes."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.next_lease = 1
        self.history = []
        self.changed = asyncio.Event()

    def record(self, event):
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key, value, lease):
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.record(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.record(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def expire(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end <= now:
                self.end_lease(lease)


def answer(status, value):
    return httpd.encode(
        status,
        {"content-type": "application/json"},
        json.dumps(value).encode(),
    )


def commit(store, body):
    for row in body.get("expected", []):
        known = store.items.get(row["key"])
        if (known["revision"] if known else 0) != row["revision"]:
            current = [
                store.items.get(r["key"], {"key": r["key"], "revision": 0})
                for r in body["expected"]
            ]
            return answer(412, {"items": current})
    for put in body.get("put", []):
        if put.get("lease") and put["lease"] not in store.leases:
            return answer(404, {})
    for put in body.get("put", []):
        if len(base64.b64decode(put["value"], validate=True)) > VALUE_BYTES:
            return answer(400, {"error": "value too large"})
    for put in body.get("put", []):
        store.put(put["key"], put["value"], put.get("lease", 0))
    for key in body.get("remove", []):
        store.remove(key)
    return answer(200, {"revision": store.revision})


def list_keys(store, query):
    prefix, after = query.get("prefix", ""), query.get("after", "")
    found, size, more = [], 0, False
    for key in sorted(store.items):
        if not key.startswith(prefix) or key <= after:
            continue
        item = store.items[key]
        size += len(item["value"])
        if found and (size > PAGE_BYTES or len(found) >= PAGE_ITEMS):
            more = True
            break
        found.append(item)
    return answer(
        200, {"items": found, "hasMore": more, "currentRev": store.revision}
    )


async def watch(store, query):
    prefix, after = query.get("prefix", ""), int(query["after"])
    deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
    while True:
        events = []
        for event in reversed(store.history):
            if event["revision"] <= after:
                break
            if event["key"].startswith(prefix):
                events.append(event)
        left = deadline - time.monotonic()
        if events or left <= 0:
            return answer(
                200, {"events": events[::-1], "currentRev": store.revision}
            )
        try:
            await asyncio.wait_for(store.changed.wait(), left)
        except TimeoutError:
            pass


async def main(port):
    store = Store()

    async def handle(req):
        await asyncio.sleep(ANSWER_S)
        store.expire()
        path = req.path
        if path == "/-/kv-key":
            item = store.items.get(req.query["key"])
            if item is None:
                return answer(404, {})
            return answer(200, {**item, "currentRev": store.revision})
        if path == "/-/kv-range":
            return list_keys(store, req.query)
        if path == "/-/kv-watch":
            return await watch(store, req.query)
        if path == "/-/kv-txn":
            return commit(store, req.json())
        if path == "/-/kv-lease":
            ttl = max(1000, min(600_000, req.json()["ttlMs"]))
            lease = store.next_lease
            store.next_lease += 1
            store.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return answer(200, {"lease": lease, "ttlMs": ttl})
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in store.leases:
                return answer(404, {})
            ttl = store.leases[lease][0]
            store.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return answer(200, {"ttlMs": ttl})
        if path.startswith("/-/kv-lease-end/"):
            store.end_lease(int(path.rsplit("/", 1)[1]))
            return answer(200, {})
        return answer(404, {})

    async def tick():
        while True:
            await asyncio.sleep(0.1)
            store.expire()

    server = await httpd.serve(handle, "127.0.0.1", port)
    await asyncio.gather(server.serve_forever(), tick())


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
