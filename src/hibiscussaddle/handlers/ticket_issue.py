"""Issue a ticket for a non-idempotent call."""

import json

import result

from hibiscussaddle import exchange
from hibiscussaddle import handlers
from hibiscussaddle import runtime as runtime_lib


@handlers.handler(exchange.Kind.TICKET)
def create_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler that issues tickets."""

    async def call(req: exchange.Request) -> exchange.Outcome:
        ticket = runtime.ledger.issue(
            req.contract.customer, runtime.clock(), runtime.rng
        )
        body = json.dumps({"ticket": ticket}).encode()
        return result.Ok(exchange.Response(201, body))

    return call
