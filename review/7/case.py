"""One legal batch submission with many short items.

A client that the operators don't control submits one batch of 40,000 short
items: 9.2 MB, where maxBodyBytes allows 33.5 MB. Without the disruption
(TROUBLE=0) a batch of the same bytes has 96 items, as on the users' sheet.
The platform is played as DEPLOY.md tells it: a process that uses more than
memoryMb is killed, and restarted after a short delay.
"""

import asyncio
import base64
import json
import pathlib
import secrets
import sys
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2")
)

import fleet as fleet_lib
import platform_memory
import servers

MEMORY_MB = 300
ITEMS = 40_000
CALM_ITEMS = 96
ITEM_BODY_BYTES = 60
WATCH_S = 60.0


def submission(items, body_bytes):
    return json.dumps(
        {
            "step": 0,
            "model": "m0",
            "minVersion": 1,
            "groupCount": items // 4,
            "items": [
                {
                    "id": secrets.token_hex(8),
                    "path": "/fit/x",
                    "headers": {
                        "X-Model": "m0",
                        "X-Token-Counts": "1016,735",
                    },
                    "body": base64.b64encode(
                        secrets.token_bytes(body_bytes)
                    ).decode(),
                    "tokens": 1751,
                    "group": f"g{number // 4}",
                }
                for number in range(items)
            ],
        }
    ).encode()


async def main(fleet, trouble):
    await fleet.start_store()
    await fleet.put("op/config", fleet_lib.config())
    names = ("front-1", "front-2", "front-3")
    zones = ("gt-antigua", "gt-chimal", "gt-capital")
    for name, zone in zip(names, zones):
        fleet.start_gateway(name, zone, memory_mb=MEMORY_MB)
    for number, zone in enumerate(zones):
        await servers.Server(
            fleet, f"llm-{number}", "advice-llm", zone, 12, "m0"
        ).start()
        await servers.Server(
            fleet, f"desk-{number}", "booking-desk", zone, 6
        ).start()
    await fleet.wait_ready(*names)
    await asyncio.sleep(3.5)
    memory = platform_memory.Memory(fleet, dict(zip(names, zones)), MEMORY_MB)
    watching = asyncio.create_task(memory.run())
    large = submission(ITEMS, ITEM_BODY_BYTES)
    body = large
    if not trouble:
        body = submission(CALM_ITEMS, len(large) // CALM_ITEMS * 3 // 4 - 150)
    batch_id = secrets.token_hex(8)
    status, _, data = await fleet.call(
        "front-1",
        "POST",
        "/fit/" + batch_id,
        {"X-Request-Id": batch_id, "X-Deadline-Ms": "12000"},
        body,
        timeout=12,
    )
    fleet.note(f"batch of {len(body)} bytes: {status} {data[:60]!r}")
    started = time.monotonic()
    asked = answered = 0
    while time.monotonic() - started < WATCH_S:
        results = await asyncio.gather(*(ask(fleet, n) for n in names))
        asked += len(results)
        answered += sum(found != 0 for found in results)
        fleet.note(f"bookings answered {results}, MB {memory.resident()}")
        if memory.is_rule_broken():
            break
        await asyncio.sleep(0.5)
    for key, value in (await fleet.keys("owner/")).items():
        fleet.note(f"{key}: {value.decode()}")
    fleet.note(f"ended by themselves: {memory.ended}")
    fleet.note(f"bookings: {asked} asked, {answered} answered")
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
