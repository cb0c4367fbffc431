"""Guard the forwarding of interactive requests to endpoints."""

from collections import abc
import contextlib
import dataclasses
import time
import typing

import anyio
from starlette import requests
from starlette import responses

from hibiscussaddle import codes
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config

import batch_builders
import fake_services

Behavior: typing.TypeAlias = abc.Callable[
    [requests.Request], abc.Awaitable[responses.Response]
]


class FakeEndpoint:
    """Record the requests that reach one fake endpoint."""

    def __init__(self, behavior: Behavior) -> None:
        """Respond with the given behavior."""
        self.targets: list[str] = []
        self.cancelled = 0
        self._behavior = behavior

    async def respond(self, req: requests.Request) -> responses.Response:
        """Record the raw path of a request, then respond."""
        raw = req.scope["raw_path"].decode("latin-1")
        self.targets.append(raw)
        try:
            return await self._behavior(req)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise


def _create_response(
    req: requests.Request, status: int = 200, **headers: str
) -> responses.Response:
    own = {
        "x-request-id": req.headers["x-request-id"],
        "x-server-stamp": "stamp",
    }
    own.update({name.replace("_", "-"): v for name, v in headers.items()})
    return responses.Response(b"answer", status, own)


async def _respond(req: requests.Request) -> responses.Response:
    return _create_response(req)


async def _respond_slowly(req: requests.Request) -> responses.Response:
    await anyio.sleep(2.0)
    return _create_response(req)


async def _refuse(req: requests.Request) -> responses.Response:
    return _create_response(req, 503, x_not_run="1")


async def _respond_busy(req: requests.Request) -> responses.Response:
    return _create_response(req, 503)


async def _respond_to_another_request(
    _: requests.Request,
) -> responses.Response:
    headers = {"x-request-id": "other", "x-server-stamp": "stamp"}
    return responses.Response(b"not yours", 200, headers)


@contextlib.asynccontextmanager
async def serve(
    *behaviors: Behavior,
) -> abc.AsyncIterator[tuple[forward.Forwarder, list[FakeEndpoint]]]:
    """Yield a forwarder in front of one fake endpoint for each behavior."""
    fakes = [FakeEndpoint(behavior) for behavior in behaviors]
    async with fake_services.serve(*(fake.respond for fake in fakes)) as (
        forwarder,
        _,
    ):
        yield forwarder, fakes


def _request(target: str = "/orders/7") -> request_state.CallerRequest:
    return request_state.CallerRequest(
        id="r-1",
        method="POST",
        target=target,
        host="desk.example",
        headers=(("host", "desk.example"), ("x-request-id", "r-1")),
        body=b"nets",
        timeout=1.0,
        arrived_at=time.monotonic(),
    )


def _route(
    kind: routing_config.RouteKind = routing_config.RouteKind.IDEMPOTENT,
    **changes: typing.Any,
) -> routing_config.Route:
    return batch_builders.route(
        kind=kind,
        splits=(routing_config.Split("desk", 1.0),),
        timeout=0.8,
        latency_target=0.2,
        max_attempts=2,
        **changes,
    )


def _forward(
    route: routing_config.Route,
    *behaviors: Behavior,
    target: str = "/orders/7",
) -> tuple[request_state.Response, list[FakeEndpoint]]:
    async def main() -> tuple[request_state.Response, list[FakeEndpoint]]:
        async with serve(*behaviors) as (forwarder, fakes):
            response = await forwarder.forward(_request(target), route)
            return response, fakes

    return anyio.run(main)


NON_IDEMPOTENT: typing.Final = routing_config.RouteKind.NON_IDEMPOTENT


def test_target_is_not_changed() -> None:
    """Fails when the HTTP client quotes or unquotes a forwarded path."""
    target = "/orders/a%2fb%7E|{x}/"
    _, fakes = _forward(_route(), _respond, target=target)
    assert fakes[0].targets == [target]


def test_headers_outside_ascii_are_passed_on_as_bytes() -> None:
    """Fails when a header is decoded and encoded in different ways.

    Such a header of a caller was answered with 500.
    """
    value = "gr\u00fc\u00df \u20ac".encode()

    async def echo(req: requests.Request) -> responses.Response:
        response = _create_response(req)
        sent = dict(req.scope["headers"])[b"x-tag"]
        response.raw_headers.append((b"x-tag", sent))
        return response

    async def main() -> request_state.Response:
        async with serve(echo) as (forwarder, _):
            req = _request()
            tag = ("x-tag", value.decode("latin-1"))
            req = dataclasses.replace(req, headers=(*req.headers, tag))
            return await forwarder.forward(req, _route())

    response = anyio.run(main)
    assert isinstance(response, request_state.EndpointResponse)
    assert ("x-tag", value.decode("latin-1")) in response.headers


