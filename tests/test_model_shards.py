"""Guard how engines are divided among models."""

import hypothesis
from hypothesis import strategies

from hibiscussaddle.policy import model_shards

MODELS = ("advice", "layout", "returns")


@hypothesis.given(
    strategies.sets(strategies.text(min_size=1, max_size=6), max_size=40),
    strategies.integers(1, 3),
)
def test_each_engine_has_one_model(engines: set[str], count: int) -> None:
    """Fails when an engine loads the versions of several models or none."""
    models = MODELS[:count]
    found = [
        model_shards.shard_engines(model, models, engines) for model in models
    ]
    if len(engines) >= count:
        assert sum(map(len, found)) == len(engines)
        assert frozenset().union(*found) == engines
        assert max(map(len, found)) - min(map(len, found)) <= 1
    elif engines:
        assert all(found)


def test_engine_that_goes_moves_few_others() -> None:
    """Fails when one lost engine makes half of the fleet load weights."""
    engines = [f"engine-{number}" for number in range(23)]
    before = {
        model: model_shards.shard_engines(model, MODELS, engines)
        for model in MODELS
    }
    for lost in engines:
        left = [engine for engine in engines if engine != lost]
        moved = sum(
            len(
                model_shards.shard_engines(model, MODELS, left) - before[model]
            )
            for model in MODELS
        )
        assert moved <= 2
