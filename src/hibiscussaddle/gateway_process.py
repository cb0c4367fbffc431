"""Run one gateway instance: its servers, background tasks and shutdown."""

import gc
import logging
import os
import signal
import sys
import time
import typing

import anyio
from anyio import abc as anyio_abc
import result
from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.adapters import store_transports
from hibiscussaddle import addresses
from hibiscussaddle.batches import handoff
from hibiscussaddle.batches import peer_reads
from hibiscussaddle import body_timeout
from hibiscussaddle.callers import bodies
from hibiscussaddle.callers import connections as callers_connections
from hibiscussaddle.endpoint_ends import peer_checks
from hibiscussaddle.fleet import feed_sharing
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import gateway_components
from hibiscussaddle import gateway_report
from hibiscussaddle import gateway_settings
from hibiscussaddle import logs
from hibiscussaddle.platform import ingress
from hibiscussaddle.policy import planned_stop
from hibiscussaddle.rate_limits import permits
from hibiscussaddle.relays import messages as relay_messages
from hibiscussaddle.relays import service as relay_service
from hibiscussaddle.routes import suspect_spread
from hibiscussaddle import serving
from hibiscussaddle.software_versions import peer_questions
from hibiscussaddle.usage import collector

_LOG = logging.getLogger(__name__)

# After SIGTERM the load balancer sends new connections until two checks have
# failed, at one check a second.
_MIN_DRAIN_SECONDS: typing.Final = 2.5
# Time of the grace period that is reserved for handing work over and closing
# connections.
_CLOSE_RESERVE_SECONDS: typing.Final = 2.0
# Parts of the reserve. The rest is that in which the last responses are sent.
# With a store sixty times slower than usual a call takes 0.24 s, and the
# release of the duties takes two calls.
_HAND_OVER_SECONDS: typing.Final = 0.8
_LEAVE_SECONDS: typing.Final = 0.6
_IDLE_CHECK_INTERVAL_SECONDS: typing.Final = 0.05
_EXPIRY_CHECK_INTERVAL_SECONDS: typing.Final = 0.5
# Longer than peers wait for the response to a call that they have sent.
_PEER_BODY_TIMEOUT_SECONDS: typing.Final = 10.0
# Peers pass on what was accepted, perhaps under another configuration: a batch
# of up to 33,554,432 bytes in an encoding of our own, which may be longer.
_MAX_PEER_BODY_BYTES: typing.Final = 64 << 20


async def run(cfg: gateway_settings.GatewaySettings) -> None:
    """Run an instance until it receives SIGTERM or SIGINT."""
    components = gateway_components.create_components(cfg)
    # Excludes the objects of the startup from later garbage collections.
    gc.collect()
    gc.freeze()
    logs.event(
        _LOG,
        "started",
        incarnation=components.presence.members.me.incarnation,
        callers=cfg.caller_address or "-",
        store=cfg.store_address,
    )
    stop_requested = anyio.Event()
    closing = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, stop_requested)
        servers = _start_servers(components, closing, tasks)
        for loop in components.background_loops:
            tasks.start_soon(loop)
        tasks.start_soon(expire_endpoints, components.view)
        await stop_requested.wait()
        stopped_at = time.monotonic()
        await _drain(components, stopped_at)
        closing.set()
        tasks.start_soon(_end_requests_in_time, components, stopped_at)
        for server in servers:
            await server.wait()
        tasks.cancel_scope.cancel()
    await components.client.aclose()
    calls = components.store.calls
    logs.event(
        _LOG,
        "stopped",
        **{f"store_calls_{kind}": count for kind, count in calls.items()},
    )


def _start_servers(
    components: gateway_components.Components,
    closing: anyio.Event,
    tasks: anyio_abc.TaskGroup,
) -> list[serving.Server]:
    servers = []
    for address, app, bounds in (
        (
            components.cfg.caller_address,
            ingress.Ingress(components.gateway, components.account),
            serving.Bounds(components.account, components.caller_connections),
        ),
        (
            components.cfg.peer_address,
            create_peer_app(components),
            serving.Bounds(components.account, components.peer_connections),
        ),
        # The platform checks that an instance is ready, whoever calls it.
        (
            components.cfg.ready_address,
            ingress.create_ready_app(components.gateway),
            _check_bounds(components),
        ),
        (
            components.cfg.metrics_address,
            create_metrics_app(components),
            _check_bounds(components),
        ),
    ):
        if not address:
            continue
        host, port = addresses.parse(address)
        server = serving.Server(app, host, port, closing.wait, bounds)
        servers.append(server)
        tasks.start_soon(server.serve)
    return servers


def _check_bounds(components: gateway_components.Components) -> serving.Bounds:
    """Return the bounds of a port that the platform checks or scrapes.

    A crowd that keeps its connections must not keep out the next check, so
    the oldest one ends, and no body is waited for.
    """
    table = callers_connections.ConnectionTable(
        callers_connections.MIN_CONNECTIONS, ends_oldest=True
    )
    return serving.Bounds(components.account, table, discard_seconds=0.0)


