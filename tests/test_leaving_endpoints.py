"""Guard against requests to endpoints that said that they leave.

The store still lists these endpoints as ready, as it does while it is away.
"""

import random
import time
import typing

import anyio
import hypothesis
from hypothesis import strategies
import pytest

from hibiscussaddle.adapters import connections
from hibiscussaddle.adapters import store
from hibiscussaddle.batches import engine_choice
from hibiscussaddle.batches import events
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config

import batch_builders
import limit_builders
import platform_builders
import stuttering_server

LEAVING: typing.Final = "server-leaving: 1"
REFUSED: typing.Final = ("503 Busy", ("x-not-run: 1", LEAVING), b"")
FAILED: typing.Final = ("500 Error", ("x-server-stamp: s", LEAVING), b"")
SERVED: typing.Final = ("200 OK", ("x-server-stamp: s", LEAVING), b"done")
STREAM: typing.Final = (
    "200 OK",
    ("x-weight-versions: 3", LEAVING),
    b"id: 1\ndata: token\n\n",
)


class Instance:
    """Hold the parts of an instance that send requests to endpoints."""

    def __init__(self, *urls: str) -> None:
        """List endpoints e-0, e-1, ... with the given URLs."""
        self.client = connections.create_client(
            connections.OriginTransport(
                id_header=endpoint_wire.REQUEST_ID_HEADER
            )
        )
        self.view = view_lib.create_view()
        for number, url in enumerate(urls):
            self.view.directory.put(
                batch_builders.engine(f"e-{number}", address=url)
            )
        self.limiter: limiter_lib.Limiter = limit_builders.limiter()
        self.limiter.on_leaving = self.view.record_leaving
        self.forwarder = forward.Forwarder(
            self.client,
            self.view,
            balance.Balancer("zone-a", random.Random(1)),
            self.limiter,
        )

    async def forward(self, request_id: str) -> request_state.Response:
        """Forward an idempotent request."""
        req = request_state.CallerRequest(
            request_id,
            "GET",
            "/desk/1",
            "desk.example",
            (("x-request-id", request_id),),
            b"",
            2.0,
            time.monotonic(),
        )
        kind = routing_config.RouteKind.IDEMPOTENT
        route = batch_builders.route(kind=kind, timeout=5.0)
        with anyio.fail_after(5):
            return await self.forwarder.forward(req, route)

    def routable(self) -> list[str]:
        """Return the ids of the endpoints that get new work."""
        directory = self.view.directory
        return [ep.id for ep in directory.filter_routable(directory.all())]


def _server(reply: stuttering_server.Reply) -> typing.Any:
    return stuttering_server.StutteringServer(reply, is_late=True)


def _received(server: stuttering_server.StutteringServer) -> int:
    return sum(map(len, server.received))


@pytest.mark.parametrize("reply", [SERVED, FAILED, REFUSED])
def test_endpoint_that_leaves_gets_no_more_requests(
    reply: stuttering_server.Reply,
) -> None:
    """Fails when a retry, a later request or a kept connection reaches it."""
    leaving = _server(reply)
    staying = _server(stuttering_server.OK)

    async def main() -> None:
        async with (
            stuttering_server.serve(leaving) as url,
            stuttering_server.serve(staying) as other,
        ):
            instance = Instance(url, other)
            for number in range(20):
                response = await instance.forward(f"r-{number}")
                assert isinstance(response, request_state.EndpointResponse)
                assert response.status == 200
            assert instance.routable() == ["e-1"]
            await instance.client.aclose()

    anyio.run(main)
    assert _received(leaving) == 1


def test_request_is_refused_at_once_when_all_endpoints_leave() -> None:
    """Fails when a request waits for endpoints that take none."""
    leaving = _server(SERVED)

    async def main() -> None:
        async with stuttering_server.serve(leaving) as url:
            instance = Instance(url)
            await instance.forward("r-1")
            started = time.monotonic()
            response = await instance.forward("r-2")
            assert time.monotonic() - started < 0.5
            assert isinstance(response, codes.Refusal)
            assert response.code is codes.Code.NO_ENDPOINT
            await instance.client.aclose()

    anyio.run(main)
    assert _received(leaving) == 1


