"""Guard callers against responses whose status line is none of HTTP/1."""

import random
import time
import typing

import anyio
import httpx
import pytest

from hibiscussaddle.adapters import connections
from hibiscussaddle.adapters import store
from hibiscussaddle.batches import events
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle import codes
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config

import batch_builders
import fake_services
import limit_builders
import raw_server

INVALID_LINES: typing.Final = (
    *(f"HTTP/1.1 {status} OK" for status in ("000", "001", "099", "101")),
    *(f"HTTP/1.1 {status} OK" for status in ("199x", "600", "777", "999")),
    *("HTTP/1.1 0200 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2OO OK"),
    *("HTTP/1.1 OK", "HTTP/1.1", "HTTP/9.9 200 OK", "HTTP/0.9 200 OK"),
    *(
        "HTTP/2.0 200 OK",
        "ICY 200 OK",
        "200 OK",
        "HTTP/1.1 \u0662\u0660\u0660",
    ),
)
_FIELDS: typing.Final = (
    "x-request-id: {0}\r\nx-server-stamp: stamp\r\nx-weight-versions: 1\r\n"
    "content-length: 15\r\n\r\nid: 1\ndata: x\n\n"
)
KINDS: typing.Final = (
    routing_config.RouteKind.IDEMPOTENT,
    routing_config.RouteKind.NON_IDEMPOTENT,
    routing_config.RouteKind.STREAM,
)


def _response(line: str, request_id: str) -> bytes:
    return f"{line}\r\n{_FIELDS.format(request_id)}".encode()


async def _forward(
    response: bytes, kind: routing_config.RouteKind
) -> request_state.ForwardResult:
    async with raw_server.serve(response) as url:
        view = view_lib.create_view()
        view.directory.put(fake_services.endpoint(0, url))
        client = connections.create_client()
        forwarder = forward.Forwarder(
            client,
            view,
            balance.Balancer("zone-a", random.Random(1)),
            limit_builders.limiter(),
        )
        route = batch_builders.route(
            kind=kind,
            splits=(routing_config.Split("desk", 1.0),),
            timeout=1.0,
        )
        request = request_state.CallerRequest(
            "r-1",
            "POST",
            "/orders/7",
            "desk.example",
            (("host", "desk.example"), ("x-request-id", "r-1")),
            b"nets",
            1.0,
            time.monotonic(),
        )
        # Scoring calls take this result, other requests the response in it.
        found = await forwarder.forward_detailed(request, route)
        await client.aclose()
        return found


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("line", INVALID_LINES)
def test_caller_gets_no_response_with_an_invalid_status(
    line: str, kind: routing_config.RouteKind
) -> None:
    """Fails when such a status reaches a caller or counts as a score.

    Other systems passed on an answer with the status 000.
    """
    found = anyio.run(_forward, _response(line, "r-1"), kind)
    assert found.response is None
    assert isinstance(found.refusal, codes.Refusal)
    # The request may have run, which 429 and 503 would deny.
    assert found.refusal.code.value.http_status in (502, 504)


@pytest.mark.parametrize("line", ["HTTP/1.1 200", "HTTP/1.0 200 OK"])
def test_valid_status_lines_are_passed_on(line: str) -> None:
    """Fails when a response without a reason, or an older one, is lost."""
    found = anyio.run(_forward, _response(line, "r-1"), KINDS[0])
    assert isinstance(found.response, request_state.EndpointResponse)
    assert found.response.status == 200


@pytest.mark.parametrize("line", INVALID_LINES)
def test_item_with_an_invalid_status_is_run_again(line: str) -> None:
    """Fails when the bytes after such a status become part of a text."""

    async def main() -> tuple[runs.RunEnd, list[str]]:
        client = connections.create_client()
        async with raw_server.serve(_response(line, "item-1")) as url:
            runner = runs.ItemRunner(
                client, placement.Placement(), limit_builders.limiter()
            )
            batch = batch_builders.batch()
            progress = runs.Progress(batch.items[0], events.Transcript())
            endpoint = batch_builders.engine("e-1", address=url)
            end = await runner.run(progress, batch, endpoint)
        await client.aclose()
        return end, progress.transcript.texts

    assert anyio.run(main) == (runs.RunEnd.BROKEN, [])


@pytest.mark.parametrize("line", INVALID_LINES)
def test_store_call_with_an_invalid_status_may_have_run(line: str) -> None:
    """Fails when such a response of the store is taken for its answer."""

    async def main() -> store.StoreFailure:
        http = connections.create_client()
        async with raw_server.serve(_response(line, "")) as url:
            client = store.create_client(http, url, calls_per_second=1000)
            outcome = await client.commit({})
        await http.aclose()
        return outcome.unwrap_err().failure

    assert anyio.run(main) is store.StoreFailure.UNKNOWN


def test_connection_is_not_used_after_an_invalid_status() -> None:
    """Fails when the next request gets what followed such a response."""

    async def main() -> None:
        client = connections.create_client()
        line = "HTTP/1.1 777 OK"
        async with raw_server.serve(
            _response(line, "a"), _response("HTTP/1.1 200 OK", "b")
        ) as url:
            with pytest.raises(httpx.RemoteProtocolError):
                await client.get(url)
            assert (await client.get(url)).status_code == 200
        await client.aclose()

    anyio.run(main)
