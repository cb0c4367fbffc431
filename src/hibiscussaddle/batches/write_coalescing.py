"""Decide how long results wait so that they share one write to the store.

Callers pass the time in, and nothing here performs I/O.
"""

import typing

# Trainers poll about twice a second and train once enough groups are
# complete, so until then results may wait.
_EARLY_WAIT_SECONDS: typing.Final = 0.5
# Groups that are nearly due are worth less when they are logged late.
_DUE_WAIT_SECONDS: typing.Final = 0.15
# The trainer may continue with a complete group, so only results that arrive
# almost at once are awaited. Only the number of groups that it needs is known;
# it also waits for certain groups carried over from earlier steps.
_ENOUGH_WAIT_SECONDS: typing.Final = 0.03
# Time before the deadline from which groups count as nearly due.
_NEARLY_DUE_SECONDS: typing.Final = 2.0


def coalescing_seconds(
    has_enough_groups: bool, has_new_group: bool, seconds_left: float
) -> float:
    """Return how long the first unwritten result may wait for others.

    has_enough_groups says whether the trainer has enough groups once the
    unwritten results are logged, has_new_group whether these results complete
    another group.
    """
    if has_enough_groups and has_new_group:
        return _ENOUGH_WAIT_SECONDS
    if seconds_left < _NEARLY_DUE_SECONDS:
        return _DUE_WAIT_SECONDS
    return _EARLY_WAIT_SECONDS
