"""Refuse work that the instance cannot take, and count the rest."""

from collections import abc
import dataclasses

import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle import lifecycle
from hibiscussaddle import runtime as runtime_lib

_PHASE_CODES = {
    lifecycle.Phase.STARTING: codes.Code.NOT_READY,
    lifecycle.Phase.STOPPING: codes.Code.STOPPING,
}


@filters.request_filter("lifecycle")
def create_filter(runtime: runtime_lib.Runtime) -> filters.Filter:
    """Return the filter."""
    life = runtime.lifecycle

    async def call(
        req: exchange.Request, following: exchange.Handler
    ) -> exchange.Outcome:
        code = _PHASE_CODES.get(life.phase)
        if code is not None:
            return exchange.refuse(code, f"instance is {life.phase.value}")
        if life.total() >= runtime.cfg.max_concurrent:
            return exchange.refuse(
                codes.Code.OVERLOADED, "too many requests in progress", 1.0
            )
        kind = req.kind.value
        life.enter(kind)
        streaming = False
        try:
            outcome = await following(req)
            if isinstance(outcome, result.Ok):
                resp = outcome.ok_value
                if not isinstance(resp.body, bytes):
                    streaming = True
                    body = _count_out(life, kind, resp.body)
                    return result.Ok(dataclasses.replace(resp, body=body))
            return outcome
        finally:
            if not streaming:
                life.leave(kind)

    return call


async def _count_out(
    life: lifecycle.Lifecycle, kind: str, body: abc.AsyncIterator[bytes]
) -> abc.AsyncIterator[bytes]:
    try:
        async for chunk in body:
            yield chunk
    finally:
        life.leave(kind)
