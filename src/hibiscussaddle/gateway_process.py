"""Run one gateway instance: its ports, its feeds and its stop."""

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
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.adapters import store_transports
from hibiscussaddle.batches import handoff
from hibiscussaddle.batches import peer_reads
from hibiscussaddle.fleet import sharing
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import gateway_parts
from hibiscussaddle import gateway_report
from hibiscussaddle import gateway_settings
from hibiscussaddle import logs
from hibiscussaddle.platform import ingress
from hibiscussaddle import serving

_LOG = logging.getLogger(__name__)

# After SIGTERM the balancer needs two failed checks, one a second, until it
# sends no new connections.
_UNREADY_SECONDS: typing.Final = 2.5
# Part of the grace time that is kept for handing batches over and closing
# connections, in seconds.
_CLOSE_SECONDS: typing.Final = 2.0
_IDLE_CHECK_SECONDS: typing.Final = 0.05
_EXPIRE_SECONDS: typing.Final = 0.5


async def run(cfg: gateway_settings.GatewaySettings) -> None:
    """Run an instance until SIGTERM stops it."""
    parts = gateway_parts.create_parts(cfg)
    gc.collect()
    gc.freeze()
    logs.event(
        _LOG,
        "started",
        incarnation=parts.presence.members.me.incarnation,
        callers=cfg.caller_address or "-",
        store=cfg.store_address,
    )
    stop = anyio.Event()
    closing = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, stop)
        servers = _start_servers(parts, closing, tasks)
        for loop in parts.loops:
            tasks.start_soon(loop)
        tasks.start_soon(expire_endpoints, parts.view)
        await stop.wait()
        await _drain(parts)
        closing.set()
        for server in servers:
            await server.wait()
        tasks.cancel_scope.cancel()
    await parts.client.aclose()
    calls = parts.store.calls
    logs.event(
        _LOG,
        "stopped",
        **{f"store_calls_{kind}": count for kind, count in calls.items()},
    )


def _start_servers(
    parts: gateway_parts.Parts,
    closing: anyio.Event,
    tasks: anyio_abc.TaskGroup,
) -> list[serving.Server]:
    servers = []
    for address, app in (
        (parts.cfg.caller_address, ingress.Ingress(parts.gateway)),
        (parts.cfg.peer_address, create_peer_app(parts)),
        (parts.cfg.ready_address, ingress.create_ready_app(parts.gateway)),
        (parts.cfg.metrics_address, _create_metrics_app(parts)),
    ):
        if not address:
            continue
        host, _, port = address.rpartition(":")
        server = serving.Server(app, host, int(port), closing.wait)
        servers.append(server)
        tasks.start_soon(server.serve)
    return servers


def create_peer_app(parts: gateway_parts.Parts) -> applications.Starlette:
    return applications.Starlette(
        routes=[
            *handoff.create_routes(parts.batch_owners),
            peer_reads.create_route(parts.gateway.reader),
            store_transports.create_relay_route(parts.path),
            sharing.create_route(parts.reader),
            gateway_report.create_route(parts),
        ]
    )


def _create_metrics_app(parts: gateway_parts.Parts) -> applications.Starlette:
    async def show(req: requests.Request) -> responses.Response:
        body, headers = parts.metrics.render(
            parts.store.calls, req.headers.getlist("accept")
        )
        return responses.Response(body, headers=headers)

    return applications.Starlette(routes=[routing.Route("/metrics", show)])


async def _handle_signals(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                # Settings come from the environment of the process.
                logs.event(_LOG, "reload_ignored", signal="SIGHUP")
                continue
            logs.event(_LOG, "stop_requested", signal=number.name)
            stop.set()


async def expire_endpoints(view: view_lib.View) -> None:
    while True:
        await anyio.sleep(_EXPIRE_SECONDS)
        view.expire(view.clock())


async def _drain(parts: gateway_parts.Parts) -> None:
    """Let running work end, then hand the rest over."""
    gateway = parts.gateway
    gateway.stopping = True
    parts.batch_owners.stop()
    parts.presence.leave_soon()
    started = time.monotonic()
    limit = max(0.0, parts.cfg.grace_seconds - _CLOSE_SECONDS)
    while True:
        await anyio.sleep(_IDLE_CHECK_SECONDS)
        elapsed = time.monotonic() - started
        busy = gateway.running or parts.batch_owners.runners
        if elapsed >= limit or (elapsed >= _UNREADY_SECONDS and not busy):
            break
    with anyio.move_on_after(_CLOSE_SECONDS / 2):
        await parts.batch_owners.release()
        await parts.presence.leave()
        await parts.lease.release()
    logs.event(
        _LOG,
        "drained",
        seconds=time.monotonic() - started,
        running=gateway.running,
    )


def configure_logs(cfg: gateway_settings.GatewaySettings) -> None:
    """Write log lines to standard output, bounded and without waiting."""
    handler = logs.BoundedHandler(sys.stdout.fileno())
    logs.configure(cfg.log_level, cfg.instance, cfg.zone, handler)


def main() -> None:
    """Run an instance with the settings of the environment.

    Instances start this module and not the command line, whose other
    commands take longer to load than the instance itself.
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
