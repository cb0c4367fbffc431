"""Keep the directory of endpoints equal to the platform's list."""

import typing

import anyio
import httpx

from hibiscussaddle import controllers
from hibiscussaddle import endpoints
from hibiscussaddle import runtime as runtime_lib

POLL_SECONDS: typing.Final = 1.0
TIMEOUT_SECONDS: typing.Final = 2.0


@controllers.controller("endpoints")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Poll the list; keep the last one while it cannot be read."""
    if not runtime.cfg.platform_url:
        return
    url = runtime.cfg.platform_url.rstrip("/") + "/v1/instances"
    while True:
        try:
            resp = await runtime.client.get(url, timeout=TIMEOUT_SECONDS)
            resp.raise_for_status()
            items = resp.json()["instances"]
            found = [endpoints.parse(item) for item in items]
            runtime.directory.update(ep for ep in found if ep is not None)
        except (httpx.HTTPError, ValueError, KeyError):
            pass
        await anyio.sleep(POLL_SECONDS * (0.9 + 0.2 * runtime.rng.random()))
