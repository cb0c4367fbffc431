"""Read the bodies of callers within the account of an instance."""

from collections import abc
import typing

import anyio
from starlette import exceptions
from starlette import types

from hibiscussaddle.callers import memory
from hibiscussaddle import codes

Message: typing.TypeAlias = typing.MutableMapping[str, typing.Any]
Scope: typing.TypeAlias = typing.MutableMapping[str, typing.Any]
Receive: typing.TypeAlias = abc.Callable[[], abc.Awaitable[Message]]
Send: typing.TypeAlias = abc.Callable[[Message], abc.Awaitable[None]]
Body: typing.TypeAlias = bytes | bytearray

HOLDER: typing.Final = "bodies"
_PEER_HOLDER: typing.Final = "peer_bodies"
# Starlette joins the pieces of a body.
_PEER_BODY_COPIES: typing.Final = 2
# Another instance may have room; a crowd lasts for seconds.
RETRY_AFTER_SECONDS: typing.Final = 1.0
# Pieces of a large body or response. Smaller ones are sent in one piece.
PIECE_BYTES: typing.Final = 64 << 10
# Bounds of what is read of a refused body, so that its sender gets the
# refusal instead of a reset.
DISCARD_SECONDS: typing.Final = 1.0
# A sender that stalls longer is not waited for.
_DISCARD_IDLE_SECONDS: typing.Final = 0.2
_DISCARD_BYTES: typing.Final = 4 << 20


def too_large(limit: int) -> codes.Refusal:
    """Return the refusal of a body over the limit."""
    return codes.Refusal(
        codes.Code.TOO_LARGE, f"the body exceeds {limit} bytes"
    )


def memory_full() -> codes.Refusal:
    """Return the refusal of a body that the account has no room for."""
    return codes.Refusal(
        codes.Code.MEMORY_FULL,
        "the instance holds too many bytes for callers",
        RETRY_AFTER_SECONDS,
    )


def announced_bytes(scope: Scope) -> int:
    """Return the announced length of a body, 0 without one."""
    for name, value in scope["headers"]:
        if name.lower() == b"content-length":
            # The server has checked that it is a number.
            return int(value)
    return 0


async def read(
    receive: Receive, hold: memory.Hold, announced: int, limit: int
) -> Body | codes.Refusal | None:
    """Return the body, or why it is refused; None after a disconnect."""
    if announced > limit:
        return too_large(limit)
    with anyio.CancelScope() as scope:
        hold.on_evict = scope.cancel
        try:
            body = await _read(receive, hold, limit)
        finally:
            # A complete body is served.
            hold.on_evict = None
        # The hold may end while the last piece is received; the body would
        # be served without being accounted.
        if body is None or isinstance(body, codes.Refusal):
            return body
        if not hold.is_ended:
            return body
    return memory_full()


async def _read(
    receive: Receive, hold: memory.Hold, limit: int
) -> Body | codes.Refusal | None:
    body: Body = b""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        piece = message.get("body", b"")
        if piece:
            size = len(body) + len(piece)
            if size > limit:
                return too_large(limit)
            hold.moved_bytes = size
            if not hold.resize(size):
                return memory_full()
            if not body:
                body = piece
            elif isinstance(body, bytearray):
                body += piece
            else:
                body = bytearray(body)
                body += piece
        if not message.get("more_body"):
            if isinstance(body, bytearray) and size <= memory.SMALL_BYTES:
                return bytes(body)
            return body


def pieces(body: Body) -> abc.Iterator[bytes]:
    """Yield a large body without a copy of the whole."""
    view = memoryview(body)
    for start in range(0, len(view), PIECE_BYTES):
        yield bytes(view[start : start + PIECE_BYTES])


class Pieces:
    """Iterate over the pieces of a body, each time from its beginning.

    An attempt may be sent again after it was refused.
    """

    def __init__(self, body: Body) -> None:
        """Keep the body itself, not a copy."""
        self._body = body

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        """Yield the pieces."""
        for piece in pieces(self._body):
            yield piece


def create_linger_app(
    app: typing.Any, seconds: float = DISCARD_SECONDS
) -> typing.Any:
    """Return an app that takes the rest of a body which was not read.

    hypercorn never ends a response while unread pieces of the request fill
    its queue, and closing the connection with unread bytes resets it.
    """

    async def linger(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or not _has_body(scope):
            await app(scope, receive, send)
            return
        is_complete = False

        async def receive_tracked() -> Message:
            nonlocal is_complete
            message = await receive()
            if not message.get("more_body"):
                is_complete = True
            return message

        async def send_tracked(message: Message) -> None:
            is_last = message["type"] == "http.response.body" and not (
                message.get("more_body")
            )
            if is_complete or not is_last:
                await send(message)
                return
            async with anyio.create_task_group() as tasks:
                discarded = anyio.Event()

                async def discard() -> None:
                    taken = 0
                    while not is_complete:
                        is_idle = True
                        with anyio.move_on_after(_DISCARD_IDLE_SECONDS):
                            received = await receive_tracked()
                            taken += len(received.get("body", b""))
                            is_idle = False
                        if is_idle or taken > _DISCARD_BYTES:
                            discarded.set()
                    discarded.set()

                tasks.start_soon(discard)
                await send({**message, "more_body": True})
                with anyio.move_on_after(seconds):
                    await discarded.wait()
                await send({"type": "http.response.body", "body": b""})
                tasks.cancel_scope.cancel()

        await app(scope, receive_tracked, send_tracked)

    return linger


def _has_body(scope: Scope) -> bool:
    return any(
        name.lower() in (b"content-length", b"transfer-encoding")
        for name, _ in scope["headers"]
    )


class BodyLimit:
    """Bound the bodies of a Starlette app, one by one and together."""

    def __init__(
        self,
        app: types.ASGIApp,
        account: memory.Account,
        limit: int,
        exempt_paths: abc.Container[str] = (),
    ) -> None:
        """Refuse bodies over the limit, in bytes.

        The apps of exempt paths bound and account their bodies themselves.
        """
        self._app = app
        self._exempt_paths = exempt_paths
        self._account = account
        self._limit = limit

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Pass on one request."""
        if (
            scope["type"] != "http"
            or not _has_body(scope)
            or scope["path"] in self._exempt_paths
        ):
            await self._app(scope, receive, send)
            return
        limit = self._limit
        size = 0
        hold = self._account.open(_PEER_HOLDER)

        async def receive_counted() -> types.Message:
            nonlocal size
            if announced_bytes(scope) > limit:
                raise _http_error(too_large(limit))
            with anyio.CancelScope() as cancel_scope:
                hold.on_evict = cancel_scope.cancel
                try:
                    message = await receive()
                finally:
                    hold.on_evict = None
                size += len(message.get("body", b""))
                if size > limit:
                    raise _http_error(too_large(limit))
                hold.moved_bytes = size
                if hold.resize(_PEER_BODY_COPIES * size):
                    return message
            raise _http_error(memory_full())

        try:
            await self._app(scope, receive_counted, send)
        finally:
            hold.close()


def _http_error(refusal: codes.Refusal) -> exceptions.HTTPException:
    """Return what the app turns into the response of a refusal."""
    headers = {"connection": "close"}
    if refusal.retry_after is not None:
        headers["retry-after"] = f"{refusal.retry_after:.2f}"
    return exceptions.HTTPException(
        refusal.code.value.http_status, refusal.message, headers
    )