def create_peer_app(
    components: gateway_components.Components,
) -> applications.Starlette:
    """Return the app that peers and operators call."""
    return applications.Starlette(
        routes=[
            *handoff.create_routes(components.batch_owners),
            peer_reads.create_route(
                components.gateway.batch_reader, components.account
            ),
            store_transports.create_relay_route(components.store_transport),
            feed_sharing.create_route(components.zone_reader),
            suspect_spread.create_route(components.suspects),
            peer_checks.create_route(components.endpoint_ends.answer),
            permits.create_route(components.limiter.holder.serve),
            peer_questions.create_route(
                components.stream_versions.versions.answer
            ),
            gateway_report.create_route(components),
            relay_service.create_route(components.relay_service),
            *(
                [collector.create_route(components.usage.collector.receive)]
                if components.usage
                else []
            ),
        ],
        middleware=[
            middleware.Middleware(
                body_timeout.BodyTimeout, seconds=_PEER_BODY_TIMEOUT_SECONDS
            ),
            middleware.Middleware(
                bodies.BodyLimit,
                account=components.account,
                limit=_MAX_PEER_BODY_BYTES,
                exempt_paths=(relay_messages.PATH,),
            ),
        ],
    )


def create_metrics_app(
    components: gateway_components.Components,
) -> applications.Starlette:
    """Return the app that serves the metrics."""

    async def serve_metrics(req: requests.Request) -> responses.Response:
        body, headers = components.metrics.render(
            components.store.calls, req.headers.getlist("accept")
        )
        return responses.Response(body, headers=headers)

    return applications.Starlette(
        routes=[routing.Route("/metrics", serve_metrics)]
    )


async def _handle_signals(stop_requested: anyio.Event) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                # The settings come from the environment of the process, which
                # can't change.
                logs.event(_LOG, "reload_ignored", signal="SIGHUP")
                continue
            logs.event(_LOG, "stop_requested", signal=number.name)
            stop_requested.set()


async def expire_endpoints(view: view_lib.View) -> None:
    """Remove endpoints that did not register again, until cancelled."""
    while True:
        await anyio.sleep(_EXPIRY_CHECK_INTERVAL_SECONDS)
        view.expire(view.clock())


async def _drain(
    components: gateway_components.Components, started: float
) -> None:
    """Let running work finish, then hand over the remaining batches."""
    gateway = components.gateway
    gateway.stopped_at = started
    components.batch_owners.stop()
    components.presence.announce_leaving()
    limit = max(0.0, components.cfg.grace_seconds - _CLOSE_RESERVE_SECONDS)
    while True:
        await anyio.sleep(_IDLE_CHECK_INTERVAL_SECONDS)
        elapsed = time.monotonic() - started
        busy = (
            gateway.running_requests
            or components.batch_owners.runners
            or components.relay_service.running
        )
        if elapsed >= limit or (elapsed >= _MIN_DRAIN_SECONDS and not busy):
            break
    with anyio.move_on_after(_HAND_OVER_SECONDS):
        async with anyio.create_task_group() as tasks:
            if components.usage is not None:
                tasks.start_soon(components.usage.stop)
            tasks.start_soon(components.batch_owners.release)
    # Neither a slow batch nor a slow peer may take the time of these calls.
    with anyio.move_on_after(_LEAVE_SECONDS):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_release_duties, components)
            tasks.start_soon(components.presence.deregister)
    logs.event(
        _LOG,
        "drained",
        seconds=time.monotonic() - started,
        running=gateway.running_requests,
        relayed=components.relay_service.running,
    )


async def _release_duties(components: gateway_components.Components) -> None:
    if components.usage is not None:
        # A successor waits less after a release, so no call may be in flight.
        await components.usage.reporter.stop()
    await components.duty_lease.release()


async def _end_requests_in_time(
    components: gateway_components.Components, stopped_at: float
) -> None:
    """Respond to running requests before the process is killed."""
    wait = planned_stop.seconds_until_requests_end(
        time.monotonic() - stopped_at, components.cfg.grace_seconds
    )
    await anyio.sleep(wait)
    logs.event(
        _LOG,
        "requests_ended",
        running=components.gateway.running_requests,
    )
    components.forwarder.end_requests()
    components.relay_service.end_attempts()


def configure_logs(cfg: gateway_settings.GatewaySettings) -> None:
    """Write log lines to standard output, rate-limited and non-blocking."""
    handler = logs.BoundedHandler(sys.stdout.fileno())
    logs.configure(cfg.log_level, cfg.instance, cfg.zone, handler)


def main() -> None:
    """Run an instance with settings from the environment.

    Instances run this module instead of the command line, whose other
    commands take longer to import than the instance itself.
    """
    loaded = gateway_settings.load({}, os.environ)
    if isinstance(loaded, result.Err):
        sys.stderr.write(f"{loaded.err_value.message}\n")
        sys.exit(loaded.err_value.code.value.exit_status)
    cfg = loaded.ok_value
    configure_logs(cfg)
    anyio.run(run, cfg)


if __name__ == "__main__":
    main()
