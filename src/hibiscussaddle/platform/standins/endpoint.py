"""Stand-in for a hosted endpoint: a model engine or a plain service.

It follows the platform's published protocol: it updates its entry in the
store, serves requests, streams events and carries out weight orders.
"""

from collections import abc
import contextlib
import dataclasses
import time
import typing

import anyio
import httpx
import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.adapters import store

# Interval at which the entry in the store is written.
_HEARTBEAT_INTERVAL_SECONDS: typing.Final = 0.5
_WEIGHT_LOAD_SECONDS: typing.Final = 0.1


@dataclasses.dataclass(frozen=True)
class EndpointConfig:
    """Configure the identity and the speed of one endpoint."""

    id: str
    service: str
    address: str
    zone: str = "zone-a"
    # Empty for a plain service.
    model: str = ""
    slots: int = 4
    # Number of events in each stream, and the interval between them.
    events: int = 10
    event_seconds: float = 0.01
    # Requests per second that responses name as the limit; negative for none.
    rate_limit: float = -1.0
    # Whether every response says that the endpoint leaves.
    is_leaving: bool = False
    # Time until a plain service responds.
    response_seconds: float = 0.0
    # Bytes of a request's body that the response of a plain service repeats.
    echoed_bytes: int = 1 << 30
    # Time until a model engine sends its first event.
    first_event_seconds: float = 0.0
    # Version of the software, which the texts name if texts_name_version.
    software_version: str = "v1"
    texts_name_version: bool = False


class FakeEndpoint:
    """Hold the state of one endpoint."""

    def __init__(self, cfg: EndpointConfig) -> None:
        """Create an endpoint with version 1 of the weights."""
        self.cfg = cfg
        self.born = time.time_ns() // 1_000_000
        self.version = 1
        self.orders_accepted = 0
        self.is_loading = False
        self.is_draining = False
        # IDs of the requests that started, in order.
        self.started_requests: list[str] = []
        # Unix seconds at which each request arrived.
        self.arrivals: list[float] = []
        # Headers of each request that started, as received.
        self.received: list[tuple[tuple[bytes, bytes], ...]] = []
        # Number of next requests to a plain service that fail.
        self.failures_left = 0
        self._heartbeats = 0

    def workspaces(self) -> dict[str, list[str]]:
        """Return the workspaces that each request was sent with, by ID."""
        found: dict[str, list[str]] = {}
        for request_id, headers in zip(
            self.started_requests, self.received, strict=True
        ):
            found.setdefault(request_id, []).extend(
                value.decode()
                for name, value in headers
                if name == b"x-tenant"
            )
        return found

    def proof(self, request_id: str) -> str:
        """Return the proof for the response to a request."""
        return f"{self.cfg.id}/{request_id}"

    def entry(self) -> dict[str, typing.Any]:
        """Return the entry in the store, with the next heartbeat number."""
        self._heartbeats += 1
        return {
            "service": self.cfg.service,
            "address": self.cfg.address,
            "zone": self.cfg.zone,
            "version": self.cfg.software_version,
            "slots": self.cfg.slots,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "sequence": self._heartbeats,
            "models": self._models(),
            "born": self.born,
        }

    def report(self) -> dict[str, typing.Any]:
        """Return the response to a report call."""
        return {
            "busy": self.is_loading,
            "sequence": self.orders_accepted,
            "models": self._models(),
            "born": self.born,
        }

    def _models(self) -> list[dict[str, typing.Any]]:
        if not self.cfg.model:
            return []
        return [{"name": self.cfg.model, "version": self.version}]

    async def load(self, version: int) -> None:
        """Carry out a weight order."""
        await anyio.sleep(_WEIGHT_LOAD_SECONDS)
        self.version = version
        self.is_loading = False

    async def stream(self, after: int) -> abc.AsyncIterator[bytes]:
        """Yield the events after an event number."""
        await anyio.sleep(self.cfg.first_event_seconds)
        word = "token"
        if self.cfg.texts_name_version:
            word = self.cfg.software_version
        for number in range(after + 1, self.cfg.events + 1):
            await anyio.sleep(self.cfg.event_seconds)
            yield f"id: {number}\ndata: {word} {number}\n\n".encode()


