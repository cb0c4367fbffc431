"""Run one entry instance from its start to its planned stop."""

import gc
import logging
import random
import secrets
import time
import typing

import anyio

from hibiscussaddle.adapters import connections
from hibiscussaddle.adapters import peer_sockets
from hibiscussaddle.adapters import peers
from hibiscussaddle.adapters import store
from hibiscussaddle import caller_app
from hibiscussaddle import contract_cache
from hibiscussaddle import controllers
from hibiscussaddle.controllers import endpoints as endpoint_controller
from hibiscussaddle.controllers import marks as mark_controller
from hibiscussaddle.controllers import membership as membership_controller
from hibiscussaddle import dispatcher
from hibiscussaddle import draining
from hibiscussaddle import endpoints
from hibiscussaddle import lifecycle
from hibiscussaddle import logs
from hibiscussaddle import members
from hibiscussaddle import operator_app
from hibiscussaddle import plugins
from hibiscussaddle.policy import membership
from hibiscussaddle.policy import tickets
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import serving
from hibiscussaddle import settings
from hibiscussaddle import shared_facts
from hibiscussaddle import step_table

_LOG = logging.getLogger(__name__)
_GC_THRESHOLDS: typing.Final = (20_000, 20, 20)


def create_runtime(cfg: settings.Settings) -> runtime_lib.Runtime:
    """Return the components of an instance; needs a running event loop."""
    plugins.import_components()
    incarnation = time.time_ns() // 1_000_000
    client = connections.Client(
        transport=connections.OriginTransport(), trust_env=False
    )
    address = f"{cfg.host}:{cfg.peer_port}"
    me = members.Member(
        cfg.instance, cfg.zone, cfg.region, address, incarnation
    )
    known_members = members.Members(me)
    contracts = contract_cache.ContractCache()
    directory = endpoints.Directory()
    rng = random.Random()
    runtime = runtime_lib.Runtime(
        cfg=cfg,
        incarnation=incarnation,
        clock=time.monotonic,
        rng=rng,
        client=client,
        lifecycle=lifecycle.Lifecycle(
            (
                *endpoint_controller.readiness_holds(cfg),
                *mark_controller.readiness_holds(cfg),
            )
        ),
        contracts=contracts,
        directory=directory,
        dispatcher=dispatcher.Dispatcher(
            cfg.instance, cfg.zone, directory, contracts, time.monotonic, rng
        ),
        ledger=tickets.Ledger(
            cfg.instance, incarnation, cfg.peer_secret, secrets.randbits(62)
        ),
        steps=step_table.StepTable(),
        peers=peers.PeerTransport(
            peers.Sender(cfg.instance, incarnation),
            cfg.peer_secret,
            address,
            peer_sockets.create_socket_cache(cfg),
        ),
        members=known_members,
        detector=membership.Detector(known_members, rng),
        facts=shared_facts.SharedFacts(),
        store=store.create_client(
            client,
            cfg.store_url,
            calls_per_second=cfg.store_calls_per_second,
        )
        if cfg.store_url
        else None,
    )
    runtime.facts.bind(runtime)
    runtime.callers.retry_budget = runtime.dispatcher.retry_budget
    return runtime


async def run(cfg: settings.Settings) -> None:
    """Run an instance until a signal stops it."""
    runtime = create_runtime(cfg)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(draining.handle_signals, runtime)
        await run_until_stopped(runtime)
        tasks.cancel_scope.cancel()


async def run_until_stopped(runtime: runtime_lib.Runtime) -> None:
    """Serve requests and run controllers until a stop has drained the work."""
    cfg = runtime.cfg
    drained = anyio.Event()
    servers: list[serving.Server] = []
    # Requests create few reference cycles. The default threshold of 700
    # allocations scans the whole heap many times a second, which raises the
    # p99 latency.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    logs.event(_LOG, "started", incarnation=runtime.incarnation)
    async with anyio.create_task_group() as tasks:
        runtime.lifecycle.set_task_group(tasks)
        for controller in controllers.REGISTRY.values():
            tasks.start_soon(controller, runtime)
        for app, port in (
            (caller_app.create_app(runtime), cfg.caller_port),
            (operator_app.create_app(runtime), cfg.operator_port),
        ):
            server = serving.Server(app, cfg.host, port, drained.wait)
            servers.append(server)
            tasks.start_soon(server.serve, cfg.tls_cert, cfg.tls_key)
        await runtime.lifecycle.stop_requested.wait()

        async def close_sockets() -> None:
            drained.set()
            for server in servers:
                await server.wait()

        await draining.drain(runtime, close_sockets)
        await membership_controller.leave(runtime)
        tasks.cancel_scope.cancel()
    await runtime.client.aclose()
    logs.event(_LOG, "stopped")
