"""A client's estimates of output tokens are far off.

A client that the operators don't control submits a batch of 24 ordinary items
on each of two routes. Their X-Length-Hint is 1e308, where the right one is
about 700. Without the disruption (TROUBLE=0) the estimates are twenty times
too high. The
platform restarts a process that exits after a short delay.
"""

import asyncio
import json
import pathlib
import secrets
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2")
)

import batches
import fleet as fleet_lib
import platform_memory
import servers

MEMORY_MB = 300
ITEMS = 24
FAR_OFF = "1e308"
CALM_HINT = "14000"
WATCH_S = 50.0
ZONES = ("gt-antigua", "gt-chimal", "gt-capital")


async def main(fleet, trouble):
    await fleet.start_store()
    config = fleet_lib.config()
    second = {**config["routes"][0], "name": "fit-rollout-b"}
    second["prefix"] = "/fit-b/"
    config["routes"].append(second)
    await fleet.put("op/config", config)
    zones = {f"front-{n + 1}": zone for n, zone in enumerate(ZONES)}
    names = list(zones)
    for name, zone in zones.items():
        fleet.start_gateway(name, zone, memory_mb=MEMORY_MB)
    for number, zone in enumerate(ZONES):
        engine = servers.Server(
            fleet, f"llm-{number}", "advice-llm", zone, 12, "m0"
        )
        engine.events, engine.event_s = 15, 0.05
        await engine.start()
        await servers.Server(
            fleet, f"desk-{number}", "booking-desk", zone, 6
        ).start()
    await fleet.wait_ready(*names)
    await asyncio.sleep(3.5)
    memory = platform_memory.Memory(fleet, zones, MEMORY_MB)
    watching = asyncio.create_task(memory.run())
    _, _, data = batches.submission(
        ITEMS, hint=FAR_OFF if trouble else CALM_HINT
    )
    batch_id, status = await batches.submit(fleet, "front-1", data)
    if status != 202:
        raise fleet_lib.CannotRunError("the batch was not accepted")
    _, _, data = batches.submission(
        ITEMS, hint=FAR_OFF if trouble else CALM_HINT
    )
    await batches.submit(fleet, "front-1", data, "/fit-b/")
    started = time.monotonic()
    asked = answered = listed = 0
    while time.monotonic() - started < WATCH_S:
        results = await asyncio.gather(*(ask(fleet, n) for n in names))
        asked += len(results)
        answered += sum(found != 0 for found in results)
        for name in names:
            status, _, data = await fleet.call(
                name, "GET", f"/-/lots/{batch_id}?after=0", timeout=2
            )
            if status == 200:
                listed = max(listed, len(json.loads(data)["results"]))
                break
        fleet.note(f"bookings answered {results}; {listed} items listed")
        if memory.is_rule_broken():
            break
        await asyncio.sleep(0.5)
    fleet.note(f"ended by themselves: {memory.ended}")
    fleet.note(
        f"bookings: {asked} asked, {answered} answered; {listed} of {ITEMS} "
        f"items listed"
    )
    watching.cancel()
    return memory.is_rule_broken()


async def ask(fleet, name):
    """Return the status of one ordinary booking, 0 without an answer."""
    request_id = secrets.token_hex(8)
    status, _, _ = await fleet.call(
        name,
        "POST",
        "/hire/x",
        {"X-Request-Id": request_id, "X-Deadline-Ms": "1500"},
        b"two nets",
        timeout=1.5,
    )
    return status


fleet_lib.run_case(main)
