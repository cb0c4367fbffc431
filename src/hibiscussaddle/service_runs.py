"""Run service calls with retries, or at most once by ticket."""

import typing
from urllib import parse

import result

from hibiscussaddle.adapters import services
from hibiscussaddle import codes
from hibiscussaddle import endpoint_choice
from hibiscussaddle import exchange
from hibiscussaddle.filters import repeats
from hibiscussaddle.policy import tickets
from hibiscussaddle import runtime as runtime_lib

# Kind under which the lifecycle counts a run, which can outlast its request.
_RUN_KIND: typing.Final = "service_run"
# Characters that a path may contain without percent-encoding.
_PATH_SAFE: typing.Final = "/:@!$&'()*+,;=~"
FORWARDED_HEADERS: typing.Final = (
    "accept",
    "content-type",
    repeats.TICKET_HEADER,
)
# Statuses that a proxy or an overloaded server returns in place of a result.
_RETRIED_STATUSES: typing.Final = (502, 503, 504)
_CODES_BY_FAILURE: typing.Final = {
    services.FailureKind.NOT_RUN: codes.Code.ENDPOINT_REFUSED,
    services.FailureKind.TIMEOUT: codes.Code.BACK_END_TIMEOUT,
    services.FailureKind.LOST: codes.Code.OUTCOME_UNKNOWN,
}
_CODES_BY_VERDICT: typing.Final = {
    tickets.Verdict.BUSY: codes.Code.TICKET_BUSY,
    tickets.Verdict.UNKNOWN: codes.Code.OUTCOME_UNKNOWN,
    tickets.Verdict.DIFFERENT: codes.Code.OUTCOME_UNKNOWN,
    tickets.Verdict.NOT_STARTED: codes.Code.TICKET_NOT_STARTED,
    tickets.Verdict.CLOSED: codes.Code.STOPPING,
    tickets.Verdict.FULL: codes.Code.OVERLOADED,
}
_MESSAGES_BY_VERDICT: typing.Final = {
    tickets.Verdict.BUSY: "the first call with this ticket is still running",
    tickets.Verdict.UNKNOWN: "the outcome of the first call is unknown",
    tickets.Verdict.DIFFERENT: "the ticket was used for a different request",
    tickets.Verdict.NOT_STARTED: "the issuer stopped before the call started",
    tickets.Verdict.CLOSED: "the issuer of the ticket is stopping",
    tickets.Verdict.FULL: "the ledger of the issuer is full",
}


async def run_ticket(
    runtime: runtime_lib.Runtime, req: exchange.Request, ticket: tickets.Ticket
) -> exchange.Outcome:
    """Run the call of an own ticket, or return the outcome of its repeat."""
    assert runtime.ledger.is_own(ticket)
    decision = runtime.ledger.start(
        ticket, runtime.clock(), request_digest(req)
    )
    if decision.verdict is not tickets.Verdict.RUN:
        return decision_outcome(decision)

    async def run() -> exchange.Outcome:
        return await _run_recorded(runtime, req, ticket)

    return await runtime.lifecycle.run_detached(_RUN_KIND, run)


def request_digest(req: exchange.Request) -> bytes:
    """Return a digest that distinguishes the requests of one ticket."""
    name = f"{req.params['service']} {_request_target(req)}"
    return tickets.digest(req.method, name, req.body)


async def _run_recorded(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    ticket: tickets.Ticket,
) -> exchange.Outcome:
    kept_result: tickets.KeptResult | None = None
    may_have_run = True
    try:
        outcome = await call_service(runtime, req, is_idempotent=False)
        if isinstance(outcome, result.Ok):
            resp = outcome.ok_value
            assert isinstance(resp.body, bytes)
            kept_result = tickets.KeptResult(
                resp.status, resp.body, resp.media_type
            )
        else:
            may_have_run = outcome.err_value.code.value.ran != "no"
        return outcome
    finally:
        if may_have_run:
            runtime.ledger.finish(ticket, kept_result, runtime.clock())
        else:
            runtime.ledger.release(ticket)


def decision_outcome(decision: tickets.Decision) -> exchange.Outcome:
    """Return the outcome of a repeat, or of a ticket that may not start."""
    if decision.kept is not None:
        kept_result = decision.kept
        return _to_response(
            kept_result.status, kept_result.body, kept_result.media_type
        )
    verdict = decision.verdict
    retry_after = 1.0 if verdict is tickets.Verdict.FULL else None
    return exchange.refuse(
        _CODES_BY_VERDICT[verdict], _MESSAGES_BY_VERDICT[verdict], retry_after
    )


async def call_service(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    is_idempotent: bool,
) -> exchange.Outcome:
    """Call the service, with retries within the deadline and the budget.

    Non-idempotent work is retried only after attempts that certainly did not
    run.
    """
    client = services.ServiceClient(runtime.client)
    call = services.Call(
        req.method, _request_target(req), _forwarded_headers(req), req.body
    )
    tried_ids: set[str] = set()
    attempts = 0
    last_refusal: codes.Refusal | None = None
    while True:
        timeout = req.deadline - runtime.clock()
        if timeout <= 0:
            break
        async with endpoint_choice.acquire_endpoint(
            runtime, req, req.params["service"], tried_ids
        ) as acquired:
            if isinstance(acquired, result.Err):
                last_refusal = last_refusal or acquired.err_value
                break
            placement = acquired.ok_value
            endpoint = placement.endpoint
            timeout = req.deadline - runtime.clock()
            if timeout <= 0:
                break
            response = await client.call(endpoint, call, timeout)
            if isinstance(response, result.Ok):
                placement.record_response()
            else:
                placement.record_failure()
        attempts += 1
        tried_ids.add(endpoint.id)
        if isinstance(response, result.Ok):
            received = response.ok_value
            if not (
                is_idempotent
                and received.status in _RETRIED_STATUSES
                and endpoint_choice.may_retry(runtime, attempts)
            ):
                return _to_response(
                    received.status, received.body, received.media_type
                )
            continue
        failure = response.err_value
        refusal = codes.Refusal(
            _CODES_BY_FAILURE[failure.kind], failure.detail
        )
        # The call as a whole is "not run" only if every attempt was.
        if last_refusal is None or last_refusal.code.value.ran == "no":
            last_refusal = refusal
        is_safe = is_idempotent or (
            failure.kind is services.FailureKind.NOT_RUN
        )
        if not is_safe or not endpoint_choice.may_retry(runtime, attempts):
            break
    if last_refusal is None:
        return exchange.refuse(
            codes.Code.DEADLINE_TOO_SHORT, "the deadline has passed"
        )
    return result.Err(last_refusal)


def _request_target(req: exchange.Request) -> str:
    path = parse.quote("/" + req.params["path"], safe=_PATH_SAFE)
    return f"{path}?{req.query}" if req.query else path


def _forwarded_headers(req: exchange.Request) -> dict[str, str]:
    headers = {"x-request-id": req.request_id}
    for name in FORWARDED_HEADERS:
        if name in req.headers:
            headers[name] = req.headers[name]
    return headers


def _to_response(
    status: int, body: bytes, media_type: str
) -> exchange.Outcome:
    # After a server error it is unknown whether the back end did the work.
    code = codes.Code.OK if status < 500 else codes.Code.OUTCOME_UNKNOWN
    return result.Ok(
        exchange.Response(status, body, media_type=media_type, code=code)
    )
