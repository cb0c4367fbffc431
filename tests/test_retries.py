"""Properties of budgets, shedding and circuit breakers."""

import random

import hypothesis
from hypothesis import strategies as st

from hibiscussaddle.policy import retries


@hypothesis.given(st.lists(st.sampled_from(("first", "retry", "hedge"))))
def test_amplification_is_bounded(events: list[str]) -> None:
    """Guard against retry storms and against hedges beyond 5%."""
    budget = retries.Budget()
    firsts = extra = 0
    tokens = hedged = 0.0
    for event in events:
        if event == "first":
            firsts += 1
            tokens += 100
            budget.deposit_request()
            budget.deposit_tokens(100)
        elif event == "retry":
            extra += budget.withdraw_retry()
        elif budget.withdraw_hedge(100):
            extra += 1
            hedged += 100
        assert extra <= retries.RETRY_BURST + 0.1 * firsts + 1e-6
        limit = retries.HEDGE_BURST_TOKENS + 0.05 * tokens
        assert hedged <= limit + 1e-6


@hypothesis.given(st.integers(0, 9), st.floats(0, 1), st.floats(0, 1))
def test_shedding_is_ordered(priority: int, one: float, two: float) -> None:
    """Guard against shedding important work before unimportant work."""
    low, high = sorted((one, two))
    if retries.should_shed(priority, low):
        assert retries.should_shed(priority, high)
        assert all(retries.should_shed(less, low) for less in range(priority))
    assert not retries.should_shed(priority, 0.49)


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 3), st.sampled_from("sfx"))),
    st.integers(),
)
def test_breaker_recovers_from_every_history(
    events: list[tuple[float, str]], seed: int
) -> None:
    """Guard against a breaker that stays open after the fault ended."""
    rng = random.Random(seed)
    breaker, now = retries.Breaker(), 0.0
    for pause, event in events:
        now += pause
        if not breaker.allows(now):
            continue
        breaker.record_send(now)
        if event == "s":
            breaker.record_success()
        elif event == "f":
            breaker.record_failure(now, rng)
    # The fault has ended: within the longest open time one probe passes.
    now += 1.25 * retries.BREAKER_MAX_OPEN_SECONDS
    assert breaker.allows(now)
    breaker.record_send(now)
    breaker.record_success()
    assert breaker.state is retries.BreakerState.CLOSED
    assert breaker.allows(now)


def test_breaker_opens_and_sends_one_probe() -> None:
    """Guard against sending everything to an endpoint that refuses."""
    rng = random.Random(1)
    breaker, sent = retries.Breaker(), 0
    for tick in range(1000):
        now = tick * 0.01
        if breaker.allows(now):
            breaker.record_send(now)
            breaker.record_failure(now, rng)
            sent += 1
    # 5 failures open it; then open times of 1, 2, 4 and 8 s follow.
    assert sent <= retries.BREAKER_FAILURES + 5
