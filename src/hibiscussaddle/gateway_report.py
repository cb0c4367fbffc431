"""Report what a gateway instance knows, for operators."""

import time
import typing

import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.batches import placement
from hibiscussaddle.batches import report as batch_report
from hibiscussaddle import endpoints
from hibiscussaddle import gateway_parts


REPORT_PATH: typing.Final = "/v1/report"


class MemberReport(msgspec.Struct, frozen=True):
    """Name a member and where its report is read."""

    instance: str
    zone: str
    peer_address: str
    leaving: bool


class EndpointReport(msgspec.Struct, frozen=True):
    """Tell whether an endpoint is used, and why not."""

    endpoint: str
    service: str
    zone: str
    state: str
    # Listed weight versions by model.
    versions: dict[str, int]
    # Runs of batches that this instance has there.
    running: int
    # Seconds between two events, None without observations.
    pace: float | None
    # Empty when the endpoint takes new work.
    unused_because: str


class InstanceReport(msgspec.Struct, frozen=True):
    """Tell the state of one instance as it sees itself."""

    instance: str
    zone: str
    incarnation: int
    # Empty when the instance is ready for callers.
    not_ready_because: str
    config_version: int
    store: str
    # Peer whose changes this instance follows; empty when it reads itself.
    reader: str
    holds_weight_lease: bool
    # Newest named version by model.
    named_versions: dict[str, int]
    running_requests: int
    members: tuple[MemberReport, ...]
    endpoints: tuple[EndpointReport, ...]
    batches: tuple[batch_report.BatchReport, ...]


def create_report(parts: gateway_parts.Parts) -> InstanceReport:
    """Return the report of this instance."""
    view = parts.view
    me = parts.presence.members.me
    return InstanceReport(
        instance=me.instance,
        zone=me.zone,
        incarnation=me.incarnation,
        not_ready_because=parts.gateway.why_not_ready(),
        config_version=view.config.version if view.config else 0,
        store=_describe_store(parts),
        reader=parts.follower.followed,
        holds_weight_lease=(
            parts.lease.fencing_number(guarded=True) is not None
        ),
        named_versions=dict(view.versions),
        running_requests=parts.gateway.running,
        members=tuple(
            MemberReport(
                member.instance,
                member.zone,
                member.peer_address,
                member.leaving,
            )
            for member in parts.presence.members.all.values()
        ),
        endpoints=tuple(
            _describe_endpoint(endpoint, parts.engines)
            for endpoint in view.directory.all()
        ),
        batches=tuple(
            owned.report() for owned in parts.batch_owners.runners.values()
        ),
    )


def _describe_store(parts: gateway_parts.Parts) -> str:
    if parts.path.is_direct:
        return "direct"
    return "lost" if parts.path.is_unreachable else "through a peer"


def _describe_endpoint(
    endpoint: endpoints.Endpoint, engines: placement.Placement
) -> EndpointReport:
    state = engines.state(endpoint)
    return EndpointReport(
        endpoint=endpoint.id,
        service=endpoint.service,
        zone=endpoint.zone,
        state=endpoint.state.value,
        versions=dict(endpoint.weight_versions),
        running=state.running,
        pace=state.median_interval,
        unused_because=_why_unused(endpoint, state, time.monotonic()),
    )


def _why_unused(
    endpoint: endpoints.Endpoint, state: placement.EngineState, now: float
) -> str:
    if endpoint.state is endpoints.EndpointState.LEAVING:
        return "leaving"
    if now < state.blocked_until:
        return "failed" if state.failures else "refused"
    if state.is_suspect:
        return "waits for a probe"
    if endpoint.models and state.running >= endpoint.slots:
        return "full"
    return ""


def create_route(parts: gateway_parts.Parts) -> routing.Route:
    """Return the route at which operators read the report."""

    async def show(_: requests.Request) -> responses.Response:
        body = msgspec.json.encode(create_report(parts))
        return responses.Response(body, media_type="application/json")

    return routing.Route(REPORT_PATH, show)
