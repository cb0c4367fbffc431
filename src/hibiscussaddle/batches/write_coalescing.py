"""Decide how long results gather before they share one write of the store.

Pure decisions: time is passed in, nothing is sent.
"""

import typing

# Gathering times in seconds. Trainers poll about twice a second and train
# once enough groups are whole, so until then results may wait.
_EARLY_SECONDS: typing.Final = 0.5
# Groups that are nearly due earn less when they are listed after that.
_DUE_SECONDS: typing.Final = 0.15
# The trainer may go on with a whole group: only results of the same moment
# are awaited. Which groups it needs besides the number is not known, since it
# waits for those that it carried over.
_ENOUGH_SECONDS: typing.Final = 0.03
# Seconds before the due time in which groups are nearly due.
_NEARLY_DUE_SECONDS: typing.Final = 2.0


def coalescing_seconds(
    is_enough: bool, has_new_group: bool, seconds_left: float
) -> float:
    """Return how long the first unwritten result may wait for others.

    The trainer may have enough groups with the results at hand, which may
    make a group whole that was not.
    """
    if is_enough and has_new_group:
        return _ENOUGH_SECONDS
    if seconds_left < _NEARLY_DUE_SECONDS:
        return _DUE_SECONDS
    return _EARLY_SECONDS
