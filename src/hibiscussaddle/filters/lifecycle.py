"""Refuse work that the instance cannot take."""

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle.filters import repeats
from hibiscussaddle import lifecycle
from hibiscussaddle import runtime as runtime_lib


@filters.request_filter("lifecycle")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the filter; the caller port counts the work."""
    life = runtime.lifecycle

    async def call(
        req: exchange.Request, following: exchange.Handler
    ) -> exchange.Outcome:
        if life.phase is lifecycle.Phase.STARTING:
            return exchange.refuse(
                codes.Code.NOT_READY, f"instance is {life.phase.value}"
            )
        if life.phase is lifecycle.Phase.STOPPING and not _is_repeat(req):
            return exchange.refuse(
                codes.Code.STOPPING, f"instance is {life.phase.value}"
            )
        if life.total_running() > runtime.cfg.max_concurrent:
            return exchange.refuse(
                codes.Code.OVERLOADED, "too many requests in progress", 1.0
            )
        return await following(req)

    return call


def _is_repeat(req: exchange.Request) -> bool:
    # The closed ledger starts nothing but still gives kept results.
    return (
        req.kind is exchange.Kind.SERVICE
        and repeats.TICKET_HEADER in req.headers
    )
