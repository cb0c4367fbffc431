"""Choice of the endpoint for one attempt of a request."""

from collections import abc
import contextlib
import typing

import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import placement
from hibiscussaddle import runtime as runtime_lib

MAX_ATTEMPTS: typing.Final = 3

Chosen: typing.TypeAlias = result.Result[placement.Placement, codes.Refusal]


@contextlib.asynccontextmanager
async def hold(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    target: str,
    avoid: abc.Collection[str] = (),
    max_tokens: float = 1.0,
    prefix: str = "",
) -> abc.AsyncIterator[Chosen]:
    """Hold an endpoint for one attempt; a refusal is always "not run".

    The target is a model or a plain service, after the kind of request.
    Endpoints to avoid are used only when there is no other.
    """
    if req.kind is exchange.Kind.MODEL:
        kind = placement.WorkKind.CHAT
        found = runtime.directory.engines(target)
    else:
        kind = placement.WorkKind.SERVICE
        found = runtime.directory.services(target)
    avoided = frozenset(avoid)
    if all(ep.id in avoided for ep in found):
        avoided = frozenset()
    work = placement.Work(
        kind=kind,
        contract=req.contract,
        target=target,
        deadline=req.deadline,
        max_tokens=max_tokens,
        prefix=prefix,
        avoid=avoided,
        is_first=not avoid,
    )
    async with runtime.dispatcher.place(work) as placed:
        yield placed


def may_retry(runtime: runtime_lib.Runtime, attempts: int) -> bool:
    """Tell whether one more attempt is within the limits."""
    return (
        attempts < MAX_ATTEMPTS and runtime.dispatcher.budget.withdraw_retry()
    )
