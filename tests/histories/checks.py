"""Find violations of the promises in the history of one run."""

import collections
from collections import abc

from histories import history as history_lib

# Refusals that speak of the ticket, so of every attempt with it; the others
# speak of one attempt.
TICKET_CODES = range(1201, 1300)

History = history_lib.History
Record = history_lib.Record
Violations = abc.Iterator[str]


def find_violations(history: History, record: Record) -> list[str]:
    """Return every violation, each prefixed with the property's name."""
    checks = (
        check_exactly_once,
        check_versions,
        check_staleness,
        check_rewards,
        check_whole_calls,
        check_at_most_once,
        check_not_run,
        check_errors,
    )
    return [text for check in checks for text in check(history, record)]


def check_exactly_once(history: History, record: Record) -> Violations:
    """Yield slots that a trainer got twice or never."""
    counts = collections.Counter(
        (item.trainer, item.step, item.slot) for item in history.deliveries
    )
    for name, count in counts.items():
        if count > 1:
            yield f"exactly-once: slot {name} came {count} times"
    for (trainer, step), slots in history.expected.items():
        for slot in range(slots):
            if counts[trainer, step, slot] == 0:
                yield f"exactly-once: slot {trainer}/{step}/{slot} never came"


def _parse(text: str) -> list[tuple[str, int, str]]:
    """Return name, number and version of each token."""
    found: list[tuple[str, int, str]] = []
    for token in text.split():
        name, _, rest = token.rpartition("#")
        number, _, version = rest.partition("@")
        found.append((name, int(number), version))
    return found


def check_versions(history: History, record: Record) -> Violations:
    """Yield samples whose versions differ from the engine's own record."""
    for item in history.deliveries:
        where = f"{item.trainer}/{item.step}/{item.slot}"
        tokens = _parse(item.text)
        expected = [
            (f"{item.trainer}/{item.step}/{item.group}", number)
            for number in range(item.max_tokens)
        ]
        if [token[:2] for token in tokens] != expected:
            yield f"versions: sample {where} is not whole: {item.text!r}"
        named: dict[int, str] = {}
        for version, first, last in item.versions:
            for number in range(first, last + 1):
                named[number] = str(version)
        if named != {number: version for _, number, version in tokens}:
            yield f"versions: sample {where} names {item.versions}"


def check_staleness(history: History, record: Record) -> Violations:
    """Yield samples that were too old when they were delivered."""
    for item in history.deliveries:
        made_by = [int(v) for *_, v in _parse(item.text) if v != "None"]
        oldest = min(made_by, default=0)
        if item.newest - oldest > item.bound:
            yield (
                f"staleness: sample {item.trainer}/{item.step}/{item.slot} "
                f"has version {oldest} at {item.newest}"
            )


def check_rewards(history: History, record: Record) -> Violations:
    """Yield samples of scored steps without the scorer's reward."""
    for item in history.deliveries:
        expected = float(len(item.text) % 7) if item.scored else None
        if item.reward != expected:
            yield f"rewards: slot {item.slot} has {item.reward}"


def check_whole_calls(history: History, record: Record) -> Violations:
    """Yield answers that claim to be whole and are not the caller's own."""
    for call in history.calls:
        expected = [(call.name, number) for number in range(call.max_tokens)]
        found = [token[:2] for token in _parse(call.text)]
        if call.whole and found != expected:
            yield f"whole: call {call.name} got {call.text!r}"
    for booking in history.bookings:
        # A repeat may get the kept answer of an earlier attempt.
        own = booking.attempt.rpartition("/")[0]
        if booking.status == 200 and not booking.echo.startswith(own + "/"):
            yield f"whole: booking {booking.attempt} got {booking.echo!r}"


def check_at_most_once(history: History, record: Record) -> Violations:
    """Yield tickets whose call ran more than once."""
    runs = collections.Counter(ticket for ticket, _ in record.executions)
    for ticket, count in runs.items():
        if count > 1:
            yield f"at-most-once: ticket {ticket} ran {count} times"


def check_not_run(history: History, record: Record) -> Violations:
    """Yield refusals that say "not run" about work that ran."""
    for call in history.calls:
        if call.ran == "no" and call.name in record.generated:
            yield f"not-run: call {call.name} ran"
    tickets = {ticket for ticket, _ in record.executions}
    attempts = {body for _, body in record.executions}
    for booking in history.bookings:
        if booking.ran != "no":
            continue
        if booking.attempt in attempts:
            yield f"not-run: booking {booking.attempt} ran"
        if booking.code in TICKET_CODES and booking.ticket in tickets:
            yield f"not-run: ticket of {booking.attempt} ran"


def check_errors(history: History, record: Record) -> Violations:
    """Yield unexpected errors."""
    for error in history.errors:
        yield f"error: {error}"
