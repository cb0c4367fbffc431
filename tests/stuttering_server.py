"""Serve responses of which some are sent a second time."""

from collections import abc
import contextlib
import typing

import anyio
from anyio import abc as anyio_abc

# Status line, headers beside the request ID, and body.
Reply: typing.TypeAlias = tuple[str, tuple[str, ...], bytes]

OK: typing.Final[Reply] = ("200 OK", ("x-server-stamp: s",), b"done")
FAILED: typing.Final[Reply] = (
    "500 Error",
    ("x-server-stamp: s",),
    b"failed",
)
REFUSED: typing.Final[Reply] = ("503 Busy", ("x-not-run: 1",), b"")


class StutteringServer:
    """Send prepared replies in turn, repeating each of them.

    A repeated reply follows the first one at once, or, if late, precedes the
    reply to the next request on the same connection.
    """

    def __init__(self, *replies: Reply, is_late: bool) -> None:
        """Repeat the last reply when all were sent."""
        self._replies = list(replies)
        self._is_late = is_late
        # Request IDs in order, by connection.
        self.received: list[list[str]] = []

    def _encode(self, request_id: str) -> bytes:
        replies = self._replies
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        status, headers, body = reply
        lines = [
            f"HTTP/1.1 {status}",
            f"x-request-id: {request_id}",
            *headers,
            f"content-length: {len(body)}",
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def handle(self, stream: anyio_abc.SocketStream) -> None:
        """Serve one connection."""
        received: list[str] = []
        self.received.append(received)
        repeated = b""
        async with stream:
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.EndOfStream
            ):
                while True:
                    head = await stream.receive()
                    request_id = _request_id(head)
                    received.append(request_id)
                    response = self._encode(request_id)
                    if self._is_late:
                        # The client must take it for the response to this
                        # request before the real one exists.
                        if repeated:
                            await stream.send(repeated)
                            await anyio.sleep(0.05)
                        await stream.send(response)
                        repeated = response
                    else:
                        await stream.send(response * 2)


@contextlib.asynccontextmanager
async def serve(server: StutteringServer) -> abc.AsyncIterator[str]:
    """Yield the URL of the server."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio_abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.handle)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
    await listener.aclose()


def _request_id(head: bytes) -> str:
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "x-request-id":
            return value.strip()
    return ""
