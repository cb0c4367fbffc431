"""Stand-ins for servers: a model server and a plain service.

They run in the process of the case and write their entries to the store.
"""

import asyncio
import dataclasses
import json
import time

import fleet as fleet_lib
import httpd

HEARTBEAT_S = 1.2


@dataclasses.dataclass
class Run:
    """Hold one run of a request at a server."""

    server: str
    request_id: str
    began_at: float
    ended_at: float | None = None
    is_finished: bool = False


class Server:
    """Hold one server: its entry, its record of runs and its answers."""

    def __init__(self, fleet, name, service, zone, slots=6, model=""):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.model = model
        self.version = 1
        self.port = fleet_lib.free_port()
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.orders = 0
        self.busy = False
        self.state = "ready"
        # Runs in order, with the times of their begin and end.
        self.runs = []
        # Tokens that the memory of a model server holds.
        self.kv_tokens = 80_521
        self.too_large = 0
        # (seconds, body) of each order that arrived.
        self.order_log = []
        self.working = 0
        self.work_s = 0.03
        self.events = 5
        self.event_s = 0.02
        self.listens = True
        self._server = None
        self._tasks = []
        self.writers = set()

    def entry(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.model:
            entry["stage"] = "both"
            entry["models"] = self.models()
        return entry

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def start(self):
        self._server = await httpd.serve(self.handle, "127.0.0.1", self.port)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        self._server.close()

    async def crash(self):
        """End at once: nothing listens, all channels are reset.

        The entry goes after three heartbeats of silence.
        """
        await self.stop()
        for writer in self.writers:
            writer.transport.abort()

        async def lapse():
            await asyncio.sleep(3 * HEARTBEAT_S)
            await self.fleet.remove(f"servers/{self.name}")

        self._tasks.append(asyncio.create_task(lapse()))

    async def _beat(self):
        while True:
            await self.fleet.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, req):
        self.writers.add(req.writer)
        expected = req.header("x-expect-instance")
        if expected and expected != self.name:
            return httpd.encode(421, {"X-Not-Run": "1"})
        if req.path == "/health":
            return httpd.encode(200, {"X-Instance-Id": self.name})
        if req.path == "/-/report":
            return httpd.encode(
                200,
                {"content-type": "application/json"},
                json.dumps(
                    {
                        "stage": "both",
                        "models": self.models(),
                        "busy": self.busy,
                        "sequence": self.orders,
                        "waiting": 0,
                        "running": self.working,
                        "kvUsed": 0,
                        "kvTotal": 80521,
                        "handles": 0,
                        "born": self.born,
                    }
                ).encode(),
            )
        if req.path == "/-/order":
            return await self.order(req)
        request_id = req.header("x-request-id")
        # "A request that is larger than a server's memory is rejected as if
        # it were full."
        is_too_large = self.model and self.kv_tokens < sum(
            map(int, req.header("x-token-counts", "0").split(","))
        )
        self.too_large += bool(is_too_large)
        if is_too_large or self.working >= self.slots or self.busy:
            return httpd.encode(
                503, {"X-Request-Id": request_id, "X-Not-Run": "1"}
            )
        run = Run(self.name, request_id, time.monotonic())
        self.runs.append(run)
        self.working += 1
        try:
            if self.model:
                return await self.stream(req, request_id, run)
            answer = await self.work(req, request_id)
            run.is_finished = True
            return answer
        finally:
            self.working -= 1
            run.ended_at = time.monotonic()

    async def work(self, req, request_id):
        await asyncio.sleep(self.work_s)
        return httpd.encode(
            200,
            {"X-Request-Id": request_id,
             "X-Server-Stamp": f"{self.name}.{request_id}"},
            f"{self.name} {request_id}".encode(),
        )

    async def stream(self, req, request_id, run):
        after = int(req.header("last-event-id", "0"))
        req.writer.write(
            (
                "HTTP/1.1 200 OK\r\n"
                f"X-Request-Id: {request_id}\r\n"
                f"X-Server-Stamp: {self.name}.{request_id}\r\n"
                f"X-Weight-Versions: {self.version}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            data = f"id: {number}\ndata: {self.text(number)}\n\n".encode()
            req.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await req.writer.drain()
        req.writer.write(b"0\r\n\r\n")
        await req.writer.drain()
        run.is_finished = True
        return b""

    def text(self, number):
        return f"token {number}"

    async def order(self, req):
        body = req.json()
        self.order_log.append((time.monotonic(), body))
        if self.busy or body.get("expected", self.orders) != self.orders:
            return httpd.encode(409)
        if self.version >= body["version"]:
            return httpd.encode(200)
        self.orders += 1
        self.busy = True

        async def load():
            await asyncio.sleep(0.9)
            self.version = body["version"]
            self.busy = False

        self._tasks.append(asyncio.create_task(load()))
        return httpd.encode(202)
