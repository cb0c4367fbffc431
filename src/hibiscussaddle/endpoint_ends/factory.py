"""Create the checker of endpoints, and connect it to what depends on it."""

import logging
import time

import httpx

from hibiscussaddle.batches import placement
from hibiscussaddle.endpoint_ends import checker
from hibiscussaddle.endpoint_ends import decision
from hibiscussaddle.endpoint_ends import entry_times
from hibiscussaddle.endpoint_ends import peer_checks
from hibiscussaddle.endpoint_ends import table
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import feed as feed_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import suspects

_LOG = logging.getLogger(__name__)


def create_checker(view: view_lib.View) -> checker.EndChecker:
    """Return a checker that asks nobody and sees no renewals."""
    return checker.EndChecker(view.directory, entry_times.EntryTimes())


def create_fleet_checker(
    view: view_lib.View,
    endpoint_feed: feed_lib.Feed,
    client: httpx.AsyncClient,
    members: presence.Members,
) -> checker.EndChecker:
    """Return a checker that knows the store and asks other instances."""
    times = entry_times.EntryTimes()

    def record_response(sent_at: float, page: change_log.Page) -> None:
        times.record_response(
            sent_at,
            page.revision,
            (
                (
                    entry.key.removeprefix(endpoint_wire.ENDPOINT_PREFIX),
                    entry.revision,
                )
                for entry in page.entries
                if entry.data is not None
            ),
        )

    endpoint_feed.on_response = record_response
    return checker.EndChecker(
        view.directory, times, peer_checks.PeerChecks(client, members)
    )


def connect(
    ends: checker.EndChecker,
    known: suspects.Suspects,
    engines: placement.Placement,
    balancer: balance.Balancer,
) -> None:
    """Let verdicts change marks of requests and backoffs of endpoints."""

    def change_suspects(change: table.Change) -> None:
        now = time.monotonic()
        if change.found.verdict is decision.Verdict.ENDED:
            _log_confirmed(change, known.confirm(change.lifetime, now))
        elif change.found.cause in (
            decision.Cause.CONTACT,
            decision.Cause.PEER_REACHED,
        ):
            known.refute(change.lifetime, change.until)
        else:
            count = known.withdraw(change.lifetime, change.until, now)
            _log_withdrawn(change, count)

    def change_backoffs(change: table.Change) -> None:
        endpoint_id, incarnation = change.lifetime
        found = change.found
        if found.verdict is decision.Verdict.ENDED:
            now = time.monotonic()
            engines.record_lifetime_end(endpoint_id, incarnation, now)
            balancer.record_lifetime_end(endpoint_id, incarnation, now)
        elif found.cause in (
            decision.Cause.CONTACT,
            decision.Cause.ENTRY_RENEWED,
        ):
            # What peers reach, this instance may not.
            engines.end_backoff(endpoint_id, incarnation)
            balancer.end_backoff(endpoint_id, incarnation)

    ends.listeners += [change_suspects, change_backoffs]

    def adopt(
        lifetime: suspects.Lifetime, age: float, is_confirmed: bool
    ) -> None:
        now = time.monotonic()
        if is_confirmed:
            ends.table.adopt(lifetime, now - age, now)
            return
        verdict = ends.suspect_reported(lifetime)
        if verdict is decision.Verdict.ENDED:
            known.confirm(lifetime, now)
        elif verdict is not decision.Verdict.SUSPECTED:
            known.drop(lifetime)

    known.on_report = adopt
    ends.on_repeat = known.forget_old


def _log_confirmed(
    change: table.Change, confirmed: list[tuple[suspects.Fingerprint, int]]
) -> None:
    endpoint_id, incarnation = change.lifetime
    for fingerprint, ended in confirmed:
        logs.event(
            _LOG,
            "suspicion_confirmed",
            logging.WARNING,
            fingerprint=fingerprint.hex(),
            endpoint=endpoint_id,
            incarnation=incarnation,
            why=change.found.cause.value,
            ended=ended,
        )


def _log_withdrawn(change: table.Change, count: int) -> None:
    if not count:
        return
    endpoint_id, incarnation = change.lifetime
    logs.event(
        _LOG,
        "ends_withdrawn",
        logging.WARNING,
        endpoint=endpoint_id,
        incarnation=incarnation,
        why=change.found.cause.value,
        requests=count,
        age=change.age,
    )
