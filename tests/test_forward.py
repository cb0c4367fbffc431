"""Guard how ordinary requests are forwarded to endpoints."""

from collections import abc
import contextlib
import time
import typing

import anyio
from starlette import requests
from starlette import responses

from hibiscussaddle import codes
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import routing_config

import batch_builders
import desks

Behaviour: typing.TypeAlias = abc.Callable[
    [requests.Request], abc.Awaitable[responses.Response]
]


class Desk:
    """Hold one fake endpoint and what reached it."""

    def __init__(self, behaviour: Behaviour) -> None:
        """Answer with the given behaviour."""
        self.targets: list[str] = []
        self.cancelled = 0
        self._behaviour = behaviour

    async def answer(self, req: requests.Request) -> responses.Response:
        """Note the request as it arrived, then behave."""
        raw = req.scope["raw_path"].decode("latin-1")
        self.targets.append(raw)
        try:
            return await self._behaviour(req)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise


def _reply(
    req: requests.Request, status: int = 200, **headers: str
) -> responses.Response:
    own = {
        "x-request-id": req.headers["x-request-id"],
        "x-server-stamp": "stamp",
    }
    own.update({name.replace("_", "-"): v for name, v in headers.items()})
    return responses.Response(b"answer", status, own)


async def _answer(req: requests.Request) -> responses.Response:
    return _reply(req)


async def _answer_slowly(req: requests.Request) -> responses.Response:
    await anyio.sleep(2.0)
    return _reply(req)


async def _refuse(req: requests.Request) -> responses.Response:
    return _reply(req, 503, x_not_run="1")


async def _fail_as_busy(req: requests.Request) -> responses.Response:
    return _reply(req, 503)


async def _answer_another(_: requests.Request) -> responses.Response:
    headers = {"x-request-id": "other", "x-server-stamp": "stamp"}
    return responses.Response(b"not yours", 200, headers)


@contextlib.asynccontextmanager
async def serve(
    *behaviours: Behaviour,
) -> abc.AsyncIterator[tuple[forward.Forwarder, list[Desk]]]:
    """Yield a forwarder before one fake endpoint for each behaviour."""
    found = [Desk(behaviour) for behaviour in behaviours]
    async with desks.serve(*(desk.answer for desk in found)) as (forwarder, _):
        yield forwarder, found


def _request(target: str = "/orders/7") -> forward.CallerRequest:
    return forward.CallerRequest(
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
        target=0.2,
        max_attempts=2,
        **changes,
    )


def _forward(
    route: routing_config.Route,
    *behaviours: Behaviour,
    target: str = "/orders/7",
) -> tuple[forward.Response, list[Desk]]:
    async def main() -> tuple[forward.Response, list[Desk]]:
        async with serve(*behaviours) as (forwarder, desks):
            answer = await forwarder.forward(_request(target), route)
            return answer, desks

    return anyio.run(main)


NON_IDEMPOTENT: typing.Final = routing_config.RouteKind.NON_IDEMPOTENT


def test_target_is_not_changed() -> None:
    """Fails when the client quotes or unquotes a path on its way."""
    target = "/orders/a%2fb%7E|{x}/"
    _, desks = _forward(_route(), _answer, target=target)
    assert desks[0].targets == [target]


def test_slow_endpoint_is_hedged_in_time() -> None:
    """Fails when one slow endpoint makes an idempotent request late."""
    started = time.monotonic()
    answer, desks = _forward(_route(), _answer_slowly, _answer)
    assert isinstance(answer, forward.EndpointResponse)
    assert answer.endpoint_id == "desk-1"
    assert time.monotonic() - started < 0.8
    assert [len(desk.targets) for desk in desks] == [1, 1]


def test_non_idempotent_request_is_sent_once() -> None:
    """Fails when a request that may have run is sent again."""
    answer, desks = _forward(_route(NON_IDEMPOTENT), _answer_another, _answer)
    assert isinstance(answer, codes.Refusal)
    assert answer.code is codes.Code.OUTCOME_UNKNOWN
    assert [len(desk.targets) for desk in desks] == [1, 0]


def test_refused_request_goes_to_the_next_endpoint() -> None:
    """Fails when a refusal before the run counts as an attempt."""
    answer, _ = _forward(_route(NON_IDEMPOTENT), _refuse, _answer)
    assert isinstance(answer, forward.EndpointResponse)


def test_request_that_all_refuse_is_refused_at_once() -> None:
    """Fails when a caller waits for its deadline though nothing takes it."""
    started = time.monotonic()
    answer, _ = _forward(_route(), _refuse, _refuse)
    assert isinstance(answer, codes.Refusal)
    assert answer.code.value.ran == "no"
    assert answer.retry_after is not None
    assert time.monotonic() - started < 0.6


def test_busy_status_without_a_promise_is_not_passed_on() -> None:
    """Fails when a caller is told "not run" of what an endpoint may run."""
    answer, _ = _forward(_route(NON_IDEMPOTENT), _fail_as_busy)
    assert isinstance(answer, codes.Refusal)
    assert answer.code.value.http_status not in (408, 421, 429, 503)


def test_answer_of_another_request_is_not_returned() -> None:
    """Fails when a caller gets a late answer that is not its own."""
    answer, _ = _forward(_route(), _answer_another, _answer)
    assert isinstance(answer, forward.EndpointResponse)
    assert answer.body == b"answer"


def test_timeout_is_answered_at_the_routes_limit() -> None:
    """Fails when a request is held past its route's timeout."""
    started = time.monotonic()
    answer, _ = _forward(_route(), _answer_slowly, _answer_slowly)
    assert isinstance(answer, codes.Refusal)
    assert answer.code is codes.Code.BACK_END_TIMEOUT
    assert time.monotonic() - started < 1.1


def test_request_names_the_endpoint_that_it_is_meant_for() -> None:
    """Fails when a request runs at a service that took over an address."""
    expected: list[str] = []

    async def be_another(req: requests.Request) -> responses.Response:
        expected.append(req.headers["x-expect-instance"])
        return _reply(req, 421)

    answer, desks = _forward(_route(NON_IDEMPOTENT), be_another, _answer)
    assert isinstance(answer, forward.EndpointResponse)
    assert answer.endpoint_id == "desk-1"
    assert expected == ["desk-0"]
    assert len(desks[1].targets) == 1


def test_caller_that_leaves_ends_the_work() -> None:
    """Fails when an endpoint works on for a caller that is gone."""
    left: list[float] = []

    async def hang(req: requests.Request) -> responses.Response:
        while not await req.is_disconnected():
            await anyio.sleep(0.01)
        left.append(time.monotonic())
        return _reply(req)

    async def main() -> None:
        async with serve(hang) as (forwarder, desks):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(forwarder.forward, _request(), _route())
                with anyio.fail_after(5):
                    while not desks[0].targets:
                        await anyio.sleep(0.01)
                gone_at = time.monotonic()
                tasks.cancel_scope.cancel()
            with anyio.fail_after(5):
                while not left:
                    await anyio.sleep(0.01)
            assert left[0] - gone_at < 0.5

    anyio.run(main)
