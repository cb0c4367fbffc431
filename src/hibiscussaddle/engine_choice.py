"""Choose the engine of a sample."""

from collections import abc
import math

from hibiscussaddle import contracts
from hibiscussaddle import endpoints
from hibiscussaddle import placement
from hibiscussaddle import runtime as runtime_lib


def try_place_sample(
    runtime: runtime_lib.Runtime,
    contract: contracts.Contract,
    model: str,
    max_tokens: int,
    candidates: abc.Iterable[endpoints.Endpoint],
) -> placement.Placement | None:
    """Place a sample on a candidate that has capacity now, if any.

    The caller must release the placement.
    """
    allowed = {ep.id for ep in candidates}
    if not allowed:
        return None
    known = runtime.directory.engines(model)
    work = placement.Work(
        kind=placement.WorkKind.TRAINER,
        contract=contract,
        target=model,
        # A step has no deadline, since its trainer waits for it.
        deadline=math.inf,
        max_tokens=float(max_tokens),
        excluded_ids=frozenset(ep.id for ep in known) - allowed,
    )
    return runtime.dispatcher.try_place(work)
