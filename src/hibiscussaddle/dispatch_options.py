"""Limits that the dispatcher applies."""

from collections import abc
import dataclasses

from hibiscussaddle.policy import queueing


@dataclasses.dataclass(frozen=True)
class Options:
    """Hold the dispatcher's limits; the benchmarks vary them."""

    # Outstanding requests per slot up to which an endpoint gets more work of
    # a class. Short work may wait at the engine, which serves it first. The
    # limit of long work reserves slots for short work; it applies only while
    # there is short work, since it leaves a quarter of the slots unused.
    max_load_per_slot: abc.Mapping[queueing.WorkClass, float] = (
        dataclasses.field(
            default_factory=lambda: {
                queueing.WorkClass.SHORT: 2.0,
                queueing.WorkClass.TRAINER: 1.0,
                queueing.WorkClass.LONG: 0.875,
            }
        )
    )
    max_queued: int = queueing.MAX_QUEUED_ENTRIES
    # A stream counts as stalled after this multiple of the latency that is
    # typical of its zone, but not before `min_stall_seconds`.
    stall_factor: float = 4.0
    min_stall_seconds: float = 0.1
