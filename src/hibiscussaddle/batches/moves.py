"""Decide which runs move to another engine.

Pure decisions: time is passed in, nothing is sent.
"""

from collections import abc
import enum

from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle import endpoints


class Reason(enum.Enum):
    """Tell why a run moves."""

    # Its engine sends nothing.
    STALLED = "stalled"
    # Its engine is much slower than the others.
    SLOW = "slow"
    # It is long, and another engine is faster.
    FASTER_ELSEWHERE = "faster_elsewhere"


def why_move(
    engines: placement.Placement,
    progress: runs.Progress,
    candidates: abc.Sequence[endpoints.Endpoint],
    now: float,
) -> Reason | None:
    """Return why a run should leave its engine, None when it should stay."""
    endpoint = progress.endpoint
    if endpoint is None:
        return None
    silence = now - (progress.event_at or progress.started_at)
    if silence > placement.STALL_LIMIT_SECONDS:
        return Reason.STALLED
    if not engines.has_room(candidates, now, endpoint.id):
        return None
    limit = placement.STALL_SECONDS
    if progress.event_at is None:
        limit = placement.FIRST_EVENT_SECONDS
    if silence > limit:
        return Reason.STALLED
    typical = engines.typical_pace(candidates)
    if engines.is_lagging(endpoint, typical, progress.pace(), now):
        return Reason.SLOW
    is_long = progress.gaps >= placement.LONG_RUN_EVENTS
    if is_long and engines.is_faster_elsewhere(candidates, endpoint, now):
        return Reason.FASTER_ELSEWHERE
    return None