@pytest.mark.parametrize("reply", [STREAM, FAILED, REFUSED])
def test_engine_that_leaves_gets_no_more_items(
    reply: stuttering_server.Reply,
) -> None:
    """Fails when the head of a stream or a refusal is not looked at."""
    ends: list[runs.RunEnd] = []

    async def main() -> None:
        async with stuttering_server.serve(_server(reply)) as url:
            instance = Instance(url, "http://127.0.0.1:1")
            engines = placement.Placement()
            runner = runs.ItemRunner(
                instance.client, engines, instance.limiter
            )
            batch = batch_builders.batch(batch_builders.item("i-1"))
            instance.view.config = routing_config.RoutingConfig(
                1, (batch_builders.route(),)
            )
            choice = engine_choice.EngineChoice(
                instance.view, engines, instance.limiter, batch
            )
            assert len(choice.candidates(batch.items[0])) == 2
            progress = runs.Progress(batch.items[0], events.Transcript())
            endpoint = instance.view.directory.get("e-0")
            assert endpoint is not None
            ends.append(await runner.run(progress, batch, endpoint))
            found = choice.candidates(batch.items[0])
            assert [ep.id for ep in found] == ["e-1"]
            await instance.client.aclose()

    anyio.run(main)
    assert len(ends) == 1


def test_response_of_another_endpoint_marks_nothing() -> None:
    """Fails when the new owner of an address marks the previous one."""
    instance = Instance("http://127.0.0.1:1")
    [endpoint] = instance.view.directory.all()
    resp = limit_builders.response(421)
    resp.headers["server-leaving"] = "1"
    instance.limiter.observe(endpoint, resp, "r-1")
    assert instance.routable() == ["e-0"]


@pytest.mark.parametrize(
    ("value", "expected"),
    [("1", True), (" 1 ", True), ("0", False), ("", False), ("0, 1", True)],
)
def test_header_value_is_decoded(value: str, expected: bool) -> None:
    """Fails when another value counts as leaving."""
    assert endpoint_wire.decode_leaving([value]) is expected


def test_marks_are_bounded() -> None:
    """Fails when the marks of endpoints that have left use up memory."""
    view = view_lib.create_view()
    count = 5_000
    for number in range(count):
        view.record_leaving(batch_builders.engine(f"e-{number}"))
    assert len(view.directory.marks.all()) < count


class Lifetime(typing.NamedTuple):
    """Name what happens to the endpoint e-1 next."""

    action: str
    # Start of the endpoint that is listed or that responds.
    born: int


@hypothesis.given(
    strategies.lists(
        strategies.builds(
            Lifetime,
            strategies.sampled_from(["listed", "removed", "left", "served"]),
            strategies.integers(1, 3),
        ),
        max_size=30,
    )
)
def test_only_the_lifetime_that_left_is_marked(
    steps: list[Lifetime],
) -> None:
    """Fails when a stale listing lifts a mark or a late response sets one."""
    instance = Instance()
    view = instance.view
    newest_left = 0
    listed: int | None = None
    for revision, step in enumerate(steps, 1):
        entry = platform_builders.endpoint_entry(
            "e-1", revision, born=step.born
        )
        if step.action == "listed":
            view.apply_endpoint_entries([entry])
            listed = step.born
        elif step.action == "removed":
            view.apply_endpoint_entries(
                [store.StoreEntry(entry.key, None, revision)]
            )
            listed = None
        else:
            endpoint = endpoint_wire.decode_endpoint(
                entry.key, entry.data or b""
            )
            resp = limit_builders.response(200)
            if step.action == "left":
                resp.headers["server-leaving"] = "1"
                newest_left = max(newest_left, step.born)
            instance.limiter.observe(endpoint, resp, "r-1")
        expected = listed is not None and listed > newest_left
        assert instance.routable() == (["e-1"] if expected else [])


def test_engine_report_marks_a_leaving_engine() -> None:
    """Fails when only responses to requests are looked at."""
    instance = Instance("http://127.0.0.1:1")
    [endpoint] = instance.view.directory.all()
    assert isinstance(endpoint, endpoints.Endpoint)
    resp = limit_builders.response(200)
    resp.headers["server-leaving"] = "1"
    instance.limiter.observe(endpoint, resp, "-", is_run=False)
    assert not instance.view.directory.engines("base")
