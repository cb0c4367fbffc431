"""Serve endless responses, valid and invalid ones, over loopback."""

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
        self, head: bytes, repeated: bytes, pause_seconds: float | None = None
    ) -> None:
        """Pause for this many seconds after each send, if given."""
        self.head = head
        self.repeated = repeated
        self.pause_seconds = pause_seconds
        self.connections = 0
        # Largest number of repeated bytes sent over one connection.
        self.max_sent_bytes = 0
        # Connections closed by the client.
        self.closed_count = 0

    async def handle(self, conn: anyio_abc.SocketStream) -> None:
        """Read one request, then send until the client closes."""
        self.connections += 1
        sent_bytes = 0
        async with conn:
            try:
                await conn.receive()
                await conn.send(self.head)
                for _ in itertools.count():
                    await conn.send(self.repeated)
                    sent_bytes += len(self.repeated)
                    self.max_sent_bytes = max(self.max_sent_bytes, sent_bytes)
                    assert sent_bytes < _MAX_SENT_BYTES, (
                        "the client never closes the connection"
                    )
                    if self.pause_seconds is not None:
                        await anyio.sleep(self.pause_seconds)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                self.closed_count += 1


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
