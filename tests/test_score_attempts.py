"""Guard the retries and timeouts of scoring calls."""

import random

import pytest

from hibiscussaddle.scoring import attempts


def test_missing_responses_back_off_and_failures_do_not() -> None:
    """Fails when an unavailable service is retried without backoff.

    Failure responses are retried immediately: some calls fail every time, and
    their group waits until the item is abandoned.
    """
    rng = random.Random(1)
    state = attempts.Attempts()
    state.record_failures(1)
    assert state.backoff_seconds(rng) == 0.0
    delays = []
    for _ in range(8):
        state.record_missing_response()
        delays.append(state.backoff_seconds(rng))
    assert delays[0] < 0.07
    assert delays == sorted(delays[:5]) + delays[5:]
    assert max(delays) <= 1.25 * attempts.MAX_BACKOFF_SECONDS
    state.record_failures(1)
    assert state.backoff_seconds(rng) == 0.0
    assert state.failures == 2


@pytest.mark.parametrize(
    ("seconds_left", "timeout"),
    [(5.0, 1.5), (0.9, 0.9), (0.1, 1.5), (-3.0, 1.5), (float("inf"), 1.5)],
)
def test_call_times_out_when_its_group_is_due(
    seconds_left: float, timeout: float
) -> None:
    """Fails when a call outlasts its group, or a late group gets no time."""
    assert (
        attempts.call_timeout(seconds_left, latency_target=0.2, timeout=1.5)
        == timeout
    )
