"""Guard the spacing of requests at a rate limit."""

import hypothesis
from hypothesis import strategies as st

from hibiscussaddle.rate_limits import schedule

RATES = st.floats(0.2, 5000.0)


@hypothesis.given(
    rate=RATES,
    gaps=st.lists(st.floats(0.0, 2.0), max_size=80),
    max_delay=st.floats(0.0, 0.3),
    phase=st.floats(0.0, 1.0),
)
def test_no_window_exceeds_the_rate_and_its_burst(
    rate: float, gaps: list[float], max_delay: float, phase: float
) -> None:
    """Fails when a schedule grants more than half a second's burst."""
    spaced = schedule.Schedule(rate, 0.0, phase)
    now = 0.0
    granted = []
    for gap in gaps:
        now += gap
        decision = spaced.decide(now, max_delay)
        assert 0.0 <= decision.delay <= max_delay
        if decision.is_granted:
            granted.append(now + decision.delay)
        else:
            assert 0.0 < decision.free_after <= decision.retry_after + 1e-9
    for start in granted:
        count = sum(start <= at < start + 4.0 for at in granted)
        assert count <= rate * (4.0 + 0.5) + 1.001


@hypothesis.given(old=RATES, new=RATES, requests=st.integers(0, 20))
def test_changed_rate_delays_the_next_request_by_one_interval(
    old: float, new: float, requests: int
) -> None:
    """Fails when a request waits for the interval of an earlier rate."""
    spaced = schedule.Schedule(old, 0.0)
    for _ in range(requests):
        spaced.decide(0.0, 0.0)
    spaced.set_rate(new, 0.0)
    assert spaced.decide(1 / new + 1e-6, 0.0).is_granted


def test_effective_rate_has_bounds() -> None:
    """Fails when a limit of 0 blocks for ever or a huge one is kept."""
    assert schedule.effective_rate(None) is None
    assert schedule.effective_rate(0.0) == schedule.MIN_RATE
    assert schedule.effective_rate(3.0) == 3.0
    assert schedule.effective_rate(1e30) is None
