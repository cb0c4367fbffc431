"""Tickets that make a non-idempotent call run at most once."""

import base64
import binascii
from collections import abc
import dataclasses
import enum
import hashlib
import heapq
import random
import typing

import msgspec
import result

from hibiscussaddle import auth
from hibiscussaddle import decoding

# A ticket can start a call for this long after it was issued.
START_WINDOW_SECONDS: typing.Final = 600.0
# A result is retained for this long after its call ended.
RESULT_RETENTION_SECONDS: typing.Final = 600.0
MAX_ENTRIES: typing.Final = 100_000
MAX_RESULT_BYTES: typing.Final = 64 << 20
# Below the 1 MiB limit of a peer frame, which also holds an envelope.
MAX_PART_BYTES: typing.Final = 512 << 10
_SIGNATURE_BYTES: typing.Final = 16
_DIGEST_BYTES: typing.Final = 16
# Upper limit of the size of an encoded entry without its result.
_MAX_ENTRY_BYTES: typing.Final = 64


@dataclasses.dataclass(frozen=True)
class Issuer:
    """Identify one process that issues tickets."""

    instance: str
    incarnation: int
    # Random, since an incarnation can repeat when the wall clock is set back.
    boot: int


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Identify one call in the first request and all of its retries."""

    issuer: Issuer
    nonce: int
    # Seconds on the issuer's monotonic clock.
    issued_at: float
    customer: str


@dataclasses.dataclass(frozen=True)
class KeptResult:
    """Hold the response of a finished call."""

    status: int
    body: bytes
    media_type: str

    @property
    def size(self) -> int:
        """Return the bytes that count towards the limit of results."""
        return len(self.body) + len(self.media_type)


class Verdict(enum.Enum):
    """Enumerate the decisions of an issuer or its successor on a call."""

    # The caller must run the call now and then finish or release it.
    RUN = "run"
    # The call is running.
    BUSY = "busy"
    # The call has ended, and its result is known.
    KEPT = "kept"
    # The call may have run, and its result is not known.
    UNKNOWN = "unknown"
    # The request differs from the one that was started with this ticket.
    DIFFERENT = "different"
    # The remaining verdicts guarantee that the call never ran.
    NOT_STARTED = "not_started"
    # The issuer starts no more calls.
    CLOSED = "closed"
    # The ledger has reached its limit of entries or bytes; a retry may run.
    FULL = "full"


NOT_RUN: typing.Final = frozenset(
    (Verdict.NOT_STARTED, Verdict.CLOSED, Verdict.FULL)
)


@dataclasses.dataclass(frozen=True)
class Decision:
    """Hold the verdict and the kept result, if there is one."""

    verdict: Verdict
    kept: KeptResult | None = None


@dataclasses.dataclass(frozen=True)
class HandoverEntry:
    """Describe one started call to the successor."""

    nonce: int
    digest: bytes
    # None when the outcome is unknown or the result was too large.
    kept: KeptResult | None


@dataclasses.dataclass(frozen=True)
class HandoverPart:
    """Hold a part of the started calls of a closed ledger."""

    issuer: Issuer
    # When the handover was made, in seconds on the issuer's monotonic clock.
    # Until then the issuer drops expired calls, also from a closed ledger.
    listed_at: float
    # Number of started calls in the complete ledger.
    total: int
    entries: tuple[HandoverEntry, ...]


class _State(enum.Enum):
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass
class _Entry:
    expires_at: float
    digest: bytes
    state: _State = _State.RUNNING
    kept: KeptResult | None = None


class Ledger:
    """Decide which calls of one incarnation may run."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        secret: str,
        boot: int = 0,
        max_entries: int = MAX_ENTRIES,
        max_result_bytes: int = MAX_RESULT_BYTES,
    ) -> None:
        """Start with no calls."""
        self.issuer = Issuer(instance, incarnation, boot)
        self.result_bytes = 0
        self.closed_at: float | None = None
        self._secret = secret
        self._max_entries = max_entries
        self._max_result_bytes = max_result_bytes
        self._entries: dict[int, _Entry] = {}
        self._expiry_heap: list[tuple[float, int]] = []
        self._now = float("-inf")

    def __len__(self) -> int:
        """Return the number of started calls that the ledger still holds."""
        return len(self._entries)

    def issue(self, customer: str, now: float, rng: random.Random) -> str:
        """Return a new ticket; it takes no memory until it is used."""
        self._advance(now)
        nonce = rng.getrandbits(62)
        ticket = Ticket(self.issuer, nonce, self._now, customer)
        return encode(ticket, self._secret)

    def parse(self, text: str) -> result.Result[Ticket, str]:
        """Return the ticket if its signature is valid."""
        return decode(text, self._secret)

    def is_own(self, ticket: Ticket) -> bool:
        """Return whether this process issued the ticket."""
        return ticket.issuer == self.issuer

    def start(
        self, ticket: Ticket, now: float, digest: bytes = b""
    ) -> Decision:
        """Return the decision on a call.

        After a RUN, the same ticket gets no other RUN unless it is released.
        """
        assert self.is_own(ticket)
        self._advance(now)
        entry = self._entries.get(ticket.nonce)
        if entry is not None:
            return _repeat_decision(entry, digest)
        # No entry is dropped before this time, so only after it can a ticket
        # without an entry belong to a call that has run.
        expires_at = ticket.issued_at + START_WINDOW_SECONDS
        if self._now >= expires_at:
            return Decision(Verdict.UNKNOWN)
        if self.closed_at is not None:
            return Decision(Verdict.CLOSED)
        if (
            len(self._entries) >= self._max_entries
            or self.result_bytes >= self._max_result_bytes
        ):
            return Decision(Verdict.FULL)
        self._entries[ticket.nonce] = _Entry(expires_at, digest)
        return Decision(Verdict.RUN)

    def may_have_run(self, ticket: Ticket, now: float) -> bool:
        """Return whether the call of a ticket of this ledger may have run."""
        self._advance(now)
        return (
            ticket.nonce in self._entries
            or self._now >= ticket.issued_at + START_WINDOW_SECONDS
        )

    def finish(
        self, ticket: Ticket, kept: KeptResult | None, now: float
    ) -> None:
        """End a call; the result is None when its outcome is unknown.

        A result that would exceed the limit of bytes is not kept, and retries
        of its call get UNKNOWN.
        """
        self._advance(now)
        entry = self._entries.get(ticket.nonce)
        if entry is None or entry.state is _State.ENDED:
            return
        if kept is not None:
            total = self.result_bytes + kept.size
            if total > self._max_result_bytes:
                kept = None
            else:
                self.result_bytes = total
        entry.state, entry.kept = _State.ENDED, kept
        entry.expires_at = max(
            entry.expires_at, self._now + RESULT_RETENTION_SECONDS
        )
        heapq.heappush(self._expiry_heap, (entry.expires_at, ticket.nonce))

    def release(self, ticket: Ticket) -> None:
        """Allow another start of a call that certainly never ran."""
        entry = self._entries.get(ticket.nonce)
        if entry is not None and entry.state is _State.RUNNING:
            del self._entries[ticket.nonce]

    def close(self, now: float) -> None:
        """Refuse to start calls from now on; started ones may still finish."""
        self._advance(now)
        if self.closed_at is None:
            self.closed_at = self._now

    def handover_parts(
        self, now: float, max_bytes: int = MAX_PART_BYTES
    ) -> tuple[HandoverPart, ...]:
        """Return the started calls of the closed ledger in parts."""
        self._advance(now)
        assert self.closed_at is not None
        entries = [
            HandoverEntry(nonce, entry.digest, entry.kept)
            for nonce, entry in self._entries.items()
        ]
        return split_entries(self.issuer, self._now, entries, max_bytes)

    def _advance(self, now: float) -> None:
        self._now = max(self._now, now)
        while self._expiry_heap and self._expiry_heap[0][0] <= self._now:
            _, nonce = heapq.heappop(self._expiry_heap)
            entry = self._entries.pop(nonce)
            if entry.kept is not None:
                self.result_bytes -= entry.kept.size


