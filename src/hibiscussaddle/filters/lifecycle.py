"""Refuse requests that the instance cannot accept."""

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle.filters import repeats
from hibiscussaddle import lifecycle
from hibiscussaddle import runtime as runtime_lib


@filters.request_filter("lifecycle")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the lifecycle filter; the caller port counts the requests."""
    instance_lifecycle = runtime.lifecycle

    async def call(
        req: exchange.Request, next_handler: exchange.Handler
    ) -> exchange.Outcome:
        if instance_lifecycle.phase is lifecycle.Phase.STARTING:
            return exchange.refuse(
                codes.Code.NOT_READY,
                f"instance {runtime.cfg.instance!r} is "
                f"{instance_lifecycle.phase.value}",
            )
        if (
            instance_lifecycle.phase is lifecycle.Phase.STOPPING
            and not _is_retry(req)
        ):
            return exchange.refuse(
                codes.Code.STOPPING,
                f"instance {runtime.cfg.instance!r} is "
                f"{instance_lifecycle.phase.value}",
            )
        if instance_lifecycle.total_running() > runtime.cfg.max_concurrent:
            return exchange.refuse(
                codes.Code.OVERLOADED,
                f"more than {runtime.cfg.max_concurrent} requests are running",
                1.0,
            )
        return await next_handler(req)

    return call


def _is_retry(req: exchange.Request) -> bool:
    # The closed ledger starts no call but still returns kept results.
    return (
        req.kind is exchange.Kind.SERVICE
        and repeats.TICKET_HEADER in req.headers
    )
