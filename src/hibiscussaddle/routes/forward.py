"""Forward a request to endpoints of its route and return one answer."""

import dataclasses
import enum
import logging
import time
import typing

import anyio
import httpx

from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.policy import retries
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import routing_config

_LOG = logging.getLogger(__name__)

# A reachable endpoint accepts a connection in milliseconds, in seconds.
_CONNECT_SECONDS: typing.Final = 0.25
# Rounds in which every endpoint refuses before the request is refused.
_REFUSED_ROUNDS: typing.Final = 2
# Wait before endpoints that all refused are asked again, in seconds.
_AGAIN_SECONDS: typing.Final = 0.03
# Time of a caller that is kept for the answer's way back, in seconds.
_RETURN_SECONDS: typing.Final = 0.004
# A request with less time than this can't be answered, in seconds.
_SHORTEST_SECONDS: typing.Final = 0.005
# Retry-After of a request that no endpoint can serve now, in seconds:
# restarted endpoints are listed within about a second.
RETRY_AFTER_SECONDS: typing.Final = 0.3

# Callers read these as "not run", which an endpoint says in a header of its
# own; without it the request may have run.
_PROMISES: typing.Final = (408, 429, 503)

# Headers that concern one connection, and those that are set anew.
_NOT_FORWARDED: typing.Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        endpoint_wire.DEADLINE_HEADER,
        endpoint_wire.EXPECTED_ENDPOINT_HEADER,
    }
)


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """Hold one request of a caller with its whole body."""

    id: str
    method: str
    # Absolute path with the query, as the caller sent it.
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # Seconds that the caller waits, from the arrival.
    patience: float
    # Monotonic seconds of the arrival.
    arrived_at: float


