"""Test how the HTTP server ends connections."""

import asyncio
from collections import abc
import contextlib
import gc
import pathlib
import socket
import ssl
import struct
import typing

import anyio
from anyio.streams import buffered
from anyio.streams import tls as streams_tls
from hypercorn import events
import pytest

from hibiscussaddle.callers import connections
from hibiscussaddle import serving

import ports

# More than the socket buffers of both sides take, so that the server waits
# until the client reads.
_BODY_BYTES: typing.Final = 16 << 20
_CONNECTIONS: typing.Final = 5
# Far below the keep-alive timeout of the server.
_RELEASE_TIMEOUT_SECONDS: typing.Final = 5.0
# Longer than the server waits before it aborts connections when cancelled.
_READER_PAUSE_SECONDS: typing.Final = 0.5
_RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
_REQUEST: typing.Final = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
# The client preface, an empty SETTINGS frame and a HEADERS frame with
# ":method: GET", ":path: /", ":scheme: https" and ":authority: h" that ends
# stream 1 (RFC 9113, RFC 7541).
_HTTP2_REQUEST: typing.Final = (
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
    b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
    b"\x00\x00\x06\x01\x05\x00\x00\x00\x01\x82\x84\x87\x41\x01h"
)
# The flow-control window that a client has without a setting of its own.
_HTTP2_WINDOW_BYTES: typing.Final = 65_535
_UPGRADE_REQUEST: typing.Final = (
    b"GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade, http2-settings\r\n"
    b"upgrade: h2c\r\nhttp2-settings: AAMAAABk\r\n\r\n"
)
_HTTP2_PREFACE: typing.Final = _HTTP2_REQUEST[:33]
_DATA: typing.Final = pathlib.Path(__file__).parent / "data"
# Self-signed for 127.0.0.1.
_CERT: typing.Final = str(_DATA / "server.pem")
_KEY: typing.Final = str(_DATA / "server.key")

Scope: typing.TypeAlias = abc.MutableMapping[str, typing.Any]


def _create_app(part_bytes: int, parts: int = 1) -> typing.Any:
    """Return an app whose response bodies have equal parts."""

    async def app(scope: Scope, receive: typing.Any, send: typing.Any) -> None:
        if scope["type"] != "http":
            return
        length = str(part_bytes * parts).encode()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", length)],
            }
        )
        for remaining in reversed(range(parts)):
            await send(
                {
                    "type": "http.response.body",
                    "body": bytes(part_bytes),
                    "more_body": remaining > 0,
                }
            )

    return app


async def _reset_during_response(address: tuple[str, int]) -> None:
    async with await anyio.connect_tcp(*address) as conn:
        raw = conn.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await conn.send(_REQUEST)
        await conn.receive()


async def _close_after_response(address: tuple[str, int]) -> None:
    async with await anyio.connect_tcp(*address) as conn:
        await conn.send(_REQUEST)
        await conn.receive()


async def _leave_http2_response(
    conn: anyio.abc.ByteStream, request: bytes
) -> None:
    """Reset a connection after it has received as much as it allows."""
    raw = conn.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    await conn.send(request)
    received = 0
    with anyio.fail_after(_RELEASE_TIMEOUT_SECONDS):
        while received < _HTTP2_WINDOW_BYTES:
            received += len(await conn.receive())
    await conn.aclose()


async def _reset_negotiated_http2(address: tuple[str, int]) -> None:
    context = ssl.create_default_context(cafile=_CERT)
    context.set_alpn_protocols(["h2"])
    conn = await anyio.connect_tcp(
        *address, ssl_context=context, tls_standard_compatible=False
    )
    assert conn.extra(streams_tls.TLSAttribute.alpn_protocol) == "h2"
    await _leave_http2_response(conn, _HTTP2_REQUEST)


async def _reset_assumed_http2(address: tuple[str, int]) -> None:
    conn = await anyio.connect_tcp(*address)
    await _leave_http2_response(conn, _HTTP2_REQUEST)


async def _reset_upgraded_http2(address: tuple[str, int]) -> None:
    conn = await anyio.connect_tcp(*address)
    await _leave_http2_response(conn, _UPGRADE_REQUEST + _HTTP2_PREFACE)


def _response_count() -> int:
    """Return the number of large responses in memory."""
    return sum(
        isinstance(found, events.RawData) and len(found.data) >= _BODY_BYTES
        for found in gc.get_objects()
    )


