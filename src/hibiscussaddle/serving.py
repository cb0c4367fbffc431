"""Serve ASGI apps with hypercorn."""

import asyncio
from collections import abc
import dataclasses
import errno
import logging
import ssl
import time
import typing

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn.asyncio import run as hypercorn_run
from hypercorn.asyncio import tcp_server
from hypercorn import config as hypercorn_config
from hypercorn import events as hypercorn_events
from hypercorn.protocol import h2

from hibiscussaddle.callers import bodies
from hibiscussaddle.callers import connections as connections_lib
from hibiscussaddle.callers import memory
from hibiscussaddle.callers import writing
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
# A response of which nothing is taken for this long ends its connection.
WRITE_TIMEOUT_SECONDS: typing.Final = 30.0
# Pieces of a body that wait for the app: that of a short body and its end.
_APP_QUEUE_SIZE: typing.Final = 2
# The reader takes one receive beyond twice its limit, the parser one read. So
# requests sent ahead take up to 80 KiB of a connection.
_READER_LIMIT_BYTES: typing.Final = 8 << 10
_RECEIVE_BYTES: typing.Final = 32 << 10
_READ_BYTES: typing.Final = 32 << 10
_INPUT_HOLDER: typing.Final = "input"
# Tasks, parser and buffers of a connection with a request under way. Those of
# the others are in the part of the memory that is not accounted.
_BUSY_BYTES: typing.Final = 64 << 10
_BUSY_HOLDER: typing.Final = "connections"


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Hold the bounds of the connections to one port."""

    account: memory.Account = dataclasses.field(default_factory=memory.Account)
    connections: connections_lib.ConnectionTable = dataclasses.field(
        default_factory=connections_lib.ConnectionTable
    )
    # Time in which the rest of a body that was not read is still taken.
    discard_seconds: float = bodies.DISCARD_SECONDS


class _ConnectionClosingError(Exception):
    """Report that a request came on a connection that is being closed."""


class _Connection(tcp_server.TCPServer):
    """Serve one connection and release it once it is closed.

    The base class waits for the keep-alive timeout even if the client has
    closed the connection, and keeps the response that was being written.
    """

    _is_closed = False
    _reading: anyio.CancelScope | None = None
    _reading_task: asyncio.Task[typing.Any] | None = None

    def __init__(self, *args: typing.Any) -> None:
        """Bound what is buffered of bytes that were not asked for."""
        super().__init__(*args)
        # Tests serve with configurations of hypercorn's own class.
        self._bounds = getattr(self.config, "bounds", None) or Bounds()
        # Input that hypercorn has not passed to the app.
        self._input = self._bounds.account.open(_INPUT_HOLDER)
        self._overhead = self._bounds.account.open(_BUSY_HOLDER)
        # hypercorn has no setting for these; with the defaults a connection
        # buffers up to 384 KiB.
        reader: typing.Any = self.reader
        reader._limit = _READER_LIMIT_BYTES
        transport: typing.Any = self.writer.transport
        # The transports of uvloop have no such attribute.
        if hasattr(transport, "max_size"):
            transport.max_size = _RECEIVE_BYTES
        self.state = {**self.state, writing.ABORT: self.abort}

    async def run(self) -> None:
        """Serve the connection unless there are too many."""
        if not self._bounds.connections.admit(self):
            self._input.close()
            self._overhead.close()
            self.abort()
            return
        self._input.on_evict = self.abort
        try:
            await super().run()
        finally:
            self._bounds.connections.remove(self)
            self._input.close()
            self._overhead.close()

    def abort(self) -> None:
        """Close the connection without sending what is buffered."""
        transport = self.writer.transport
        # A transport that has closed raises.
        if not transport.is_closing() or transport.get_write_buffer_size():
            transport.abort()

    def close_idle(self) -> None:
        """Close the connection, on which no request is under way."""
        transport = self.writer.transport
        if transport.get_write_buffer_size():
            # A client that reads nothing would keep the descriptor, which
            # the table of connections no longer counts.
            transport.abort()
        else:
            transport.close()

    async def protocol_send(self, event: hypercorn_events.Event) -> None:
        """Send data, or start or stop the idle timer of an open connection."""
        if isinstance(event, hypercorn_events.RawData):
            await self._send_data(event.data)
            return
        if isinstance(event, hypercorn_events.Updated):
            if self._is_closed:
                return
            if (
                not event.idle
                and self.writer.transport.is_closing()
                and asyncio.current_task() is self._reading_task
            ):
                raise _ConnectionClosingError
            self._mark(is_busy=not event.idle)
        await super().protocol_send(event)

    def _mark(self, is_busy: bool) -> None:
        if is_busy:
            self._bounds.connections.mark_busy(self)
            # The request under way would be lost.
            self._input.on_evict = None
            self._overhead.force(_BUSY_BYTES)
        else:
            self._overhead.force(0)
            self._bounds.connections.mark_idle(self)
            self._input.on_evict = self.abort

    async def _send_data(self, data: bytes) -> None:
        """Send data; abort the connection if none of it is taken."""
        transport = self.writer.transport
        async with self.send_lock:
            try:
                self.writer.write(data)
                unsent = transport.get_write_buffer_size()
                # drain() raises once the connection is lost.
                while unsent or transport.is_closing():
                    with anyio.move_on_after(WRITE_TIMEOUT_SECONDS):
                        await self.writer.drain()
                        return
                    before, unsent = unsent, transport.get_write_buffer_size()
                    if unsent >= before:
                        self._bounds.connections.closed["unread"] += 1
                        self.abort()
                        return
            except (ConnectionError, RuntimeError):
                await self.protocol.handle(hypercorn_events.Closed())

    async def _close(self) -> None:
        # The loop that reads may wait for an app that has ended.
        if self._reading is not None and (
            asyncio.current_task() is not self._reading_task
        ):
            self._reading.cancel()
        # The base class ends its wait early when the task is cancelled, and
        # the transport still sends what it holds.
        self._limit_unsent()
        await super()._close()

    def _limit_unsent(self, before: int | None = None) -> None:
        """Abort the connection once none of the unsent bytes is taken."""
        unsent = self.writer.transport.get_write_buffer_size()
        if not unsent:
            return
        if before is not None and unsent >= before:
            self._bounds.connections.closed["unread"] += 1
            self.abort()
            return
        asyncio.get_running_loop().call_later(
            WRITE_TIMEOUT_SECONDS, self._limit_unsent, unsent
        )

    async def _read_until_closed(self) -> None:
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(_READ_BYTES)
            except (OSError, ssl.SSLError):
                return
            # The reader still returns what came before the connection was
            # closed. A request in it would run without a response.
            if self.writer.transport.is_closing():
                return
            self._account_input(len(data))
            # The growth may have ended this connection.
            if self.writer.transport.is_closing():
                return
            try:
                await self.protocol.handle(hypercorn_events.RawData(data))
            except _ConnectionClosingError:
                return
            self._account_input(0)

    def _account_input(self, count: int) -> None:
        """Account the bytes that were read, and those of a partial head."""
        h11_conn = getattr(self.protocol.protocol, "connection", None)
        buffer = getattr(h11_conn, "_receive_buffer", b"")
        size = count + len(buffer)
        if size != self._input.size:
            self._input.moved_bytes += count
            self._input.force(size)

    async def _read_data(self) -> None:
        self._reading_task = asyncio.current_task()
        try:
            with anyio.CancelScope() as self._reading:
                await self._read_until_closed()
            self._reading = None
            await self.protocol.handle(hypercorn_events.Closed())
        finally:
            self._reading = None
            self._input.close()
            self._is_closed = True
            await self.idle_task.stop()
            # hypercorn ends the task that sends HTTP/2 data, and the response
            # would wait for it in its buffer forever.
            protocol = self.protocol.protocol
            if isinstance(protocol, h2.H2Protocol):
                for buffer in list(protocol.stream_buffers.values()):
                    await buffer.close()


# hypercorn has no setting for the class that serves a connection.
_hypercorn_run: typing.Any = hypercorn_run
_hypercorn_run.TCPServer = _Connection


class _Config(hypercorn_config.Config):
    """Return the sockets that are open already."""

    bounds: Bounds

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
        bounds: Bounds | None = None,
    ) -> None:
        """Configure the server; serve() opens the socket."""
        bounds = bounds or Bounds()
        self._app = bodies.create_linger_app(app, bounds.discard_seconds)
        self._stop = stop
        self._shutdown_requested = anyio.Event()
        self._closed = anyio.Event()
        self._cfg = _Config()
        self._cfg.bounds = bounds
        self._cfg.max_app_queue_size = _APP_QUEUE_SIZE
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
