"""Authenticate a request by its customer key."""

import dataclasses

from hibiscussaddle import auth
from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle import runtime as runtime_lib


@filters.request_filter("authenticate")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the authentication filter."""

    async def call(
        req: exchange.Request, next_handler: exchange.Handler
    ) -> exchange.Outcome:
        key = auth.bearer_token(req.headers.get("authorization", ""))
        record = runtime.contracts.find_by_key(key) if key else None
        if record is None:
            return exchange.refuse(
                codes.Code.UNAUTHORIZED, "the key belongs to no known customer"
            )
        req.log_fields.customer = record.contract.customer
        return await next_handler(dataclasses.replace(req, record=record))

    return call
