"""Test the HTTP connection pool."""

import gc
import socket
import typing
import weakref

import anyio
from anyio import abc as anyio_abc
import httpx
from starlette import requests
from starlette import responses

from hibiscussaddle.adapters import connections

import loopback
import raw_server


def test_connection_of_abandoned_request_is_reset() -> None:
    """Fails when the bytes of an abandoned request may still be delivered.

    Seen on cereza-hs trouble-2: seconds after a zone partition, the kernel
    retransmitted the request of an item whose run had been cancelled and
    whose batch had ended.
    """
    ends: list[str] = []

    async def main() -> None:
        done = anyio.Event()

        async def handle(stream: anyio_abc.SocketStream) -> None:
            await stream.receive()
            try:
                await stream.receive()
            except anyio.BrokenResourceError:
                ends.append("reset")
            except anyio.EndOfStream:
                ends.append("closed")
            done.set()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio_abc.SocketAttribute.local_port)
        client = connections.create_client()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            with anyio.move_on_after(0.3):
                await client.post(f"http://127.0.0.1:{port}", content=b"x")
            with anyio.fail_after(5):
                await done.wait()
            tasks.cancel_scope.cancel()
        await client.aclose()

    anyio.run(main)
    assert ends == ["reset"]


def test_responses_are_freed_without_a_garbage_collection() -> None:
    """Fails when an ended call keeps its bodies in a reference cycle.

    200 calls with request bodies of 1.2 MB kept up to 23 of them with the
    default thresholds of the collector, and all of them with those of entry.
    """
    live: list[bool] = []

    async def app(
        scope: requests.Scope, receive: requests.Receive, send: requests.Send
    ) -> None:
        await responses.Response(b"x" * 100_000)(scope, receive, send)

    async def read(
        client: httpx.AsyncClient, url: str
    ) -> weakref.ref[httpx.Response]:
        resp = await client.post(url, content=b"x")
        assert len(resp.content) == 100_000
        return weakref.ref(resp)

    async def stream(
        client: httpx.AsyncClient, url: str
    ) -> weakref.ref[httpx.Response]:
        async with client.stream("POST", url, content=b"x") as resp:
            assert len(await resp.aread()) == 100_000
        return weakref.ref(resp)

    async def abandon(
        client: httpx.AsyncClient, url: str
    ) -> weakref.ref[httpx.Response]:
        async with client.stream("POST", url, content=b"x") as resp:
            return weakref.ref(resp)

    async def main() -> None:
        async with loopback.serve(app) as url:
            client = connections.create_client()
            gc.disable()
            try:
                for call in (read, stream, abandon):
                    resp = await call(client, url)
                    live.append(resp() is not None)
            finally:
                gc.enable()
                await client.aclose()

    anyio.run(main)
    assert live == [False, False, False]


def test_connections_to_an_endpoint_that_left_are_closed() -> None:
    """Fails when a quiet instance keeps connections that nobody uses.

    1,280 connections to 20 endpoints that had left stayed open for 40 s and
    would have stayed for as long as the instance got few responses.
    """
    now = 0.0
    closed = anyio.Event()

    async def main() -> None:
        nonlocal now

        async def respond(stream: anyio_abc.SocketStream) -> None:
            try:
                while await stream.receive():
                    await stream.send(b"HTTP/1.1 204 No Content\r\n\r\n")
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                closed.set()

        listeners = [
            await anyio.create_tcp_listener(local_host="127.0.0.1")
            for _ in range(2)
        ]
        left, used = (
            f"http://127.0.0.1:"
            f"{listener.extra(anyio_abc.SocketAttribute.local_port)}"
            for listener in listeners
        )
        transport = connections.OriginTransport(clock=lambda: now)
        async with (
            httpx.AsyncClient(transport=transport) as client,
            anyio.create_task_group() as tasks,
        ):
            for listener in listeners:
                tasks.start_soon(listener.serve, respond)
            await client.get(left)
            for _ in range(8):
                now += 5.0
                await client.get(used)
            with anyio.fail_after(5):
                await closed.wait()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert closed.is_set()


def test_cookies_of_one_caller_are_not_sent_for_another() -> None:
    """Fails when the shared client keeps the cookies of responses.

    The client sent the session of one caller with the next caller's request.
    """
    received: list[str | None] = []
    returned: list[list[str]] = []

    async def app(
        scope: requests.Scope, receive: requests.Receive, send: requests.Send
    ) -> None:
        req = requests.Request(scope, receive)
        received.append(req.headers.get("cookie"))
        resp = responses.Response(b"")
        resp.set_cookie("session", "r0", max_age=60)
        resp.set_cookie("language", "en")
        await resp(scope, receive, send)

    async def main() -> None:
        async with loopback.serve(app) as url:
            client = connections.create_client()
            for headers in ({}, {}, {"cookie": "session=own"}):
                resp = await client.get(url, headers=headers)
                returned.append(resp.headers.get_list("set-cookie"))
            await client.aclose()

    anyio.run(main)
    assert received == [None, None, "session=own"]
    assert all(len(cookies) == 2 for cookies in returned)


def test_connections_of_runs_send_no_probes() -> None:
    """Fails when probes end a connection on which an item was just sent.

    On cereza-hs trouble-2 an item reached an engine 3.4 to 4.1 s after the end
    of its batch: probes had ended its connection, without a reset, and the
    bytes arrived once the partition of the zone healed.
    """
    options: list[tuple[int, int]] = []

    class RecordingTransport(connections.OriginTransport):
        def _create_transport(
            self, scheme: str, is_probed: bool
        ) -> httpx.AsyncHTTPTransport:
            created = super()._create_transport(scheme, is_probed)
            pool: typing.Any = created._pool
            options.append(
                (
                    int(is_probed),
                    sum(
                        option[1] == socket.SO_KEEPALIVE
                        for option in pool._socket_options
                    ),
                )
            )
            return created

    async def main() -> None:
        response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        client = connections.create_client(RecordingTransport())
        async with raw_server.serve(response) as url:
            for extensions in ({}, {connections.NO_PROBES: True}):
                await client.get(url, extensions=extensions)
        await client.aclose()

    anyio.run(main)
    assert options == [(1, 1), (0, 0)]
