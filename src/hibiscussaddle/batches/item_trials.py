"""Decide when an item under which engines ended runs once more.

The ends may have other reasons, so an item is never held for good. The pauses
follow from the ends that all instances know, so that an item whose batch gets
another owner has no more trials than otherwise. Callers pass the time in, and
nothing here performs I/O.
"""

import typing

# An item under which as many engines ended is held but for single trials.
MAX_ENDED: typing.Final = 3
# Seconds from the newest end to the next trial, the first one for MAX_ENDED
# ends. An item may be at no engine for 5 s, of which it may wait 2 s for an
# engine without another such item; the rest is for engines that refuse a run
# at first. With 2.5 s it took 5.03 s if two refused. Each further end costs an
# engine, so the later pauses are much longer; 600 s after the newest end it is
# forgotten.
_PAUSES_SECONDS: typing.Final = (2.0, 30.0, 120.0, 300.0)


def is_held(ended: int, ended_at: float, now: float) -> bool:
    """Return whether an item waits for its next trial.

    The time is that of the newest of the engines that ended.
    """
    if ended < MAX_ENDED:
        return False
    number = min(ended - MAX_ENDED, len(_PAUSES_SECONDS) - 1)
    return now - ended_at < _PAUSES_SECONDS[number]
