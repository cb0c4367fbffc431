"""Report the state of a gateway instance to operators."""

import time
import typing

import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.batches import placement
from hibiscussaddle.batches import report as batch_report
from hibiscussaddle import endpoints
from hibiscussaddle import gateway_components
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.usage import service as usage_service

REPORT_PATH: typing.Final = "/v1/report"


class MemberReport(msgspec.Struct, frozen=True):
    """Describe a member and the address of its report."""

    instance: str
    zone: str
    peer_address: str
    leaving: bool


class EndpointReport(msgspec.Struct, frozen=True):
    """Describe an endpoint and whether it takes new work."""

    endpoint: str
    service: str
    zone: str
    state: str
    # Listed weight versions by model.
    versions: dict[str, int]
    # Batch items that this instance runs on the endpoint.
    running: int
    # Median seconds between two events of its streams; None without
    # observations.
    event_interval: float | None = msgspec.field(name="pace")
    # Empty when the endpoint takes new work.
    unused_reason: str = msgspec.field(name="unused_because")
    # Requests per second that it takes from all instances; None without limit.
    rate_limit: float | None = None


class DutiesReport(msgspec.Struct, frozen=True):
    """Describe the duties that one instance of the fleet holds."""

    # Instance that holds them, as this one knows; empty while it is unknown.
    holder: str
    # None if this instance may not act as the holder now.
    fencing_number: int | None
    # None where usage isn't reported.
    usage: usage_service.UsageReport | None


class InstanceReport(msgspec.Struct, frozen=True):
    """Describe the state of one instance as it knows itself."""

    instance: str
    zone: str
    incarnation: int
    # Empty when the instance is ready for callers.
    not_ready_reason: str = msgspec.field(name="not_ready_because")
    config_version: int
    store: str
    # Peer whose changes this instance follows; empty if it reads the store
    # itself.
    reader: str
    holds_weight_lease: bool
    # Newest published weight version by model.
    published_versions: dict[str, int] = msgspec.field(name="named_versions")
    running_requests: int
    members: tuple[MemberReport, ...]
    endpoints: tuple[EndpointReport, ...]
    batches: tuple[batch_report.BatchReport, ...]
    duties: DutiesReport


def create_report(components: gateway_components.Components) -> InstanceReport:
    """Return the report of this instance."""
    view = components.view
    me = components.presence.members.me
    return InstanceReport(
        instance=me.instance,
        zone=me.zone,
        incarnation=me.incarnation,
        not_ready_reason=components.gateway.not_ready_reason(),
        config_version=view.config.version if view.config else 0,
        store=_describe_store(components),
        reader=components.follower.followed_reader,
        holds_weight_lease=(
            components.duty_lease.fencing_number(guarded=True) is not None
        ),
        published_versions=dict(view.versions),
        running_requests=components.gateway.running_requests,
        members=tuple(
            MemberReport(
                member.instance,
                member.zone,
                member.peer_address,
                member.leaving,
            )
            for member in components.presence.members.all.values()
        ),
        endpoints=tuple(
            _describe_endpoint(
                endpoint,
                components.engines,
                components.limiter,
                view.directory.is_draining(endpoint),
            )
            for endpoint in view.directory.all()
        ),
        batches=tuple(
            owned.report()
            for owned in components.batch_owners.runners.values()
        ),
        duties=_describe_duties(components),
    )


def _describe_duties(
    components: gateway_components.Components,
) -> DutiesReport:
    holder = components.contention.holder
    usage = components.usage
    return DutiesReport(
        holder=holder.instance if holder else "",
        fencing_number=components.duty_lease.fencing_number(guarded=False),
        usage=usage.report() if usage else None,
    )


def _describe_store(components: gateway_components.Components) -> str:
    if components.store_transport.is_direct:
        return "direct"
    return (
        "lost"
        if components.store_transport.is_unreachable
        else "through a peer"
    )


def _describe_endpoint(
    endpoint: endpoints.Endpoint,
    engines: placement.Placement,
    limiter: limiter_lib.Limiter,
    is_draining: bool,
) -> EndpointReport:
    engine_state = engines.state(endpoint)
    unused_reason = "leaving"
    if not is_draining:
        unused_reason = _unused_reason(
            endpoint, engine_state, time.monotonic()
        )
    return EndpointReport(
        endpoint=endpoint.id,
        service=endpoint.service,
        zone=endpoint.zone,
        state=endpoint.state.value,
        versions=dict(endpoint.weight_versions),
        running=engine_state.running,
        event_interval=engine_state.median_interval,
        unused_reason=unused_reason,
        rate_limit=limiter.rate(endpoint),
    )


def _unused_reason(
    endpoint: endpoints.Endpoint,
    engine_state: placement.EngineState,
    now: float,
) -> str:
    if now < engine_state.blocked_until:
        return "failed" if engine_state.failures else "refused"
    if engine_state.is_suspect:
        return "waits for a probe"
    if endpoint.models and engine_state.running >= endpoint.slots:
        return "full"
    return ""


def create_route(components: gateway_components.Components) -> routing.Route:
    """Return the HTTP route from which operators read the report."""

    async def serve_report(_: requests.Request) -> responses.Response:
        body = msgspec.json.encode(create_report(components))
        return responses.Response(body, media_type="application/json")

    return routing.Route(REPORT_PATH, serve_report)
