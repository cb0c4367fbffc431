"""Poll load reports and cache events of the engines, with jitter."""

import typing

import anyio
import httpx

from hibiscussaddle import controllers
from hibiscussaddle import decoding
from hibiscussaddle import dispatcher as dispatcher_lib
from hibiscussaddle import endpoints
from hibiscussaddle.policy import routing
from hibiscussaddle import runtime as runtime_lib

# A zone at target size has 119 endpoints; polling each of them every
# second from every instance would exceed 4 KB/s per node. The rate is
# therefore fixed, and facts of peers supply the remaining load. Eight polls
# per second use 3% of a core.
POLLS_PER_SECOND: typing.Final = 1.0
# Minimum interval between two polls of the same engine.
MIN_INTERVAL_SECONDS: typing.Final = 0.5
TIMEOUT_SECONDS: typing.Final = 2.0
# Cache events are fetched with every n-th load report of an engine.
ROUNDS_PER_EVENT_POLL: typing.Final = 4


@controllers.controller("load")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Poll the engines one after the other, in random order."""
    round_number = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_run_ticks, runtime.dispatcher)
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
            interval = max(
                1 / POLLS_PER_SECOND, MIN_INTERVAL_SECONDS / len(engines)
            )
            for ep in engines:
                tasks.start_soon(poll_load, runtime, ep)
                if round_number % ROUNDS_PER_EVENT_POLL == 0:
                    tasks.start_soon(poll_events, runtime, ep)
                await anyio.sleep(interval * (0.5 + runtime.rng.random()))
            round_number += 1


async def _run_ticks(dispatcher: dispatcher_lib.Dispatcher) -> None:
    while True:
        dispatcher.tick()
        await anyio.sleep(dispatcher_lib.TICK_SECONDS)


async def poll_load(
    runtime: runtime_lib.Runtime, endpoint: endpoints.Endpoint
) -> None:
    """Fetch the load report of an engine; a failure keeps the last one."""
    url = endpoint.address + "/v1/load"
    try:
        resp = await runtime.client.get(url, timeout=TIMEOUT_SECONDS)
        resp.raise_for_status()
        body = decoding.decode_json(resp.content)
        report = routing.LoadReport(
            taken_at=runtime.clock() - float(body["age_seconds"]),
            running=int(body["running"]),
            waiting=int(body["waiting"]),
            slots=int(body["slots"]),
            version=body["version"],
            incarnation=int(body["incarnation"]),
        )
    except (
        httpx.HTTPError,
        ValueError,
        KeyError,
        TypeError,
        OverflowError,
    ):
        return
    runtime.dispatcher.load_tracker.apply_report(endpoint.id, report)


async def poll_events(
    runtime: runtime_lib.Runtime, endpoint: endpoints.Endpoint
) -> None:
    """Fetch the cache events of an engine since the last known one."""
    prefixes = runtime.dispatcher.prefixes
    after = prefixes.last_event(endpoint.id)
    url = f"{endpoint.address}/v1/cache_events?after={after}"
    try:
        resp = await runtime.client.get(url, timeout=TIMEOUT_SECONDS)
        resp.raise_for_status()
        body = decoding.decode_json(resp.content)
        events = [
            (int(item["number"]), str(item["prefix"]))
            for item in body["events"]
        ]
        incarnation = int(body["incarnation"])
    except (
        httpx.HTTPError,
        ValueError,
        KeyError,
        TypeError,
        OverflowError,
    ):
        return
    prefixes.apply_events(endpoint.id, incarnation, events)
