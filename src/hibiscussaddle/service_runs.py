"""Run service calls: attempts, and at-most-once runs of a ticket."""

import typing
from urllib import parse

import result

from hibiscussaddle.adapters import services
from hibiscussaddle import choice
from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle.filters import repeats
from hibiscussaddle.policy import tickets
from hibiscussaddle import runtime as runtime_lib

# Counts the run itself, which can outlast its request.
_RUN_KIND: typing.Final = "service_run"
# Characters that a path may hold without percent-encoding.
_PATH_SAFE: typing.Final = "/:@!$&'()*+,;=~"
PASSED_HEADERS: typing.Final = (
    "accept",
    "content-type",
    repeats.TICKET_HEADER,
)
# Answers that a proxy or an overloaded server gives in place of a result.
_RETRIED_STATUSES: typing.Final = (502, 503, 504)
_FAILURES: typing.Final = {
    services.FailureKind.NOT_RUN: codes.Code.ENDPOINT_REFUSED,
    services.FailureKind.TIMEOUT: codes.Code.BACK_END_TIMEOUT,
    services.FailureKind.LOST: codes.Code.OUTCOME_UNKNOWN,
}
_REFUSALS: typing.Final = {
    tickets.Verdict.BUSY: codes.Code.TICKET_BUSY,
    tickets.Verdict.UNKNOWN: codes.Code.OUTCOME_UNKNOWN,
    tickets.Verdict.DIFFERENT: codes.Code.OUTCOME_UNKNOWN,
    tickets.Verdict.NOT_STARTED: codes.Code.TICKET_NOT_STARTED,
    tickets.Verdict.CLOSED: codes.Code.STOPPING,
    tickets.Verdict.FULL: codes.Code.OVERLOADED,
}
_MESSAGES: typing.Final = {
    tickets.Verdict.BUSY: "the first call with this ticket still runs",
    tickets.Verdict.UNKNOWN: "the outcome of the first call is not known",
    tickets.Verdict.DIFFERENT: "the ticket started a different request",
    tickets.Verdict.NOT_STARTED: "the issuer stopped before the call began",
    tickets.Verdict.CLOSED: "the issuer is stopping",
    tickets.Verdict.FULL: "the issuer remembers as many calls as it may",
}


async def run_ticket(
    runtime: runtime_lib.Runtime, req: exchange.Request, ticket: tickets.Ticket
) -> exchange.Outcome:
    """Run the call of an own ticket, or answer its repeat."""
    assert runtime.ledger.is_own(ticket)
    decision = runtime.ledger.start(ticket, runtime.clock(), digest(req))
    if decision.verdict is not tickets.Verdict.RUN:
        return to_outcome(decision)

    async def job() -> exchange.Outcome:
        return await _run(runtime, req, ticket)

    return await runtime.lifecycle.run_detached(_RUN_KIND, job)


def digest(req: exchange.Request) -> bytes:
    """Return what tells different requests of one ticket apart."""
    name = f"{req.params['service']} {_target(req)}"
    return tickets.digest(req.method, name, req.body)


async def _run(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    ticket: tickets.Ticket,
) -> exchange.Outcome:
    kept: tickets.KeptResult | None = None
    has_run = True
    try:
        outcome = await attempt(runtime, req, is_idempotent=False)
        if isinstance(outcome, result.Ok):
            resp = outcome.ok_value
            assert isinstance(resp.body, bytes)
            kept = tickets.KeptResult(resp.status, resp.body, resp.media_type)
        else:
            has_run = outcome.err_value.code.value.ran != "no"
        return outcome
    finally:
        if has_run:
            runtime.ledger.finish(ticket, kept, runtime.clock())
        else:
            runtime.ledger.release(ticket)


def to_outcome(decision: tickets.Decision) -> exchange.Outcome:
    """Return the answer to a repeat, or to a ticket that may not start."""
    if decision.kept is not None:
        kept = decision.kept
        return _to_response(kept.status, kept.body, kept.media_type)
    verdict = decision.verdict
    retry_after = 1.0 if verdict is tickets.Verdict.FULL else None
    return exchange.refuse(_REFUSALS[verdict], _MESSAGES[verdict], retry_after)


async def attempt(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    is_idempotent: bool,
) -> exchange.Outcome:
    """Send until an answer comes; non-idempotent work is sent once.

    An attempt that provably never ran does not count as sent.
    """
    client = services.ServiceClient(runtime.client)
    call = services.Call(req.method, _target(req), _headers(req), req.body)
    tried: set[str] = set()
    attempts = 0
    last: codes.Refusal | None = None
    while True:
        seconds = req.deadline - runtime.clock()
        if seconds <= 0:
            break
        async with choice.hold(
            runtime, req, req.params["service"], tried
        ) as chosen:
            if isinstance(chosen, result.Err):
                last = last or chosen.err_value
                break
            placed = chosen.ok_value
            endpoint = placed.endpoint
            seconds = req.deadline - runtime.clock()
            if seconds <= 0:
                break
            answer = await client.call(endpoint, call, seconds)
            if isinstance(answer, result.Ok):
                placed.answered()
            else:
                placed.fail()
        attempts += 1
        tried.add(endpoint.id)
        if isinstance(answer, result.Ok):
            found = answer.ok_value
            if not (
                is_idempotent
                and found.status in _RETRIED_STATUSES
                and choice.may_retry(runtime, attempts)
            ):
                return _to_response(found.status, found.body, found.media_type)
            continue
        failure = answer.err_value
        refusal = codes.Refusal(_FAILURES[failure.kind], failure.detail)
        # The whole call is "not run" only if every attempt was.
        if last is None or last.code.value.ran == "no":
            last = refusal
        is_safe = is_idempotent or (
            failure.kind is services.FailureKind.NOT_RUN
        )
        if not is_safe or not choice.may_retry(runtime, attempts):
            break
    if last is None:
        return exchange.refuse(
            codes.Code.DEADLINE_TOO_SHORT, "the deadline has passed"
        )
    return result.Err(last)


def _target(req: exchange.Request) -> str:
    path = parse.quote("/" + req.params["path"], safe=_PATH_SAFE)
    return f"{path}?{req.query}" if req.query else path


def _headers(req: exchange.Request) -> dict[str, str]:
    headers = {"x-request-id": req.request_id}
    for name in PASSED_HEADERS:
        if name in req.headers:
            headers[name] = req.headers[name]
    return headers


def _to_response(
    status: int, body: bytes, media_type: str
) -> exchange.Outcome:
    # The back end answered, but a server error says nothing sure about
    # its work.
    code = codes.Code.OK if status < 500 else codes.Code.OUTCOME_UNKNOWN
    return result.Ok(
        exchange.Response(status, body, media_type=media_type, code=code)
    )
