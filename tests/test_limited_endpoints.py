"""Guard that every kind of request obeys the rate limit of an endpoint."""

import time
import typing

import anyio
import pytest
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.adapters import connections
from hibiscussaddle.batches import engine_choice
from hibiscussaddle.batches import events
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle import codes
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config
from hibiscussaddle.scoring import scorer as scorer_lib
from hibiscussaddle.weights import controller

import batch_builders
import fake_services
import limit_builders
import loopback
import test_scorer


class LimitedService:
    """Respond to requests and name a limit, or none."""

    def __init__(self, rate: str = "", delay: float = 0.0) -> None:
        """Respond after a delay, in seconds."""
        self.arrivals: list[float] = []
        self.rate = rate
        self._delay = delay

    async def respond(self, req: requests.Request) -> responses.Response:
        """Record the arrival of a request, then respond."""
        self.arrivals.append(time.monotonic())
        await anyio.sleep(self._delay)
        headers = {
            "x-request-id": req.headers["x-request-id"],
            "x-server-stamp": "stamp",
        }
        if self.rate:
            headers["server-limit"] = self.rate
        return responses.Response(b"answer", 200, headers)


ROUTE: typing.Final = batch_builders.route(
    kind=routing_config.RouteKind.IDEMPOTENT,
    splits=(routing_config.Split("desk", 1.0),),
    timeout=0.8,
    latency_target=0.2,
    max_attempts=3,
)


def _request() -> request_state.CallerRequest:
    return request_state.CallerRequest(
        id="r-1",
        method="POST",
        target="/orders/7",
        host="desk.example",
        headers=(("host", "desk.example"), ("x-request-id", "r-1")),
        body=b"nets",
        timeout=1.0,
        arrived_at=time.monotonic(),
    )


def _send(
    *services: LimitedService, count: int
) -> list[tuple[request_state.Response, float]]:
    """Return the responses and seconds of requests in a row."""

    async def main() -> list[tuple[request_state.Response, float]]:
        handlers = [service.respond for service in services]
        results = []
        async with fake_services.serve(*handlers) as (forwarder, _):
            for _ in range(count):
                started = time.monotonic()
                response = await forwarder.forward(_request(), ROUTE)
                results.append((response, time.monotonic() - started))
        return results

    return anyio.run(main)


@pytest.mark.parametrize("rate", ["0", "0.5", "1"])
def test_request_beyond_all_limits_is_refused_at_once(rate: str) -> None:
    """Fails when a caller waits for an endpoint that takes no more."""
    service = LimitedService(rate)
    results = _send(service, count=6)
    refused = [
        response
        for response, seconds in results[2:]
        if seconds < 0.1 and isinstance(response, codes.Refusal)
    ]
    assert len(refused) == 4
    assert {refusal.code for refusal in refused} == {codes.Code.RATE_LIMITED}
    assert all(0 < (refusal.retry_after or 0) <= 10 for refusal in refused)
    # One request before the limit was known, and one permit.
    assert len(service.arrivals) == 2


def test_endpoints_without_a_limit_come_first() -> None:
    """Fails when an endpoint in need is used although others are free."""
    limited, free = LimitedService("5"), LimitedService()
    results = _send(limited, free, count=12)
    assert all(
        isinstance(response, request_state.EndpointResponse)
        for response, _ in results
    )
    assert len(limited.arrivals) == 1
    assert len(free.arrivals) == 11


class SlowLimiter:
    """Deny every permit after the time of a call to a holder."""

    def __init__(self) -> None:
        """Count the permits that were asked for."""
        self.asked = 0

    def is_limited(self, _: object) -> bool:
        """Return that every endpoint has a limit."""
        return True

    is_deferred = is_limited

    async def acquire(self, *_: object) -> float:
        """Deny a permit."""
        self.asked += 1
        await anyio.sleep(0.01)
        return 0.5


def test_request_asks_few_of_many_limited_endpoints() -> None:
    """Fails when a caller waits while all holders are asked in turn."""

    async def main() -> tuple[request_state.Response, float]:
        async with fake_services.serve() as (forwarder, view):
            for number in range(200):
                url = f"http://127.0.0.1:{number + 1}"
                view.directory.put(fake_services.endpoint(number, url))
            forwarder._limiter = typing.cast(
                limiter_lib.Limiter, SlowLimiter()
            )
            started = time.monotonic()
            response = await forwarder.forward(_request(), ROUTE)
            return response, time.monotonic() - started

    response, seconds = anyio.run(main)
    assert isinstance(response, codes.Refusal)
    assert response.code is codes.Code.RATE_LIMITED
    assert seconds < 0.15


