"""Test the release of connections by the HTTP server."""

import asyncio
from collections import abc
import gc
import socket
import struct
import typing

import anyio
from hypercorn import events
import pytest

from hibiscussaddle import serving

import ports

# More than the socket buffers of both sides take, so that the server waits
# until the client reads.
_BODY_BYTES: typing.Final = 16 << 20
_CONNECTIONS: typing.Final = 5
# Far below the keep-alive timeout of the server.
_RELEASE_TIMEOUT_SECONDS: typing.Final = 5.0
_RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
_REQUEST: typing.Final = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"

Scope: typing.TypeAlias = abc.MutableMapping[str, typing.Any]


def _create_app(body_bytes: int) -> typing.Any:
    async def app(scope: Scope, receive: typing.Any, send: typing.Any) -> None:
        if scope["type"] != "http":
            return
        length = str(body_bytes).encode()
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", length)],
            }
        )
        await send({"type": "http.response.body", "body": bytes(body_bytes)})

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


def _serve_and_close(
    body_bytes: int,
    close: abc.Callable[[tuple[str, int]], abc.Awaitable[None]],
    check: abc.Callable[[int], abc.Awaitable[None]],
) -> None:
    """Close connections to a server, then check with the tasks before."""

    async def main() -> None:
        port = ports.free_ports(1)[0]
        address = ("127.0.0.1", port)
        app = _create_app(body_bytes)
        server = serving.Server(app, *address, anyio.sleep_forever)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            await _wait_until_listening(address)
            before = len(asyncio.all_tasks())
            for _ in range(_CONNECTIONS):
                await close(address)
            await check(before)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def _wait_until_listening(address: tuple[str, int]) -> None:
    with anyio.fail_after(_RELEASE_TIMEOUT_SECONDS):
        while True:
            try:
                # Resets itself, since no request follows.
                conn = await anyio.connect_tcp(*address)
            except OSError:
                await anyio.sleep(0.02)
            else:
                raw = conn.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                await conn.aclose()
                return


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
