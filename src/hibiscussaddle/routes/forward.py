"""Forward a request to endpoints of its route and return one response."""

import logging
import time
import typing

import anyio
import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle.endpoint_ends import checker
from hibiscussaddle.endpoint_ends import decision
from hibiscussaddle.endpoint_ends import factory as ends_factory
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.policy import retries
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.relays import messages
from hibiscussaddle.relays import paths
from hibiscussaddle.relays import transport
from hibiscussaddle.routes import attempts
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config
from hibiscussaddle.routes import suspects
from hibiscussaddle.software_versions import streams as stream_versions
from hibiscussaddle.streaming import event_splitter
from hibiscussaddle.streaming import passage as passage_lib
from hibiscussaddle.streaming import sink as sink_lib
from hibiscussaddle.usage import counter as usage_counter

_LOG = logging.getLogger(__name__)

# Rounds in which every endpoint refuses before the caller is refused.
_MAX_REFUSED_ROUNDS: typing.Final = 2
# Delay before endpoints that all refused are tried again.
_RETRY_SECONDS: typing.Final = 0.03
# Time within the caller's timeout reserved for returning the response.
_RESPONSE_RESERVE_SECONDS: typing.Final = 0.004
# Longest delay until a limited endpoint takes a request, as a fraction of the
# route's latency target. Callers that would wait longer are refused at once.
_PERMIT_DELAY_TARGET_FRACTION: typing.Final = 0.25

# Callers take these statuses to mean "not run". Endpoints state that in a
# separate header; without it the request may have run.
_NOT_RUN_STATUSES: typing.Final = (408, 429, 503)


