"""Serve fakes over loopback HTTP in the test process."""

from collections import abc
import contextlib
import typing

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

from hibiscussaddle import entry
from hibiscussaddle import runtime as runtime_lib

import builders
import ports


@contextlib.asynccontextmanager
async def serve(app: typing.Any) -> abc.AsyncIterator[str]:
    """Serve an app and yield its base URL."""
    sock = ports.listening_socket()
    port = sock.getsockname()[1]
    cfg = hypercorn_config.Config()
    cfg.bind = [f"fd://{sock.detach()}"]
    cfg.loglevel = "CRITICAL"
    cfg.graceful_timeout = 0.1
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:

        async def run() -> None:
            # A cancelled server raises an error that hides the one of the
            # test.
            with anyio.CancelScope(shield=True):
                await hypercorn_asyncio.serve(
                    app, cfg, shutdown_trigger=stop.wait
                )

        tasks.start_soon(run)
        try:
            yield f"http://127.0.0.1:{port}"
        finally:
            stop.set()


@contextlib.asynccontextmanager
async def runtimes(
    count: int, **cfg: typing.Any
) -> abc.AsyncIterator[list[runtime_lib.Runtime]]:
    """Yield the components of instances whose controllers do not run."""
    instances = [
        entry.create_runtime(builders.cfg(instance=f"entry-{number}", **cfg))
        for number in range(count)
    ]
    try:
        yield instances
    finally:
        for runtime in instances:
            await runtime.client.aclose()
