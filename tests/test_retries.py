"""Property tests of retry budgets, shedding and circuit breakers."""

import random

import hypothesis
from hypothesis import strategies as st

from hibiscussaddle.policy import retries


@hypothesis.given(st.lists(st.sampled_from(("first", "retry", "hedge"))))
def test_retries_and_hedges_stay_within_the_budget(events: list[str]) -> None:
    """Guard against retry storms and against hedges of more than 5%."""
    budget = retries.Budget()
    first_attempts = extra_attempts = 0
    first_tokens = hedged_tokens = 0.0
    for event in events:
        if event == "first":
            first_attempts += 1
            first_tokens += 100
            budget.deposit_request()
            budget.deposit_tokens(100)
        elif event == "retry":
            extra_attempts += budget.withdraw_retry()
        elif budget.withdraw_hedge(100):
            extra_attempts += 1
            hedged_tokens += 100
        assert (
            extra_attempts <= retries.RETRY_BURST + 0.1 * first_attempts + 1e-6
        )
        limit = retries.HEDGE_BURST_TOKENS + 0.05 * first_tokens
        assert hedged_tokens <= limit + 1e-6


@hypothesis.given(st.integers(0, 9), st.floats(0, 1), st.floats(0, 1))
def test_lower_priorities_are_shed_first(
    priority: int, first: float, second: float
) -> None:
    """Guard against shedding a higher priority before a lower one."""
    low, high = sorted((first, second))
    if retries.should_shed(priority, low):
        assert retries.should_shed(priority, high)
        assert all(
            retries.should_shed(lower, low) for lower in range(priority)
        )
    assert not retries.should_shed(priority, 0.49)


@hypothesis.given(
    # s is a success, f a failure and x a request without an outcome.
    st.lists(st.tuples(st.floats(0, 3), st.sampled_from("sfx"))),
    st.integers(),
)
def test_breaker_closes_after_the_fault_has_ended(
    events: list[tuple[float, str]], seed: int
) -> None:
    """Guard against a breaker that stays open after the fault has ended."""
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
    # The fault has ended: one probe is sent within the longest open time.
    now += 1.25 * retries.BREAKER_MAX_OPEN_SECONDS
    assert breaker.allows(now)
    breaker.record_send(now)
    breaker.record_success()
    assert breaker.state is retries.BreakerState.CLOSED
    assert breaker.allows(now)


def test_open_breaker_sends_single_probes() -> None:
    """Guard against sending all requests to an endpoint that fails them."""
    rng = random.Random(1)
    breaker, sent = retries.Breaker(), 0
    for tick in range(1000):
        now = tick * 0.01
        if breaker.allows(now):
            breaker.record_send(now)
            breaker.record_failure(now, rng)
            sent += 1
    # 5 failures open the breaker; open times of 1, 2, 4 and 8 s follow.
    assert sent <= retries.BREAKER_FAILURES + 5
