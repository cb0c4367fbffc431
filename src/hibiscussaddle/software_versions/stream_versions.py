"""Keep the streams of callers to the software versions that began them."""

import collections
from collections import abc
import dataclasses
import logging
import time
import typing

import httpx
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import clocks
from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.routes import routing_config
from hibiscussaddle.software_versions import begun_log
from hibiscussaddle.software_versions import begun_streams
from hibiscussaddle.software_versions import continuation
from hibiscussaddle.software_versions import controller as controller_lib
from hibiscussaddle.software_versions import deduction
from hibiscussaddle.software_versions import peer_questions
from hibiscussaddle.software_versions import plan_age
from hibiscussaddle.software_versions import plan_confirmation
from hibiscussaddle.software_versions import plan_table

_LOG = logging.getLogger(__name__)

# A plan that isn't known yet or outdated arrives within this time.
_PLAN_RETRY_AFTER_SECONDS: typing.Final = 0.3
# Endpoints of a version, and instances that remember a stream, may return.
_RETRY_AFTER_SECONDS: typing.Final = 1.0

Filtered: typing.TypeAlias = result.Result[
    list[endpoints.Endpoint], codes.Refusal
]


@dataclasses.dataclass(frozen=True)
class _Instant:
    """Hold one moment by two clocks."""

    # Seconds of the wall clock.
    unix: float
    # Seconds since boot.
    boot: float


