"""Request the score of a text over the route of its scoring call."""

import collections
import logging
import random
import time
import typing

import anyio
import httpx

from hibiscussaddle import codes
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.policy import retries
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config
from hibiscussaddle.scoring import admission
from hibiscussaddle.scoring import attempts as attempts_lib
from hibiscussaddle.scoring import model

_LOG = logging.getLogger(__name__)

# How often a call checks again whether it may be sent.
_RECHECK_SECONDS: typing.Final = 0.1


class Scorer:
    """Make the scoring calls of all batches of an instance."""

    def __init__(
        self,
        forwarder: forward.Forwarder,
        view: view_lib.View,
        rng: random.Random,
    ) -> None:
        """Send calls through the forwarder, which also serves callers."""
        # Attempts by outcome since the start.
        self.outcomes: collections.Counter[str] = collections.Counter(
            {outcome.value: 0 for outcome in model.Outcome}
        )
        self._forwarder = forwarder
        self._view = view
        self._rng = rng
        # Shared by all batches, since hedges add load to shared services.
        self._hedge_budget = retries.Budget()
        self._queues: dict[tuple[str, str], admission.AdmissionQueue] = {}

    async def score(self, job: model.Job) -> model.Score | None:
        """Return the score of a text, None when its item is abandoned."""
        attempts = attempts_lib.Attempts()
        started = time.monotonic()
        while not job.is_expired():
            route = self._route(job.call)
            if route is None or not job.may_send():
                await anyio.sleep(_RECHECK_SECONDS)
                continue
            # The limits of the two routes may differ. The higher one applies:
            # a late score is better than an item abandoned too early.
            max_attempts = max(route.max_attempts, job.max_attempts())
            if attempts.failures >= max_attempts:
                break
            score = await self._attempt(job, route, attempts)
            if score is not None:
                logs.event(
                    _LOG,
                    "item_scored",
                    item=job.item_id,
                    call=job.call.id,
                    route=route.name,
                    endpoint=score.endpoint_id,
                    attempt=attempts.count,
                    seconds=time.monotonic() - started,
                )
                return score
            await anyio.sleep(attempts.backoff_seconds(self._rng))
        logs.event(
            _LOG,
            "score_given_up",
            item=job.item_id,
            call=job.call.id,
            attempt=attempts.count,
            failures=attempts.failures,
            seconds=time.monotonic() - started,
        )
        return None

    def _route(self, call: model.ScoringCall) -> routing_config.Route | None:
        cfg = self._view.config
        return cfg.match(call.host, call.path) if cfg else None

    async def _attempt(
        self,
        job: model.Job,
        route: routing_config.Route,
        attempts: attempts_lib.Attempts,
    ) -> model.Score | None:
        queue = self._queue(job.batch_route, route.service_for(job.call.id))
        admitted = anyio.Event()
        waiting_call = admission.WaitingCall(job.rank, admitted.set)
        queue.enqueue(waiting_call)
        try:
            await admitted.wait()
            if not job.may_send():
                return None
            attempts.count += 1
            started = time.monotonic()
            self._hedge_budget.deposit_request()
            result = await self._forwarder.forward_detailed(
                _request(job, route), route, self._hedge_budget
            )
        finally:
            queue.release(waiting_call)
        retry_after = _limit_delay(result)
        if retry_after is not None:
            # Nothing was sent, which says nothing about the service.
            await anyio.sleep(retry_after)
            return None
        score = _score(result)
        self._record_outcome(queue, attempts, result, score)
        if score is None:
            _log_failure(job, route, attempts, result, started)
        return score

    def _record_outcome(
        self,
        queue: admission.AdmissionQueue,
        attempts: attempts_lib.Attempts,
        result: request_state.ForwardResult,
        score: model.Score | None,
    ) -> None:
        """Record the outcome of an attempt and adapt the window to it."""
        outcome = model.Outcome.NO_RESPONSE
        if score is not None:
            outcome = model.Outcome.SCORED
        elif result.failures:
            outcome = model.Outcome.FAILED
        self.outcomes[outcome.value] += 1
        if outcome is model.Outcome.NO_RESPONSE:
            attempts.record_missing_response()
        else:
            attempts.record_failures(result.failures)
        if result.refusals or outcome is model.Outcome.NO_RESPONSE:
            queue.window.record_overload(time.monotonic())
        else:
            queue.window.record_response()

    def _queue(
        self, batch_route: str, service: str
    ) -> admission.AdmissionQueue:
        key = (batch_route, service)
        if key not in self._queues:
            self._queues[key] = admission.AdmissionQueue(
                lambda: self._max_calls(service)
            )
        return self._queues[key]

    def _max_calls(self, service: str) -> int:
        directory = self._view.directory
        slots = sum(
            endpoint.slots
            for endpoint in directory.filter_routable(directory.all())
            if endpoint.service == service
        )
        return admission.max_calls_per_owner(
            slots, len(self._view.batch_routes())
        )


def _request(
    job: model.Job, route: routing_config.Route
) -> request_state.CallerRequest:
    call = job.call
    timeout = attempts_lib.call_timeout(
        job.seconds_left(), route.latency_target, route.timeout
    )
    return request_state.CallerRequest(
        id=call.id,
        method="POST",
        target=call.path,
        host=call.host,
        headers=(
            ("host", call.host),
            (endpoint_wire.REQUEST_ID_HEADER, call.id),
        ),
        body=call.body,
        timeout=timeout,
        arrived_at=time.monotonic(),
        workspace=job.workspace,
    )


def _limit_delay(result: request_state.ForwardResult) -> float | None:
    """Return the seconds for which rate limits hold a call back, if so."""
    refusal = result.refusal
    if refusal is None or refusal.code is not codes.Code.RATE_LIMITED:
        return None
    return refusal.retry_after


def _score(result: request_state.ForwardResult) -> model.Score | None:
    """Return the score in a successful response, None otherwise."""
    response = result.response
    if response is None or not httpx.codes.is_success(response.status):
        return None
    headers = dict(response.headers)
    return model.Score(
        headers[endpoint_wire.PROOF_HEADER], response.endpoint_id
    )


def _log_failure(
    job: model.Job,
    route: routing_config.Route,
    attempts: attempts_lib.Attempts,
    result: request_state.ForwardResult,
    started: float,
) -> None:
    response = result.response
    logs.event(
        _LOG,
        "score_failed",
        item=job.item_id,
        call=job.call.id,
        route=route.name,
        endpoint=",".join(result.tried) or "-",
        status=response.status if response else "-",
        attempt=attempts.count,
        failures=attempts.failures,
        seconds=time.monotonic() - started,
    )
