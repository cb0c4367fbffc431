"""Guard against endpoints that send a response a second time.

Each test runs against repetitions that follow at once and late ones.
"""

from collections import abc
import contextlib
import random
import time

import anyio
import httpx
import pytest

from hibiscussaddle.adapters import connections
from hibiscussaddle.batches import events
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config

import batch_builders
import limit_builders
import stuttering_server

pytestmark = pytest.mark.parametrize("is_late", [False, True])


@contextlib.asynccontextmanager
async def _client(
    clock: abc.Callable[[], float] = time.monotonic,
) -> abc.AsyncIterator[httpx.AsyncClient]:
    pool = connections.OriginTransport(clock, endpoint_wire.REQUEST_ID_HEADER)
    client = connections.create_client(pool)
    try:
        with anyio.fail_after(10):
            yield client
    finally:
        await client.aclose()


def _forward(
    kind: routing_config.RouteKind,
    server: stuttering_server.StutteringServer,
    *request_ids: str,
) -> list[request_state.ForwardResult]:
    """Forward requests one after the other to the server."""
    results: list[request_state.ForwardResult] = []

    async def main() -> None:
        async with (
            stuttering_server.serve(server) as url,
            _client() as client,
        ):
            view = view_lib.create_view()
            view.directory.put(batch_builders.engine("e-1", address=url))
            forwarder = forward.Forwarder(
                client,
                view,
                balance.Balancer("zone-a", random.Random(1)),
                limit_builders.limiter(),
            )
            for request_id in request_ids:
                req = request_state.CallerRequest(
                    request_id,
                    "POST",
                    "/desk/1",
                    "desk.example",
                    (("x-request-id", request_id),),
                    b"",
                    2.0,
                    time.monotonic(),
                )
                route = batch_builders.route(
                    kind=kind, timeout=5.0, max_attempts=3
                )
                results.append(await forwarder.forward_detailed(req, route))

    anyio.run(main)
    return results


@pytest.mark.parametrize(
    "kind",
    [
        routing_config.RouteKind.IDEMPOTENT,
        routing_config.RouteKind.NON_IDEMPOTENT,
    ],
)
def test_repeated_refusal_is_not_the_response_to_the_retry(
    kind: routing_config.RouteKind, is_late: bool
) -> None:
    """Fails when a retry takes the repeated refusal for its own response.

    The request then ran more often than allowed, or a caller got the success
    of one attempt while the server had refused the last one.
    """
    server = stuttering_server.StutteringServer(
        stuttering_server.REFUSED, stuttering_server.OK, is_late=is_late
    )
    [result] = _forward(kind, server, "r-1")
    assert result.response is not None and result.response.status == 200
    assert server.received == [["r-1"], ["r-1"]]


def test_repeated_failure_is_not_the_response_to_the_retry(
    is_late: bool,
) -> None:
    """Fails when a caller gets the failure of an attempt that succeeded."""
    server = stuttering_server.StutteringServer(
        stuttering_server.FAILED, stuttering_server.OK, is_late=is_late
    )
    kind = routing_config.RouteKind.IDEMPOTENT
    [result] = _forward(kind, server, "r-1")
    assert result.response is not None and result.response.status == 200
    assert result.response.body == b"done"
    assert result.failures == 1


def test_connection_is_closed_after_the_response_to_another_request(
    is_late: bool,
) -> None:
    """Fails when a connection stays one response behind its requests."""
    server = stuttering_server.StutteringServer(
        stuttering_server.OK, is_late=is_late
    )
    kind = routing_config.RouteKind.NON_IDEMPOTENT
    results = _forward(kind, server, *(f"r-{n}" for n in range(6)))
    bodies = [result.response and result.response.body for result in results]
    if is_late:
        # Each second request meets the repeated response and fails, since it
        # may have run.
        assert bodies == [b"done", None] * 3
    else:
        assert bodies == [b"done"] * 6
    assert all(len(ids) <= 2 for ids in server.received)


def test_item_is_not_refused_by_a_repeated_refusal(is_late: bool) -> None:
    """Fails when a run of an item takes a repeated refusal for its own."""
    stream = (
        "200 OK",
        ("x-weight-versions: 3", "x-server-stamp: s"),
        b"id: 1\ndata: token\n\n",
    )
    server = stuttering_server.StutteringServer(
        stuttering_server.REFUSED, stream, is_late=is_late
    )
    ends: list[runs.RunEnd] = []

    async def main() -> None:
        async with (
            stuttering_server.serve(server) as url,
            _client() as client,
        ):
            runner = runs.ItemRunner(
                client, placement.Placement(), limit_builders.limiter()
            )
            batch = batch_builders.batch(batch_builders.item("i-1"))
            progress = runs.Progress(batch.items[0], events.Transcript())
            endpoint = batch_builders.engine("e-1", address=url)
            ends.extend(
                [await runner.run(progress, batch, endpoint) for _ in range(2)]
            )

    anyio.run(main)
    assert ends == [runs.RunEnd.NOT_RUN, runs.RunEnd.COMPLETE]


def test_response_without_an_id_reaches_no_request_with_one(
    is_late: bool,
) -> None:
    """Fails when calls without an ID share connections with requests."""
    server = stuttering_server.StutteringServer(
        stuttering_server.OK, is_late=is_late
    )

    async def main() -> None:
        async with (
            stuttering_server.serve(server) as url,
            _client() as client,
        ):
            await client.get(url)
            resp = await client.get(url, headers={"x-request-id": "r-1"})
            assert resp.headers["x-request-id"] == "r-1"

    anyio.run(main)
    assert server.received == [[""], ["r-1"]]


def test_call_of_single_use_never_shares_a_connection(is_late: bool) -> None:
    """Fails when a repeated response can pass for that to a weight order."""
    server = stuttering_server.StutteringServer(
        stuttering_server.OK, is_late=is_late
    )

    async def main() -> None:
        async with (
            stuttering_server.serve(server) as url,
            _client() as client,
        ):
            for extensions in ({}, {connections.SINGLE_USE: True}, {}):
                await client.post(url, extensions=extensions)

    anyio.run(main)
    used = [len(ids) for ids in server.received]
    assert used == ([2, 1] if is_late else [1, 1, 1])


def test_connection_carries_an_id_again_after_the_window(
    is_late: bool,
) -> None:
    """Fails when the IDs of a connection are kept forever."""
    now = 0.0
    server = stuttering_server.StutteringServer(
        stuttering_server.OK, is_late=is_late
    )

    async def main() -> None:
        nonlocal now
        async with (
            stuttering_server.serve(server) as url,
            _client(lambda: now) as client,
        ):
            headers = {"x-request-id": "r-1"}
            for _ in range(3):
                await client.get(url, headers=headers)
                now += connections.REPEAT_WINDOW_SECONDS / 2

    anyio.run(main)
    used = [len(ids) for ids in server.received]
    assert used == ([2, 1] if is_late else [1, 1, 1])
