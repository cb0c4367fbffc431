"""Decide what follows from each attempt to get a score.

Pure decisions: time and randomness are passed in, nothing is sent.
"""

import dataclasses
import random
import typing

# Wait after the first attempt without an answer, doubled for each further one
# up to the limit, in seconds. Restarted endpoints are listed within about a
# second.
FIRST_PAUSE_SECONDS: typing.Final = 0.05
MAX_PAUSE_SECONDS: typing.Final = 1.0


@dataclasses.dataclass
class Attempts:
    """Count the attempts to get one score."""

    made: int = 0
    # Attempts that the service ran and failed.
    failures: int = 0
    # Attempts without an answer since the last answer of any kind.
    unanswered: int = 0

    def failed(self, count: int) -> None:
        """Note answers in which the service failed."""
        self.failures += count
        self.unanswered = 0

    def lost(self) -> None:
        """Note an attempt without an answer."""
        self.unanswered += 1

    def pause(self, rng: random.Random) -> float:
        """Return the seconds until the next attempt."""
        if not self.unanswered:
            return 0.0
        pause = FIRST_PAUSE_SECONDS * 2.0 ** min(self.unanswered - 1, 10)
        # Calls that were lost together come back spread out.
        return min(MAX_PAUSE_SECONDS, pause) * (0.75 + 0.5 * rng.random())

    def reset(self) -> None:
        """Start anew after a success."""
        self.made = self.failures = self.unanswered = 0


def time_limit(left: float, target: float, timeout: float) -> float:
    """Return the seconds that an endpoint may take for one call.

    While the group can be in time, a call ends when the group is due. After
    that, or too close to it, the route's own timeout holds: a late group is
    worth more than none.
    """
    return timeout if left < target else min(timeout, left)
