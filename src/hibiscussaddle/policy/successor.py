"""Closed ticket ledgers that other processes handed over."""

import dataclasses

from hibiscussaddle.policy import tickets


@dataclasses.dataclass
class _ReceivedLedger:
    # Started calls of the whole ledger.
    total: int
    listed_at: float
    # Seconds on the successor's monotonic clock.
    expires_at: float
    calls: dict[int, tickets.HandoverEntry] = dataclasses.field(
        default_factory=dict
    )
    bytes: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether every started call has arrived."""
        return len(self.calls) == self.total


class Successor:
    """Answer for closed ledgers of other processes."""

    def __init__(
        self,
        max_entries: int = tickets.MAX_ENTRIES,
        max_result_bytes: int = tickets.MAX_RESULT_BYTES,
    ) -> None:
        """Start with no ledgers."""
        self._max_entries = max_entries
        self._max_result_bytes = max_result_bytes
        self._ledgers: dict[tickets.Issuer, _ReceivedLedger] = {}

    def accept(self, part: tickets.HandoverPart, now: float) -> bool:
        """Take one part, in any order and repeatedly; tell if it fits."""
        self._expire(now)
        book = self._ledgers.get(part.issuer)
        known = book.calls if book is not None else {}
        fresh = [entry for entry in part.entries if entry.nonce not in known]
        size = sum(entry.kept.size for entry in fresh if entry.kept)
        books = self._ledgers.values()
        entries = sum(len(found.calls) for found in books) + len(fresh)
        total = sum(found.bytes for found in books) + size
        if entries > self._max_entries or total > self._max_result_bytes:
            return False
        if book is None:
            expires_at = now + tickets.RESULT_RETENTION_SECONDS
            book = _ReceivedLedger(part.total, part.listed_at, expires_at)
            self._ledgers[part.issuer] = book
        book.calls.update((entry.nonce, entry) for entry in fresh)
        book.bytes += size
        return True

    def decide(
        self, ticket: tickets.Ticket, now: float, digest: bytes = b""
    ) -> tickets.Decision:
        """Answer a repeat; nothing is ever run for a closed ledger."""
        self._expire(now)
        book = self._ledgers.get(ticket.issuer)
        if book is None:
            return tickets.Decision(tickets.Verdict.UNKNOWN)
        entry = book.calls.get(ticket.nonce)
        if entry is not None:
            if entry.digest != digest:
                return tickets.Decision(tickets.Verdict.DIFFERENT)
            if entry.kept is None:
                return tickets.Decision(tickets.Verdict.UNKNOWN)
            return tickets.Decision(tickets.Verdict.KEPT, entry.kept)
        # The issuer may have started and forgotten an older ticket, and a
        # missing part may hold this one.
        is_recent = (
            ticket.issued_at + tickets.START_WINDOW_SECONDS > book.listed_at
        )
        if book.is_complete and is_recent:
            return tickets.Decision(tickets.Verdict.NOT_STARTED)
        return tickets.Decision(tickets.Verdict.UNKNOWN)

    def handover_parts(
        self, now: float, max_bytes: int = tickets.MAX_PART_BYTES
    ) -> tuple[tickets.HandoverPart, ...]:
        """Return the ledgers that arrived whole, for the next successor."""
        self._expire(now)
        parts: list[tickets.HandoverPart] = []
        for issuer, book in self._ledgers.items():
            if book.is_complete:
                calls = book.calls.values()
                parts += tickets.split_entries(
                    issuer, book.listed_at, calls, max_bytes
                )
        return tuple(parts)

    def _expire(self, now: float) -> None:
        for issuer in [
            issuer
            for issuer, book in self._ledgers.items()
            if book.expires_at <= now
        ]:
            del self._ledgers[issuer]
