"""Serve ASGI apps with hypercorn."""

from collections import abc
import errno
import logging
import time
import typing

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn.asyncio import run as hypercorn_run
from hypercorn.asyncio import tcp_server
from hypercorn import config as hypercorn_config
from hypercorn import events as hypercorn_events
from hypercorn.protocol import h2

from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Streams may run long after a stop was requested; the caller of serve() ends
# them by cancelling it.
_GRACEFUL_TIMEOUT_SECONDS: typing.Final = 3600.0
_KEEP_ALIVE_SECONDS: typing.Final = 75.0
# Time for idle connections to close after serve() is cancelled, before the
# remaining ones are aborted.
_CANCEL_GRACE_SECONDS: typing.Final = 0.2
# A port may be taken for a while by an outgoing connection of another process,
# or by the process that this one replaces.
_BIND_TIMEOUT_SECONDS: typing.Final = 10.0
_BIND_RETRY_SECONDS: typing.Final = 0.05
# hypercorn's default equals the header size that callers may use and leaves no
# headroom.
_MAX_HEADER_BYTES: typing.Final = 64 << 10


class _Connection(tcp_server.TCPServer):
    """Serve one connection and release it once it is closed.

    The base class waits for the keep-alive timeout even if the client has
    closed the connection, and keeps the response that was being written.
    """

    _is_closed = False

    async def protocol_send(self, event: hypercorn_events.Event) -> None:
        """Send data, or start or stop the idle timer of an open connection."""
        if self._is_closed and isinstance(event, hypercorn_events.Updated):
            return
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        try:
            await super()._read_data()
        finally:
            self._is_closed = True
            await self.idle_task.stop()
            # hypercorn ends the task that sends HTTP/2 data, and the response
            # would wait for it in its buffer forever.
            protocol = self.protocol.protocol
            if isinstance(protocol, h2.H2Protocol):
                for buffer in list(protocol.stream_buffers.values()):
                    await buffer.close()


# hypercorn has no setting for the class that serves a connection.
hypercorn_run.TCPServer = _Connection  # type: ignore[attr-defined,misc]


class _Config(hypercorn_config.Config):
    """Return the sockets that are open already."""

    open_sockets: hypercorn_config.Sockets | None = None

    def create_sockets(self) -> hypercorn_config.Sockets:
        """Return the open sockets, or open them."""
        return self.open_sockets or super().create_sockets()


class Server:
    """Serve one ASGI app until stop() returns."""

    def __init__(
        self,
        app: typing.Any,
        host: str,
        port: int,
        stop: abc.Callable[[], abc.Awaitable[None]],
    ) -> None:
        """Configure the server; serve() opens the socket."""
        self._app = app
        self._stop = stop
        self._shutdown_requested = anyio.Event()
        self._closed = anyio.Event()
        self._cfg = _Config()
        self._cfg.bind = [f"{host}:{port}"]
        self._cfg.loglevel = "WARNING"
        self._cfg.graceful_timeout = _GRACEFUL_TIMEOUT_SECONDS
        self._cfg.keep_alive_timeout = _KEEP_ALIVE_SECONDS
        self._cfg.h11_max_incomplete_size = _MAX_HEADER_BYTES
        self._cfg.include_server_header = False

    async def serve(self, cert: str = "", key: str = "") -> None:
        """Serve until stop() has returned and all connections are closed."""
        if cert:
            self._cfg.certfile, self._cfg.keyfile = cert, key
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run)
            tasks.start_soon(self._await_stop)
            try:
                await self._closed.wait()
                tasks.cancel_scope.cancel()
            finally:
                self._cfg.graceful_timeout = _CANCEL_GRACE_SECONDS
                self._shutdown_requested.set()

    # hypercorn raises InvalidStateError when it is cancelled, so it is ended
    # by its shutdown trigger only.
    async def _run(self) -> None:
        try:
            await self._bind()
        except BaseException:
            self._closed.set()
            raise
        with anyio.CancelScope(shield=True):
            try:
                await hypercorn_asyncio.serve(
                    self._app,
                    self._cfg,
                    shutdown_trigger=self._shutdown_requested.wait,
                )
            finally:
                self._closed.set()

    async def _bind(self) -> None:
        """Open the socket; retry for some seconds while its port is taken."""
        give_up_at = time.monotonic() + _BIND_TIMEOUT_SECONDS
        is_logged = False
        while self._cfg.open_sockets is None:
            try:
                self._cfg.open_sockets = self._cfg.create_sockets()
            except OSError as exc:
                if (
                    exc.errno != errno.EADDRINUSE
                    or time.monotonic() >= give_up_at
                ):
                    raise
                if not is_logged:
                    is_logged = True
                    logs.event(
                        _LOG,
                        "port_in_use",
                        logging.WARNING,
                        address=",".join(self._cfg.bind),
                        why=exc,
                    )
                await anyio.sleep(_BIND_RETRY_SECONDS)

    async def _await_stop(self) -> None:
        await self._stop()
        self._shutdown_requested.set()

    async def wait(self) -> None:
        """Wait until serve() has ended."""
        await self._closed.wait()


async def serve_forever(app: typing.Any, host: str, port: int) -> None:
    """Serve until cancelled."""
    await Server(app, host, port, anyio.sleep_forever).serve()
