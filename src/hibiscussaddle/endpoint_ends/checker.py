"""Find out whether the lifetime of an endpoint has ended."""

from collections import abc
import logging
import time
import typing

import anyio

from hibiscussaddle.adapters import connect_probes
from hibiscussaddle import containment
from hibiscussaddle.endpoint_ends import decision
from hibiscussaddle.endpoint_ends import entry_times
from hibiscussaddle.endpoint_ends import messages
from hibiscussaddle.endpoint_ends import peer_checks
from hibiscussaddle.endpoint_ends import table as table_lib
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# A peer may get the answer of an attempt that began this long before.
_ANSWER_AGE_SECONDS: typing.Final = 0.15
# Interval at which suspected lifetimes are decided again.
_REVIEW_SECONDS: typing.Final = 0.2
# Interval at which an undecided lifetime is checked again, and an end that
# peers confirmed: followers learn of renewals from readers only.
_REPEAT_SECONDS: typing.Final = 0.7
# Lifetimes that are checked again at one review.
_MAX_REPEATED: typing.Final = 16
# Lifetimes that peers are asked about at a time. An instance without links
# suspects every endpoint at once, and the entries decide on the others.
_MAX_ASKED: typing.Final = 32
# Later, an entry that was not renewed has expired.
_MAX_REPEAT_AGE_SECONDS: typing.Final = 8.0

# A peer that asks waits little longer for the answer.
_CONNECT_TIMEOUT_SECONDS: typing.Final = 0.05


async def _connect(address: str) -> connect_probes.Answer:
    return await connect_probes.connect(address, _CONNECT_TIMEOUT_SECONDS)


class _Shared:
    """Hold the newest attempt to connect to one lifetime."""

    def __init__(self) -> None:
        self.lock = anyio.Lock()
        self.began_at = float("-inf")
        self.found = connect_probes.Answer.SILENT


