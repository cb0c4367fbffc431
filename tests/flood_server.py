"""Serve endless, mostly invalid responses over loopback."""

from collections import abc
import contextlib
import itertools
import typing

import anyio
from anyio import abc as anyio_abc

import ports

# Upper bound, so that a client that never closes can't run the test forever.
_MAX_SENT_BYTES: typing.Final = 1 << 30


class Flood:
    """Send a head, then the same bytes until the client closes."""

    def __init__(
        self, head: bytes, repeated: bytes, pause: float | None = None
    ) -> None:
        """Send the repeated bytes, with a pause in seconds in between."""
        self.head = head
        self.repeated = repeated
        self.pause = pause
        self.connections = 0
        # Most repeated bytes sent over one connection.
        self.sent = 0
        # Connections closed by the client.
        self.closed = 0

    async def handle(self, conn: anyio_abc.SocketStream) -> None:
        """Read one request, then send until the client closes."""
        self.connections += 1
        sent = 0
        async with conn:
            try:
                await conn.receive()
                await conn.send(self.head)
                for _ in itertools.count():
                    await conn.send(self.repeated)
                    sent += len(self.repeated)
                    self.sent = max(self.sent, sent)
                    assert sent < _MAX_SENT_BYTES, (
                        "the client never closes the connection"
                    )
                    if self.pause is not None:
                        await anyio.sleep(self.pause)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                self.closed += 1


@contextlib.asynccontextmanager
async def serve(flood: Flood) -> abc.AsyncIterator[str]:
    """Yield the base URL of a server that sends the flood."""
    port = ports.free_ports(1)[0]
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, flood.handle)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
