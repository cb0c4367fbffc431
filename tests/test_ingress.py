"""Test the caller interface when callers disconnect."""

import contextlib
import time
import typing

import anyio
import httpx
import pytest
import result

from hibiscussaddle.callers import bodies
from hibiscussaddle.callers import memory
from hibiscussaddle import codes
from hibiscussaddle import gateway
from hibiscussaddle.platform import ingress
from hibiscussaddle.routes import routing_config

import batch_builders
import batch_harness
import loopback


class HangingGateway:
    """Accept every request and never respond."""

    limits = routing_config.Limits()
    is_stopping = False
    needs_keys = False

    def __init__(self) -> None:
        """Create a gateway without requests."""
        self.batch_reader: typing.Any = None
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

    async def identify_for_batch(self, *_: object) -> result.Ok[None]:
        """Return that no key is needed."""
        return result.Ok(None)

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


def _receive_nothing() -> bodies.Receive:
    """Return a receive() of a request without a body."""
    messages: list[bodies.Message] = [{"type": "http.request", "body": b""}]

    async def receive() -> bodies.Message:
        if not messages:
            await anyio.sleep_forever()
        return messages.pop()

    return receive


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


def test_body_ended_at_its_last_piece_is_refused() -> None:
    """Fails when a body is served whose bytes are not accounted."""

    async def main() -> None:
        account = memory.Account(10 << 20)
        hold = account.open(bodies.HOLDER)
        pieces = [b"x" * (5 << 20), b""]

        async def receive() -> bodies.Message:
            piece = pieces.pop(0)
            if not pieces:
                account.evict_slowest((bodies.HOLDER,), "descriptors")
            return {"body": piece, "more_body": bool(pieces), "type": "http"}

        body = await bodies.read(receive, hold, 0, 8 << 20)
        assert isinstance(body, codes.Refusal)
        assert body.code is codes.Code.MEMORY_FULL
        assert account.held_bytes == 0

    anyio.run(main)


def test_incomplete_body_is_released_before_its_refusal() -> None:
    """Fails when a caller that reads no refusal keeps its body accounted."""
    account = memory.Account(10 << 20)
    held_bytes = []
    is_sent = False

    async def receive() -> bodies.Message:
        nonlocal is_sent
        if is_sent:
            await anyio.sleep_forever()
        is_sent = True
        body = b"x" * (5 << 20)
        return {"type": "http.request", "body": body, "more_body": True}

    async def send(message: bodies.Message) -> None:
        held_bytes.append(account.held_bytes)
        assert message.get("status", 408) == 408

    async def main() -> None:
        app = ingress.Ingress(
            typing.cast(gateway.Gateway, HangingGateway()), account
        )
        scope = {
            "type": "http",
            "method": "POST",
            "raw_path": b"/orders/7",
            "query_string": b"",
            "headers": [
                (b"content-length", b"%d" % (8 << 20)),
                (b"x-deadline-ms", b"50"),
            ],
        }
        await app(scope, receive, send)

    anyio.run(main)
    assert held_bytes == [0, 0]


@pytest.mark.parametrize(
    "wait_ms", ["nan", "inf", "-inf", "1e308", "-1", "x", "1e3"]
)
def test_read_with_an_odd_wait_ends_in_time(wait_ms: str) -> None:
    """Fails when a read never reaches its deadline.

    With "nan" each comparison with the deadline is false, so the read called
    its peer and the store without end.
    """
    statuses: list[int] = []

    async def send(message: bodies.Message) -> None:
        if "status" in message:
            statuses.append(message["status"])

    async def main() -> None:
        async with batch_harness.harness() as harness:
            batch = batch_builders.batch()
            await harness.accept(batch)
            reading = HangingGateway()
            reading.batch_reader = harness.reader
            app = ingress.Ingress(typing.cast(gateway.Gateway, reading))
            scope = {
                "type": "http",
                "method": "GET",
                "raw_path": f"/-/lots/{batch.id}".encode(),
                "query_string": b"after=0",
                "headers": [(b"x-wait-ms", wait_ms.encode())],
            }
            with anyio.fail_after(5):
                await app(scope, _receive_nothing(), send)
                page = await harness.reader.results(
                    batch.id, 0, float("nan"), 1000
                )
            assert page.unwrap().total == 1

    anyio.run(main)
    is_finite = wait_ms in ("1e308", "-1", "1e3")
    assert statuses == [200 if is_finite else 400]


@pytest.mark.parametrize("deadline_ms", ["nan", "inf", "-inf", "x", ""])
def test_odd_deadline_is_ignored(deadline_ms: str) -> None:
    """Fails when a deadline that is no number ends or prolongs a request."""
    deadlines: list[float] = []

    class RecordingGateway(HangingGateway):
        async def forward(self, req: typing.Any, _: object) -> typing.Any:
            deadlines.append(req.timeout)
            return codes.Refusal(codes.Code.STOPPING, "stopping")

    async def send(_: bodies.Message) -> None:
        pass

    async def main() -> None:
        app = ingress.Ingress(typing.cast(gateway.Gateway, RecordingGateway()))
        headers = [(b"x-deadline-ms", deadline_ms.encode())]
        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": b"/orders/7",
            "query_string": b"",
            "headers": headers,
        }

        with anyio.fail_after(5):
            await app(scope, _receive_nothing(), send)

    anyio.run(main)
    assert deadlines == [30.0]