class EndChecker:
    """Decide on lifetimes, and answer the questions of peers."""

    def __init__(
        self,
        directory: endpoints.Directory,
        times: entry_times.EntryTimes,
        peers: peer_checks.PeerChecks | None = None,
        connect: connect_probes.Connect = _connect,
    ) -> None:
        """Ask nobody without peers."""
        self._directory = directory
        self._times = times
        self._peers = peers
        self._connect_to = connect
        self._attempts = observations.Observations(_Shared)
        self._questions = observations.Observations(_Shared)
        self._asking = 0
        # Incarnations that peers list, and those that they list as leaving.
        self._listed_by_peers: dict[str, int] = {}
        self._leaving_by_peers: set[decision.Lifetime] = set()
        self.table = table_lib.EndTable(self._read_facts, self._service_size)
        self.table.on_change = self._change
        # Called with each verdict that changed.
        self.listeners: list[abc.Callable[[table_lib.Change], None]] = []
        # Called with the monotonic seconds of each repeated check.
        self.on_repeat: abc.Callable[[float], None] = lambda _: None

    async def check(self, endpoint: endpoints.Endpoint) -> decision.Verdict:
        """Return what is known of an endpoint whose connection broke.

        Takes about 0.2 s at most. The verdict on an endpoint that is only
        suspected follows later.
        """
        lifetime = (endpoint.id, endpoint.incarnation)
        since = time.monotonic()
        verdict = self.table.suspect(lifetime, endpoint.service, since)
        if verdict is decision.Verdict.SUSPECTED:
            await self._connect(lifetime, endpoint.address, since)
            verdict = self._verdict(lifetime)
        if verdict is decision.Verdict.SUSPECTED:
            await self._ask_peers(lifetime, since)
            verdict = self._verdict(lifetime)
        return verdict

    def suspect_reported(
        self, lifetime: decision.Lifetime
    ) -> decision.Verdict:
        """Record that another instance suspects an end.

        The next review checks it from here.
        """
        listed = self._directory.get(lifetime[0])
        service = listed.service if listed else ""
        return self.table.suspect(lifetime, service, time.monotonic())

    def record_contact(
        self, endpoint: endpoints.Endpoint, began_at: float
    ) -> None:
        """Record a response to a request that was sent at that time."""
        if len(self.table):
            self.table.record_contact(
                (endpoint.id, endpoint.incarnation),
                began_at,
                time.monotonic(),
            )

    async def answer(self, question: messages.Question) -> messages.Answer:
        """Return what this instance knows, connecting if need be."""
        listed = self._directory.get(question.endpoint_id)
        reach = decision.Reach.UNKNOWN
        if listed is None:
            return messages.Answer(reach.value)
        now = time.monotonic()
        renewed_ago = now - self._times.written_after(listed.id)
        if listed.incarnation == question.incarnation:
            found, _ = await self._shared_attempt(
                (listed.id, listed.incarnation),
                listed.address,
                now - _ANSWER_AGE_SECONDS,
            )
            if found is connect_probes.Answer.ACCEPTED:
                reach = decision.Reach.REACHED
            elif found is connect_probes.Answer.REFUSED:
                reach = decision.Reach.REFUSED
        return messages.Answer(
            reach.value,
            listed.incarnation,
            self._directory.is_draining(listed),
            # An instance that follows a reader knows of no renewals.
            renewed_ago if renewed_ago < table_lib.KEEP_SECONDS else None,
        )

    async def run(self) -> None:
        """Decide on suspected lifetimes until cancelled."""
        repeated_at = float("-inf")
        while True:
            await anyio.sleep(_REVIEW_SECONDS)
            with containment.contain("endpoint_ends", "review"):
                now = time.monotonic()
                self.table.review(now)
                if now - repeated_at >= _REPEAT_SECONDS:
                    repeated_at = now
                    self.on_repeat(now)
                    await self._repeat(now)

    async def _repeat(self, now: float) -> None:
        """Check undecided lifetimes, and ends that may yet be refuted."""
        due = [
            case
            for case in self.table.cases()
            if case.is_own
            and case.found.verdict
            in (decision.Verdict.SUSPECTED, decision.Verdict.ENDED)
            and now - case.suspected_at < _MAX_REPEAT_AGE_SECONDS
        ]
        async with anyio.create_task_group() as tasks:
            for case in due[-_MAX_REPEATED:]:
                tasks.start_soon(self._check_again, case)

    async def _check_again(self, case: table_lib.Case) -> None:
        since = time.monotonic()
        listed = self._directory.get(case.lifetime[0])
        if (
            listed is not None
            and listed.incarnation == case.lifetime[1]
            and case.found.verdict is decision.Verdict.SUSPECTED
        ):
            await self._connect(case.lifetime, listed.address, since)
        await self._ask_peers(case.lifetime, since)

    def _verdict(self, lifetime: decision.Lifetime) -> decision.Verdict:
        return self.table.verdict(lifetime) or decision.Verdict.SUSPECTED

    async def _connect(
        self, lifetime: decision.Lifetime, address: str, since: float
    ) -> None:
        found, began_at = await self._shared_attempt(lifetime, address, since)
        if found is connect_probes.Answer.ACCEPTED:
            self.table.record_contact(lifetime, began_at, time.monotonic())

    async def _shared_attempt(
        self, lifetime: decision.Lifetime, address: str, since: float
    ) -> tuple[connect_probes.Answer, float]:
        """Return the result and the start of an attempt since that time.

        Requests whose connections broke together share it.
        """
        shared = self._attempts.for_key(*lifetime)
        async with shared.lock:
            if shared.began_at < since:
                shared.began_at = time.monotonic()
                shared.found = await self._connect_to(address)
            return shared.found, shared.began_at

    async def _ask_peers(
        self, lifetime: decision.Lifetime, since: float
    ) -> None:
        """Ask peers once for all requests whose connections broke."""
        if self._peers is None or self._asking >= _MAX_ASKED:
            return
        shared = self._questions.for_key(*lifetime)
        async with shared.lock:
            if shared.began_at < since:
                shared.began_at = time.monotonic()
                self._asking += 1
                try:
                    answered = await self._peers.ask(lifetime)
                finally:
                    self._asking -= 1
                self._record_answers(lifetime, answered)

    def _record_answers(
        self,
        lifetime: decision.Lifetime,
        answered: list[peer_checks.Answered],
    ) -> None:
        endpoint_id, incarnation = lifetime
        opinions = []
        for found in answered:
            answer = found.answer
            if answer.incarnation is not None:
                known = self._listed_by_peers.get(endpoint_id, 0)
                if answer.incarnation > max(known, incarnation):
                    self._listed_by_peers[endpoint_id] = answer.incarnation
            if answer.incarnation == incarnation:
                if answer.is_leaving:
                    self._leaving_by_peers.add(lifetime)
                if answer.renewed_ago is not None:
                    self._times.record_bound(
                        endpoint_id, found.asked_at - answer.renewed_ago
                    )
            opinions.append(
                decision.PeerOpinion(
                    found.is_other_zone, _parse_reach(answer.reach)
                )
            )
        for kept in (self._listed_by_peers, self._leaving_by_peers):
            if len(kept) > table_lib.MAX_CASES:
                kept.clear()
        has_other_zones = (
            self._peers is not None and self._peers.has_other_zones()
        )
        self.table.record_opinions(
            lifetime, opinions, has_other_zones, time.monotonic()
        )

    def _read_facts(self, lifetime: decision.Lifetime) -> decision.Facts:
        endpoint_id, incarnation = lifetime
        listed = self._directory.get(endpoint_id)
        known = None
        if listed is not None:
            known = max(
                listed.incarnation,
                self._listed_by_peers.get(endpoint_id, listed.incarnation),
            )
        is_leaving = lifetime in self._leaving_by_peers
        if listed is not None and listed.incarnation == incarnation:
            is_leaving |= self._directory.is_draining(listed)
        return decision.Facts(
            known, is_leaving, self._times.written_after(endpoint_id)
        )

    def _service_size(self, service: str) -> int:
        return sum(ep.service == service for ep in self._directory.all())

    def _change(self, change: table_lib.Change) -> None:
        endpoint_id, incarnation = change.lifetime
        logs.event(
            _LOG,
            "endpoint_end_decided",
            logging.INFO
            if change.found.verdict is not decision.Verdict.ENDED
            else logging.WARNING,
            endpoint=endpoint_id,
            incarnation=incarnation,
            verdict=change.found.verdict.value,
            before=change.before.value,
            why=change.found.cause.value,
            age=change.age,
        )
        for listener in self.listeners:
            listener(change)


def _parse_reach(text: str) -> decision.Reach:
    try:
        return decision.Reach(text)
    except ValueError:
        # A later build may know more.
        return decision.Reach.UNKNOWN
