"""Refuse work early, by deadline and by priority under load."""

import typing

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle.policy import retries
from hibiscussaddle import runtime as runtime_lib

# Tickets cost nothing, and steps are queued sample by sample.
_QUEUED_KINDS: typing.Final = (exchange.Kind.MODEL, exchange.Kind.SERVICE)
RETRY_SECONDS: typing.Final = 1.0


@filters.request_filter("admission")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the filter."""

    async def call(
        req: exchange.Request, following: exchange.Handler
    ) -> exchange.Outcome:
        if runtime.clock() >= req.deadline:
            return exchange.refuse(
                codes.Code.DEADLINE_TOO_SHORT, "the deadline has passed"
            )
        if req.kind in _QUEUED_KINDS:
            pressure = runtime.dispatcher.max_queue_utilization()
            if retries.should_shed(req.contract.priority, pressure):
                return exchange.refuse(
                    codes.Code.OVERLOADED,
                    f"queues are {pressure:.0%} full and the contract's "
                    f"priority is {req.contract.priority}",
                    RETRY_SECONDS,
                )
        return await following(req)

    return call
