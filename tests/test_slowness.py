"""Property tests of the ejection of slow endpoints."""

import hypothesis
from hypothesis import strategies as st

from hibiscussaddle.policy import slowness

_EVENTS = st.lists(
    st.tuples(
        st.integers(0, 11),
        st.floats(0.001, 1.0),
        st.floats(0.0, 2.0),
        st.booleans(),
    ),
    max_size=150,
)


@hypothesis.given(_EVENTS, st.integers(1, 4))
def test_at_most_a_third_of_a_zone_is_ejected(
    events: list[tuple[int, float, float, bool]], zones: int
) -> None:
    """Guard against ejecting so many endpoints that capacity is lost."""
    members = {f"e{n}": f"z{n % zones}" for n in range(12)}
    detector = slowness.Detector()
    detector.set_endpoints(members)
    now = 0.0
    for number, seconds, pause, is_token_interval in events:
        now += pause
        key = f"e{number}"
        if is_token_interval:
            detector.observe_token_interval(key, seconds, now)
        else:
            detector.observe_first_token(key, seconds, now)
        for zone in set(members.values()):
            group = [key for key in members if members[key] == zone]
            ejected = detector.ejected_ids() & set(group)
            assert len(ejected) <= len(group) / 3
        for key in members:
            assert 0.0 <= detector.weight(key, now) <= 1.0


@hypothesis.given(st.integers(3, 24), st.floats(3.5, 50), st.integers(0, 2))
def test_slow_endpoint_is_ejected_and_returns(
    count: int, factor: float, relapses: int
) -> None:
    """Guard against an undetected slow endpoint and a permanent ejection."""
    members = {f"e{n}": "z" for n in range(count)}
    detector = slowness.Detector()
    detector.set_endpoints(members)
    now = 0.0
    for _ in range(3):
        for key in members:
            detector.observe_token_interval(key, 0.002, now)
    for _ in range(1 + relapses):
        for _ in range(slowness.WINDOW_SIZE):
            now += 0.1
            detector.observe_token_interval("e0", 0.002 * factor, now)
        assert detector.weight("e0", now) == 0.0
        assert detector.ejected_ids() == {"e0"}
        now += slowness.MAX_EJECTION_SECONDS + 0.1
        assert detector.weight("e0", now) == slowness.RAMP_START_FRACTION
    last = 0.0
    while now < 1000 and last < 1.0:
        weight = detector.weight("e0", now)
        assert weight >= last
        last = weight
        detector.observe_token_interval("e0", 0.002, now)
        now += 0.5
    assert last == 1.0
    assert detector.state("e0") is slowness.State.NORMAL


@hypothesis.given(
    st.integers(3, 20), st.lists(st.floats(0.0015, 0.004), min_size=30)
)
def test_ordinary_variation_ejects_no_endpoint(
    count: int, values: list[float]
) -> None:
    """Guard against an ejection for a variation below the factor of three."""
    detector = slowness.Detector()
    detector.set_endpoints({f"e{n}": "z" for n in range(count)})
    for turn, value in enumerate(values):
        detector.observe_token_interval(f"e{turn % count}", value, turn * 0.01)
    assert not detector.ejected_ids()
