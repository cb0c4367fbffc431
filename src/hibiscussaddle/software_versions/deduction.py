"""Deduce from a plan which software version began a stream.

Nothing here does I/O; times are passed in.
"""

import dataclasses
import typing

from hibiscussaddle.software_versions import plan as plan_lib

# Longest time in which a caller may take up a stream, as a multiple of the
# timeout of its route. Callers have a time limit of their own, which is
# slightly longer than the timeout.
_TAKE_UP_TIMEOUTS: typing.Final = 2.0
# A change reaches every instance that reaches the store within this time: it
# is longer than a watch of the plans that gets no response.
PROPAGATION_SECONDS: typing.Final = 5.0
# Longest time in which an instance begins streams by a plan that it can't
# confirm, while several versions serve.
MAX_UNCONFIRMED_SECONDS: typing.Final = 60.0
# Clocks of instances may differ by this much.
_MAX_CLOCK_SKEW_SECONDS: typing.Final = 3.0


@dataclasses.dataclass(frozen=True)
class KnownPlan:
    """Hold a plan as one process has learned it."""

    plan: plan_lib.Plan
    # Revision of its key in the store.
    revision: int
    # Seconds since boot at which the process learned of the latest change of
    # each bucket; minus infinity for those of the first plan it knew.
    learned_at: tuple[float, ...]


def learn(
    known: KnownPlan | None, plan: plan_lib.Plan, revision: int, boot: float
) -> KnownPlan:
    """Return the knowledge of a process that gets a newer plan."""
    if known is None:
        never = (float("-inf"),) * plan_lib.BUCKETS
        return KnownPlan(plan, revision, never)
    learned = tuple(
        before if old == new else boot
        for before, old, new in zip(
            known.learned_at, known.plan.buckets, plan.buckets, strict=True
        )
    )
    return KnownPlan(plan, revision, learned)


def take_up_seconds(timeout: float) -> float:
    """Return how long a stream may be taken up; the timeout is the route's."""
    return _TAKE_UP_TIMEOUTS * timeout


def is_certain(
    known: KnownPlan, number: int, timeout: float, unix: float, boot: float
) -> bool:
    """Return whether a bucket's streams all began at its present version.

    A stream that may still be taken up began before the latest change of its
    bucket, or under a plan that did not hold the change yet, unless both the
    change and its arrival here are old.
    """
    bucket = known.plan.buckets[number]
    take_up = take_up_seconds(timeout)
    unsettled = take_up + bucket.late_seconds + _MAX_CLOCK_SKEW_SECONDS
    return (
        unix - bucket.since > unsettled
        and boot - known.learned_at[number] > take_up
    )


def find_version(
    known: KnownPlan,
    request_id: str,
    timeout: float,
    unix: float,
    boot: float,
) -> str | None:
    """Return the version that began a stream; None if it isn't certain."""
    number = plan_lib.bucket_number(request_id)
    if not is_certain(known, number, timeout, unix, boot):
        return None
    return known.plan.buckets[number].version


def find_only_version(
    known: KnownPlan, timeout: float, unix: float, boot: float
) -> str | None:
    """Return the version that began all streams; None if it isn't certain."""
    versions = known.plan.counts()
    if len(versions) != 1 or not all(
        is_certain(known, number, timeout, unix, boot)
        for number in range(plan_lib.BUCKETS)
    ):
        return None
    return next(iter(versions))