def _repeat_decision(entry: _Entry, digest: bytes) -> Decision:
    if entry.digest != digest:
        return Decision(Verdict.DIFFERENT)
    if entry.state is _State.RUNNING:
        return Decision(Verdict.BUSY)
    if entry.kept is None:
        return Decision(Verdict.UNKNOWN)
    return Decision(Verdict.KEPT, entry.kept)


def split_entries(
    issuer: Issuer,
    listed_at: float,
    entries: abc.Collection[HandoverEntry],
    max_bytes: int,
) -> tuple[HandoverPart, ...]:
    """Return started calls in parts of at most max_bytes.

    A result that exceeds max_bytes by itself is left out.
    """
    groups: list[list[HandoverEntry]] = [[]]
    used = 0
    for entry in entries:
        size = _MAX_ENTRY_BYTES + (entry.kept.size if entry.kept else 0)
        if size > max_bytes:
            entry = dataclasses.replace(entry, kept=None)
            size = _MAX_ENTRY_BYTES
        if used + size > max_bytes and groups[-1]:
            groups.append([])
            used = 0
        groups[-1].append(entry)
        used += size
    return tuple(
        HandoverPart(issuer, listed_at, len(entries), tuple(group))
        for group in groups
    )


def digest(method: str, path: str, body: bytes) -> bytes:
    """Return a digest by which requests with one ticket are compared."""
    head = f"{method} {path}\n".encode()
    return hashlib.sha256(head + body).digest()[:_DIGEST_BYTES]


def encode(ticket: Ticket, secret: str) -> str:
    """Return the signed text of a ticket."""
    body = msgspec.msgpack.encode(ticket)
    signature = auth.sign(secret, body)[:_SIGNATURE_BYTES]
    return base64.urlsafe_b64encode(signature + body).decode()


def decode(text: str, secret: str) -> result.Result[Ticket, str]:
    """Return the ticket of a signed text, or why it is invalid."""
    try:
        raw = base64.urlsafe_b64decode(text.encode())
    except (ValueError, binascii.Error):
        return result.Err("ticket is not valid base64")
    signature, body = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
    expected = auth.sign(secret, body)[:_SIGNATURE_BYTES]
    if not auth.secrets_match(signature.hex(), expected.hex()):
        return result.Err("ticket signature does not match")
    try:
        return result.Ok(decoding.decode_msgpack(body, Ticket))
    except msgspec.MsgspecError:
        return result.Err("ticket was issued by another release")
