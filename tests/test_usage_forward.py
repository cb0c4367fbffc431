"""Test which forwarded requests count for a workspace."""

import time
import typing

import anyio
from starlette import requests
from starlette import responses

from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config
from hibiscussaddle.usage import counter as counter_lib

import batch_builders
import fake_services

ROUTE: typing.Final = batch_builders.route(
    kind=routing_config.RouteKind.IDEMPOTENT,
    splits=(routing_config.Split("desk", 1.0),),
    timeout=0.8,
    latency_target=0.1,
    max_attempts=2,
)


async def _respond(req: requests.Request) -> responses.Response:
    headers = {
        "x-request-id": req.headers["x-request-id"],
        "x-server-stamp": "stamp",
    }
    return responses.Response(b"answer", 200, headers)


async def _respond_slowly(req: requests.Request) -> responses.Response:
    await anyio.sleep(0.4)
    return await _respond(req)


async def _refuse(req: requests.Request) -> responses.Response:
    headers = {
        "x-request-id": req.headers["x-request-id"],
        "x-not-run": "1",
    }
    return responses.Response(b"", 503, headers)


def _request(workspace: str) -> request_state.CallerRequest:
    return request_state.CallerRequest(
        id="r-1",
        method="POST",
        target="/orders/7",
        host="desk.example",
        headers=(("host", "desk.example"), ("x-request-id", "r-1")),
        body=b"nets",
        timeout=1.0,
        arrived_at=time.monotonic(),
        workspace=workspace,
    )


def _count(
    *behaviors: typing.Any,
    workspace: str = "nets",
    is_scoring: bool = False,
    give_up_seconds: float = 5.0,
) -> tuple[int, counter_lib.UsageCounter]:
    """Forward one request; return how often it counts, and the counter."""
    counter = counter_lib.UsageCounter(1e6)

    async def main() -> None:
        async with fake_services.serve(*behaviors) as (forwarder, _):
            forwarder.usage = counter
            send = forwarder.forward
            if is_scoring:
                send = forwarder.forward_detailed  # type: ignore[assignment]
            with anyio.move_on_after(give_up_seconds):
                await send(_request(workspace), ROUTE)

    anyio.run(main)
    counts = counter.counts().values()
    return sum(sum(window.values()) for window in counts), counter


def test_hedged_request_counts_once() -> None:
    """Fails when each endpoint that a request reaches counts it."""
    assert _count(_respond_slowly, _respond_slowly)[0] == 1


def test_refused_request_does_not_count() -> None:
    """Fails when attempts stated as not run count."""
    assert _count(_refuse, _refuse)[0] == 0
    assert _count(_refuse, _respond)[0] == 1


def test_request_of_a_caller_that_left_counts_and_is_final() -> None:
    """Fails when a closed connection loses a count or blocks a window."""
    number, counter = _count(_respond_slowly, give_up_seconds=0.05)
    assert number == 1
    now = time.time()
    newest = counter_lib.window_at(now, counter.window_seconds)
    assert counter.final_through((newest + 1) * 1e6) == newest


def test_scoring_calls_and_requests_without_a_workspace_do_not_count() -> None:
    """Fails when usage contains more than callers' own requests."""
    assert _count(_respond, is_scoring=True)[0] == 0
    assert _count(_respond, workspace="")[0] == 0