class PlannedStreamVersions:
    """Implement streams.StreamVersions with the plans of the store."""

    def __init__(
        self,
        view: view_lib.View,
        table: plan_table.PlanTable,
        age: plan_age.PlanAge,
        begun: begun_streams.BegunStreams,
        peers: peer_questions.PeerQuestions,
        confirmation: plan_confirmation.PlanConfirmation,
        boot_clock: abc.Callable[[], float] = clocks.boot_seconds,
        unix_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        """Use what the feeds have written into the view and the table."""
        self._view = view
        self._table = table
        self._age = age
        self._begun = begun
        self._peers = peers
        self._confirmation = confirmation
        self._boot_clock = boot_clock
        self._unix_clock = unix_clock
        # Versions of the listed endpoints by service, as of a revision of the
        # directory.
        self._listed: dict[str, set[str]] = {}
        self._listed_revision = -1

    def filter_beginning(
        self,
        service: str,
        request_id: str,
        candidates: abc.Iterable[endpoints.Endpoint],
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints at which a new stream may begin.

        There are none for the moment that a change of the plan takes.
        """
        if not self._table.has_listing:
            return []
        known = self._table.find(service)
        listed = self._listed_versions(service)
        if known is None:
            # The first plan assigns every ID to this version.
            if len(listed) != 1 or not self._age.may_begin(
                self._boot_clock(), has_several_versions=False
            ):
                return []
            return continuation.filter_continuing(listed.pop(), candidates)
        has_several = len(listed | known.plan.counts().keys()) > 1
        if not self._age.may_begin(self._boot_clock(), has_several):
            return []
        version = known.plan.bucket_for(request_id).version
        return continuation.filter_continuing(version, candidates)

    def record_begin(
        self, request_id: str, endpoint: endpoints.Endpoint
    ) -> None:
        """Record the endpoint that sent the first event of a stream."""
        self._begun.record(
            request_id,
            begun_streams.Origin(endpoint.service, endpoint.software_version),
            self._boot_clock(),
        )

    async def filter_continuing(
        self,
        route: routing_config.Route,
        service: str,
        continued_id: str,
        candidates: abc.Iterable[endpoints.Endpoint],
    ) -> Filtered:
        """Return the endpoints that may continue a stream."""
        origin = await self._find_origin(route, service, continued_id)
        if isinstance(origin, result.Err):
            logs.event(
                _LOG,
                "stream_version_unknown",
                request=continued_id,
                service=service,
                why=origin.err_value.message,
            )
            return origin
        found = origin.ok_value
        continuing: list[endpoints.Endpoint] = []
        if found.service == service:
            continuing = continuation.filter_continuing(
                found.version, candidates
            )
        if not continuing:
            return result.Err(
                codes.Refusal(
                    codes.Code.STREAM_VERSION_GONE,
                    f"no endpoint of service {found.service!r} and software "
                    f"version {found.version!r} may continue the stream",
                    _RETRY_AFTER_SECONDS,
                )
            )
        return result.Ok(continuing)

    def answer(
        self, question: peer_questions.Question
    ) -> peer_questions.Answer:
        """Answer the question of a peer from memory."""
        known = self._table.find(question.service)
        revision = known.revision if known else 0
        origin = self._begun.find(question.id_digest)
        if origin is None:
            return peer_questions.Answer(revision)
        return peer_questions.Answer(revision, origin.service, origin.version)

    async def _find_origin(
        self, route: routing_config.Route, service: str, continued_id: str
    ) -> result.Result[begun_streams.Origin, codes.Refusal]:
        # Later plans and pauses don't change when a stream may have begun.
        arrived = _Instant(self._unix_clock(), self._boot_clock())
        if not continued_id:
            return await self._find_only_origin(route, service, arrived)
        id_digest = begun_streams.digest(continued_id)
        origin = self._begun.find(id_digest)
        if origin is not None:
            return result.Ok(origin)
        # Other instances may remember the stream, or know a newer plan by
        # which it may have begun.
        answer = await self._peers.ask(
            peer_questions.Question(service, id_digest),
            asks_many=self._deduce(route, service, continued_id, arrived)
            is None,
        )
        if answer.origin is not None:
            # The caller may take the stream up again after that peer ended.
            self._begun.record(continued_id, answer.origin, self._boot_clock())
            return result.Ok(answer.origin)
        return await self._confirm_deduction(
            service,
            answer,
            lambda: self._deduce(route, service, continued_id, arrived),
            "the version for its ID has changed since it may have begun",
        )

    async def _find_only_origin(
        self, route: routing_config.Route, service: str, arrived: _Instant
    ) -> result.Result[begun_streams.Origin, codes.Refusal]:
        """Return the origin of a stream that the caller doesn't name."""
        why = (
            "the request names no attempt that began the stream, and several "
            "versions may have begun it"
        )
        if self._deduce_only(route, service, arrived) is None:
            return _unknown(why, _RETRY_AFTER_SECONDS)
        answer = await self._peers.ask(
            peer_questions.Question(service, begun_streams.digest("")),
            asks_many=False,
        )
        return await self._confirm_deduction(
            service,
            answer,
            lambda: self._deduce_only(route, service, arrived),
            why,
        )

    async def _confirm_deduction(
        self,
        service: str,
        answer: peer_questions.Answer,
        deduce: abc.Callable[[], str | None],
        why_uncertain: str,
    ) -> result.Result[begun_streams.Origin, codes.Refusal]:
        """Return what follows from the known plan once it is confirmed."""
        known = self._table.find(service)
        is_current = (
            known is not None and answer.plan_revision <= known.revision
        )
        # A newer plan makes nothing certain that isn't certain now.
        if is_current and deduce() is not None:
            is_current = await self._confirmation.confirm(service)
        if not is_current:
            return _unknown(
                "the instance has no current plan of the software versions",
                _PLAN_RETRY_AFTER_SECONDS,
            )
        version = deduce()
        if version is None:
            return _unknown(why_uncertain, _RETRY_AFTER_SECONDS)
        return result.Ok(begun_streams.Origin(service, version))

    def _deduce(
        self,
        route: routing_config.Route,
        service: str,
        continued_id: str,
        arrived: _Instant,
    ) -> str | None:
        known = self._table.find(service)
        if known is None:
            return None
        return deduction.find_version(
            known, continued_id, route.timeout, arrived.unix, arrived.boot
        )

    def _deduce_only(
        self, route: routing_config.Route, service: str, arrived: _Instant
    ) -> str | None:
        known = self._table.find(service)
        if known is None:
            return None
        return deduction.find_only_version(
            known, route.timeout, arrived.unix, arrived.boot
        )

    def _listed_versions(self, service: str) -> set[str]:
        directory = self._view.directory
        if directory.revision != self._listed_revision:
            self._listed_revision = directory.revision
            self._listed = collections.defaultdict(set)
            for endpoint in directory.all():
                self._listed[endpoint.service].add(endpoint.software_version)
        return set(self._listed.get(service, ()))


@dataclasses.dataclass(frozen=True)
class StreamVersionComponents:
    """Hold what an instance runs to keep streams to their versions."""

    versions: PlannedStreamVersions
    # Written by the feed of the plans.
    table: plan_table.PlanTable
    controller: controller_lib.PlanController
    age: plan_age.PlanAge
    log: begun_log.BegunLog
    confirmation: plan_confirmation.PlanConfirmation

    @property
    def background_loops(
        self,
    ) -> tuple[
        abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]], ...
    ]:
        """Return the tasks that run until the instance stops."""
        return (
            self.age.run,
            self.controller.run,
            self.log.run,
            self.confirmation.run,
        )


def create_stream_versions(
    client: httpx.AsyncClient,
    store_client: store.StoreClient,
    view: view_lib.View,
    members: presence_lib.Members,
    unix_clock: abc.Callable[[], float] = time.time,
) -> StreamVersionComponents:
    """Create and connect the components of an instance."""
    age = plan_age.PlanAge(clocks.boot_seconds())
    table = plan_table.PlanTable(age)
    begun = begun_streams.BegunStreams()
    peers = peer_questions.PeerQuestions(client, members)
    confirmation = plan_confirmation.PlanConfirmation(
        store_client, peers, members, table
    )
    versions = PlannedStreamVersions(
        view,
        table,
        age,
        begun,
        peers,
        confirmation,
        unix_clock=unix_clock,
    )
    controller = controller_lib.PlanController(
        store_client, view, members, table, unix_clock=unix_clock
    )
    log = begun_log.BegunLog(
        store_client, begun, table, view, members, unix_clock
    )
    return StreamVersionComponents(
        versions, table, controller, age, log, confirmation
    )


def _unknown(message: str, retry_after: float) -> result.Err[codes.Refusal]:
    return result.Err(
        codes.Refusal(codes.Code.STREAM_VERSION_UNKNOWN, message, retry_after)
    )