@dataclasses.dataclass(frozen=True)
class EndpointAnswer:
    """Hold an endpoint's complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    endpoint_id: str


class _End(enum.Enum):
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class _Attempt:
    end: _End
    answer: EndpointAnswer | None = None


@dataclasses.dataclass
class _Forwarding:
    """Hold the state of one request over its attempts."""

    req: CallerRequest
    route: routing_config.Route
    deadline: float
    # Pays for second endpoints; None asks one whenever the first is slow.
    hedges: retries.Budget | None = None
    tried: list[str] = dataclasses.field(default_factory=list)
    # Times that an endpoint refused to start the request.
    refusals: int = 0
    # Some endpoint may have run the request.
    may_have_run: bool = False
    # Endpoints that ran the request and answered 500.
    failures: int = 0
    answer: EndpointAnswer | None = None
    # The endpoint's own failure, returned when nothing better comes.
    failure: EndpointAnswer | None = None

    @property
    def left(self) -> float:
        """Return the seconds that are left."""
        return self.deadline - time.monotonic()

    @property
    def may_send(self) -> bool:
        """Tell whether another endpoint may be asked."""
        if self.answer is not None or self.left < _SHORTEST_SECONDS:
            return False
        if len(self.tried) >= self.route.max_attempts:
            return False
        return self.is_repeatable or not self.may_have_run

    @property
    def is_repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.route.kind is routing_config.RouteKind.IDEMPOTENT


Answer: typing.TypeAlias = EndpointAnswer | codes.Refusal


@dataclasses.dataclass(frozen=True)
class Asked:
    """Hold what came of a request over all its attempts."""

    # The best answer of an endpoint, a failure included.
    answer: EndpointAnswer | None
    # Why there is none.
    refusal: codes.Refusal | None
    # Endpoints that may have run the request.
    tried: tuple[str, ...]
    # Answers of 500, and refusals to start the request.
    failures: int
    refusals: int


class Forwarder:
    """Send requests to the endpoints that the view lists."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        view: view_lib.View,
        balancer: balance.Balancer,
    ) -> None:
        """Use a shared HTTP client."""
        self._client = client
        self._view = view
        self._balancer = balancer

    async def forward(
        self, req: CallerRequest, route: routing_config.Route
    ) -> Answer:
        """Return an endpoint's answer, or why there is none."""
        asked = await self.ask(req, route)
        found = asked.answer or asked.refusal
        assert found is not None
        return found

    async def ask(
        self,
        req: CallerRequest,
        route: routing_config.Route,
        hedges: retries.Budget | None = None,
    ) -> Asked:
        """Return what came of a request over all its attempts."""
        limit = min(req.patience - _RETURN_SECONDS, route.timeout)
        state = _Forwarding(req, route, req.arrived_at + limit, hedges)
        with anyio.move_on_after(max(0.0, state.left)):
            await self._ask(state)
        answer = state.answer or state.failure
        return Asked(
            answer,
            None if answer else _refusal(state),
            tuple(state.tried),
            state.failures,
            state.refusals,
        )

    async def _ask(self, state: _Forwarding) -> None:
        while state.may_send:
            endpoint = self._choose(state)
            if endpoint is None:
                return
            sent = len(state.tried)
            if state.is_repeatable:
                await self._ask_hedged(state, endpoint)
            else:
                await self._attempt(state, endpoint)
            if len(state.tried) == sent:
                if state.refusals >= _REFUSED_ROUNDS * self._count(state):
                    return
                await anyio.sleep(_AGAIN_SECONDS)

    def _choose(self, state: _Forwarding) -> endpoints.Endpoint | None:
        candidates = self._candidates(state)
        now = time.monotonic()
        chosen = self._balancer.choose(candidates, now, state.tried)
        # With every endpoint tried, the same one may be asked again.
        return chosen or self._balancer.choose(candidates, now)

    def _candidates(
        self, state: _Forwarding
    ) -> tuple[endpoints.Endpoint, ...]:
        service = state.route.service_for(state.req.id)
        return self._view.directory.filter_routable(
            endpoint
            for endpoint in self._view.directory.all()
            if endpoint.service == service
        )

    def _count(self, state: _Forwarding) -> int:
        return len(self._candidates(state))

    async def _ask_hedged(
        self, state: _Forwarding, endpoint: endpoints.Endpoint
    ) -> None:
        """Ask a second endpoint when the first one is slow."""
        async with anyio.create_task_group() as tasks:
            done = anyio.Event()

            async def first() -> None:
                await self._attempt(state, endpoint)
                if state.answer is not None:
                    tasks.cancel_scope.cancel()
                done.set()

            tasks.start_soon(first)
            wait = balance.hedge_seconds(state.route.target, state.left)
            with anyio.move_on_after(wait):
                await done.wait()
                return
            if not state.may_send:
                return
            second = self._choose(state)
            if second is None or second.id == endpoint.id:
                return
            if state.hedges is not None and not state.hedges.withdraw_retry():
                return
            self._balancer.overdue(endpoint, wait)
            logs.event(
                _LOG,
                "request_hedged",
                request=state.req.id,
                first=endpoint.id,
                second=second.id,
                after=wait,
            )
            await self._attempt(state, second)
            if state.answer is not None:
                tasks.cancel_scope.cancel()

    async def _attempt(
        self, state: _Forwarding, endpoint: endpoints.Endpoint
    ) -> None:
        """Ask one endpoint and note the outcome."""
        stats = self._balancer.stats(endpoint)
        stats.running += 1
        state.tried.append(endpoint.id)
        try:
            found = await self._send(state, endpoint)
        finally:
            stats.running -= 1
        if found.end is _End.NOT_RUN:
            state.tried.remove(endpoint.id)
            state.refusals += 1
            return
        if found.answer is None:
            state.may_have_run = True
            return
        if found.answer.status < httpx.codes.INTERNAL_SERVER_ERROR:
            state.answer = found.answer
            return
        state.may_have_run = True
        state.failure = found.answer
        if found.answer.status == httpx.codes.INTERNAL_SERVER_ERROR:
            state.failures += 1

    async def _send(
        self, state: _Forwarding, endpoint: endpoints.Endpoint
    ) -> _Attempt:
        req = state.req
        started = time.monotonic()
        headers = [
            (name, value)
            for name, value in req.headers
            if name not in _NOT_FORWARDED
        ]
        left_ms = max(1, int(state.left * 1000))
        headers.append((endpoint_wire.DEADLINE_HEADER, str(left_ms)))
        headers.append((endpoint_wire.EXPECTED_ENDPOINT_HEADER, endpoint.id))
        try:
            async with self._client.stream(
                req.method,
                endpoint.address,
                content=req.body,
                headers=headers,
                timeout=httpx.Timeout(state.left, connect=_CONNECT_SECONDS),
                # The client would change the escapes of a URL.
                extensions={"target": req.target.encode("latin-1")},
            ) as resp:
                body = b"".join([part async for part in resp.aiter_raw()])
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return self._lost(state, endpoint, exc, _End.NOT_RUN)
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            return self._lost(state, endpoint, exc, _End.UNKNOWN)
        return self._judge(state, endpoint, resp, body, started)

    def _judge(
        self,
        state: _Forwarding,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
        body: bytes,
        started: float,
    ) -> _Attempt:
        now = time.monotonic()
        if resp.headers.get(endpoint_wire.REQUEST_ID_HEADER) != state.req.id:
            why = ValueError("the answer belongs to another request")
            return self._lost(state, endpoint, why, _End.UNKNOWN)
        if resp.headers.get(
            endpoint_wire.NOT_RUN_HEADER
        ) or resp.status_code == (httpx.codes.MISDIRECTED_REQUEST):
            self._balancer.refused(endpoint, now)
            return _Attempt(_End.NOT_RUN)
        if resp.status_code in _PROMISES:
            why = ValueError(f"status {resp.status_code} without a promise")
            return self._lost(state, endpoint, why, _End.UNKNOWN)
        if not resp.headers.get(endpoint_wire.PROOF_HEADER):
            why = ValueError("the answer has no proof of its endpoint")
            return self._lost(state, endpoint, why, _End.UNKNOWN)
        if resp.is_server_error:
            self._balancer.failed(endpoint, now)
        else:
            self._balancer.succeeded(endpoint, now - started)
        return _Attempt(_End.ANSWERED, _to_answer(endpoint, resp, body))

    def _lost(
        self,
        state: _Forwarding,
        endpoint: endpoints.Endpoint,
        exc: Exception,
        end: _End,
    ) -> _Attempt:
        self._balancer.failed(endpoint, time.monotonic())
        logs.event(
            _LOG,
            "attempt_failed",
            request=state.req.id,
            endpoint=endpoint.id,
            end=end.value,
            why=str(exc) or type(exc).__name__,
        )
        return _Attempt(end)


def _to_answer(
    endpoint: endpoints.Endpoint, resp: httpx.Response, body: bytes
) -> EndpointAnswer:
    headers = tuple(
        (name, value)
        for name, value in resp.headers.multi_items()
        if name not in _NOT_FORWARDED
    )
    return EndpointAnswer(resp.status_code, headers, body, endpoint.id)


def _refusal(state: _Forwarding) -> codes.Refusal:
    if state.may_have_run or state.tried:
        # An attempt that the deadline cut off may have run as well.
        code = codes.Code.BACK_END_TIMEOUT
        if state.left > 0:
            code = codes.Code.OUTCOME_UNKNOWN
        return codes.Refusal(
            code, f"no answer from {', '.join(state.tried) or 'an endpoint'}"
        )
    return codes.Refusal(
        codes.Code.NO_ENDPOINT,
        f"no endpoint of route {state.route.name!r} takes work now",
        RETRY_AFTER_SECONDS,
    )
