"""Messages between the sender of an attempt and the peer that relays it.

A request is a head of msgpack with its length before it, and then the body as
it is. The response of the endpoint is that of the peer: the status is in a
header of its own, the names of all headers have a prefix, and the body follows
as it is, in chunks. So it is complete only if its last chunk has arrived. Any
other response is one of the peer.
"""

from collections import abc
import enum
import re
import struct
import typing

import httpx
import msgspec

from hibiscussaddle import decoding
from hibiscussaddle.platform import endpoint_wire

PATH: typing.Final = "/v1/relayed-attempts"

_STATUS_HEADER: typing.Final = b"x-relay-status"
_REFUSAL_HEADER: typing.Final = b"x-relay-refusal"
# In seconds.
_RETRY_AFTER_HEADER: typing.Final = b"x-relay-retry-after"
_PREFIX: typing.Final = b"relayed-"
_STATUS: typing.Final = re.compile(rb"[2-5][0-9]{2}")
_LENGTH: typing.Final = struct.Struct(">I")
# Callers' headers are bounded by 64 KiB, which leaves as much for the target.
MAX_HEAD_BYTES: typing.Final = 128 << 10
# Statuses of peers that refuse a request before a route gets its whole body.
_REJECTED_STATUSES: typing.Final = frozenset({400, 405, 408, 413, 431, 503})
_DEADLINE_NAME: typing.Final = endpoint_wire.DEADLINE_MS_HEADER.encode()
_REQUEST_ID_NAME: typing.Final = endpoint_wire.REQUEST_ID_HEADER.encode()

_Method: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(pattern=r"\A[!-~]{1,64}\Z")
]
Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]


class NotRelayedError(httpx.ConnectError):
    """Signal that no peer took an attempt, which has surely not run."""


class UnknownOutcomeError(httpx.ReadError):
    """Signal that an attempt at a peer may have run, without a response."""


class Refusal(enum.Enum):
    """Say why a peer has no response of the endpoint."""

    # The endpoint isn't listed, or another incarnation of it is.
    UNLISTED = "unlisted"
    # The endpoint takes no new work.
    LEAVING = "leaving"
    BUSY = "busy"
    # The peer doesn't reach the endpoints of the service either.
    CUT_OFF = "cut_off"
    STOPPING = "stopping"
    # The time of the attempt was over before it was sent.
    EXPIRED = "expired"
    # The request is none that the peer understands or accepts.
    REJECTED = "rejected"
    # The peer is of a build that relays no attempts.
    UNKNOWN_PATH = "unknown_path"
    # The endpoint accepted no connection.
    NOT_SENT = "not_sent"
    # The attempt was sent, and no response came.
    UNKNOWN = "unknown"


class Head(msgspec.Struct, frozen=True):
    """Describe an attempt without its body."""

    # Instance that sends the attempt.
    sender: str
    endpoint_id: str
    incarnation: decoding.Int
    service: str
    method: _Method
    # Bytes of the request line.
    target: bytes
    headers: Headers
    # Time until the attempt ends; None if it has no limit.
    seconds_left: decoding.Amount | None = None
    # Whether the sender detects a stalled response itself; see
    # connections.NO_PROBES.
    sends_no_probes: bool = False

    @property
    def request_id(self) -> str:
        """Return the request ID, empty without one."""
        for name, value in self.headers:
            if name.lower() == _REQUEST_ID_NAME:
                return value.decode("latin-1")
        return ""


def encode_head(head: Head) -> bytes:
    """Return what precedes the body."""
    encoded = msgspec.msgpack.encode(head)
    return _LENGTH.pack(len(encoded)) + encoded


def split_head(data: bytes | bytearray) -> tuple[Head, bytes] | None:
    """Return the head and the bytes after it, None if it is incomplete.

    Raises ValueError if it is malformed or too long.
    """
    if len(data) < _LENGTH.size:
        return None
    (length,) = _LENGTH.unpack_from(data)
    if length > MAX_HEAD_BYTES:
        raise ValueError(f"a head of {length} bytes is too long")
    end = _LENGTH.size + length
    if len(data) < end:
        return None
    encoded = bytes(data[_LENGTH.size : end])
    return decoding.decode_msgpack(encoded, Head), bytes(data[end:])


def shorten_deadline(headers: Headers, seconds: float) -> Headers:
    """Return headers whose deadline is earlier by the time that was spent."""
    return tuple(
        (name, _shortened(value, seconds))
        if name.lower() == _DEADLINE_NAME
        else (name, value)
        for name, value in headers
    )


def _shortened(value: bytes, seconds: float) -> bytes:
    try:
        deadline_ms = decoding.parse_count(value.decode("latin-1"))
    except ValueError:
        # The endpoint decides about what the sender was given.
        return value
    shortened_ms = max(1, int(deadline_ms - 1000 * max(0.0, seconds)))
    return b"%d" % min(deadline_ms, shortened_ms)


def encode_response_headers(resp: httpx.Response) -> list[tuple[bytes, bytes]]:
    """Return the headers that carry the status and headers of a response."""
    return [
        (_STATUS_HEADER, b"%d" % resp.status_code),
        *((_PREFIX + name, value) for name, value in resp.headers.raw),
    ]


def decode_response(
    carrier: httpx.Response,
) -> tuple[int, list[tuple[bytes, bytes]]] | None:
    """Return status and headers of the endpoint that a peer's response has.

    Returns None for a response of the peer itself.
    """
    status = None
    headers = []
    for name, value in carrier.headers.raw:
        lowered = name.lower()
        if lowered.startswith(_PREFIX):
            headers.append((name[len(_PREFIX) :], value))
        elif lowered == _STATUS_HEADER:
            status = value
    if status is None or carrier.status_code != httpx.codes.OK:
        return None
    if _STATUS.fullmatch(status) is None:
        return None
    return int(status), headers


def encode_refusal(
    refusal: Refusal, retry_after: float | None = None
) -> tuple[int, list[tuple[bytes, bytes]]]:
    """Return status and headers of a refusal; the time is in seconds."""
    headers = [
        (_REFUSAL_HEADER, refusal.value.encode()),
        (b"content-length", b"0"),
    ]
    if retry_after is not None:
        headers.append((_RETRY_AFTER_HEADER, b"%.3f" % retry_after))
    if refusal is Refusal.UNKNOWN:
        return httpx.codes.BAD_GATEWAY, headers
    return httpx.codes.SERVICE_UNAVAILABLE, headers


def decode_refusal(carrier: httpx.Response) -> tuple[Refusal, float]:
    """Return why a peer has no response, and when to return, in seconds."""
    found = _find(carrier.headers.raw, _REFUSAL_HEADER)
    if found is None:
        return _refusal_of_status(carrier.status_code), 0.0
    retry_after = _find(carrier.headers.raw, _RETRY_AFTER_HEADER) or b"0"
    try:
        refusal = Refusal(found.decode("latin-1"))
        return refusal, decoding.parse_amount(retry_after.decode("latin-1"))
    except ValueError:
        # Of a later build.
        return Refusal.UNKNOWN, 0.0


def _refusal_of_status(status: int) -> Refusal:
    if status == httpx.codes.NOT_FOUND:
        return Refusal.UNKNOWN_PATH
    if status in _REJECTED_STATUSES:
        return Refusal.REJECTED
    return Refusal.UNKNOWN


def _find(
    headers: abc.Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    return next((value for key, value in headers if key.lower() == name), None)
