"""Decide which runs move to another engine.

Callers pass the time in, and nothing here performs I/O.
"""

from collections import abc
import enum

from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle import endpoints


class MoveReason(enum.Enum):
    """Name the reason for moving a run."""

    # The engine sends nothing.
    STALLED = "stalled"
    # The engine is much slower than the others.
    SLOW = "slow"
    # The run is long, and another engine is faster.
    FASTER_ELSEWHERE = "faster_elsewhere"


def move_reason(
    engines: placement.Placement,
    progress: runs.Progress,
    candidates: abc.Sequence[endpoints.Endpoint],
    now: float,
) -> MoveReason | None:
    """Return the reason to move a run, None when it should stay."""
    endpoint = progress.endpoint
    if endpoint is None:
        return None
    idle_seconds = now - (progress.last_event_at or progress.started_at)
    if idle_seconds > placement.MAX_STALL_SECONDS:
        return MoveReason.STALLED
    if not engines.has_capacity_elsewhere(candidates, now, endpoint.id):
        return None
    max_idle_seconds = placement.STALL_SECONDS
    if progress.last_event_at is None:
        max_idle_seconds = placement.FIRST_EVENT_STALL_SECONDS
    if idle_seconds > max_idle_seconds:
        return MoveReason.STALLED
    typical = engines.typical_interval(candidates)
    if engines.is_lagging(endpoint, typical, progress.mean_interval(), now):
        return MoveReason.SLOW
    is_long = progress.interval_count >= placement.LONG_RUN_EVENTS
    if is_long and engines.is_faster_elsewhere(candidates, endpoint, now):
        return MoveReason.FASTER_ELSEWHERE
    return None