class Forwarder:
    """Send requests to the endpoints listed in the view."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        view: view_lib.View,
        balancer: balance.Balancer,
        limiter: limiter_lib.Limiter,
        known_suspects: suspects.Suspects | None = None,
        end_checker: checker.EndChecker | None = None,
    ) -> None:
        """Use a shared HTTP client; without suspects start with none.

        Without a checker nobody is asked whether endpoints have ended.
        """
        # An empty table counts as false.
        if known_suspects is None:
            known_suspects = suspects.Suspects()
        self._suspects = known_suspects
        # None where usage isn't reported.
        self.usage: usage_counter.UsageCounter | None = None
        self._end_checker = end_checker or ends_factory.create_checker(view)
        # Endpoints that suspects of this instance have reached.
        self._suspect_endpoints: set[str] = set()
        self._client = client
        self._limiter = limiter
        self._view = view
        self._balancer = balancer
        self._running: set[anyio.CancelScope] = set()
        # None where it isn't known which versions began streams.
        self.stream_versions: stream_versions.StreamVersions | None = None
        # Whether services are cut off from this instance.
        self.paths = paths.Paths()

    def end_requests(self) -> None:
        """Give every running request the response that it has so far."""
        for scope in self._running:
            scope.cancel()

    async def forward(
        self, req: request_state.CallerRequest, route: routing_config.Route
    ) -> request_state.Response:
        """Return the response of an endpoint, or a refusal."""
        return await self._forward_counted(req, route)

    async def _forward_counted(
        self,
        req: request_state.CallerRequest,
        route: routing_config.Route,
        passage: passage_lib.Passage | None = None,
    ) -> request_state.Response:
        """Forward a request and count it for its workspace."""
        if self.usage is None or not req.workspace:
            result = await self.forward_detailed(req, route, passage=passage)
        else:
            counted = self.usage.track(req.workspace)
            try:
                result = await self.forward_detailed(
                    req, route, usage=counted, passage=passage
                )
            finally:
                # The caller may have closed its connection.
                counted.close()
        response = result.response or result.refusal
        assert response is not None
        return response

    async def forward_stream(
        self,
        req: request_state.CallerRequest,
        route: routing_config.Route,
        sink: sink_lib.Sink,
    ) -> request_state.StreamResult:
        """Pass on a stream; return its end, or another response."""
        passage = passage_lib.Passage(
            req.id, route, req.headers, sink, self.stream_versions
        )
        response = await self._forward_counted(req, route, passage)
        if passage.began is None:
            return request_state.StreamResult(response)
        return request_state.StreamResult(
            None,
            passage.began.id,
            passage.began.software_version,
            passage.is_complete,
            passage.events,
            passage.first_event_at,
        )

    async def forward_detailed(
        self,
        req: request_state.CallerRequest,
        route: routing_config.Route,
        hedge_budget: retries.Budget | None = None,
        usage: usage_counter.CountedRequest | None = None,
        passage: passage_lib.Passage | None = None,
    ) -> request_state.ForwardResult:
        """Return the result of a request with the counts of its attempts."""
        limit = min(req.timeout - _RESPONSE_RESERVE_SECONDS, route.timeout)
        state = request_state.RequestState(
            req, route, req.arrived_at + limit, hedge_budget, usage, passage
        )
        with anyio.move_on_after(max(0.0, state.seconds_left)) as scope:
            self._running.add(scope)
            try:
                if passage is not None:
                    state.stream_refusal = await passage.prepare(
                        self._listed(state), self._routable(state)
                    )
                if state.stream_refusal is None:
                    await self._attempt_until_done(state)
            finally:
                self._running.discard(scope)
        response = state.response or state.error_response
        return request_state.ForwardResult(
            response,
            None if response else request_state.refusal(state),
            tuple(state.tried),
            state.failures,
            state.refusals,
        )

    async def _attempt_until_done(
        self, state: request_state.RequestState
    ) -> None:
        while state.may_send:
            verdict = self._verdict(state)
            if verdict is suspects.Verdict.MARKED:
                self._record_marked_refusal(state)
                return
            if verdict is suspects.Verdict.UNDECIDED:
                await anyio.sleep(_RETRY_SECONDS)
                continue
            is_suspect = verdict is suspects.Verdict.SUSPECT
            if is_suspect and self._must_wait_for_suspects(state):
                await anyio.sleep(_RETRY_SECONDS)
                continue
            endpoint = await self._choose_permitted(state)
            if endpoint is None:
                # Without candidates the caller finds one sooner elsewhere.
                if not state.may_wait or not self._candidates(state):
                    return
                await anyio.sleep(_RETRY_SECONDS)
                continue
            tried_before = len(state.tried)
            if is_suspect:
                await self._attempt_alone(state, endpoint)
            elif state.may_hedge and not self.paths.is_cut(endpoint):
                await self._attempt_hedged(state, endpoint)
            else:
                await self._attempt(state, endpoint)
            # Refused attempts are removed from the tried ones.
            if len(state.tried) == tried_before:
                if not state.may_wait and self.paths.is_service_unreached(
                    state.service, time.monotonic()
                ):
                    return
                if (
                    not state.may_wait
                    and state.refusals
                    >= _MAX_REFUSED_ROUNDS * self._candidate_count(state)
                ):
                    return
                await anyio.sleep(_RETRY_SECONDS)

    def _verdict(self, state: request_state.RequestState) -> suspects.Verdict:
        # Usually there is none, and a long body takes a while to hash.
        if not self._suspects:
            return suspects.Verdict.FREE
        return self._suspects.verdict(state.fingerprint, time.monotonic())

    def _record_marked_refusal(
        self, state: request_state.RequestState
    ) -> None:
        state.is_marked = True
        logs.event(
            _LOG,
            "marked_request_refused",
            logging.WARNING,
            request=state.req.id,
            route=state.route.name,
            fingerprint=state.fingerprint.hex(),
        )

    def _must_wait_for_suspects(
        self, state: request_state.RequestState
    ) -> bool:
        """Return whether other suspects are at every possible endpoint."""
        possible = {endpoint.id for endpoint in self._candidates(state)}
        return bool(possible) and possible <= self._suspect_endpoints

    async def _attempt_alone(
        self, state: request_state.RequestState, endpoint: endpoints.Endpoint
    ) -> None:
        """Send a suspect, so that no other one reaches its endpoint.

        If the endpoint ends, it is known which suspect was there.
        """
        self._suspect_endpoints.add(endpoint.id)
        try:
            await self._attempt(state, endpoint)
        finally:
            self._suspect_endpoints.discard(endpoint.id)

    async def _choose_permitted(
        self, state: request_state.RequestState
    ) -> endpoints.Endpoint | None:
        """Return an endpoint whose rate limit allows the request."""
        max_delay = min(
            _PERMIT_DELAY_TARGET_FRACTION * state.route.latency_target,
            state.seconds_left / 2,
        )
        give_up_at = time.monotonic() + max_delay
        while True:
            endpoint = self._choose(state)
            if endpoint is None:
                return None
            retry_after = await self._limiter.acquire(
                endpoint, "request", state.req.id, max_delay
            )
            if retry_after is None:
                return endpoint
            now = time.monotonic()
            state.denied_until[endpoint.id] = now + retry_after
            if now >= give_up_at:
                # Each holder that is asked takes a round trip.
                return None

    def _choose(
        self, state: request_state.RequestState, is_hedge: bool = False
    ) -> endpoints.Endpoint | None:
        now = time.monotonic()
        is_free = self._verdict(state) is suspects.Verdict.FREE
        # A hedge would double the work of an endpoint in need.
        candidates = [
            endpoint
            for endpoint in self._candidates(state)
            if now >= state.denied_until.get(endpoint.id, now)
            and (is_free or endpoint.id not in self._suspect_endpoints)
            and not (is_hedge and self._limiter.is_limited(endpoint))
        ]
        deferred = {
            ep.id for ep in candidates if self._limiter.is_deferred(ep)
        }
        chosen = self._balancer.choose(candidates, now, state.tried, deferred)
        # Once every endpoint was tried, one may be tried again.
        return chosen or self._balancer.choose(candidates, now, (), deferred)

    def _candidates(
        self, state: request_state.RequestState
    ) -> tuple[endpoints.Endpoint, ...]:
        routable = self._routable(state)
        if state.passage is None:
            return routable
        return state.passage.filter_candidates(routable)

    def _routable(
        self, state: request_state.RequestState
    ) -> tuple[endpoints.Endpoint, ...]:
        return self._view.directory.filter_routable(self._listed(state))

    def _listed(
        self, state: request_state.RequestState
    ) -> tuple[endpoints.Endpoint, ...]:
        service = state.service
        return tuple(
            endpoint
            for endpoint in self._view.directory.all()
            if endpoint.service == service
        )

    def _candidate_count(self, state: request_state.RequestState) -> int:
        return len(self._candidates(state)) - len(state.denied_until)

    async def _attempt_hedged(
        self, state: request_state.RequestState, endpoint: endpoints.Endpoint
    ) -> None:
        """Send the request, and hedge it when the first endpoint is slow."""
        async with anyio.create_task_group() as tasks:
            done = anyio.Event()

            async def attempt_first() -> None:
                await self._attempt(state, endpoint)
                if state.response is not None:
                    tasks.cancel_scope.cancel()
                done.set()

            tasks.start_soon(attempt_first)
            wait = balance.hedge_delay(
                state.route.latency_target, state.seconds_left
            )
            with anyio.move_on_after(wait):
                await done.wait()
                return
            if not state.may_send or self.paths.is_cut(endpoint):
                return
            if self._verdict(state) is not suspects.Verdict.FREE:
                return
            second = self._choose(state, is_hedge=True)
            if second is None or second.id == endpoint.id:
                return
            if (
                state.hedge_budget is not None
                and not state.hedge_budget.withdraw_retry()
            ):
                return
            self._balancer.record_slow_response(endpoint, wait)
            logs.event(
                _LOG,
                "request_hedged",
                request=state.req.id,
                first=endpoint.id,
                second=second.id,
                after=wait,
            )
            await self._attempt(state, second)
            if state.response is not None:
                tasks.cancel_scope.cancel()

    async def _attempt(
        self, state: request_state.RequestState, endpoint: endpoints.Endpoint
    ) -> None:
        """Send the request to one endpoint and record the outcome."""
        stats = self._balancer.stats(endpoint)
        stats.running += 1
        state.tried.append(endpoint.id)
        sent_at = time.time()
        if state.usage is not None:
            state.usage.record_send(sent_at)
        try:
            outcome = await self._send(state, endpoint)
        finally:
            stats.running -= 1
        if outcome.end is attempts.AttemptEnd.NOT_RUN:
            state.tried.remove(endpoint.id)
            state.refusals += 1
            if state.usage is not None:
                state.usage.record_not_run(sent_at)
            return
        if outcome.response is None:
            state.may_have_run = True
            return
        if outcome.response.status < httpx.codes.INTERNAL_SERVER_ERROR:
            state.response = outcome.response
            return
        state.may_have_run = True
        state.error_response = outcome.response
        if outcome.response.status == httpx.codes.INTERNAL_SERVER_ERROR:
            state.failures += 1

    async def _send(
        self, state: request_state.RequestState, endpoint: endpoints.Endpoint
    ) -> attempts.AttemptOutcome:
        started = time.monotonic()
        events_before = state.passage.events if state.passage else 0
        try:
            async with attempts.open_response(
                self._client, state, endpoint
            ) as resp:
                if state.passage and state.passage.is_event_stream(resp):
                    return await self._pass_on(state, endpoint, resp, started)
                body = b"".join([chunk async for chunk in resp.aiter_raw()])
        except messages.NotRelayedError as exc:
            # Peers may reach another endpoint, and this one soon.
            self._balancer.record_refusal(endpoint, time.monotonic())
            return self._log_failure(
                state, endpoint, exc, attempts.AttemptEnd.NOT_RUN
            )
        except transport.PathCutError as exc:
            if exc.is_relayed:
                self._balancer.record_refusal(endpoint, time.monotonic())
            if exc.is_connection_broken:
                await self._check_unbegun(state, endpoint, events_before)
            # An endpoint whose connection broke by itself may have started
            # again with other software.
            if state.passage is not None and not exc.is_ended_here:
                state.passage.record_break(endpoint)
            return self._log_failure(
                state, endpoint, exc, attempts.AttemptEnd.UNKNOWN
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return self._fail_attempt(
                state, endpoint, exc, attempts.AttemptEnd.NOT_RUN
            )
        except httpx.HTTPError as exc:
            if isinstance(exc, connections.BROKEN_CONNECTION_ERRORS):
                await self._check_unbegun(state, endpoint, events_before)
                if state.passage is not None:
                    state.passage.record_break(endpoint)
            return self._fail_attempt(
                state, endpoint, exc, attempts.AttemptEnd.UNKNOWN
            )
        except (
            event_splitter.MalformedStreamError,
            passage_lib.SilentStreamError,
        ) as exc:
            return self._fail_attempt(
                state, endpoint, exc, attempts.AttemptEnd.UNKNOWN
            )
        return self._classify_response(state, endpoint, resp, body, started)

    async def _pass_on(
        self,
        state: request_state.RequestState,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
        started: float,
    ) -> attempts.AttemptOutcome:
        """Pass the events of a response on to the caller."""
        assert state.passage is not None
        if state.passage.is_started:
            logs.event(
                _LOG,
                "stream_continued",
                request=state.req.id,
                endpoint=endpoint.id,
                software_version=endpoint.software_version,
                events=state.passage.events,
            )
        self._limiter.observe(endpoint, resp, state.req.id)

        def has_other() -> bool:
            return len(state.tried) < state.route.max_attempts and any(
                other.id not in state.tried
                for other in self._candidates(state)
            )

        def record_first_event() -> None:
            self._end_checker.record_contact(endpoint, started)
            if self._suspects:
                self._suspects.record_response(state.fingerprint)
            self._balancer.record_success(endpoint, time.monotonic() - started)

        head = passage_lib.Head(
            resp.status_code, attempts.forwarded_headers(resp)
        )
        await state.passage.pass_on(
            endpoint, resp, head, has_other, record_first_event
        )
        return attempts.AttemptOutcome(
            attempts.AttemptEnd.RESPONDED,
            attempts.to_endpoint_response(endpoint, resp, b""),
        )

    async def _check_unbegun(
        self,
        state: request_state.RequestState,
        endpoint: endpoints.Endpoint,
        events_before: int,
    ) -> None:
        """Check an endpoint unless it survived the start of the run."""
        events = state.passage.events if state.passage else 0
        if events == events_before:
            await self._check_end(state, endpoint)

    async def _check_end(
        self, state: request_state.RequestState, endpoint: endpoints.Endpoint
    ) -> None:
        """Record whether the endpoint ended under the request."""
        broke_at = time.monotonic()
        lifetime = (endpoint.id, endpoint.incarnation)
        verdict = decision.Verdict.SUSPECTED
        try:
            verdict = await self._end_checker.check(endpoint)
        finally:
            # The deadline of the request may end the check.
            if verdict is decision.Verdict.SUSPECTED:
                self._suspects.record_suspicion(
                    state.fingerprint, lifetime, broke_at
                )
        if verdict is decision.Verdict.LIVES:
            self._suspects.record_suspicion(
                state.fingerprint, lifetime, broke_at, is_refuted=True
            )
        if verdict in (decision.Verdict.LIVES, decision.Verdict.LEFT):
            return
        event = "endpoint_suspected"
        if verdict is decision.Verdict.ENDED:
            now = time.monotonic()
            is_marked = self._suspects.record_end(
                state.fingerprint, lifetime, now, now - broke_at
            )
            event = "request_marked" if is_marked else "endpoint_ended"
        logs.event(
            _LOG,
            event,
            logging.WARNING,
            request=state.req.id,
            route=state.route.name,
            endpoint=endpoint.id,
            fingerprint=state.fingerprint.hex(),
        )

    def _classify_response(
        self,
        state: request_state.RequestState,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
        body: bytes,
        started: float,
    ) -> attempts.AttemptOutcome:
        """Return the outcome of a response and record it in the balancer."""
        now = time.monotonic()
        if resp.headers.get(endpoint_wire.REQUEST_ID_HEADER) != state.req.id:
            error = ValueError("response carries another request id")
            return self._fail_attempt(
                state, endpoint, error, attempts.AttemptEnd.UNKNOWN
            )
        self._limiter.observe(endpoint, resp, state.req.id)
        if resp.status_code != httpx.codes.MISDIRECTED_REQUEST:
            # Another endpoint may have the address by now.
            self._end_checker.record_contact(endpoint, started)
        if resp.headers.get(
            endpoint_wire.NOT_RUN_HEADER
        ) or resp.status_code == (httpx.codes.MISDIRECTED_REQUEST):
            self._balancer.record_refusal(endpoint, now)
            return attempts.AttemptOutcome(attempts.AttemptEnd.NOT_RUN)
        if self._suspects:
            self._suspects.record_response(state.fingerprint)
        if resp.status_code in _NOT_RUN_STATUSES:
            error = ValueError(
                f"status {resp.status_code} without a not-run header"
            )
            return self._fail_attempt(
                state, endpoint, error, attempts.AttemptEnd.UNKNOWN
            )
        if not resp.headers.get(endpoint_wire.PROOF_HEADER):
            error = ValueError("response has no server stamp")
            return self._fail_attempt(
                state, endpoint, error, attempts.AttemptEnd.UNKNOWN
            )
        if resp.is_server_error:
            self._balancer.record_failure(endpoint, now)
        else:
            self._balancer.record_success(endpoint, now - started)
        return attempts.AttemptOutcome(
            attempts.AttemptEnd.RESPONDED,
            attempts.to_endpoint_response(endpoint, resp, body),
        )

    def _fail_attempt(
        self,
        state: request_state.RequestState,
        endpoint: endpoints.Endpoint,
        exc: Exception,
        end: attempts.AttemptEnd,
    ) -> attempts.AttemptOutcome:
        """Record and log an attempt without a valid response."""
        self._balancer.record_failure(endpoint, time.monotonic())
        return self._log_failure(state, endpoint, exc, end)

    def _log_failure(
        self,
        state: request_state.RequestState,
        endpoint: endpoints.Endpoint,
        exc: Exception,
        end: attempts.AttemptEnd,
    ) -> attempts.AttemptOutcome:
        logs.event(
            _LOG,
            "attempt_failed",
            request=state.req.id,
            endpoint=endpoint.id,
            end=end.value,
            why=str(exc) or type(exc).__name__,
        )
        return attempts.AttemptOutcome(end)
