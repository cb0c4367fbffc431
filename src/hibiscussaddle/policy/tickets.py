"""Tickets that let a non-idempotent call run at most once."""

import base64
import binascii
import dataclasses
import enum
import random
import typing

import msgspec
import result

from hibiscussaddle import auth

START_SECONDS: typing.Final = 600.0
KEEP_SECONDS: typing.Final = 600.0
MAX_ENTRIES: typing.Final = 100_000
MAX_RESULT_BYTES: typing.Final = 64 << 20
_SIGNATURE_BYTES: typing.Final = 16


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Name one call for all its repeats."""

    instance: str
    incarnation: int
    nonce: int
    # Seconds on the issuer's monotonic clock.
    issued_at: float
    customer: str


@dataclasses.dataclass(frozen=True)
class KeptResult:
    """Hold the answer of a finished call."""

    status: int
    body: bytes
    media_type: str


class Verdict(enum.Enum):
    """List what the issuer says about a ticket."""

    RUN = "run"
    BUSY = "busy"
    KEPT = "kept"
    UNKNOWN = "unknown"
    NOT_STARTED = "not_started"
    FULL = "full"


@dataclasses.dataclass(frozen=True)
class Decision:
    """Carry the verdict and the kept result, if there is one."""

    verdict: Verdict
    kept: KeptResult | None = None


@dataclasses.dataclass
class _Entry:
    ends_at: float
    kept: KeptResult | None = None
    lost: bool = False


class Ledger:
    """Decide which calls of one incarnation may run."""

    def __init__(self, instance: str, incarnation: int, secret: str) -> None:
        """Start with no calls."""
        self.instance = instance
        self.incarnation = incarnation
        self._secret = secret
        self._entries: dict[int, _Entry] = {}
        self._bytes = 0

    def issue(self, customer: str, now: float, rng: random.Random) -> str:
        """Return a new ticket."""
        ticket = Ticket(
            self.instance,
            self.incarnation,
            rng.getrandbits(62),
            now,
            customer,
        )
        return encode(ticket, self._secret)

    def parse(self, text: str) -> result.Result[Ticket, str]:
        """Return the ticket if its signature is right."""
        return decode(text, self._secret)

    def is_own(self, ticket: Ticket) -> bool:
        """Tell whether this incarnation issued the ticket."""
        return (ticket.instance, ticket.incarnation) == (
            self.instance,
            self.incarnation,
        )

    def start(self, ticket: Ticket, now: float) -> Decision:
        """Decide on a call; RUN is given once a ticket."""
        self._expire(now)
        entry = self._entries.get(ticket.nonce)
        if entry is not None:
            return _repeat(entry)
        if now > ticket.issued_at + START_SECONDS:
            return Decision(Verdict.UNKNOWN)
        if len(self._entries) >= MAX_ENTRIES:
            return Decision(Verdict.FULL)
        ends_at = ticket.issued_at + START_SECONDS
        self._entries[ticket.nonce] = _Entry(ends_at)
        return Decision(Verdict.RUN)

    def finish(
        self, ticket: Ticket, kept: KeptResult | None, now: float
    ) -> None:
        """Keep the result of a call; None when the outcome is unknown."""
        entry = self._entries[ticket.nonce]
        entry.kept = kept
        entry.lost = kept is None
        entry.ends_at = max(entry.ends_at, now + KEEP_SECONDS)

    def release(self, ticket: Ticket) -> None:
        """Allow another start, for a call that provably never ran."""
        self._entries.pop(ticket.nonce, None)

    def _expire(self, now: float) -> None:
        done = [
            nonce
            for nonce, entry in self._entries.items()
            if entry.ends_at <= now and (entry.kept or entry.lost)
        ]
        for nonce in done:
            del self._entries[nonce]


def _repeat(entry: _Entry) -> Decision:
    if entry.kept is not None:
        return Decision(Verdict.KEPT, entry.kept)
    if entry.lost:
        return Decision(Verdict.UNKNOWN)
    return Decision(Verdict.BUSY)


def encode(ticket: Ticket, secret: str) -> str:
    """Return the signed text of a ticket."""
    body = msgspec.msgpack.encode(ticket)
    signature = auth.sign(secret, body)[:_SIGNATURE_BYTES]
    return base64.urlsafe_b64encode(signature + body).decode()


def decode(text: str, secret: str) -> result.Result[Ticket, str]:
    """Return the ticket of a signed text."""
    try:
        raw = base64.urlsafe_b64decode(text.encode())
    except (ValueError, binascii.Error):
        return result.Err("not base64")
    signature, body = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
    expected = auth.sign(secret, body)[:_SIGNATURE_BYTES]
    if not auth.matches(signature.hex(), expected.hex()):
        return result.Err("wrong signature")
    return result.Ok(msgspec.msgpack.decode(body, type=Ticket))
