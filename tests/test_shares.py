"""Property tests of the shares of customers and instances."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscussaddle.policy import shares

_NAMES = st.sampled_from([f"c{n}" for n in range(6)])
_GUARANTEES = st.dictionaries(_NAMES, st.floats(0, 1))
_SLOTS = st.dictionaries(_NAMES, st.floats(0, 500))
_DEMANDS = st.dictionaries(
    st.sampled_from([f"i{n}" for n in range(8)]),
    _SLOTS.map(lambda slots: shares.Demand(0.0, slots)),
    min_size=1,
)


@hypothesis.given(st.floats(0, 400), _GUARANTEES, _SLOTS)
def test_allocation_keeps_guarantees_and_lends_unused_slots(
    capacity: float, guarantees: dict[str, float], demands: dict[str, float]
) -> None:
    """Guard against overcommitment, broken guarantees and idle capacity."""
    allocated = shares.allocate(capacity, guarantees, demands)
    total = sum(allocated.values())
    assert total <= capacity + 1e-6
    assert total == pytest.approx(
        min(capacity, sum(demands.values())), abs=1e-6
    )
    guaranteed_sum = sum(guarantees.get(name, 0.0) for name in demands)
    scale = capacity / max(1.0, guaranteed_sum)
    for name, slots in allocated.items():
        guaranteed = min(demands[name], guarantees.get(name, 0.0) * scale)
        assert guaranteed - 1e-6 <= slots <= demands[name] + 1e-6


@hypothesis.given(st.floats(0, 400), _GUARANTEES, _DEMANDS, st.integers())
def test_shares_of_instances_agree_and_fit_the_capacity(
    capacity: float,
    guarantees: dict[str, float],
    demands: dict[str, shares.Demand],
    seed: int,
) -> None:
    """Guard against instances whose shares together exceed the capacity."""
    items = list(demands.items())
    random.Random(seed).shuffle(items)
    shuffled = dict(items)
    total = 0.0
    for name in demands:
        own = shares.own_share(capacity, guarantees, demands, name)
        shuffled_own = shares.own_share(capacity, guarantees, shuffled, name)
        assert own == shuffled_own
        total += sum(own.slots.values()) + own.spare_slots
    assert total <= capacity + 1e-6


@pytest.mark.parametrize("guarantee", [5e-324, 1e-310, 1e-300])
def test_tiny_guarantee_does_not_exceed_the_capacity(guarantee: float) -> None:
    """Fails when the division by a tiny sum of weights overflows."""
    guarantees = {"c0": 0.0, "c3": guarantee}
    assert shares.allocate(1.0, guarantees, {"c3": 2.0}) == {"c3": 1.0}


@hypothesis.given(st.floats(0, 400), _SLOTS, _GUARANTEES)
def test_water_fill_is_max_min_fair(
    capacity: float, demands: dict[str, float], weights: dict[str, float]
) -> None:
    """Guard against a larger allocation at the cost of a smaller one."""
    allocated = shares.water_fill(capacity, demands, weights)
    levels = {
        name: allocated[name] / weights[name]
        for name in allocated
        if weights.get(name, 0.0) > 1e-6
    }
    for name, level in levels.items():
        if allocated[name] < demands[name] - 1e-6:
            assert level >= max(levels.values()) * (1 - 1e-6) - 1e-6
