"""Decide on retries and timeouts of the calls for one score.

This module only decides: time and randomness are arguments, and nothing is
sent.
"""

import dataclasses
import random
import typing

# Backoff after the first attempt without a response, doubled for each further
# one up to the maximum. Restarted endpoints are listed within about a second.
INITIAL_BACKOFF_SECONDS: typing.Final = 0.05
MAX_BACKOFF_SECONDS: typing.Final = 1.0


@dataclasses.dataclass
class Attempts:
    """Count the attempts to get one score."""

    count: int = 0
    # Attempts to which the service responded with a failure.
    failures: int = 0
    # Attempts without a response since the last response of any kind.
    missing_responses: int = 0

    def record_failures(self, count: int) -> None:
        """Record that the service responded, with this many failures."""
        self.failures += count
        self.missing_responses = 0

    def record_missing_response(self) -> None:
        """Record an attempt without a response."""
        self.missing_responses += 1

    def backoff_seconds(self, rng: random.Random) -> float:
        """Return the seconds to wait before the next attempt."""
        if not self.missing_responses:
            return 0.0
        seconds = INITIAL_BACKOFF_SECONDS * 2.0 ** min(
            self.missing_responses - 1, 10
        )
        # Jitter spreads the retries of calls that failed together.
        return min(MAX_BACKOFF_SECONDS, seconds) * (0.75 + 0.5 * rng.random())

    def reset(self) -> None:
        """Clear all counts after a success."""
        self.count = self.failures = self.missing_responses = 0


def call_timeout(
    seconds_left: float, latency_target: float, timeout: float
) -> float:
    """Return the timeout of one call; all durations are in seconds.

    While the group can still be in time, a call ends when the group is due.
    With less time left than the latency target, the route's timeout applies:
    a late group is worth more than none.
    """
    return (
        timeout
        if seconds_left < latency_target
        else min(timeout, seconds_left)
    )
