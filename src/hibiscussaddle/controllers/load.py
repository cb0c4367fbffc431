"""Poll the engines' load reports and cache events, with jitter."""

import typing

import anyio
import httpx

from hibiscussaddle import controllers
from hibiscussaddle import dispatcher as dispatcher_lib
from hibiscussaddle import endpoints
from hibiscussaddle.policy import routing
from hibiscussaddle import runtime as runtime_lib

# A zone at target size has 119 endpoints; polling each of them every
# second from every instance would exceed 4 KB/s a node, so that the rate
# is fixed and peers' facts fill in. Eight polls a second took 3% of a core.
POLLS_PER_SECOND: typing.Final = 1.0
# An engine is not asked more often than this, in seconds.
MIN_INTERVAL_SECONDS: typing.Final = 0.5
TIMEOUT_SECONDS: typing.Final = 2.0
# Cache events are asked for with every n-th report of an engine.
EVENTS_EVERY: typing.Final = 4


@controllers.controller("load")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Poll one engine after the other, in random order."""
    turn = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_tick, runtime.dispatcher)
        while True:
            engines = [
                ep
                for ep in runtime.directory.all()
                if ep.kind is endpoints.EndpointKind.ENGINE
            ]
            if not engines:
                await anyio.sleep(MIN_INTERVAL_SECONDS)
                continue
            runtime.rng.shuffle(engines)
            pause = max(
                1 / POLLS_PER_SECOND, MIN_INTERVAL_SECONDS / len(engines)
            )
            for ep in engines:
                tasks.start_soon(poll_load, runtime, ep)
                if turn % EVENTS_EVERY == 0:
                    tasks.start_soon(poll_events, runtime, ep)
                await anyio.sleep(pause * (0.5 + runtime.rng.random()))
            turn += 1


async def _tick(dispatcher: dispatcher_lib.Dispatcher) -> None:
    while True:
        dispatcher.tick()
        await anyio.sleep(dispatcher_lib.TICK_SECONDS)


async def poll_load(
    runtime: runtime_lib.Runtime, endpoint: endpoints.Endpoint
) -> None:
    """Read one engine's load report; a failure leaves the last one."""
    url = endpoint.address + "/v1/load"
    try:
        resp = await runtime.client.get(url, timeout=TIMEOUT_SECONDS)
        resp.raise_for_status()
        body = resp.json()
        report = routing.LoadReport(
            taken_at=runtime.clock() - float(body["age_seconds"]),
            running=int(body["running"]),
            waiting=int(body["waiting"]),
            slots=int(body["slots"]),
            version=body["version"],
            incarnation=int(body["incarnation"]),
        )
    except (httpx.HTTPError, ValueError, KeyError, TypeError):
        return
    runtime.dispatcher.load_tracker.apply_report(endpoint.id, report)


async def poll_events(
    runtime: runtime_lib.Runtime, endpoint: endpoints.Endpoint
) -> None:
    """Read one engine's cache events since the last that was heard."""
    prefixes = runtime.dispatcher.prefixes
    after = prefixes.last_event(endpoint.id)
    url = f"{endpoint.address}/v1/cache_events?after={after}"
    try:
        resp = await runtime.client.get(url, timeout=TIMEOUT_SECONDS)
        resp.raise_for_status()
        body = resp.json()
        events = [
            (int(item["number"]), str(item["prefix"]))
            for item in body["events"]
        ]
        incarnation = int(body["incarnation"])
    except (httpx.HTTPError, ValueError, KeyError, TypeError):
        return
    prefixes.apply_events(endpoint.id, incarnation, events)
