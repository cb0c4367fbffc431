"""Retry and hedge budgets, load shedding and circuit breakers."""

import dataclasses
import enum
import random
import typing

RETRY_RATIO: typing.Final = 0.1
HEDGE_RATIO: typing.Final = 0.05
# Retries that may be sent at once after an idle period.
RETRY_BURST: typing.Final = 10.0
# Tokens that hedges may generate at once after an idle period.
HEDGE_BURST_TOKENS: typing.Final = 512.0
BREAKER_FAILURES: typing.Final = 5
BREAKER_OPEN_SECONDS: typing.Final = 1.0
BREAKER_MAX_OPEN_SECONDS: typing.Final = 8.0
# A probe without an outcome no longer blocks another one after this time.
PROBE_TIMEOUT_SECONDS: typing.Final = 5.0
SHED_START_UTILIZATION: typing.Final = 0.5
_PRIORITY_COUNT: typing.Final = 10


class Budget:
    """Limit retries by requests and hedges by generated tokens.

    Only first attempts add to the budget: retries must not allow more retries.
    """

    def __init__(
        self,
        retry_burst: float = RETRY_BURST,
        hedge_burst_tokens: float = HEDGE_BURST_TOKENS,
    ) -> None:
        """Start with the largest number of retries and hedged tokens."""
        self._retry_burst = retry_burst
        self._hedge_burst_tokens = hedge_burst_tokens
        self._available_retries = retry_burst
        self._available_tokens = hedge_burst_tokens

    def deposit_request(self) -> None:
        """Count one first attempt."""
        self._available_retries = min(
            self._retry_burst, self._available_retries + RETRY_RATIO
        )

    def deposit_tokens(self, tokens: float) -> None:
        """Count tokens that first attempts produced."""
        self._available_tokens = min(
            self._hedge_burst_tokens,
            self._available_tokens + HEDGE_RATIO * tokens,
        )

    def withdraw_retry(self) -> bool:
        """Withdraw one retry; return False when the budget is exhausted."""
        if self._available_retries < 1.0:
            return False
        self._available_retries -= 1.0
        return True

    def withdraw_hedge(self, tokens: float) -> bool:
        """Withdraw one hedge that generates this many tokens twice.

        Return False when the budget is exhausted.
        """
        if self._available_retries < 1.0 or self._available_tokens < tokens:
            return False
        self._available_retries -= 1.0
        self._available_tokens -= tokens
        return True


def should_shed(priority: int, utilization: float) -> bool:
    """Return whether work of a priority (0 to 9) is shed.

    Utilization is the filled fraction of the queue. Below one half nothing
    is shed; the highest priority is shed only when the queue is full.
    """
    if utilization < SHED_START_UTILIZATION:
        return False
    excess_fraction = (utilization - SHED_START_UTILIZATION) / (
        1 - SHED_START_UTILIZATION
    )
    return priority < excess_fraction * _PRIORITY_COUNT


class BreakerState(enum.Enum):
    """Enumerate the states of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


@dataclasses.dataclass
class Breaker:
    """Stop sending to an endpoint after several failures in a row.

    An open breaker allows a probe after a time, and one success closes it, so
    that it does not stay open after the fault has ended.
    """

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    open_seconds: float = BREAKER_OPEN_SECONDS
    blocked_until: float = 0.0

    def allows(self, now: float) -> bool:
        """Return whether work may be sent."""
        return self.state is BreakerState.CLOSED or now >= self.blocked_until

    def record_send(self, now: float) -> None:
        """Record that work is sent; an open breaker allows one probe."""
        if self.state is not BreakerState.CLOSED:
            self.state = BreakerState.PROBING
            self.blocked_until = now + PROBE_TIMEOUT_SECONDS

    def record_success(self) -> None:
        """Close the breaker."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.open_seconds = BREAKER_OPEN_SECONDS

    def record_failure(self, now: float, rng: random.Random) -> None:
        """Record a failure; open the breaker after several in a row."""
        self.failures += 1
        if self.state is BreakerState.OPEN:
            # A request that was sent before the breaker opened.
            return
        if self.state is BreakerState.PROBING:
            self.open_seconds = min(
                BREAKER_MAX_OPEN_SECONDS, 2 * self.open_seconds
            )
        elif self.failures < BREAKER_FAILURES:
            return
        self.state = BreakerState.OPEN
        # Jitter prevents the instances from probing at the same time.
        self.blocked_until = now + self.open_seconds * (
            0.75 + 0.5 * rng.random()
        )
