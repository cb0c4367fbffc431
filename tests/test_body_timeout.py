"""Test requests whose body stalls or arrives slowly."""

import asyncio
from collections import abc
import contextlib
import time
import types
import typing

import anyio
import anyio.abc
import pytest
from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import body_timeout
from hibiscussaddle import caller_app
from hibiscussaddle import gateway as gateway_lib
from hibiscussaddle import gateway_process
from hibiscussaddle.platform import ingress
from hibiscussaddle import serving

import loopback
import ports
import test_ingress

# Long enough for a body of a few parts on a busy machine.
_DEADLINE_SECONDS: typing.Final = 1.0
# Far below the keep-alive timeout of the server.
_RELEASE_TIMEOUT_SECONDS: typing.Final = 5.0
_BODY: typing.Final = b"0123456789"
_NEXT_REQUEST: typing.Final = b"GET /next HTTP/1.1\r\nhost: h\r\n\r\n"


class EchoGateway(test_ingress.HangingGateway):
    """Respond to each request with its body."""

    def __init__(self) -> None:
        """Create a gateway that has forwarded nothing."""
        super().__init__()
        self.bodies: list[bytes] = []

    async def forward(self, req: typing.Any, *_: object) -> typing.Any:
        """Record the body of the request and respond."""
        self.bodies.append(req.body)
        return types.SimpleNamespace(status=200, body=req.body, headers=())


async def _echo_body(req: requests.Request) -> responses.Response:
    return responses.Response(await req.body())


def _ingress(gateway: test_ingress.HangingGateway) -> ingress.Ingress:
    return ingress.Ingress(typing.cast(gateway_lib.Gateway, gateway))


def _peer_app() -> applications.Starlette:
    return applications.Starlette(
        routes=[routing.Route("/orders", _echo_body, methods=["POST"])],
        middleware=[
            middleware.Middleware(
                body_timeout.BodyTimeout, seconds=_DEADLINE_SECONDS
            )
        ],
    )


