"""State of one instance that serving its callers needs."""

import itertools

from hibiscussaddle import metrics
from hibiscussaddle.policy import retries
from hibiscussaddle.policy import successor


class CallerState:
    """Hold the state that the requests of callers share."""

    def __init__(self) -> None:
        """Create the state of an instance without requests."""
        # Replaced by the dispatcher's budget when the instance is assembled.
        self.retry_budget = retries.Budget()
        self.metrics = metrics.Metrics()
        # Ledgers that stopped instances handed over to this one.
        self.successor = successor.Successor()
        # Id of the successor of each stopped instance, by the id and
        # incarnation of the stopped one.
        self.successor_ids: dict[tuple[str, int], str] = {}
        self.attempt_numbers = itertools.count(1)
