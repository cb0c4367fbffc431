"""Choose the endpoint of one attempt of a request."""

from collections import abc
import contextlib
import typing

import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import placement as placement_lib
from hibiscussaddle import runtime as runtime_lib

MAX_ATTEMPTS: typing.Final = 3

PlacementResult: typing.TypeAlias = result.Result[
    placement_lib.Placement, codes.Refusal
]


@contextlib.asynccontextmanager
async def acquire_endpoint(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    target: str,
    excluded_ids: abc.Collection[str] = (),
    max_tokens: float = 1.0,
    prefix: str = "",
) -> abc.AsyncIterator[PlacementResult]:
    """Hold an endpoint for one attempt until the block ends.

    The target is a model or a plain service, depending on the kind of the
    request. Excluded endpoints are used only when there is no other. A
    refusal always means that the attempt did not run.
    """
    if req.kind is exchange.Kind.MODEL:
        kind = placement_lib.WorkKind.CHAT
        known = runtime.directory.engines(target)
    else:
        kind = placement_lib.WorkKind.SERVICE
        known = runtime.directory.services(target)
    excluded = frozenset(excluded_ids)
    if all(ep.id in excluded for ep in known):
        excluded = frozenset()
    work = placement_lib.Work(
        kind=kind,
        contract=req.contract,
        target=target,
        deadline=req.deadline,
        max_tokens=max_tokens,
        prefix=prefix,
        excluded_ids=excluded,
        is_first_attempt=not excluded_ids,
    )
    async with runtime.dispatcher.place(work) as placed:
        yield placed


def may_retry(runtime: runtime_lib.Runtime, attempts: int) -> bool:
    """Return whether one more attempt is allowed, and charge the budget."""
    return (
        attempts < MAX_ATTEMPTS
        and runtime.dispatcher.retry_budget.withdraw_retry()
    )
