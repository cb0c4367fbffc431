"""Find the customer of a request by its key."""

import dataclasses

from hibiscussaddle import auth
from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle import runtime as runtime_lib


@filters.request_filter("authenticate")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the filter."""

    async def call(
        req: exchange.Request, following: exchange.Handler
    ) -> exchange.Outcome:
        key = auth.bearer(req.headers.get("authorization", ""))
        record = runtime.contracts.find_by_key(key) if key else None
        if record is None:
            return exchange.refuse(
                codes.Code.UNAUTHORIZED, "no customer has this key"
            )
        req.trace.customer = record.contract.customer
        return await following(dataclasses.replace(req, record=record))

    return call
