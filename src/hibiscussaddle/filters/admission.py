"""Refuse requests past their deadline and shed load by priority."""

import typing

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle.policy import retries
from hibiscussaddle import runtime as runtime_lib

# Tickets cost no work, and the samples of a step are queued one by one.
_QUEUED_KINDS: typing.Final = (exchange.Kind.MODEL, exchange.Kind.SERVICE)
RETRY_AFTER_SECONDS: typing.Final = 1.0


@filters.request_filter("admission")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the admission filter."""

    async def call(
        req: exchange.Request, next_handler: exchange.Handler
    ) -> exchange.Outcome:
        if runtime.clock() >= req.deadline:
            return exchange.refuse(
                codes.Code.DEADLINE_TOO_SHORT,
                "the deadline passed before the request was admitted",
            )
        if req.kind in _QUEUED_KINDS:
            utilization = runtime.dispatcher.max_queue_utilization()
            if retries.should_shed(req.contract.priority, utilization):
                return exchange.refuse(
                    codes.Code.OVERLOADED,
                    f"queues are {utilization:.0%} full and the contract's "
                    f"priority is {req.contract.priority}",
                    RETRY_AFTER_SECONDS,
                )
        return await next_handler(req)

    return call