def test_limited_endpoint_serves_what_the_others_refuse() -> None:
    """Fails when a permit is left unused although nobody else is free."""
    limited = LimitedService("30")
    results = _send(limited, count=12)
    assert all(
        isinstance(response, request_state.EndpointResponse)
        for response, _ in results
    )


def test_hedge_is_not_sent_to_a_limited_endpoint() -> None:
    """Fails when an endpoint in need gets a request twice over."""
    slow, limited = LimitedService(delay=0.3), LimitedService("100")

    async def main() -> None:
        handlers = [slow.respond, limited.respond]
        async with fake_services.serve(*handlers) as (forwarder, view):
            endpoint = view.directory.get("desk-1")
            assert endpoint is not None
            forwarder._limiter.observe(
                endpoint, limit_builders.response(200, "100"), "r-0"
            )
            response = await forwarder.forward(_request(), ROUTE)
            assert isinstance(response, request_state.EndpointResponse)
            assert response.endpoint_id == "desk-0"

    anyio.run(main)
    assert not limited.arrivals


def test_scoring_call_waits_for_the_limit_without_failing() -> None:
    """Fails when scoring calls ignore a limit or give the item up for it."""
    service = LimitedService("4")

    async def main() -> None:
        async with test_scorer.serve(
            typing.cast(test_scorer.FakeService, service)
        ) as (subject, _):
            for _ in range(5):
                with anyio.fail_after(5):
                    assert await subject.score(test_scorer.job()) is not None
            _check_no_failures(subject)

    started = time.monotonic()
    anyio.run(main)
    assert time.monotonic() - started > 0.5
    assert len(service.arrivals) == 5


def _check_no_failures(subject: scorer_lib.Scorer) -> None:
    assert subject.outcomes == {"scored": 5, "failed": 0, "unanswered": 0}


def _choices(
    limiter: limiter_lib.Limiter, seconds: float, *names: str
) -> list[str]:
    """Return the engines that items get within a time."""
    view = view_lib.create_view()
    for name in names:
        view.directory.put(batch_builders.engine(name, slots=1000))
    view.config = routing_config.RoutingConfig(1, (batch_builders.route(),))
    batch = batch_builders.batch()
    choice = engine_choice.EngineChoice(
        view, placement.Placement(), limiter, batch
    )
    chosen: list[str] = []

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(limiter.run)
            with anyio.move_on_after(seconds):
                while True:
                    progress = runs.Progress(
                        batch.items[0], events.Transcript()
                    )
                    endpoint = choice.choose(progress, time.monotonic(), False)
                    if endpoint is not None:
                        chosen.append(endpoint.id)
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    return chosen


def test_items_keep_the_limit_of_an_engine() -> None:
    """Fails when the items of a batch exceed the limit or don't use it."""
    limiter = limit_builders.limiter()
    limiter.observe(
        batch_builders.engine("engine-1"),
        limit_builders.response(200, "10"),
        "r-1",
    )
    # One second's requests, the burst of half a second, and the first one.
    assert 8 <= len(_choices(limiter, 1.0, "engine-1")) <= 16


def test_items_use_engines_without_a_limit_first() -> None:
    """Fails when items wait for a limited engine although one is free."""
    limiter = limit_builders.limiter()
    limiter.observe(
        batch_builders.engine("engine-1"),
        limit_builders.response(200, "10"),
        "r-1",
    )
    chosen = _choices(limiter, 0.3, "engine-1", "engine-2")
    assert set(chosen) == {"engine-2"}
    assert len(chosen) > 20


def test_weight_orders_and_reports_need_a_permit() -> None:
    """Fails when control calls reach an engine beyond its limit."""
    calls: list[str] = []

    async def respond(req: requests.Request) -> responses.Response:
        calls.append(req.url.path)
        return responses.JSONResponse(
            {"busy": False, "sequence": 0, "models": [], "born": 1}
        )

    async def main() -> None:
        limiter = limit_builders.limiter()
        routes = [
            routing.Route("/-/report", respond),
            routing.Route("/-/order", respond, methods=["POST"]),
        ]
        async with loopback.serve(
            applications.Starlette(routes=routes)
        ) as url:
            engine = batch_builders.engine("engine-1", address=url)
            limiter.observe(engine, limit_builders.response(200, "0"), "r-1")
            client = connections.create_client()
            subject = controller.WeightController(
                client,
                view_lib.create_view(),
                typing.cast(duty_lease.DutyLease, None),
                "gateway-1",
                lambda _: 0,
                limiter,
            )
            # The first call is the one request that a limit of 0 allows.
            assert await subject._fetch_report(engine) is not None
            assert await subject._fetch_report(engine) is None
            assert not await subject._acquire_permit(engine)
            await client.aclose()

    anyio.run(main)
    assert calls == ["/-/report"]
