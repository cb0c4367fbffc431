"""Estimate how many events unfinished items still need.

Siblings of a group share a prompt but not a length: on a recorded day lengths
varied within groups as much as between all items. An estimate therefore uses
the caller's hint and the item's own progress only.
"""

import typing

# Events of finished items from which the size of an event is known.
_MIN_EVENTS: typing.Final = 50
# Older observations lose half of their weight after this many events, since
# another model may follow.
_MAX_EVENTS: typing.Final = 20_000
# An item that outgrew its hint is expected to need this fraction of what it
# has, since lengths have a long tail.
_GROWTH_FRACTION: typing.Final = 0.5
# Range of the hints that are used, in tokens. Batches of earlier builds may
# hold any float.
_MIN_HINT: typing.Final = 1.0
_MAX_HINT: typing.Final = 1e12


def is_usable(
    expected_tokens: float | None,
) -> typing.TypeGuard[float]:
    """Return whether a hint may be a number of tokens."""
    return (
        expected_tokens is not None
        and _MIN_HINT <= expected_tokens <= _MAX_HINT
    )


class LengthModel:
    """Convert hints, in tokens, into events, as finished items show it."""

    def __init__(self) -> None:
        """Start without observations."""
        self._tokens = 0.0
        self._events = 0.0

    def observe(self, expected_tokens: float | None, events: int) -> None:
        """Record the hint and the events of a finished item."""
        if not is_usable(expected_tokens) or events <= 0:
            return
        self._tokens += expected_tokens
        self._events += events
        if self._events > _MAX_EVENTS:
            self._tokens /= 2
            self._events /= 2

    def expected_events(self, expected_tokens: float | None) -> float:
        """Return the events that an item is expected to have in all.

        0 while no finished item shows how many tokens an event has.
        """
        if not is_usable(expected_tokens) or self._events < _MIN_EVENTS:
            return 0.0
        return expected_tokens * self._events / self._tokens

    def events_left(
        self, expected_tokens: float | None, generated: int
    ) -> float:
        """Return the events that an unfinished item is expected to need."""
        left = self.expected_events(expected_tokens) - generated
        return max(left, _GROWTH_FRACTION * generated)
