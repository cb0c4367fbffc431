"""Stand-in of a model server, after PROTOCOL."""

import asyncio
import json
import time

import http11

BEAT_SECONDS = 1.2


class Engine:
    """Serve items as streams of events, and weight orders."""

    def __init__(
        self,
        store,
        name,
        address,
        service,
        model,
        zone,
        slots=12,
        events=15,
        event_seconds=0.02,
        text="event {number} of {item}",
    ):
        """Start at version 1 of the weights."""
        self.store, self.name, self.address = store, name, address
        self.service, self.model, self.zone = service, model, zone
        self.slots, self.events = slots, events
        self.event_seconds, self.text = event_seconds, text
        self.born = time.time_ns() // 1_000_000
        self.version, self.accepted = 1, 0
        self.busy_until = 0.0
        self.running = 0
        self.beats = 0
        self.state = "ready"
        # (monotonic seconds, item, last event id asked, version) of each run.
        self.runs = []
        # (monotonic seconds, holder, fencing number, version) of each order.
        self.orders = []
        self.intercept = None

    def models(self):
        """Return the models as reports and entries show them."""
        if not self.model:
            return []
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def entry(self):
        """Return the entry in the store."""
        self.beats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.beats,
            "models": self.models(),
            "stage": "both",
            "born": self.born,
        }

    async def beat_loop(self):
        """Write the entry at each heartbeat."""
        while self.state != "gone":
            self.store.put(
                f"servers/{self.name}", json.dumps(self.entry()).encode()
            )
            await asyncio.sleep(BEAT_SECONDS)

    async def handle(self, req, reader, writer):
        """Answer one call."""
        expected = req.headers.get("x-expect-instance")
        if expected not in (None, self.name):
            http11.answer(writer, 421, headers=[("x-not-run", "1")])
            return True
        if self.intercept is not None:
            done = await self.intercept(req, reader, writer)
            if done is not None:
                return done
        if req.path == "/-/report":
            http11.answer(
                writer,
                200,
                {
                    "stage": "both",
                    "models": self.models(),
                    "busy": time.monotonic() < self.busy_until,
                    "sequence": self.accepted,
                    "waiting": 0,
                    "running": self.running,
                    "kvUsed": 0,
                    "kvTotal": 80521,
                    "handles": 0,
                    "born": self.born,
                },
            )
            return True
        if req.path == "/-/order":
            self._order(req.json(), writer)
            return True
        if self.model:
            return await self._stream(req, reader, writer)
        return await self._serve(req, writer)

    def _order(self, body, writer):
        now = time.monotonic()
        self.orders.append(
            (now, body["holder"], body["fencingToken"], body["version"])
        )
        if (
            now < self.busy_until
            or body.get("expected", self.accepted) != self.accepted
        ):
            http11.answer(writer, 409)
        elif body["version"] <= self.version:
            http11.answer(writer, 200)
        else:
            self.accepted += 1
            self.busy_until = now + 0.9
            asyncio.get_running_loop().call_later(
                0.9, setattr, self, "version", body["version"]
            )
            http11.answer(writer, 202)

    async def _serve(self, req, writer):
        request = req.headers["x-request-id"]
        self.runs.append((time.monotonic(), request, None, req))
        await asyncio.sleep(self.event_seconds)
        http11.answer(
            writer,
            200,
            b"answer to " + req.body,
            [
                ("x-request-id", request),
                ("x-server-stamp", f"{self.name}.{request}"),
            ],
        )
        return True

    async def _stream(self, req, reader, writer):
        item = req.headers["x-request-id"]
        headers = [("x-request-id", item)]
        if self.running >= self.slots or time.monotonic() < self.busy_until:
            http11.answer(writer, 503, headers=[*headers, ("x-not-run", "1")])
            return True
        after = req.headers.get("last-event-id")
        self.runs.append((time.monotonic(), item, after, self.version))
        self.running += 1
        version = self.version
        try:
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                    f"x-request-id: {item}\r\nx-weight-versions: {version}\r\n"
                    f"x-server-stamp: {self.name}.{item}\r\n"
                    "transfer-encoding: chunked\r\n\r\n"
                ).encode()
            )
            for number in range(int(after or 0) + 1, self.events + 1):
                await asyncio.sleep(self.event_seconds)
                if reader.at_eof() or writer.is_closing():
                    return False
                first = ""
                if self.version != version:
                    version = self.version
                    first = f"x-weight-versions: {version}\n"
                data = self.text.format(number=number, item=item)
                event = f"{first}id: {number}\ndata: {data}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
        return True

    def full_text(self, item):
        """Return the whole output of an item."""
        return "\n".join(
            self.text.format(number=number, item=item)
            for number in range(1, self.events + 1)
        )
