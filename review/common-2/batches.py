"""Batch submissions as trainers make them."""

import base64
import json
import secrets


def submission(items, body_bytes=600, counts="1016,735", step=0, hint=""):
    """Return the items' ids, their bodies and the JSON of a submission."""
    ids = [secrets.token_hex(8) for _ in range(items)]
    bodies = [secrets.token_bytes(body_bytes) for _ in range(items)]
    tokens = sum(map(int, counts.split(",")))
    entries = [
        {
            "id": item_id,
            "path": "/fit/x",
            "headers": {
                "X-Model": "m0",
                "X-Token-Counts": counts,
                **({"X-Length-Hint": hint} if hint else {}),
            },
            "body": base64.b64encode(body).decode(),
            "tokens": tokens,
            "group": f"g{step}-{number // 4}",
        }
        for number, (item_id, body) in enumerate(zip(ids, bodies))
    ]
    data = json.dumps(
        {
            "step": step,
            "model": "m0",
            "minVersion": 1,
            "groupCount": max(1, items // 4),
            "items": entries,
        }
    )
    return ids, bodies, data.encode()


async def submit(fleet, name, data, prefix="/fit/"):
    """Submit a batch at a gateway; return its id and the status."""
    batch_id = secrets.token_hex(8)
    status, _, answer = await fleet.call(
        name,
        "POST",
        prefix + batch_id,
        {"X-Request-Id": batch_id, "X-Deadline-Ms": "12000"},
        data,
        timeout=12,
    )
    fleet.note(
        f"batch {batch_id} of {len(data)} bytes at {name}: {status} "
        f"{answer[:60]!r}"
    )
    return batch_id, status