def create_app(
    endpoint: FakeEndpoint, client: store.StoreClient
) -> applications.Starlette:
    """Return the HTTP interface of an endpoint."""

    leaving_headers = (
        {"server-leaving": "1"} if endpoint.cfg.is_leaving else {}
    )

    async def report(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            endpoint.report(), headers=leaving_headers
        )

    async def order(req: requests.Request) -> responses.Response:
        body = await req.json()
        if endpoint.is_loading or body["expected"] != endpoint.orders_accepted:
            return responses.Response(status_code=409)
        if endpoint.version >= body["version"]:
            return responses.Response(status_code=200)
        endpoint.orders_accepted += 1
        endpoint.is_loading = True
        req.app.state.tasks.start_soon(endpoint.load, body["version"])
        return responses.Response(status_code=202)

    async def run(req: requests.Request) -> responses.Response:
        expected = req.headers.get("x-expect-instance")
        if expected not in (None, endpoint.cfg.id):
            # The request is meant for another endpoint and does not run.
            return responses.Response(status_code=421)
        endpoint.arrivals.append(time.time())
        request_id = req.headers["x-request-id"]
        headers = {"x-request-id": request_id}
        if endpoint.cfg.rate_limit >= 0:
            headers["server-limit"] = str(endpoint.cfg.rate_limit)
        headers.update(leaving_headers)
        if endpoint.is_loading:
            headers["x-not-run"] = "1"
            return responses.Response(status_code=503, headers=headers)
        headers["x-server-stamp"] = endpoint.proof(request_id)
        endpoint.started_requests.append(request_id)
        endpoint.received.append(tuple(req.headers.raw))
        if not endpoint.cfg.model:
            # Decided along with the proof, since other requests may use up the
            # failures meanwhile.
            is_failure = endpoint.failures_left > 0
            endpoint.failures_left -= is_failure
            body = await req.body()
            await anyio.sleep(endpoint.cfg.response_seconds)
            if is_failure:
                return responses.Response(b"", 500, headers)
            echo = b"answer to " + body[: endpoint.cfg.echoed_bytes]
            return responses.Response(echo, 200, headers)
        headers["x-weight-versions"] = str(endpoint.version)
        after = int(req.headers.get("last-event-id", "0"))
        return responses.StreamingResponse(
            endpoint.stream(after),
            headers=headers,
            media_type="text/event-stream",
        )

    async def update_entry() -> None:
        key = f"servers/{endpoint.cfg.id}"
        while True:
            found = await client.get(key)
            revision = 0
            if isinstance(found, result.Ok):
                revision = found.ok_value.revision
            await client.put(key, endpoint.entry(), revision)
            await anyio.sleep(_HEARTBEAT_INTERVAL_SECONDS)

    async def started(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(endpoint.started_requests)

    async def workspaces(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(endpoint.workspaces())

    async def arrivals(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(endpoint.arrivals)

    @contextlib.asynccontextmanager
    async def lifespan(
        app: applications.Starlette,
    ) -> abc.AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            app.state.tasks = tasks
            tasks.start_soon(update_entry)
            yield
            tasks.cancel_scope.cancel()

    return applications.Starlette(
        routes=[
            routing.Route("/-/report", report),
            routing.Route("/-/order", order, methods=["POST"]),
            routing.Route("/started", started),
            routing.Route("/arrivals", arrivals),
            routing.Route("/workspaces", workspaces),
            routing.Route(
                "/{path:path}", run, methods=["GET", "POST", "PUT", "DELETE"]
            ),
        ],
        lifespan=lifespan,
    )


def create_registered_app(
    cfg: EndpointConfig, store_url: str
) -> applications.Starlette:
    """Return the app of an endpoint that registers with a store."""
    return create_app(FakeEndpoint(cfg), create_store_client(store_url))


def create_store_client(store_url: str) -> store.StoreClient:
    """Return the client with which an endpoint writes its entry."""
    return store.create_client(
        httpx.AsyncClient(trust_env=False), store_url, calls_per_second=1000
    )
