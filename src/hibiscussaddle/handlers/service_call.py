"""Call a plain service; run non-idempotent work at most once."""

import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle.filters import repeats
from hibiscussaddle import handlers
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import service_runs
from hibiscussaddle import ticket_forwarding


@handlers.handler(exchange.Kind.SERVICE)
def create_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler of service calls."""

    async def call(req: exchange.Request) -> exchange.Outcome:
        service, path = req.params["service"], "/" + req.params["path"]
        if service not in req.contract.services:
            return exchange.refuse(
                codes.Code.NOT_FOUND,
                f"service {service!r} is not allowed by the contract",
            )
        # Back ends resolve dot segments, so that '/quotes/../orders' would
        # match the rule for '/quotes' in the contract.
        if {".", ".."}.intersection(path.split("/")):
            return exchange.refuse(
                codes.Code.BAD_REQUEST, "the path contains a dot segment"
            )
        if req.contract.is_idempotent(req.method, path):
            return await service_runs.call_service(
                runtime, req, is_idempotent=True
            )
        return await _run_at_most_once(runtime, req)

    return call


async def _run_at_most_once(
    runtime: runtime_lib.Runtime, req: exchange.Request
) -> exchange.Outcome:
    ledger = runtime.ledger
    customer = req.contract.customer
    ticket_text = req.headers.get(repeats.TICKET_HEADER, "")
    if not ticket_text:
        return exchange.refuse(
            codes.Code.TICKET_REQUIRED,
            "the call is not idempotent and has no ticket",
            ticket=ledger.issue(customer, runtime.clock(), runtime.rng),
        )
    parsed = ledger.parse(ticket_text)
    if isinstance(parsed, result.Err):
        return exchange.refuse(codes.Code.TICKET_INVALID, parsed.err_value)
    ticket = parsed.ok_value
    if ticket.customer != customer:
        return exchange.refuse(
            codes.Code.TICKET_INVALID, "the ticket belongs to another customer"
        )
    if ledger.is_own(ticket):
        return await service_runs.run_ticket(runtime, req, ticket)
    return await ticket_forwarding.forward(runtime, req, ticket)
