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
    # The engine is known to have ended.
    ENDED = "ended"
    # The engine is much slower than the others.
    SLOW = "slow"
    # The run would end much sooner on another engine.
    FASTER_ELSEWHERE = "faster_elsewhere"
    # The batch may be given up, and the run doesn't end by itself.
    EXPIRED = "expired"


def move_reason(
    engines: placement.Placement,
    progress: runs.Progress,
    candidates: abc.Sequence[endpoints.Endpoint],
    events_left: float,
    now: float,
) -> MoveReason | None:
    """Return the reason to move a run, None when it should stay.

    Capacity of a faster engine is reserved for a long run until it moves.
    """
    endpoint = progress.endpoint
    if endpoint is None:
        return None
    idle_seconds = now - (progress.last_event_at or progress.started_at)
    if idle_seconds > placement.MAX_STALL_SECONDS:
        return MoveReason.STALLED
    # Runs that began later show whether the engine lives after all.
    has_ended = progress.started_at <= engines.state(endpoint).ended_at
    if has_ended and idle_seconds > placement.STALL_SECONDS:
        return MoveReason.ENDED
    # A run that an engine refuses once more would come back and move again.
    fitting = [
        candidate
        for candidate in candidates
        if not engines.state(candidate).has_refused_size(progress.tokens)
    ]
    is_under_way = progress.interval_count >= placement.MIN_RUN_EVENTS
    if is_under_way and engines.reserve_faster(
        fitting, endpoint, events_left, now
    ):
        return MoveReason.FASTER_ELSEWHERE
    has_begun = progress.last_event_at is not None
    # A run that has not begun may as well probe another engine.
    if not engines.has_capacity_elsewhere(
        fitting, now, endpoint.id, allow_probe=not has_begun
    ):
        return None
    max_idle_seconds = placement.STALL_SECONDS
    if not has_begun:
        max_idle_seconds = placement.FIRST_EVENT_STALL_SECONDS
    if idle_seconds > max_idle_seconds:
        return MoveReason.STALLED
    typical = engines.typical_interval(candidates)
    is_lagging = engines.is_lagging(
        endpoint, typical, progress.mean_interval(), now
    )
    # Its engine takes a moved run back only after a while.
    if is_lagging and engines.claim_elsewhere(fitting, now, endpoint.id):
        return MoveReason.SLOW
    return None
