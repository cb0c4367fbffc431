"""Signed requests between entry instances, sent over nng."""

from collections import abc
import dataclasses
import enum
import logging
import time
import typing

import anyio
import msgspec
import pynng
import result

from hibiscussaddle.adapters import peer_sockets
from hibiscussaddle import auth
from hibiscussaddle import decoding
from hibiscussaddle import logs

if typing.TYPE_CHECKING:
    from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)
MAX_FRAME_BYTES: typing.Final = 1 << 20
_SIGNATURE_BYTES: typing.Final = 32
# A frame that no connection accepts within this time has not been sent.
CONNECT_TIMEOUT_SECONDS: typing.Final = 1.0
# Number of tasks that receive requests in parallel.
_RECEIVERS: typing.Final = 4
_RECEIVE_RETRY_SECONDS: typing.Final = 0.1
# Forwarded calls and pulls may run for minutes. Above this limit the instance
# responds "busy" at once, so that heartbeats never queue behind them.
_MAX_RUNNING_HANDLERS: typing.Final = 1000

_M = typing.TypeVar("_M")


class PeerErrorKind(enum.Enum):
    """List the ways a request to a peer can fail."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    # The peer runs its maximum number of handlers.
    BUSY = "busy"
    # All sockets of the cache are in use.
    NO_SOCKET = "no_socket"
    # The peer does not know the message type or cannot decode the message.
    NO_HANDLER = "no_handler"
    # Another instance listens at the address.
    MISDIRECTED = "misdirected"
    # The request exceeds the frame limit.
    TOO_LARGE = "too_large"
    # The response cannot be used.
    MALFORMED = "malformed"
    # The handler raised, or its response exceeds the frame limit.
    FAILED = "failed"


_NOT_HANDLED_KINDS = frozenset(
    {
        PeerErrorKind.UNREACHABLE,
        PeerErrorKind.BUSY,
        PeerErrorKind.NO_SOCKET,
        PeerErrorKind.NO_HANDLER,
        PeerErrorKind.MISDIRECTED,
        PeerErrorKind.TOO_LARGE,
    }
)


@dataclasses.dataclass(frozen=True)
class PeerError:
    """Describe why a request to a peer failed."""

    kind: PeerErrorKind
    detail: str = ""

    @property
    def ran(self) -> str:
        """Return "no" if no handler can have run, else "unknown"."""
        return "no" if self.kind in _NOT_HANDLED_KINDS else "unknown"


@dataclasses.dataclass(frozen=True)
class Sender:
    """Identify the instance that sent a frame."""

    id: str
    incarnation: int


class Target(typing.Protocol):
    """Describe the receiver of a request."""

    @property
    def id(self) -> str:
        """Return the instance ID."""

    @property
    def address(self) -> str:
        """Return the host:port at which it listens for peers."""


@dataclasses.dataclass(frozen=True)
class Response:
    """Hold a response and the instance that sent it."""

    sender: Sender
    message: typing.Any


class Direction(enum.Enum):
    """Distinguish sent frames from received frames."""

    SEND = "send"
    RECEIVE = "receive"


# Called with the direction and the peer's ID, or its address while the ID is
# unknown; a frame is dropped unless it returns True. Tests simulate network
# partitions with it.
LinkFilter: typing.TypeAlias = abc.Callable[[Direction, str], bool]
Handler: typing.TypeAlias = abc.Callable[
    ["runtime_lib.Runtime", Sender, typing.Any],
    abc.Awaitable[typing.Any | None],
]

_MESSAGE_TYPES: dict[str, type] = {}
_MESSAGE_KINDS: dict[type, str] = {}
_HANDLERS: dict[type, Handler] = {}


def message(kind: str) -> abc.Callable[[type[_M]], type[_M]]:
    """Register a frozen dataclass as a message type."""

    def register(cls: type[_M]) -> type[_M]:
        _MESSAGE_TYPES[kind] = cls
        _MESSAGE_KINDS[cls] = kind
        return cls

    return register


def handles(cls: type) -> abc.Callable[[Handler], Handler]:
    """Register the handler of a message type.

    No response is sent if the handler returns None.
    """

    def register(handler: Handler) -> Handler:
        _HANDLERS[cls] = handler
        return handler

    return register


@message("ack")
@dataclasses.dataclass(frozen=True)
class Ack:
    """Acknowledge a message that needs no other response."""


@message("fault")
@dataclasses.dataclass(frozen=True)
class Fault:
    """Report to the sender that its request failed."""

    kind: PeerErrorKind
    detail: str = ""


class _Envelope(msgspec.Struct, frozen=True, rename={"source": "from"}):
    kind: str
    source: str
    incarnation: int
    # Unix milliseconds; used only for diagnosis.
    sent: int
    body: msgspec.Raw
    # Empty while the receiver's ID is unknown. A frame addressed to another
    # instance is rejected, since replacements reuse addresses.
    to: str = ""


def _error(kind: PeerErrorKind, detail: str = "") -> result.Err[PeerError]:
    return result.Err(PeerError(kind, detail))


class PeerTransport:
    """Send requests to peers and respond to theirs."""

    def __init__(
        self,
        identity: Sender,
        secret: str,
        address: str,
        sockets: peer_sockets.SocketCache,
    ) -> None:
        """Create a transport; serve() listens at the address."""
        self.identity = identity
        self.address = address
        self.link_filter: LinkFilter | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self._secret = secret
        self._sockets = sockets
        self._running_handlers = 0

    async def request(
        self, member: Target, msg: object, timeout: float
    ) -> result.Result[typing.Any, PeerError]:
        """Return the response of a member within timeout seconds."""
        response = await self.request_address(
            member.address, msg, timeout, member.id
        )
        return response.map(lambda found: found.message)

    async def request_address(
        self, address: str, msg: object, timeout: float, to: str = ""
    ) -> result.Result[Response, PeerError]:
        """Return the response of the instance that listens at an address.

        If the receiver's ID is given as "to", other instances reject it.
        """
        frame = self._encode_frame(msg, to)
        if len(frame) > MAX_FRAME_BYTES:
            return _error(
                PeerErrorKind.TOO_LARGE, f"frame of {len(frame)} bytes"
            )
        if not self._is_allowed(Direction.SEND, to or address):
            # As long as a send takes to fail in a real network partition.
            await anyio.sleep(min(timeout, CONNECT_TIMEOUT_SECONDS))
            return _error(
                PeerErrorKind.UNREACHABLE, "request dropped by the link filter"
            )
        sock = self._sockets.acquire(address)
        if sock is None:
            return _error(PeerErrorKind.NO_SOCKET, address)
        try:
            raw = await self._exchange(sock, frame, timeout)
        finally:
            self._sockets.release(address)
        if isinstance(raw, result.Err):
            return raw
        return self._decode_response(raw.ok_value, to)

    async def _exchange(
        self, sock: pynng.Req0, frame: bytes, timeout: float
    ) -> result.Result[bytes, PeerError]:
        is_sent = False
        deadline = anyio.current_time() + timeout
        ctx = sock.new_context()
        try:
            await peer_sockets.send(
                ctx, frame, min(timeout, CONNECT_TIMEOUT_SECONDS)
            )
            is_sent = True
            self.bytes_sent += len(frame)
            raw = await peer_sockets.receive(
                ctx, max(deadline - anyio.current_time(), 0.001)
            )
        except pynng.NNGException as exc:
            kind = (
                PeerErrorKind.TIMEOUT if is_sent else PeerErrorKind.UNREACHABLE
            )
            return _error(kind, str(exc))
        finally:
            ctx.close()
        self.bytes_received += len(raw)
        return result.Ok(raw)

    def _decode_response(
        self, raw: bytes, to: str
    ) -> result.Result[Response, PeerError]:
        envelope = self._decode_frame(raw)
        if envelope is None:
            return _error(PeerErrorKind.MALFORMED, "answer")
        if not self._is_allowed(Direction.RECEIVE, envelope.source):
            return _error(
                PeerErrorKind.TIMEOUT, "response dropped by the link filter"
            )
        msg = _decode_message(envelope)
        if msg is None:
            return _error(
                PeerErrorKind.MALFORMED,
                f"response of kind {envelope.kind!r} cannot be decoded",
            )
        if isinstance(msg, Fault):
            return _error(msg.kind, msg.detail)
        if to and envelope.source != to:
            return _error(
                PeerErrorKind.MALFORMED,
                f"response from {envelope.source}, expected {to}",
            )
        sender = Sender(envelope.source, envelope.incarnation)
        return result.Ok(Response(sender, msg))

    async def serve(self, runtime: "runtime_lib.Runtime") -> None:
        """Serve requests of peers until cancelled."""
        with self._sockets.listen(self.address) as listener:
            async with anyio.create_task_group() as tasks:
                for _ in range(_RECEIVERS):
                    tasks.start_soon(
                        self._receive_requests, runtime, listener, tasks
                    )

    async def _receive_requests(
        self,
        runtime: "runtime_lib.Runtime",
        listener: pynng.Rep0,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        # A context stays bound to its request until the response is sent, so
        # each request needs its own.
        while True:
            ctx = listener.new_context()
            try:
                raw = await peer_sockets.receive(ctx)
            except pynng.NNGException as exc:
                ctx.close()
                logs.event(_LOG, "peer_receive_failed", why=exc)
                await anyio.sleep(_RECEIVE_RETRY_SECONDS)
                continue
            self.bytes_received += len(raw)
            tasks.start_soon(self._respond, runtime, ctx, raw)

    async def _respond(
        self, runtime: "runtime_lib.Runtime", ctx: pynng.Context, raw: bytes
    ) -> None:
        self._running_handlers += 1
        try:
            frame = await self._handle(runtime, raw)
            if frame is not None:
                await peer_sockets.send(ctx, frame, CONNECT_TIMEOUT_SECONDS)
                self.bytes_sent += len(frame)
        except pynng.NNGException as exc:
            logs.event(_LOG, "peer_answer_failed", why=exc)
        finally:
            self._running_handlers -= 1
            ctx.close()

    async def _handle(
        self, runtime: "runtime_lib.Runtime", raw: bytes
    ) -> bytes | None:
        envelope = self._decode_frame(raw)
        if envelope is None:
            # No response, so that a sender without the secret learns nothing.
            logs.event(_LOG, "peer_frame_refused", bytes=len(raw))
            return None
        source = envelope.source
        if not self._is_allowed(Direction.RECEIVE, source):
            return None
        response = await self._call_handler(runtime, envelope)
        if response is None or not self._is_allowed(Direction.SEND, source):
            return None
        frame = self._encode_frame(response, source)
        if len(frame) > MAX_FRAME_BYTES:
            detail = (
                f"response of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}"
            )
            return self._encode_frame(
                Fault(PeerErrorKind.FAILED, detail), source
            )
        return frame

    async def _call_handler(
        self, runtime: "runtime_lib.Runtime", envelope: _Envelope
    ) -> typing.Any | None:
        if envelope.to not in ("", self.identity.id):
            return Fault(PeerErrorKind.MISDIRECTED, self.identity.id)
        if self._running_handlers > _MAX_RUNNING_HANDLERS:
            return Fault(PeerErrorKind.BUSY)
        msg = _decode_message(envelope)
        handler = _HANDLERS.get(type(msg))
        if handler is None:
            return Fault(PeerErrorKind.NO_HANDLER, envelope.kind)
        sender = Sender(envelope.source, envelope.incarnation)
        try:
            return await handler(runtime, sender, msg)
        except Exception as exc:
            # A failing handler must not stop the listener.
            _LOG.exception("event=peer_handler_failed kind=%s", envelope.kind)
            return Fault(PeerErrorKind.FAILED, type(exc).__name__)

    def close(self) -> None:
        """Close every cached socket."""
        self._sockets.close()

    def _is_allowed(self, direction: Direction, peer: str) -> bool:
        return self.link_filter is None or self.link_filter(direction, peer)

    def _encode_frame(self, msg: object, to: str) -> bytes:
        envelope = _Envelope(
            kind=_MESSAGE_KINDS[type(msg)],
            source=self.identity.id,
            incarnation=self.identity.incarnation,
            sent=time.time_ns() // 1_000_000,
            body=msgspec.Raw(msgspec.msgpack.encode(msg)),
            to=to,
        )
        body = msgspec.msgpack.encode(envelope)
        return auth.sign(self._secret, body) + body

    def _decode_frame(self, raw: bytes) -> _Envelope | None:
        signature, body = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
        if not auth.is_valid_signature(self._secret, body, signature):
            return None
        try:
            return decoding.decode_msgpack(body, _Envelope)
        except msgspec.MsgspecError:
            return None


def _decode_message(envelope: _Envelope) -> typing.Any | None:
    cls = _MESSAGE_TYPES.get(envelope.kind)
    if cls is None:
        return None
    try:
        return decoding.decode_msgpack(envelope.body, cls)
    except msgspec.MsgspecError:
        return None
