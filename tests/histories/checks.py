"""Find violations of the guarantees in the history of one run."""

import collections
from collections import abc

from histories import history as history_lib

# Codes of refusals that apply to every attempt with the ticket; other codes
# apply to one attempt.
TICKET_CODES = range(1201, 1300)

History = history_lib.History
GroundTruth = history_lib.GroundTruth
Violations = abc.Iterator[str]


def find_violations(history: History, truth: GroundTruth) -> list[str]:
    """Return every violation, prefixed with the name of its guarantee."""
    checks = (
        check_exactly_once,
        check_versions,
        check_staleness,
        check_rewards,
        check_complete_responses,
        check_at_most_once,
        check_refused_work,
        check_errors,
    )
    return [text for check in checks for text in check(history, truth)]


def check_exactly_once(history: History, truth: GroundTruth) -> Violations:
    """Yield slots that a trainer received more than once or never."""
    counts = collections.Counter(
        (delivery.trainer, delivery.step, delivery.slot)
        for delivery in history.deliveries
    )
    for name, count in counts.items():
        if count > 1:
            yield f"exactly-once: slot {name} was delivered {count} times"
    for (trainer, step), slots in history.expected.items():
        for slot in range(slots):
            if counts[trainer, step, slot] == 0:
                yield f"exactly-once: slot {trainer}/{step}/{slot} was lost"


def _parse(text: str) -> list[tuple[str, int, str]]:
    """Return name, number and version of each token."""
    found: list[tuple[str, int, str]] = []
    for token in text.split():
        name, _, rest = token.rpartition("#")
        number, _, version = rest.partition("@")
        found.append((name, int(number), version))
    return found


def check_versions(history: History, truth: GroundTruth) -> Violations:
    """Yield samples whose versions differ from the engine's own record."""
    for delivery in history.deliveries:
        where = f"{delivery.trainer}/{delivery.step}/{delivery.slot}"
        tokens = _parse(delivery.text)
        expected = [
            (f"{delivery.trainer}/{delivery.step}/{delivery.group}", number)
            for number in range(delivery.max_tokens)
        ]
        if [token[:2] for token in tokens] != expected:
            yield f"versions: sample {where} is incomplete: {delivery.text!r}"
        reported: dict[int, str] = {}
        for version, first, last in delivery.versions:
            for number in range(first, last + 1):
                reported[number] = str(version)
        if reported != {number: version for _, number, version in tokens}:
            yield f"versions: sample {where} reports {delivery.versions}"


def check_staleness(history: History, truth: GroundTruth) -> Violations:
    """Yield samples that were too old when they were delivered."""
    for delivery in history.deliveries:
        token_versions = [
            int(v) for *_, v in _parse(delivery.text) if v != "None"
        ]
        oldest = min(token_versions, default=0)
        if delivery.newest_version - oldest > delivery.staleness_bound:
            yield (
                f"staleness: sample {delivery.trainer}/{delivery.step}/"
                f"{delivery.slot} "
                f"has version {oldest} at {delivery.newest_version}"
            )


def check_rewards(history: History, truth: GroundTruth) -> Violations:
    """Yield samples whose reward isn't the scorer's."""
    for delivery in history.deliveries:
        expected = (
            float(len(delivery.text) % 7) if delivery.is_scored else None
        )
        if delivery.reward != expected:
            yield f"rewards: slot {delivery.slot} has {delivery.reward}"


def check_complete_responses(
    history: History, truth: GroundTruth
) -> Violations:
    """Yield complete responses whose content isn't that of their call."""
    for call in history.calls:
        expected = [(call.name, number) for number in range(call.max_tokens)]
        found = [token[:2] for token in _parse(call.text)]
        if call.is_complete and found != expected:
            yield f"whole: call {call.name} got {call.text!r}"
    for booking in history.bookings:
        # A retry may get the stored response of an earlier attempt.
        own = booking.attempt.rpartition("/")[0]
        if booking.status == 200 and not booking.echo.startswith(own + "/"):
            yield f"whole: booking {booking.attempt} got {booking.echo!r}"


def check_at_most_once(history: History, truth: GroundTruth) -> Violations:
    """Yield tickets whose call ran more than once."""
    runs = collections.Counter(ticket for ticket, _ in truth.executions)
    for ticket, count in runs.items():
        if count > 1:
            yield f"at-most-once: ticket {ticket} ran {count} times"


def check_refused_work(history: History, truth: GroundTruth) -> Violations:
    """Yield calls that were refused as not run although they ran."""
    for call in history.calls:
        if call.ran == "no" and call.name in truth.generated:
            yield f"not-run: call {call.name} ran"
    tickets = {ticket for ticket, _ in truth.executions}
    attempts = {body for _, body in truth.executions}
    for booking in history.bookings:
        if booking.ran != "no":
            continue
        if booking.attempt in attempts:
            yield f"not-run: booking {booking.attempt} ran"
        if booking.code in TICKET_CODES and booking.ticket in tickets:
            yield f"not-run: ticket of {booking.attempt} ran"


def check_errors(history: History, truth: GroundTruth) -> Violations:
    """Yield unexpected errors."""
    for error in history.errors:
        yield f"error: {error}"
