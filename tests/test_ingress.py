"""Test the caller interface when callers disconnect."""

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
    """Accept every request and never respond."""

    limits = routing_config.Limits()
    is_stopping = False
    needs_keys = False

    def __init__(self) -> None:
        """Create a gateway without requests."""
        self.started = anyio.Event()
        self.cancelled = anyio.Event()
        self.on_response = lambda *_: None

    def track_request(self) -> contextlib.AbstractContextManager[None]:
        """Return a context manager that does nothing."""
        return contextlib.nullcontext()

    def find_route(self, *_: str) -> result.Ok[routing_config.Route]:
        """Return a route for plain requests."""
        kind = routing_config.RouteKind.IDEMPOTENT
        return result.Ok(batch_builders.route(kind=kind))

    def identify(self, *_: object) -> result.Ok[None]:
        """Return that no key is needed."""
        return result.Ok(None)

    async def forward(self, *_: object) -> None:
        """Run until cancelled."""
        self.started.set()
        try:
            await anyio.sleep_forever()
        finally:
            self.cancelled.set()


def test_request_is_cancelled_when_its_caller_disconnects() -> None:
    """Fails when a request keeps running after its connection closed."""

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
            disconnected_at = time.monotonic()
            tasks.cancel_scope.cancel()
            with anyio.CancelScope(shield=True), anyio.fail_after(5):
                await hanging.cancelled.wait()
            assert time.monotonic() - disconnected_at < 0.5

    anyio.run(main)
