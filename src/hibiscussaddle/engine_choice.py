"""Choose the engine of a sample."""

from collections import abc
import math

from hibiscussaddle import contracts
from hibiscussaddle import endpoints
from hibiscussaddle import placement
from hibiscussaddle import runtime as runtime_lib


def place(
    runtime: runtime_lib.Runtime,
    contract: contracts.Contract,
    model: str,
    max_tokens: int,
    candidates: abc.Iterable[endpoints.Endpoint],
) -> placement.Placement | None:
    """Place a sample on a candidate with room now; release it after use."""
    allowed = {ep.id for ep in candidates}
    if not allowed:
        return None
    found = runtime.directory.engines(model)
    work = placement.Work(
        kind=placement.WorkKind.TRAINER,
        contract=contract,
        target=model,
        # A step has no deadline; its trainer waits.
        deadline=math.inf,
        max_tokens=float(max_tokens),
        avoid=frozenset(ep.id for ep in found) - allowed,
    )
    return runtime.dispatcher.try_place(work)
