"""Decide how long results wait so that they share one write to the store.

These are pure functions: time is passed in and nothing is sent.
"""

import typing

# Trainers poll about twice a second and train once enough groups are
# complete, so until then results may wait.
_EARLY_WAIT_SECONDS: typing.Final = 0.5
# Groups that are nearly due are worth less when they are logged late.
_DUE_WAIT_SECONDS: typing.Final = 0.15
# The trainer may continue with a complete group, so only results that arrive
# at the same moment are awaited. Which groups it needs besides their number
# is unknown, since it also waits for groups carried over from earlier steps.
_ENOUGH_WAIT_SECONDS: typing.Final = 0.03
# Time before the deadline from which groups count as nearly due.
_NEARLY_DUE_SECONDS: typing.Final = 2.0


def coalescing_seconds(
    is_enough: bool, has_new_group: bool, seconds_left: float
) -> float:
    """Return how long the first unwritten result may wait for others.

    is_enough says whether the trainer has enough groups with the unwritten
    results, has_new_group whether these complete another group.
    """
    if is_enough and has_new_group:
        return _ENOUGH_WAIT_SECONDS
    if seconds_left < _NEARLY_DUE_SECONDS:
        return _DUE_WAIT_SECONDS
    return _EARLY_WAIT_SECONDS
