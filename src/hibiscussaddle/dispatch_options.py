"""Limits of the dispatcher's decisions."""

from collections import abc
import dataclasses

from hibiscussaddle.policy import queueing


@dataclasses.dataclass(frozen=True)
class Options:
    """Set the limits of the decisions; the benchmarks vary them."""

    # Outstanding work per slot up to which a class is sent to an endpoint.
    # Short work may wait at the engine, where it goes first. The limit of
    # long work keeps slots for short work; it holds only while there is
    # short work, as it would leave a quarter of the slots unused.
    room: abc.Mapping[queueing.WorkClass, float] = dataclasses.field(
        default_factory=lambda: {
            queueing.WorkClass.SHORT: 2.0,
            queueing.WorkClass.TRAINER: 1.0,
            queueing.WorkClass.LONG: 0.875,
        }
    )
    max_queued: int = queueing.MAX_QUEUED_ENTRIES
    stall_factor: float = 4.0
    min_stall_seconds: float = 0.1
