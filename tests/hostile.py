"""Serve bytes that are no answer, without end, over loopback."""

from collections import abc
import contextlib
import itertools
import typing

import anyio
from anyio import abc as anyio_abc

import ports

# Sent until the caller closes; a fault of the caller must not run for ever.
_MAX_SENT_BYTES: typing.Final = 1 << 30


class Flood:
    """Send a head, then the same bytes until the caller closes."""

    def __init__(
        self, head: bytes, again: bytes, pause: float | None = None
    ) -> None:
        """Send the repeated bytes with a pause in seconds between them."""
        self.head = head
        self.again = again
        self.pause = pause
        self.connections = 0
        # Bytes that one connection took at most.
        self.sent = 0
        # Connections that the caller closed.
        self.closed = 0

    async def handle(self, conn: anyio_abc.SocketStream) -> None:
        """Read one head, then flood."""
        self.connections += 1
        sent = 0
        async with conn:
            try:
                await conn.receive()
                await conn.send(self.head)
                for _ in itertools.count():
                    await conn.send(self.again)
                    sent += len(self.again)
                    self.sent = max(self.sent, sent)
                    assert sent < _MAX_SENT_BYTES, "the caller never closes"
                    if self.pause is not None:
                        await anyio.sleep(self.pause)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                self.closed += 1


@contextlib.asynccontextmanager
async def serve(flood: Flood) -> abc.AsyncIterator[str]:
    """Yield the base URL of a server that floods."""
    port = ports.free_ports(1)[0]
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=port
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, flood.handle)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
