"""Guard when a score is asked for again, and how long a call may take."""

import random

import pytest

from hibiscussaddle.scoring import attempts


def test_lost_attempts_back_off_and_failures_do_not() -> None:
    """Fails when a service that is away is asked without a pause.

    A failure that the service answered is repeated at once: some calls fail
    every time, and their group waits until the item is given up.
    """
    rng = random.Random(1)
    state = attempts.Attempts()
    state.record_failures(1)
    assert state.backoff_seconds(rng) == 0.0
    pauses = []
    for _ in range(8):
        state.record_no_response()
        pauses.append(state.backoff_seconds(rng))
    assert pauses[0] < 0.07
    assert pauses == sorted(pauses[:5]) + pauses[5:]
    assert max(pauses) <= 1.25 * attempts.MAX_BACKOFF_SECONDS
    state.record_failures(1)
    assert state.backoff_seconds(rng) == 0.0
    assert state.failures == 2


@pytest.mark.parametrize(
    ("left", "limit"),
    [(5.0, 1.5), (0.9, 0.9), (0.1, 1.5), (-3.0, 1.5), (float("inf"), 1.5)],
)
def test_call_ends_when_its_group_is_due(left: float, limit: float) -> None:
    """Fails when a call outlasts the group, or a late group gets no time."""
    assert attempts.call_timeout(left, target=0.2, timeout=1.5) == limit
