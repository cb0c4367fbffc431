"""Get the score of a text over the scoring call's own route."""

import collections
import logging
import random
import time
import typing

import anyio
import httpx

from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.policy import retries
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import routing_config
from hibiscussaddle.scoring import admission
from hibiscussaddle.scoring import attempts as attempts_lib
from hibiscussaddle.scoring import model

_LOG = logging.getLogger(__name__)

# How often a call that may not be sent now looks again, in seconds.
_AGAIN_SECONDS: typing.Final = 0.1


class Scorer:
    """Make the scoring calls of all batches of an instance."""

    def __init__(
        self,
        forwarder: forward.Forwarder,
        view: view_lib.View,
        rng: random.Random,
    ) -> None:
        """Forward the calls as those of callers are."""
        # Attempts by outcome since the start.
        self.outcomes: collections.Counter[str] = collections.Counter(
            {outcome.value: 0 for outcome in model.Outcome}
        )
        self._forwarder = forwarder
        self._view = view
        self._rng = rng
        self._hedges = retries.Budget()
        self._pools: dict[tuple[str, str], admission.Pool] = {}

    async def score(self, job: model.Job) -> model.Score | None:
        """Return the score of a text, None when its item is given up."""
        attempts = attempts_lib.Attempts()
        started = time.monotonic()
        while not job.is_over():
            route = self._route(job.call)
            if route is None or not job.may_send():
                await anyio.sleep(_AGAIN_SECONDS)
                continue
            # The two routes may differ; giving up too soon is worse.
            most = max(route.max_attempts, job.max_attempts())
            if attempts.failures >= most:
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
                    attempt=attempts.made,
                    seconds=time.monotonic() - started,
                )
                return score
            await anyio.sleep(attempts.pause(self._rng))
        logs.event(
            _LOG,
            "score_given_up",
            item=job.item_id,
            call=job.call.id,
            attempt=attempts.made,
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
        pool = self._pool(job.batch_route, route.service_for(job.call.id))
        turn = anyio.Event()
        waiting = admission.Waiting(job.rank, turn.set)
        pool.enter(waiting)
        try:
            await turn.wait()
            if not job.may_send():
                return None
            attempts.made += 1
            started = time.monotonic()
            self._hedges.deposit_request()
            asked = await self._forwarder.ask(
                _request(job, route), route, self._hedges
            )
        finally:
            pool.leave(waiting)
        score = _score(asked)
        self._note(pool, attempts, asked, score)
        if score is None:
            _log_failure(job, route, attempts, asked, started)
        return score

    def _note(
        self,
        pool: admission.Pool,
        attempts: attempts_lib.Attempts,
        asked: forward.Asked,
        score: model.Score | None,
    ) -> None:
        """Count an attempt and learn from it."""
        outcome = model.Outcome.UNANSWERED
        if score is not None:
            outcome = model.Outcome.SCORED
        elif asked.failures:
            outcome = model.Outcome.FAILED
        self.outcomes[outcome.value] += 1
        if outcome is model.Outcome.UNANSWERED:
            attempts.lost()
        else:
            attempts.failed(asked.failures)
        if asked.refusals or outcome is model.Outcome.UNANSWERED:
            pool.window.overloaded(time.monotonic())
        else:
            pool.window.answered()

    def _pool(self, batch_route: str, service: str) -> admission.Pool:
        key = (batch_route, service)
        if key not in self._pools:
            self._pools[key] = admission.Pool(lambda: self._cap(service))
        return self._pools[key]

    def _cap(self, service: str) -> int:
        directory = self._view.directory
        slots = sum(
            endpoint.slots
            for endpoint in directory.filter_routable(directory.all())
            if endpoint.service == service
        )
        return admission.cap_of(slots, len(self._view.batch_routes()))


def _request(
    job: model.Job, route: routing_config.Route
) -> forward.CallerRequest:
    call = job.call
    limit = attempts_lib.time_limit(
        job.seconds_left(), route.target, route.timeout
    )
    return forward.CallerRequest(
        id=call.id,
        method="POST",
        target=call.path,
        host=call.host,
        headers=(
            ("host", call.host),
            (endpoint_wire.REQUEST_ID_HEADER, call.id),
        ),
        body=call.body,
        patience=limit,
        arrived_at=time.monotonic(),
    )


def _score(asked: forward.Asked) -> model.Score | None:
    """Return the score of a successful answer, None for any other end."""
    answer = asked.answer
    if answer is None or not httpx.codes.is_success(answer.status):
        return None
    headers = dict(answer.headers)
    return model.Score(headers[endpoint_wire.PROOF_HEADER], answer.endpoint_id)


def _log_failure(
    job: model.Job,
    route: routing_config.Route,
    attempts: attempts_lib.Attempts,
    asked: forward.Asked,
    started: float,
) -> None:
    answer = asked.answer
    logs.event(
        _LOG,
        "score_failed",
        item=job.item_id,
        call=job.call.id,
        route=route.name,
        endpoint=",".join(asked.tried) or "-",
        status=answer.status if answer else "-",
        attempt=attempts.made,
        failures=attempts.failures,
        seconds=time.monotonic() - started,
    )
