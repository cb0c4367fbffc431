"""Test the HTTP connection pool."""

import anyio
from anyio import abc as anyio_abc

from hibiscussaddle.adapters import connections


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
