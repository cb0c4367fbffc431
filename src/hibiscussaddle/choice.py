"""Choice of the endpoint for one attempt of a request."""

from collections import abc
import contextlib
import typing

import result

from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle import exchange
from hibiscussaddle import runtime as runtime_lib

MAX_ATTEMPTS: typing.Final = 3

Chosen: typing.TypeAlias = result.Result[endpoints.Endpoint, codes.Refusal]


@contextlib.asynccontextmanager
async def hold(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    target: str,
    avoid: abc.Collection[str] = (),
) -> abc.AsyncIterator[Chosen]:
    """Hold an endpoint for one attempt; a refusal is always "not run".

    The target is a model or a plain service, after the kind of request.
    Endpoints to avoid are used only when there is no other.
    """
    if req.kind is exchange.Kind.MODEL:
        found = runtime.directory.engines(target)
    else:
        found = runtime.directory.services(target)
    preferred = [ep for ep in found if ep.id not in avoid] or found
    if preferred:
        yield result.Ok(runtime.rng.choice(preferred))
    else:
        yield exchange.refuse(
            codes.Code.NO_ENDPOINT, f"{target!r} has no endpoint"
        )


def may_retry(runtime: runtime_lib.Runtime, attempts: int) -> bool:
    """Tell whether one more attempt is within the limits."""
    return attempts < MAX_ATTEMPTS and runtime.callers.budget.take_retry()
