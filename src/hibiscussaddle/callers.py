"""State of one instance that the answers to callers need."""

import itertools

from hibiscussaddle import metrics
from hibiscussaddle.policy import retries
from hibiscussaddle.policy import successor


class CallerState:
    """Hold what the answers to callers share."""

    def __init__(self) -> None:
        """Start without requests."""
        # The dispatcher's own, once an instance is wired together.
        self.budget = retries.Budget()
        self.metrics = metrics.Metrics()
        # Ledgers of instances that stopped and handed over to this one.
        self.successor = successor.Successor()
        # Successors of stopped processes, by instance and incarnation.
        self.heirs: dict[tuple[str, int], str] = {}
        self.attempts = itertools.count(1)
