"""Many requesters ask for bodies of one large batch at the same moment.

A batch submission of 20 MB (maxBodyBytes allows 33.5 MB) has 96 items. Then
24 requesters ask one gateway for the bodies of items that are not listed yet:
at the same moment, or one after the other without the disruption (TROUBLE=0).
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
ITEMS = 96
BATCH_BYTES = 20_000_000
REQUESTERS = 24
ROUNDS_S = 60.0


async def main(fleet, trouble):
    await fleet.start_store()
    config = fleet_lib.config()
    config["routes"][0]["retentionS"] = 120
    await fleet.put("op/config", config)
    names = ("front-1", "front-2", "front-3")
    zones = ("gt-antigua", "gt-chimal", "gt-capital")
    for name, zone in zip(names, zones):
        fleet.start_gateway(name, zone, memory_mb=MEMORY_MB)
    for number, zone in enumerate(zones):
        engine = servers.Server(
            fleet, f"llm-{number}", "advice-llm", zone, 12, "m0"
        )
        engine.events, engine.event_s = 600, 0.2
        await engine.start()
    await fleet.wait_ready(*names)
    await asyncio.sleep(3.5)
    memory = platform_memory.Memory(fleet, dict(zip(names, zones)), MEMORY_MB)
    watching = asyncio.create_task(memory.run())
    raw = [secrets.token_bytes(BATCH_BYTES // ITEMS * 3 // 4 - 160)
           for _ in range(ITEMS)]
    ids = [secrets.token_hex(8) for _ in range(ITEMS)]
    body = json.dumps(
        {
            "step": 0,
            "model": "m0",
            "minVersion": 1,
            "groupCount": ITEMS // 4,
            "items": [
                {
                    "id": item_id,
                    "path": "/fit/x",
                    "headers": {
                        "X-Model": "m0",
                        "X-Token-Counts": "1016,735",
                    },
                    "body": base64.b64encode(data).decode(),
                    "tokens": 1751,
                    "group": f"g{number // 4}",
                }
                for number, (item_id, data) in enumerate(zip(ids, raw))
            ],
        }
    ).encode()
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
    if status != 202:
        raise fleet_lib.CannotRunError("the batch was not accepted")
    await asyncio.sleep(3)
    fleet.note(f"calm: MB {memory.resident()}")

    async def ask(name, number):
        status, _, data = await fleet.call(
            name,
            "GET",
            f"/-/items/{batch_id}?id={ids[number]}",
            {"X-Deadline-Ms": "12000"},
            timeout=12,
        )
        if status == 200 and data != raw[number]:
            return "other bytes"
        return status

    started = time.monotonic()
    turn = 0
    while time.monotonic() - started < ROUNDS_S:
        name = names[turn % len(names)]
        numbers = [(turn * REQUESTERS + n) % ITEMS for n in range(REQUESTERS)]
        turn += 1
        if trouble:
            found = await asyncio.gather(*(ask(name, n) for n in numbers))
        else:
            found = [await ask(name, n) for n in numbers]
        counts = {str(f): found.count(f) for f in found}
        fleet.note(f"{name}: bodies {counts}, MB {memory.resident()}")
        if memory.is_rule_broken():
            break
        await asyncio.sleep(2.0)
    fleet.note(f"ended by themselves: {memory.ended}")
    watching.cancel()
    return memory.is_rule_broken()


fleet_lib.run_case(main)
