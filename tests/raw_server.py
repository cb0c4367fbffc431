"""Serve fixed bytes over TCP, whatever the request is."""

from collections import abc
import contextlib
import socket
import struct
import typing

import anyio
from anyio import abc as anyio_abc

# Closing a socket with this option resets its connection.
_RESET: typing.Final = struct.pack("ii", 1, 0)


@contextlib.asynccontextmanager
async def serve(
    *responses: bytes,
    resets: bool = False,
    received: list[bytes] | None = None,
) -> abc.AsyncIterator[str]:
    """Yield the URL of a server that sends each response once, in turn.

    The last one repeats. Each connection is closed or reset after it. Requests
    are added to the list of received ones. A connection that is closed without
    a request is a check whether the server has ended.
    """
    rest = list(responses)

    async def handle(stream: anyio_abc.SocketStream) -> None:
        async with stream:
            try:
                data = await stream.receive(65536)
            except anyio.EndOfStream:
                return
            if received is not None:
                received.append(data)
            await stream.send(rest.pop(0) if len(rest) > 1 else rest[0])
            if resets:
                # Lets the client read the bytes before the reset.
                await anyio.sleep(0.02)
                raw = stream.extra(anyio_abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio_abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield f"http://127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
    await listener.aclose()
