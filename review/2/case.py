"""An entry of another writer under servers/ ends gateways again and again."""

import asyncio
import pathlib
import time

import rig as rig_lib

# The text holds a colon and digits, but no address.
ADDRESS = "127.0.0.1:80808"
GATEWAYS = 6
STEPS = 5
STEP_SECONDS = 4.0


async def case(rig):
    for zone, name in (
        ("gt-antigua", "e1"),
        ("gt-chimal", "e2"),
        ("gt-capital", "e3"),
    ):
        await rig.start_engine(name, zone)
    rig.write_config()
    for number in range(GATEWAYS):
        zone = ("gt-antigua", "gt-chimal", "gt-capital")[number % 3]
        rig.start_gateway(f"front-{number + 1}", zone)
    await rig.until_ready()
    rig.spawn(rig.supervise())
    await asyncio.sleep(3.0)
    if rig_lib.TROUBLE:
        rig.put(
            "servers/s-other",
            {
                "service": rig_lib.SERVICE,
                "address": ADDRESS,
                "zone": "gt-antigua",
                "version": "v1",
                "slots": 12,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "models": [
                    {"name": rig_lib.MODEL, "version": 1, "adapters": []}
                ],
                "born": time.time_ns() // 1_000_000,
            },
        )
        rig.note(f"entry of another writer with the address {ADDRESS}")
    await asyncio.sleep(2.0)
    listed = {}
    gateways = list(rig.gateways.values())
    for step in range(STEPS):
        started = time.monotonic()
        body = rig_lib.submission(step, groups=12, min_version=max(1, step))
        batch = f"b{step}"
        for gateway in gateways[step:] + gateways[:step]:
            found = await rig_lib.submit(gateway, batch, body, timeout=3.0)
            rig.note(
                f"{batch} submitted at {gateway.name}: "
                f"{found.status or found.why}"
            )
            if found.status == 202:
                break
            await asyncio.sleep(0.2)
        rig.put(
            f"op/version/{rig_lib.MODEL}",
            {"model": rig_lib.MODEL, "version": step + 2},
        )
        await asyncio.sleep(
            max(0.0, started + STEP_SECONDS - time.monotonic())
        )
    await asyncio.sleep(6.0)
    for step in range(STEPS):
        for gateway in gateways:
            page = await rig_lib.read(gateway, f"b{step}", 0, timeout=3.0)
            if page.status == 200:
                listed[step] = len(page.json()["results"])
                break
        rig.note(f"b{step}: {listed.get(step)} of 48 results can be read")
    runs = sum(len(engine.runs) for engine in rig.engines.values())
    rig.note(f"runs of items at servers: {runs}")
    ended = [len(gateway.own_ends) for gateway in gateways]
    rig.note(f"ends by themselves of the {GATEWAYS} gateways: {ended}")
    often = sum(count >= 3 for count in ended)
    return rig_lib.BROKEN if often >= max(2, GATEWAYS / 10) else rig_lib.HELD


rig_lib.main(case, pathlib.Path(__file__).parent)
