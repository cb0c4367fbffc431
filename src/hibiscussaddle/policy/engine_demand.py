"""Decide how much of the engines each model gets, from its steps' demand."""

import collections
from collections import abc
import dataclasses
import itertools
import statistics
import typing

# Time over which steps count.
_WINDOW_SECONDS: typing.Final = 40.0
# Engine time of a prompt token relative to an output token at full slots.
_PROMPT_TOKEN_COST: typing.Final = 1 / 30
# Steps that arrive together say nothing about their rate. The interval is at
# least this fraction of the mean one, for trainers that ask for steps ahead.
_MIN_SPAN_SECONDS: typing.Final = 0.5
_MIN_INTERVAL_FRACTION: typing.Final = 0.5
# A published demand is replaced when it is wrong by more than this fraction,
# since each publication is a write of the store. The sizes of steps vary by
# about a tenth.
_PUBLISHED_CHANGE_FRACTION: typing.Final = 0.25
_PUBLISH_INTERVAL_SECONDS: typing.Final = 3.0
# The division changes when it is wrong by this many engines for this long,
# about a step. Each engine that changes its model loads weights once more and
# reads prompts again.
_MIN_MOVED_ENGINES: typing.Final = 1.0
_PENDING_SECONDS: typing.Final = 4.0
# Largest demand, in tokens per second, which fits into a member's key.
_MAX_DEMAND: typing.Final = 10**12


@dataclasses.dataclass(frozen=True)
class ItemTokens:
    """Hold the expected tokens of one item; items of a group share prompts."""

    group: str
    prompt: float
    output: float


def step_demand(items: abc.Iterable[ItemTokens]) -> float:
    """Return the engine time of a step, in output tokens."""
    prompts: dict[str, float] = {}
    total = 0.0
    for item in items:
        total += item.output
        prompts[item.group] = max(prompts.get(item.group, 0.0), item.prompt)
    return total + _PROMPT_TOKEN_COST * sum(prompts.values())


class DemandTracker:
    """Track the demand of the steps of each model and route."""

    def __init__(self) -> None:
        """Start without steps."""
        self._steps: dict[
            tuple[str, str], collections.deque[tuple[float, float]]
        ] = collections.defaultdict(collections.deque)

    def record_step(
        self, model: str, route: str, demand: float, now: float
    ) -> int | None:
        """Record a step; return the demand per second, None if unknown."""
        steps = self._steps[model, route]
        steps.append((now, demand))
        while steps[0][0] < now - _WINDOW_SECONDS:
            steps.popleft()
        span = now - steps[0][0]
        if span < _MIN_SPAN_SECONDS:
            return None
        # The median, since a trainer that falls behind by some seconds has one
        # long interval, which must not lower its demand.
        interval = max(
            statistics.median(
                later[0] - earlier[0]
                for earlier, later in itertools.pairwise(steps)
            ),
            _MIN_INTERVAL_FRACTION * span / (len(steps) - 1),
        )
        mean = statistics.fmean(step for _, step in steps)
        return max(1, round(min(mean / interval, _MAX_DEMAND)))


def must_publish(
    published: int | None, demand: int, seconds_since_last: float
) -> bool:
    """Return whether a demand differs enough from the published one."""
    if seconds_since_last < _PUBLISH_INTERVAL_SECONDS:
        return False
    change = abs(demand - (published or 0))
    return change > _PUBLISHED_CHANGE_FRACTION * (published or 0)


class Division:
    """Hold the weights by which models share engines, with hysteresis."""

    def __init__(self) -> None:
        """Start without weights; the first update decides."""
        self.weights: dict[str, int] = {}
        self._pending_since: float | None = None

    def update(
        self,
        models: abc.Collection[str],
        demands: abc.Mapping[str, int],
        engine_count: int,
        now: float,
    ) -> bool:
        """Update the weights; return whether they changed.

        A model without a known demand gets the mean of the others; with none
        known, all are equal.
        """
        wanted = _complete(models, demands)
        if self.weights.keys() == wanted.keys():
            moved = _largest_difference(self.weights, wanted)
            if moved * engine_count < _MIN_MOVED_ENGINES:
                self._pending_since = None
                return False
            if self._pending_since is None:
                self._pending_since = now
            if now - self._pending_since < _PENDING_SECONDS:
                return False
        self._pending_since = None
        self.weights = wanted
        return True


def _complete(
    models: abc.Collection[str], demands: abc.Mapping[str, int]
) -> dict[str, int]:
    known = [demands[model] for model in models if model in demands]
    if not sum(known):
        return dict.fromkeys(models, 1)
    mean = max(1, sum(known) // len(known))
    return {model: demands.get(model, mean) for model in models}


def _largest_difference(
    weights: abc.Mapping[str, int], wanted: abc.Mapping[str, int]
) -> float:
    """Return the largest change of a model's fraction of the engines."""
    total, wanted_total = sum(weights.values()), sum(wanted.values())
    return max(
        abs(wanted[model] / wanted_total - weights[model] / total)
        for model in weights
    )
