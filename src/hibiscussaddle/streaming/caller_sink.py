"""Write a stream to a caller over ASGI."""

from collections import abc
import contextlib
import time
import typing

from hibiscussaddle.adapters import connections
from hibiscussaddle.callers import memory
from hibiscussaddle.callers import writing
from hibiscussaddle.streaming import event_splitter

Send: typing.TypeAlias = abc.Callable[[typing.Any], abc.Awaitable[None]]


class CallerSink:
    """Write one response in chunks as its pieces come.

    send() returns once the connection has room, so that a slow caller slows
    the endpoint down, and nothing piles up here. If the app returns before
    finish(), the server closes the connection without the last chunk.
    """

    def __init__(
        self,
        send: Send,
        scope: writing.Scope,
        account: memory.Account,
        closes_connection: abc.Callable[[], bool],
    ) -> None:
        """Write nothing until start() is called."""
        # Status of the response once its head is written.
        self.status: int | None = None
        # Monotonic seconds.
        self.started_at: float | None = None
        self._send = send
        self._scope = scope
        self._account = account
        self._closes_connection = closes_connection
        self._hold: memory.Hold | None = None
        self._kept_bytes = 0

    @contextlib.contextmanager
    def accounted(self) -> abc.Iterator[None]:
        """Account the bytes of the stream while the block writes it.

        If the account needs the memory, the block ends and the connection is
        aborted.
        """
        with writing.hold_response(self._account, self._scope) as self._hold:
            yield

    async def start(
        self, status: int, headers: abc.Sequence[tuple[str, str]]
    ) -> None:
        """Write the head."""
        self.status = status
        self.started_at = time.monotonic()
        encoded = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        if self._closes_connection():
            encoded.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": encoded,
            }
        )

    async def send(self, data: bytes) -> None:
        """Write data; return once the caller's connection has taken it."""
        self._account_bytes(len(data))
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )
        if self._hold is not None:
            self._hold.moved_bytes += len(data)
        self._account_bytes(0)

    async def finish(self) -> None:
        """Mark the response as complete."""
        await self._send({"type": "http.response.body", "body": b""})

    def keep(self, count: int) -> None:
        """Account the bytes of an event that is held back."""
        self._kept_bytes = count
        self._account_bytes(0)

    def _account_bytes(self, unsent: int) -> None:
        if self._hold is not None:
            self._hold.force(self._kept_bytes + unsent)


class BufferingSink:
    """Collect a whole response.

    It is for callers to whom an early end would not show: those of HTTP/1.0,
    and HTTP/2 as the server implements it.
    """

    def __init__(self, scope: writing.Scope, account: memory.Account) -> None:
        """Start without any response."""
        self.status: int | None = None
        # Monotonic seconds.
        self.started_at: float | None = None
        self.headers: tuple[tuple[str, str], ...] = ()
        self.body = bytearray()
        self._scope = scope
        self._account = account
        self._hold: memory.Hold | None = None

    @contextlib.contextmanager
    def accounted(self) -> abc.Iterator[None]:
        """Account the bytes of the response while the block collects it."""
        with writing.hold_response(self._account, self._scope) as self._hold:
            yield

    async def start(
        self, status: int, headers: abc.Sequence[tuple[str, str]]
    ) -> None:
        """Keep the head."""
        self.status, self.headers = status, tuple(headers)
        self.started_at = time.monotonic()

    async def send(self, data: bytes) -> None:
        """Keep the data; raise MalformedStreamError if it is too long."""
        self.body += data
        if len(self.body) > connections.MAX_RESPONSE_BYTES:
            raise event_splitter.MalformedStreamError(
                f"a response exceeds {connections.MAX_RESPONSE_BYTES} bytes"
            )
        self.keep(0)

    async def finish(self) -> None:
        """Do nothing: the response is written once it is complete."""

    def keep(self, count: int) -> None:
        """Account the bytes of an event that is held back."""
        if self._hold is not None:
            self._hold.force(len(self.body) + count)
