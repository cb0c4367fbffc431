"""Run an instance and its fake back ends in one event loop."""

from collections import abc
import contextlib
import json
import typing

import anyio
from anyio import abc as anyio_abc
import httpx

import builders
from hibiscussaddle import caller_app
from hibiscussaddle import contracts
from hibiscussaddle import endpoints
from hibiscussaddle import entry
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import serving
from hibiscussaddle.standins import engine as engine_lib
from hibiscussaddle.standins import service as service_lib
import ports

HEADERS = {"authorization": f"Bearer {builders.CUSTOMER_KEY}"}


class BookingResponse:
    """Hold the response to a booking."""

    def __init__(self, resp: httpx.Response) -> None:
        """Parse an HTTP response."""
        self.status = resp.status_code
        self.code = int(resp.headers["x-result-code"])
        self.body = resp.json()

    @property
    def ran(self) -> str:
        """Return whether the work ran according to the response."""
        return "yes" if self.status == 200 else str(self.body["ran"])


class Stack:
    """Hold one instance, its back ends and a client."""

    def __init__(self, tasks: anyio_abc.TaskGroup) -> None:
        """Create a stack without back ends."""
        self._tasks = tasks
        self._endpoints: list[endpoints.Endpoint] = []
        self.runtime: runtime_lib.Runtime
        self.caller: httpx.AsyncClient

    async def serve(
        self, app: typing.Any, cert: str = "", key: str = ""
    ) -> str:
        """Serve an app and return its address once it accepts connections."""
        port = ports.free_ports(1)[0]
        server = serving.Server(app, "127.0.0.1", port, anyio.sleep_forever)
        self._tasks.start_soon(server.serve, cert, key)
        while True:
            try:
                stream = await anyio.connect_tcp("127.0.0.1", port)
            except OSError:
                await anyio.sleep(0.01)
                continue
            await stream.aclose()
            return f"{'https' if cert else 'http'}://127.0.0.1:{port}"

    async def add_engine(self, **options: typing.Any) -> engine_lib.Engine:
        """Add a fake engine of model 'base'."""
        name = f"engine-{len(self._endpoints)}"
        cfg = engine_lib.EngineConfig(name, **{"token_seconds": 0, **options})
        engine = engine_lib.Engine(cfg, version=1)
        kind = endpoints.EndpointKind.ENGINE
        address = await self.serve(engine_lib.create_app(engine))
        self.register_endpoint(name, kind, address)
        return engine

    async def add_service(self) -> service_lib.Service:
        """Add a fake booking service."""
        service = service_lib.Service("booking")
        name = f"booking-{len(self._endpoints)}"
        kind = endpoints.EndpointKind.SERVICE
        address = await self.serve(service_lib.create_app(service))
        self.register_endpoint(name, kind, address)
        return service

    def register_endpoint(
        self, name: str, kind: endpoints.EndpointKind, address: str
    ) -> None:
        """Add an endpoint to the directory of the instance."""
        is_engine = kind is endpoints.EndpointKind.ENGINE
        self._endpoints.append(
            endpoints.Endpoint(
                name,
                kind,
                "zone-a",
                address,
                models=("base",) if is_engine else (),
                service="" if is_engine else "booking",
            )
        )
        self.runtime.directory.update(self._endpoints)

    async def book(
        self, ticket: str, body: str, **options: typing.Any
    ) -> BookingResponse:
        """Send one booking; raise if the connection is lost."""
        headers = {**HEADERS, "idempotency-key": ticket}
        headers.update(options.pop("headers", {}))
        resp = await self.caller.post(
            "/v1/services/booking/orders",
            content=body,
            headers=headers,
            **options,
        )
        return BookingResponse(resp)

    async def ticket(self) -> str:
        """Request a new ticket and return it."""
        resp = await self.caller.post("/v1/tickets", headers=HEADERS)
        return str(resp.json()["ticket"])

    def generate(
        self, max_tokens: int, prompt: str = "", **headers: str
    ) -> contextlib.AbstractAsyncContextManager[httpx.Response]:
        """Return a context manager that opens a stream of tokens."""
        return self.caller.stream(
            "POST",
            "/v1/chat/completions",
            json={
                "model": "base",
                "stream": True,
                "max_tokens": max_tokens,
                "messages": [{"role": "user", "content": prompt}],
            },
            headers={**HEADERS, **headers},
        )


def read_events(text: str) -> tuple[list[dict[str, typing.Any]], bool]:
    """Return the events of a stream and whether it ended with `[DONE]`."""
    data = [line[6:] for line in text.splitlines() if line[:6] == "data: "]
    is_complete = bool(data) and data[-1] == "[DONE]"
    return [json.loads(item) for item in data if item != "[DONE]"], is_complete


def create_runtime(**changes: typing.Any) -> runtime_lib.Runtime:
    """Return an instance that is ready for customer 'cereza'."""
    runtime = entry.create_runtime(builders.cfg(**changes))
    record = contracts.ContractRecord(builders.contract(), 1)
    runtime.contracts.apply(record)
    runtime.lifecycle.set_ready()
    return runtime


@contextlib.asynccontextmanager
async def run(**changes: typing.Any) -> abc.AsyncIterator[Stack]:
    """Run an instance and a client until the block ends."""
    async with anyio.create_task_group() as tasks:
        stack = Stack(tasks)
        stack.runtime = create_runtime(**changes)
        stack.runtime.lifecycle.set_task_group(tasks)
        address = await stack.serve(caller_app.create_app(stack.runtime))
        async with httpx.AsyncClient(
            base_url=address, timeout=30.0, trust_env=False
        ) as caller:
            stack.caller = caller
            yield stack
        tasks.cancel_scope.cancel()
    await stack.runtime.client.aclose()


async def wait_until(
    condition: abc.Callable[[], bool], seconds: float
) -> None:
    """Wait for a condition and fail if it does not hold in time."""
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.005)
