"""Space the requests to one endpoint at its rate limit.

This module only decides: time and rates are arguments, and nothing is sent.
"""

import dataclasses
import typing

# A limit below this rate, such as 0, is treated as this one: only a response
# tells that a limit has ended.
MIN_RATE: typing.Final = 0.2
# A limit above this rate is treated as none: a fleet of the target size sends
# 11,000 requests a second to all of its endpoints together.
MAX_RATE: typing.Final = 10_000.0
# Unused requests of this time may be sent at once.
_BURST_SECONDS: typing.Final = 0.5
# Upper limit of the time after which a denied request is told to return.
MAX_RETRY_SECONDS: typing.Final = 5.0


@dataclasses.dataclass(frozen=True)
class Decision:
    """Grant or deny one request; all durations are in seconds."""

    is_granted: bool
    # If granted, the delay before the request is sent.
    delay: float = 0.0
    # If denied, the delay after which the caller should return.
    retry_after: float = 0.0
    # If denied, the delay until the endpoint takes the next request.
    free_after: float = 0.0


class Schedule:
    """Grant requests at a rate, in the order in which they ask.

    Keeps the time at which the next request is due (generic cell rate
    algorithm).
    """

    def __init__(self, rate: float, now: float, phase: float = 0.0) -> None:
        """Make the first request due after a fraction of the interval."""
        self._interval = 1 / rate
        self._due_at = now + phase * self._interval
        # Newest time at which a denied caller was told to return.
        self._return_at = float("-inf")

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate, in requests per second."""
        interval = 1 / rate
        if interval == self._interval:
            return
        self._interval = interval
        # After a low rate the next request must not wait for its interval.
        self._due_at = min(self._due_at, now + interval + self._burst)

    @property
    def _burst(self) -> float:
        """Return the seconds by which requests may be early."""
        return max(0.0, _BURST_SECONDS - self._interval)

    def decide(self, now: float, max_delay: float) -> Decision:
        """Grant a request that may be sent within the delay, else deny it."""
        free_at = max(now, self._due_at - self._burst)
        if free_at - now <= max_delay:
            self._due_at = max(self._due_at, free_at) + self._interval
            return Decision(True, delay=free_at - now)
        # Callers that were denied together return one interval apart.
        self._return_at = max(free_at, self._return_at + self._interval)
        self._return_at = min(self._return_at, now + MAX_RETRY_SECONDS)
        return Decision(
            False,
            retry_after=self._return_at - now,
            free_after=free_at - now,
        )


def effective_rate(rate: float | None) -> float | None:
    """Return the rate to keep for a named one, None if there is no limit."""
    if rate is None or rate > MAX_RATE:
        return None
    return max(MIN_RATE, rate)
