"""Serve ASGI apps with hypercorn."""

import asyncio
from collections import abc
import typing

import anyio
import anyio.lowlevel
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

# Streams may run long after a stop was requested; the caller of serve()
# ends them by cancelling it.
_GRACEFUL_SECONDS: typing.Final = 3600.0


async def serve(
    app: typing.Any,
    host: str,
    port: int,
    stop: abc.Callable[[], abc.Awaitable[None]],
    cert: str = "",
    key: str = "",
) -> None:
    """Serve until stop() returns."""
    cfg = hypercorn_config.Config()
    cfg.bind = [f"{host}:{port}"]
    cfg.loglevel = "WARNING"
    cfg.graceful_timeout = _GRACEFUL_SECONDS
    cfg.keep_alive_timeout = 75.0
    if cert:
        cfg.certfile, cfg.keyfile = cert, key
    try:
        await hypercorn_asyncio.serve(app, cfg, shutdown_trigger=stop)
    except asyncio.InvalidStateError:
        # hypercorn asks tasks for an exception that are cancelled together
        # with it. The history checker saw planned stops end in this error.
        await anyio.lowlevel.checkpoint()


async def serve_forever(app: typing.Any, host: str, port: int) -> None:
    """Serve until cancelled."""
    await serve(app, host, port, anyio.sleep_forever)
