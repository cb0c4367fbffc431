"""Test how engines are divided into model shards."""

import hypothesis
from hypothesis import strategies

from hibiscussaddle.policy import model_shards

MODELS = ("advice", "layout", "returns")
EVEN = dict.fromkeys(MODELS, 1)


@hypothesis.given(
    strategies.sets(strategies.text(min_size=1, max_size=6), max_size=40),
    strategies.integers(1, 3),
)
def test_each_engine_is_in_one_shard(engines: set[str], count: int) -> None:
    """Guard against engines that load versions of several models or none."""
    models = dict.fromkeys(MODELS[:count], 1)
    shards = [
        model_shards.shard_engines(model, models, engines) for model in models
    ]
    if len(engines) >= count:
        assert sum(map(len, shards)) == len(engines)
        assert frozenset().union(*shards) == engines
        assert max(map(len, shards)) - min(map(len, shards)) <= 1
    elif engines:
        assert all(shards)


def test_removed_engine_moves_few_others() -> None:
    """Guard against a removed engine making half the fleet load weights."""
    engines = [f"engine-{number}" for number in range(23)]
    before = {
        model: model_shards.shard_engines(model, EVEN, engines)
        for model in MODELS
    }
    for removed in engines:
        remaining = [engine for engine in engines if engine != removed]
        moved = sum(
            len(
                model_shards.shard_engines(model, EVEN, remaining)
                - before[model]
            )
            for model in MODELS
        )
        assert moved <= 2
