"""Report how many tokens the steps of each model ask for."""

from collections import abc
import time

from hibiscussaddle.batches import model
from hibiscussaddle import endpoints
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.policy import engine_demand


class StepDemand:
    """Track the steps that begin here while models share engines."""

    def __init__(
        self,
        directory: endpoints.Directory,
        publish: abc.Callable[[str, str, int], None],
    ) -> None:
        """Publish a model, a route and its output tokens per second."""
        self._directory = directory
        self._publish = publish
        self._tracker = engine_demand.DemandTracker()

    def record(self, batch: model.Batch) -> None:
        """Record a step that begins to run."""
        models = {m for ep in self._directory.all() for m in ep.models}
        if not batch.model or len(models) < 2:
            return
        demand = self._tracker.record_step(
            batch.model,
            batch.route,
            engine_demand.step_demand(map(to_tokens, batch.items)),
            time.monotonic(),
        )
        if demand is not None:
            self._publish(batch.model, batch.route, demand)


def to_tokens(item: model.Item) -> engine_demand.ItemTokens:
    """Return the tokens that an item is expected to need."""
    prompt = min(item.tokens, endpoint_wire.decode_prompt_tokens(item.headers))
    longest = float(item.tokens - prompt)
    output = longest
    if item.expected_output is not None and item.expected_output >= 0:
        output = min(longest, item.expected_output)
    return engine_demand.ItemTokens(item.group, prompt, output)
