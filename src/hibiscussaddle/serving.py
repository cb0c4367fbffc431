"""Serve ASGI apps with hypercorn."""

from collections import abc
import typing

import anyio
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
    await hypercorn_asyncio.serve(app, cfg, shutdown_trigger=stop)


async def serve_forever(app: typing.Any, host: str, port: int) -> None:
    """Serve until cancelled."""
    await serve(app, host, port, anyio.sleep_forever)
