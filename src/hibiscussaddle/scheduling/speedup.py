"""Decide which runs are worth a faster engine.

A step lasts as long as its longest run, so fast engines belong to the runs
with the most events left.
"""

import typing

# Least gain that is worth interrupting a run. The move itself costs about one
# event, and the estimate of the events left is often off by half.
MIN_GAIN_SECONDS: typing.Final = 0.4
# Time that an engine's free capacity is kept for a longer run: two checks of
# running items.
RESERVATION_SECONDS: typing.Final = 0.2


def gain_seconds(
    events_left: float, own_interval: float, other_interval: float
) -> float:
    """Return how much sooner a run ends on another engine."""
    return events_left * (own_interval - other_interval) - other_interval


def is_worth_moving(
    events_left: float, own_interval: float, other_interval: float
) -> bool:
    """Return whether a run gains enough on another engine."""
    gain = gain_seconds(events_left, own_interval, other_interval)
    return gain >= MIN_GAIN_SECONDS
