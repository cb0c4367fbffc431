"""Guard what the caller interface does when callers leave."""

import contextlib
import time
import typing

import anyio
import httpx
import result

from hibiscussaddle import gateway
from hibiscussaddle.platform import ingress
from hibiscussaddle.routes import routing_config

import batch_builders
import loopback


class HangingGateway:
    """Route every request and never answer it."""

    limits = routing_config.Limits()
    is_stopping = False

    def __init__(self) -> None:
        """Start without requests."""
        self.started = anyio.Event()
        self.left = anyio.Event()
        self.on_response = lambda *_: None

    def track_request(self) -> contextlib.AbstractContextManager[None]:
        """Count nothing."""
        return contextlib.nullcontext()

    def find_route(self, *_: str) -> result.Ok[routing_config.Route]:
        """Return a route of plain requests."""
        kind = routing_config.RouteKind.IDEMPOTENT
        return result.Ok(batch_builders.route(kind=kind))

    async def forward(self, *_: object) -> None:
        """Work until the caller is gone."""
        self.started.set()
        try:
            await anyio.sleep_forever()
        finally:
            self.left.set()


def test_work_ends_when_its_caller_leaves() -> None:
    """Fails when an instance works on for a closed connection."""

    async def main() -> None:
        hanging = HangingGateway()
        app = ingress.Ingress(typing.cast(gateway.Gateway, hanging))
        async with (
            loopback.serve(app) as url,
            httpx.AsyncClient(trust_env=False) as caller,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(caller.get, f"{url}/orders/7")
            with anyio.fail_after(5):
                await hanging.started.wait()
            gone_at = time.monotonic()
            tasks.cancel_scope.cancel()
            with anyio.CancelScope(shield=True), anyio.fail_after(5):
                await hanging.left.wait()
            assert time.monotonic() - gone_at < 0.5

    anyio.run(main)
