"""Track how old an instance's knowledge of the operator's documents is.

Instants are seconds of a clock that counts the time of a suspend, and are
passed in.
"""

import typing

# Clocks of two machines may run at slightly different rates.
_CLOCK_MARGIN_FRACTION: typing.Final = 0.02


class Confirmation:
    """Hold the newest instant at which the known documents were current."""

    def __init__(self, bound: float) -> None:
        """Set the age in seconds up to which knowledge counts as fresh."""
        # Sending of the call whose response confirmed the documents; None
        # before the first one.
        self.confirmed_at: float | None = None
        # Newest store revision that a response had.
        self.revision = 0
        self._max_age = bound * (1 - _CLOCK_MARGIN_FRACTION)

    def confirm(self, sent_at: float, revision: int) -> None:
        """Record a response with the documents as of a store revision.

        The response holds all changes acknowledged before its call was sent.
        One that is older than a response before confirms nothing.
        """
        if revision < self.revision:
            return
        self.revision = revision
        if self.confirmed_at is None or sent_at > self.confirmed_at:
            self.confirmed_at = sent_at

    def age(self, now: float) -> float:
        """Return the age in seconds; infinite without a confirmation.

        A reader tells a follower the age at the arrival of its request, which
        is negative if the confirming call was sent after that. The follower
        counts it from the sending of the request, so that a delay on the way
        makes the documents look older, never newer.
        """
        if self.confirmed_at is None:
            return float("inf")
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether the knowledge is recent enough to accept keys."""
        return self.age(now) <= self._max_age