async def _count_after(count: abc.Callable[[], int], most: int) -> int:
    """Return a count once it is at most the given one, or at the timeout."""
    with anyio.move_on_after(_RELEASE_TIMEOUT_SECONDS):
        while count() > most:
            await anyio.sleep(0.02)
    return count()


@contextlib.asynccontextmanager
async def _serve(
    app: typing.Any,
    stop: abc.Callable[[], abc.Awaitable[None]] = anyio.sleep_forever,
    tls: tuple[str, str] = ("", ""),
    bounds: serving.Bounds | None = None,
) -> abc.AsyncIterator[tuple[serving.Server, tuple[str, int]]]:
    """Serve an app on a free port; give the server and its address."""
    address = ("127.0.0.1", ports.free_ports(1)[0])
    server = serving.Server(app, *address, stop, bounds)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, *tls)
        await _wait_until_listening(address)
        yield server, address
        tasks.cancel_scope.cancel()


def _serve_and_close(
    body_bytes: int,
    close: abc.Callable[[tuple[str, int]], abc.Awaitable[None]],
    check: abc.Callable[[int], abc.Awaitable[None]],
    tls: tuple[str, str] = ("", ""),
) -> None:
    """Close connections to a server, then check with the tasks before."""

    async def main() -> None:
        app = _create_app(body_bytes)
        async with _serve(app, tls=tls) as (_, address):
            before = len(asyncio.all_tasks())
            for _ in range(_CONNECTIONS):
                await close(address)
            await check(before)

    anyio.run(main)


async def _wait_until_listening(address: tuple[str, int]) -> None:
    """Wait without a connection, whose tasks a test would count."""
    with anyio.fail_after(_RELEASE_TIMEOUT_SECONDS):
        while ports.is_free(address[1]):
            await anyio.sleep(0.02)
        await anyio.wait_all_tasks_blocked()


async def _receive_all(conn: anyio.abc.ByteStream) -> bytes:
    """Return what a connection still receives until its end."""
    return b"".join([data async for data in conn])


@pytest.mark.parametrize(
    ("body_bytes", "close"),
    [(1, _close_after_response), (_BODY_BYTES, _reset_during_response)],
)
def test_closed_connection_ends_its_tasks(
    body_bytes: int,
    close: abc.Callable[[tuple[str, int]], abc.Awaitable[None]],
) -> None:
    """Fails when a closed connection lives on until the keep-alive timeout.

    Each one keeps its tasks, buffers and file descriptor for that time.
    """

    async def check(tasks_before: int) -> None:
        tasks = await _count_after(
            lambda: len(asyncio.all_tasks()), tasks_before
        )
        assert tasks <= tasks_before

    _serve_and_close(body_bytes, close, check)


@pytest.mark.parametrize(
    ("reset", "tls"),
    [
        (_reset_negotiated_http2, (_CERT, _KEY)),
        (_reset_assumed_http2, ("", "")),
        (_reset_upgraded_http2, ("", "")),
    ],
)
def test_reset_http2_connection_ends_its_tasks(
    reset: abc.Callable[[tuple[str, int]], abc.Awaitable[None]],
    tls: tuple[str, str],
) -> None:
    """Fails when a response waits forever for the window of a gone client.

    A planned stop would wait for it as long as for a stream. Without TLS a
    client may start with HTTP/2 or ask for it in an HTTP/1.1 request.
    """

    async def check(tasks_before: int) -> None:
        tasks = await _count_after(
            lambda: len(asyncio.all_tasks()), tasks_before
        )
        assert tasks <= tasks_before

    _serve_and_close(_BODY_BYTES, reset, check, tls)


def test_reset_connection_releases_its_response() -> None:
    """Fails when the response of a reset connection stays in memory.

    Readers that gave up on large pages made the owner of a batch exceed its
    memory limit on kigali-engrave-grown scale-1. The garbage collector is
    disabled, since its full collections are rare in a running instance.
    """

    async def check(_: int) -> None:
        assert await _count_after(_response_count, 0) == 0

    gc.collect()
    gc.disable()
    try:
        _serve_and_close(_BODY_BYTES, _reset_during_response, check)
    finally:
        gc.enable()


