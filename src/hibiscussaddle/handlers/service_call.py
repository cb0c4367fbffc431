"""Call a plain service, non-idempotent work at most once."""

import httpx
import result

from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle import exchange
from hibiscussaddle import handlers
from hibiscussaddle.policy import tickets
from hibiscussaddle import runtime as runtime_lib

_TICKET_HEADER = "idempotency-key"


@handlers.handler(exchange.Kind.SERVICE)
def create_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler."""

    async def call(req: exchange.Request) -> exchange.Outcome:
        service, path = req.params["service"], "/" + req.params["path"]
        if service not in req.contract.services:
            return exchange.refuse(
                codes.Code.NOT_FOUND, f"service {service!r} is not allowed"
            )
        found = runtime.directory.services(service)
        if not found:
            return exchange.refuse(
                codes.Code.NO_ENDPOINT, f"service {service!r} has no endpoint"
            )
        endpoint = runtime.rng.choice(found)
        if req.contract.is_idempotent(req.method, path):
            return await _send(runtime, req, endpoint, path)
        return await _run_once(runtime, req, endpoint, path)

    return call


async def _run_once(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    endpoint: endpoints.Endpoint,
    path: str,
) -> exchange.Outcome:
    text = req.headers.get(_TICKET_HEADER, "")
    ledger = runtime.ledger
    if not text:
        fresh = ledger.issue(
            req.contract.customer, runtime.clock(), runtime.rng
        )
        return exchange.refuse(
            codes.Code.TICKET_REQUIRED,
            "the call is not idempotent and has no ticket",
            ticket=fresh,
        )
    parsed = ledger.parse(text)
    if isinstance(parsed, result.Err):
        return exchange.refuse(codes.Code.TICKET_INVALID, parsed.err_value)
    ticket = parsed.ok_value
    if ticket.customer != req.contract.customer:
        return exchange.refuse(
            codes.Code.TICKET_INVALID, "ticket of another customer"
        )
    if not ledger.is_own(ticket):
        return exchange.refuse(
            codes.Code.OUTCOME_UNKNOWN, "another instance issued the ticket"
        )
    decision = ledger.start(ticket, runtime.clock())
    if decision.verdict is tickets.Verdict.RUN:
        return await _run(runtime, req, endpoint, path, ticket)
    if decision.kept is not None:
        kept = decision.kept
        return result.Ok(
            exchange.Response(
                kept.status, kept.body, media_type=kept.media_type
            )
        )
    return exchange.refuse(
        codes.Code.OUTCOME_UNKNOWN, f"ticket is {decision.verdict.value}"
    )


async def _run(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    endpoint: endpoints.Endpoint,
    path: str,
    ticket: tickets.Ticket,
) -> exchange.Outcome:
    kept: tickets.KeptResult | None = None
    try:
        outcome = await _send(runtime, req, endpoint, path)
        if isinstance(outcome, result.Ok):
            resp = outcome.ok_value
            assert isinstance(resp.body, bytes)
            kept = tickets.KeptResult(resp.status, resp.body, resp.media_type)
        return outcome
    finally:
        runtime.ledger.finish(ticket, kept, runtime.clock())


async def _send(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    endpoint: endpoints.Endpoint,
    path: str,
) -> exchange.Outcome:
    headers = {"x-request-id": req.request_id}
    for name in ("content-type", _TICKET_HEADER):
        if name in req.headers:
            headers[name] = req.headers[name]
    timeout = max(0.001, req.deadline - runtime.clock())
    try:
        resp = await runtime.client.request(
            req.method,
            endpoint.address + path,
            content=req.body,
            headers=headers,
            timeout=timeout,
        )
    except httpx.ConnectError as exc:
        return exchange.refuse(codes.Code.ENDPOINT_REFUSED, str(exc))
    except httpx.TimeoutException:
        return exchange.refuse(codes.Code.BACK_END_TIMEOUT, endpoint.id)
    except httpx.HTTPError as exc:
        return exchange.refuse(codes.Code.OUTCOME_UNKNOWN, str(exc))
    return result.Ok(
        exchange.Response(
            resp.status_code,
            resp.content,
            media_type=resp.headers.get("content-type", "application/json"),
        )
    )
