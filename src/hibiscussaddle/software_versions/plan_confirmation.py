"""Confirm the known plans for streams that are taken up.

A stream may have begun by any plan that was stored before its take-up arrived,
so that only what was asked after the arrival tells which plans count.
"""

from collections import abc
import logging
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import clocks
from hibiscussaddle import containment
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import logs
from hibiscussaddle.software_versions import begun_streams
from hibiscussaddle.software_versions import peer_questions
from hibiscussaddle.software_versions import plan_table

_LOG = logging.getLogger(__name__)

# A store that is sixty times slower than usual responds in 0.24 s.
_READ_TIMEOUT_SECONDS: typing.Final = 0.35
# Rounds of a whole fleet in a second, each of which costs one or two reads.
# The store allows 2,000 reads in a second.
_FLEET_ROUNDS_PER_SECOND: typing.Final = 900.0
# Limits of the time between two rounds of one instance. The shorter one leaves
# half of the store calls of an instance to others, and the longer one delays
# the caller.
_MIN_INTERVAL_SECONDS: typing.Final = 0.02
_MAX_INTERVAL_SECONDS: typing.Final = 0.4
# Longest wait for a round. It covers one that fails in all its steps and is on
# the way at the arrival, and the first read of the next one.
_WAIT_SECONDS: typing.Final = (
    3 * _READ_TIMEOUT_SECONDS + peer_questions.TIMEOUT_SECONDS
)


def round_interval(members: int) -> float:
    """Return the seconds between two rounds in a fleet of some members."""
    return min(
        _MAX_INTERVAL_SECONDS,
        max(_MIN_INTERVAL_SECONDS, members / _FLEET_ROUNDS_PER_SECOND),
    )


class _Round:
    """Hold what one round asks, and what it found for all that wait."""

    def __init__(self) -> None:
        self.services: set[str] = set()
        self.done = anyio.Event()
        # Newest revision of the plan by which streams of a service may have
        # begun; services for which it isn't known are missing.
        self.revisions: abc.Mapping[str, int] = {}


class PlanConfirmation:
    """Share rounds of questions among the streams that are taken up."""

    def __init__(
        self,
        client: store.StoreClient,
        peers: peer_questions.PeerQuestions,
        members: presence_lib.Members,
        table: plan_table.PlanTable,
    ) -> None:
        """Write what the store lists into the table."""
        self._client = client
        self._peers = peers
        self._members = members
        self._table = table
        self._next = _Round()
        self._requested = anyio.Event()

    async def run(self) -> None:
        """Run the rounds that are requested until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            current, self._next = self._next, _Round()
            began_at = clocks.boot_seconds()
            with containment.contain("plan_confirmation", plan_table.PREFIX):
                current.revisions = await self._find_revisions(
                    current.services
                )
            current.done.set()
            elapsed = clocks.boot_seconds() - began_at
            interval = round_interval(len(self._members.all))
            await anyio.sleep(max(0.0, interval - elapsed))

    async def confirm(self, service: str) -> bool:
        """Return whether no stream began by a newer plan than the known one.

        This holds for streams that began before the call.
        """
        joined = self._next
        joined.services.add(service)
        self._requested.set()
        with anyio.move_on_after(_WAIT_SECONDS):
            await joined.done.wait()
        known = self._table.find(service)
        newest = joined.revisions.get(service)
        # A plan that arrived after the round is newer than what it found.
        return (
            known is not None
            and newest is not None
            and known.revision >= newest
        )

    async def _find_revisions(
        self, services: abc.Collection[str]
    ) -> abc.Mapping[str, int]:
        revisions = await self._read()
        if revisions is None:
            # The store may be away for everyone. Streams begin at instances,
            # so that a plan that none of them knows began none.
            revisions = await self._ask_peers(services)
            if revisions.keys() < set(services):
                # The response may be lost, or late because this process stood
                # still, although the store is in reach.
                revisions = await self._read() or revisions
        return revisions

    async def _ask_peers(
        self, services: abc.Iterable[str]
    ) -> abc.Mapping[str, int]:
        found: dict[str, int] = {}

        async def ask(service: str) -> None:
            question = peer_questions.Question(
                service, begun_streams.digest("")
            )
            revision = await self._peers.newest_revision(question)
            if revision is not None:
                found[service] = revision

        async with anyio.create_task_group() as tasks:
            for service in services:
                tasks.start_soon(ask, service)
        return found

    async def _read(self) -> abc.Mapping[str, int] | None:
        """Return the stored revisions, None without a response in time."""
        why = "no response in time"
        # Cancels the call instead of giving it a short timeout, after which
        # the transport would count the store as unreachable.
        with anyio.move_on_after(_READ_TIMEOUT_SECONDS):
            found = await self._client.scan(plan_table.PREFIX)
            if isinstance(found, result.Ok):
                entries, _ = found.ok_value
                for entry in entries:
                    self._table.apply_read(entry)
                return {
                    plan_table.service_of(entry.key): entry.revision
                    for entry in entries
                }
            why = found.err_value.failure.value
        logs.event(_LOG, "software_plan_read_failed", why=why)
        return None