def test_slow_endpoint_is_hedged_in_time() -> None:
    """Fails when one slow endpoint delays an idempotent request."""
    started = time.monotonic()
    response, fakes = _forward(_route(), _respond_slowly, _respond)
    assert isinstance(response, request_state.EndpointResponse)
    assert response.endpoint_id == "desk-1"
    assert time.monotonic() - started < 0.8
    assert [len(fake.targets) for fake in fakes] == [1, 1]


def test_non_idempotent_request_is_sent_once() -> None:
    """Fails when a request that may have run is sent again."""
    response, fakes = _forward(
        _route(NON_IDEMPOTENT), _respond_to_another_request, _respond
    )
    assert isinstance(response, codes.Refusal)
    assert response.code is codes.Code.OUTCOME_UNKNOWN
    assert [len(fake.targets) for fake in fakes] == [1, 0]


def test_refused_request_is_sent_to_the_next_endpoint() -> None:
    """Fails when a refusal before the run counts as an attempt."""
    response, _ = _forward(_route(NON_IDEMPOTENT), _refuse, _respond)
    assert isinstance(response, request_state.EndpointResponse)


def test_request_that_all_endpoints_refuse_is_refused_early() -> None:
    """Fails when a caller waits until its deadline for full endpoints."""
    started = time.monotonic()
    response, _ = _forward(_route(), _refuse, _refuse)
    assert isinstance(response, codes.Refusal)
    assert response.code.value.ran == "no"
    assert response.retry_after is not None
    assert time.monotonic() - started < 0.6


def test_busy_status_without_not_run_header_is_not_passed_on() -> None:
    """Fails when a caller is told "not run" though an endpoint may run it."""
    response, _ = _forward(_route(NON_IDEMPOTENT), _respond_busy)
    assert isinstance(response, codes.Refusal)
    assert response.code.value.http_status not in (408, 421, 429, 503)


def test_response_to_another_request_is_not_returned() -> None:
    """Fails when a caller gets the late response to another request."""
    response, _ = _forward(_route(), _respond_to_another_request, _respond)
    assert isinstance(response, request_state.EndpointResponse)
    assert response.body == b"answer"


def test_request_fails_at_the_timeout_of_its_route() -> None:
    """Fails when a request outlasts the timeout of its route."""
    started = time.monotonic()
    response, _ = _forward(_route(), _respond_slowly, _respond_slowly)
    assert isinstance(response, codes.Refusal)
    assert response.code is codes.Code.BACK_END_TIMEOUT
    assert time.monotonic() - started < 1.1


def test_request_names_its_expected_endpoint() -> None:
    """Fails when a request runs on another endpoint at a reused address."""
    expected: list[str] = []

    async def respond_as_another(req: requests.Request) -> responses.Response:
        expected.append(req.headers["x-expect-instance"])
        return _create_response(req, 421)

    response, fakes = _forward(
        _route(NON_IDEMPOTENT), respond_as_another, _respond
    )
    assert isinstance(response, request_state.EndpointResponse)
    assert response.endpoint_id == "desk-1"
    assert expected == ["desk-0"]
    assert len(fakes[1].targets) == 1


def test_disconnected_caller_cancels_the_request() -> None:
    """Fails when an endpoint keeps working for a disconnected caller."""
    ended_at: list[float] = []

    async def hang(req: requests.Request) -> responses.Response:
        while not await req.is_disconnected():
            await anyio.sleep(0.01)
        ended_at.append(time.monotonic())
        return _create_response(req)

    async def main() -> None:
        async with serve(hang) as (forwarder, fakes):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(forwarder.forward, _request(), _route())
                with anyio.fail_after(5):
                    while not fakes[0].targets:
                        await anyio.sleep(0.01)
                disconnected_at = time.monotonic()
                tasks.cancel_scope.cancel()
            with anyio.fail_after(5):
                while not ended_at:
                    await anyio.sleep(0.01)
            assert ended_at[0] - disconnected_at < 0.5

    anyio.run(main)
