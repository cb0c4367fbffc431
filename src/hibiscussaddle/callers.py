"""State of one instance that the answers to callers need."""

import itertools
import typing

from hibiscussaddle import metrics
from hibiscussaddle.policy import successor

RETRY_RATIO: typing.Final = 0.1
# Retries that may follow a quiet time at once.
RETRY_BURST: typing.Final = 10.0


class RetryBudget:
    """Bound retries to a part of the first attempts."""

    def __init__(self) -> None:
        """Start with a full burst."""
        self._tokens = RETRY_BURST

    def earn_request(self) -> None:
        """Count one first attempt."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_RATIO)

    def take_retry(self) -> bool:
        """Take one retry; False when the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class CallerState:
    """Hold what the answers to callers share."""

    def __init__(self) -> None:
        """Start without requests."""
        self.budget = RetryBudget()
        self.metrics = metrics.Metrics()
        # Ledgers of instances that stopped and handed over to this one.
        self.successor = successor.Successor()
        # Successors of stopped processes, by instance and incarnation.
        self.heirs: dict[tuple[str, int], str] = {}
        self.attempts = itertools.count(1)
