"""Ticket ledgers that other processes closed and handed over."""

import dataclasses

from hibiscussaddle.policy import tickets


@dataclasses.dataclass
class _ReceivedLedger:
    # Number of started calls in the complete ledger.
    total: int
    # See tickets.HandoverPart.
    listed_at: float
    # Seconds on the successor's monotonic clock.
    expires_at: float
    calls: dict[int, tickets.HandoverEntry] = dataclasses.field(
        default_factory=dict
    )
    bytes: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether all started calls have been received."""
        return len(self.calls) == self.total


class Successor:
    """Decide on calls of closed ledgers of other processes."""

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
        """Store one part and return whether it fits the limits.

        Parts may arrive in any order and more than once.
        """
        self._expire(now)
        ledger = self._ledgers.get(part.issuer)
        known_calls = ledger.calls if ledger is not None else {}
        new_entries = [
            entry for entry in part.entries if entry.nonce not in known_calls
        ]
        size = sum(entry.kept.size for entry in new_entries if entry.kept)
        ledgers = self._ledgers.values()
        entries = sum(len(other.calls) for other in ledgers) + len(new_entries)
        total = sum(other.bytes for other in ledgers) + size
        if entries > self._max_entries or total > self._max_result_bytes:
            return False
        if ledger is None:
            expires_at = now + tickets.RESULT_RETENTION_SECONDS
            ledger = _ReceivedLedger(part.total, part.listed_at, expires_at)
            self._ledgers[part.issuer] = ledger
        ledger.calls.update((entry.nonce, entry) for entry in new_entries)
        ledger.bytes += size
        return True

    def decide(
        self, ticket: tickets.Ticket, now: float, digest: bytes = b""
    ) -> tickets.Decision:
        """Return the decision on a retry; the verdict is never RUN."""
        self._expire(now)
        ledger = self._ledgers.get(ticket.issuer)
        if ledger is None:
            return tickets.Decision(tickets.Verdict.UNKNOWN)
        entry = ledger.calls.get(ticket.nonce)
        if entry is not None:
            if entry.digest != digest:
                return tickets.Decision(tickets.Verdict.DIFFERENT)
            if entry.kept is None:
                return tickets.Decision(tickets.Verdict.UNKNOWN)
            return tickets.Decision(tickets.Verdict.KEPT, entry.kept)
        # The issuer may have started and dropped an older ticket, and a part
        # that was not received may contain this one.
        is_recent = (
            ticket.issued_at + tickets.START_WINDOW_SECONDS > ledger.listed_at
        )
        if ledger.is_complete and is_recent:
            return tickets.Decision(tickets.Verdict.NOT_STARTED)
        return tickets.Decision(tickets.Verdict.UNKNOWN)

    def handover_parts(
        self, now: float, max_bytes: int = tickets.MAX_PART_BYTES
    ) -> tuple[tickets.HandoverPart, ...]:
        """Return the complete ledgers in parts, for the next successor."""
        self._expire(now)
        parts: list[tickets.HandoverPart] = []
        for issuer, ledger in self._ledgers.items():
            if ledger.is_complete:
                calls = ledger.calls.values()
                parts += tickets.split_entries(
                    issuer, ledger.listed_at, calls, max_bytes
                )
        return tuple(parts)

    def _expire(self, now: float) -> None:
        for issuer in [
            issuer
            for issuer, ledger in self._ledgers.items()
            if ledger.expires_at <= now
        ]:
            del self._ledgers[issuer]