def test_half_closed_connection_receives_its_response() -> None:
    """Fails when the end of reading discards a response or delays its end.

    The app responds only after the server has read the end of the stream.
    """
    respond = _create_app(_BODY_BYTES)

    async def app(scope: Scope, receive: typing.Any, send: typing.Any) -> None:
        if scope["type"] != "http":
            return
        while (await receive())["type"] != "http.disconnect":
            pass
        await respond(scope, receive, send)

    async def main() -> None:
        async with (
            _serve(app) as (_, address),
            await anyio.connect_tcp(*address) as conn,
        ):
            await conn.send(_REQUEST)
            await conn.send_eof()
            with anyio.fail_after(_RELEASE_TIMEOUT_SECONDS):
                response = await _receive_all(conn)
            assert len(response.partition(b"\r\n\r\n")[2]) == _BODY_BYTES

    anyio.run(main)


def test_planned_stop_completes_responses_and_closes_idle() -> None:
    """Fails when a planned stop aborts a response or waits for idle clients.

    The reader pauses during the stop, while the app still waits to send the
    last part. The server must not end before, since the process ends with it.
    """
    body_bytes = 2 * _BODY_BYTES

    async def main() -> None:
        app = _create_app(_BODY_BYTES, 2)
        stop = anyio.Event()
        async with (
            _serve(app, stop.wait) as (server, address),
            await anyio.connect_tcp(*address) as idle,
            await anyio.connect_tcp(*address) as writing,
        ):
            with anyio.fail_after(_RELEASE_TIMEOUT_SECONDS):
                await idle.send(_REQUEST)
                reader = buffered.BufferedByteReceiveStream(idle)
                await reader.receive_until(b"\r\n\r\n", 1 << 10)
                await reader.receive_exactly(body_bytes)
                await writing.send(_REQUEST)
                response = await writing.receive()
                stop.set()
                assert await _receive_all(idle) == b""
                with anyio.move_on_after(_READER_PAUSE_SECONDS) as pause:
                    await server.wait()
                assert pause.cancelled_caught
                response += await _receive_all(writing)
                await server.wait()
            assert len(response.partition(b"\r\n\r\n")[2]) == body_bytes

    anyio.run(main)


class _RecordingTable(connections.ConnectionTable):
    """Keep the connections that were admitted and count those that ended."""

    def __init__(self) -> None:
        """Create an empty table."""
        super().__init__()
        self.admitted: list[typing.Any] = []
        self.ended = 0

    def admit(self, conn: typing.Any) -> bool:
        """Record the connection."""
        self.admitted.append(conn)
        return super().admit(conn)

    def remove(self, conn: connections.Closable) -> None:
        """Count the connection."""
        self.ended += 1
        super().remove(conn)


@pytest.mark.parametrize("method", ["close_idle", "abort"])
def test_request_on_a_closed_connection_is_not_run(method: str) -> None:
    """Fails when a request runs whose response can't be delivered.

    The bytes came before the connection was closed to make room.
    """
    runs = 0
    respond = _create_app(1)

    async def app(scope: Scope, receive: typing.Any, send: typing.Any) -> None:
        nonlocal runs
        runs += scope["type"] == "http"
        await respond(scope, receive, send)

    async def main() -> None:
        table = _RecordingTable()
        bounds = serving.Bounds(connections=table)
        async with (
            _serve(app, bounds=bounds) as (_, address),
            await anyio.connect_tcp(*address) as conn,
        ):
            await conn.send(_REQUEST)
            await conn.receive()
            await anyio.wait_all_tasks_blocked()
            served = table.admitted[0]
            served.reader.feed_data(_REQUEST)
            getattr(served, method)()
            assert await _count_after(lambda: 1 - table.ended, 0) == 0
            assert runs == 1

    anyio.run(main)


def test_idle_connection_with_unsent_bytes_is_closed() -> None:
    """Fails when a client that reads nothing keeps a closed connection.

    The table of connections no longer counts it, so that a crowd of them
    takes all descriptors.
    """

    async def main() -> None:
        table = _RecordingTable()
        bounds = serving.Bounds(connections=table)
        async with (
            _serve(_create_app(1), bounds=bounds) as (_, address),
            await anyio.connect_tcp(*address) as conn,
        ):
            await conn.send(_REQUEST)
            await conn.receive()
            await anyio.wait_all_tasks_blocked()
            served = table.admitted[0]
            served.writer.write(bytes(_BODY_BYTES))
            served.close_idle()
            assert await _count_after(lambda: 1 - table.ended, 0) == 0

    anyio.run(main)