@contextlib.asynccontextmanager
async def _serve(
    app: typing.Any,
) -> abc.AsyncIterator[tuple[tuple[str, int], serving.Server, anyio.Event]]:
    address = ("127.0.0.1", ports.free_ports(1)[0])
    stop = anyio.Event()
    server = serving.Server(app, *address, stop.wait)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        with anyio.fail_after(_RELEASE_TIMEOUT_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    await (await anyio.connect_tcp(*address)).aclose()
                    break
                await anyio.sleep(0.02)
        await anyio.sleep(0.05)
        yield address, server, stop
        tasks.cancel_scope.cancel()


async def _start_request(
    address: tuple[str, int], path: str = "/orders", headers: str = ""
) -> anyio.abc.SocketStream:
    conn = await anyio.connect_tcp(*address)
    head = (
        f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {len(_BODY)}\r\n"
        f"x-deadline-ms: {_DEADLINE_SECONDS * 1000:.0f}\r\n"
        f"x-deadline-seconds: {_DEADLINE_SECONDS}\r\n{headers}\r\n"
    )
    await conn.send(head.encode() + _BODY[:4])
    return conn


async def _read_to_end(conn: anyio.abc.SocketStream) -> bytes:
    received = b""
    with anyio.fail_after(_RELEASE_TIMEOUT_SECONDS):
        while True:
            try:
                received += await conn.receive()
            except anyio.EndOfStream:
                return received


async def _check_stalled_body(
    address: tuple[str, int], path: str = "/orders"
) -> bytes:
    """Return the response to stalled requests; check that they are released.

    Each one has to end at its deadline, with its connection and its tasks.
    """
    before = len(asyncio.all_tasks())
    started = time.monotonic()
    conns = [await _start_request(address, path) for _ in range(3)]
    received = [await _read_to_end(conn) for conn in conns]
    elapsed = time.monotonic() - started
    assert _DEADLINE_SECONDS - 0.05 < elapsed < _DEADLINE_SECONDS + 1
    assert all(text.startswith(b"HTTP/1.1 408") for text in received)
    assert all(b"connection: close" in text.lower() for text in received)
    with anyio.fail_after(_RELEASE_TIMEOUT_SECONDS):
        while len(asyncio.all_tasks()) > before:
            await anyio.sleep(0.02)
    for conn in conns:
        await conn.aclose()
    return received[0]


def test_caller_that_stalls_is_refused_at_its_deadline() -> None:
    """Fails when a caller that was cut off keeps its request forever.

    Ten such callers with 2 MB each kept 39 MB and 20 tasks.
    """

    async def main() -> None:
        gateway = EchoGateway()
        async with _serve(_ingress(gateway)) as (address, _, _):
            assert b"1114 body_incomplete" in await _check_stalled_body(
                address
            )
        assert not gateway.bodies

    anyio.run(main)


@pytest.mark.parametrize("raw", ["nan", "inf"])
def test_deadline_that_is_not_finite_does_not_remove_the_limit(
    raw: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fails when a deadline of "inf" or "nan" lets a body stall forever."""
    monkeypatch.setattr(ingress, "_DEFAULT_TIMEOUT_SECONDS", _DEADLINE_SECONDS)

    async def main() -> None:
        async with _serve(_ingress(EchoGateway())) as (address, _, _):
            conn = await anyio.connect_tcp(*address)
            head = f"POST / HTTP/1.1\r\nhost: h\r\nx-deadline-ms: {raw}\r\n"
            await conn.send(head.encode() + b"content-length: 9\r\n\r\n1")
            received = await _read_to_end(conn)
            assert received.startswith(b"HTTP/1.1 408")
            await conn.aclose()

    anyio.run(main)


def test_rest_of_a_late_body_is_not_a_request() -> None:
    """Fails when bytes after the refusal are read as another request."""

    async def main() -> None:
        gateway = EchoGateway()
        async with _serve(_ingress(gateway)) as (address, _, _):
            conn = await _start_request(address)
            await anyio.sleep(_DEADLINE_SECONDS + 0.1)
            with contextlib.suppress(anyio.BrokenResourceError):
                await conn.send(_BODY[4:] + _NEXT_REQUEST)
                received = await _read_to_end(conn)
                assert received.count(b"HTTP/1.1 ") == 1
            await conn.aclose()
            await anyio.sleep(0.05)
        assert not gateway.bodies

    anyio.run(main)


@pytest.mark.parametrize("is_peer", [False, True])
def test_slow_body_that_is_complete_in_time_is_served(is_peer: bool) -> None:
    """Fails when the limit refuses a body that arrives slowly but in time."""

    async def main() -> None:
        app = _peer_app() if is_peer else _ingress(EchoGateway())
        async with _serve(app) as (address, _, _):
            conn = await _start_request(
                address, headers="connection: close\r\n"
            )
            for number in range(4, len(_BODY)):
                await anyio.sleep(0.03)
                await conn.send(_BODY[number : number + 1])
            received = await _read_to_end(conn)
            assert received.startswith(b"HTTP/1.1 200")
            assert received.endswith(_BODY)
            await conn.aclose()

    anyio.run(main)


def test_response_may_take_longer_than_the_body() -> None:
    """Fails when the limit of a body also ends a slow response."""

    async def main() -> None:
        async def respond_late(req: requests.Request) -> responses.Response:
            body = await req.body()
            await anyio.sleep(_DEADLINE_SECONDS + 0.1)
            assert not await req.is_disconnected()
            return responses.Response(body)

        app = applications.Starlette(
            routes=[routing.Route("/orders", respond_late, methods=["POST"])],
            middleware=_peer_app().user_middleware,
        )
        async with _serve(app) as (address, _, _):
            conn = await _start_request(
                address, headers="connection: close\r\n"
            )
            await conn.send(_BODY[4:])
            received = await _read_to_end(conn)
            assert received.startswith(b"HTTP/1.1 200")
            await conn.aclose()

    anyio.run(main)


def test_peer_that_stalls_is_refused() -> None:
    """Fails when a peer that was cut off keeps its request forever."""

    async def main() -> None:
        async with _serve(_peer_app()) as (address, _, _):
            await _check_stalled_body(address)

    anyio.run(main)


def test_peer_interface_limits_the_time_of_a_body() -> None:
    """Fails when the app that peers call is created without the limit."""
    components = typing.cast(typing.Any, _AnyComponents())
    app = gateway_process.create_peer_app(components)
    assert body_timeout.BodyTimeout in [m.cls for m in app.user_middleware]


class _AnyComponents:
    """Stand in for components that routes only keep."""

    def __getattr__(self, _: str) -> "_AnyComponents":
        return self


def test_first_interface_refuses_a_caller_that_stalls() -> None:
    """Fails when a stalled body holds a request past X-Deadline-Seconds."""

    async def main() -> None:
        async with (
            loopback.runtimes(1) as (runtime,),
            _serve(caller_app.create_app(runtime)) as (address, _, _),
        ):
            received = await _check_stalled_body(address, "/v1/tickets")
            assert b"x-result-code: 1114" in received
            assert not runtime.lifecycle.running.total()

    anyio.run(main)
