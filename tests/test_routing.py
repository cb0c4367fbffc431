"""Property tests of the choice of endpoint."""

import collections
import random

import hypothesis
from hypothesis import strategies as st

from hibiscussaddle.policy import routing

_CANDIDATES = st.lists(
    st.builds(
        routing.Candidate,
        id=st.uuids().map(str),
        zone=st.sampled_from(("zone-a", "zone-b")),
        slots=st.integers(1, 8),
        outstanding=st.floats(0, 40),
        token_seconds=st.none() | st.floats(0.001, 1.0),
        weight=st.sampled_from((0.0, 0.3, 1.0)),
        is_marked=st.booleans(),
        version=st.none() | st.integers(0, 5),
        has_prefix=st.booleans(),
    ),
    max_size=8,
    unique_by=lambda item: item.id,
)


def _is_at_least(version: int | None, min_version: int) -> bool:
    return version is not None and version >= min_version


@hypothesis.given(
    _CANDIDATES,
    st.none() | st.integers(0, 5),
    st.none() | st.floats(0.1, 1.0),
    st.integers(),
)
def test_chosen_endpoint_meets_the_requirements(
    candidates: list[routing.Candidate],
    min_version: int | None,
    max_load_per_slot: float | None,
    seed: int,
) -> None:
    """Guard against work on marked, stale, excluded or slow endpoints."""
    excluded_ids = frozenset(item.id for item in candidates[:1])
    requirements = routing.Requirements(
        "zone-a",
        64,
        min_version=min_version,
        max_load_per_slot=max_load_per_slot,
        excluded_ids=excluded_ids,
    )
    chosen = routing.choose(candidates, requirements, random.Random(seed))
    allowed = [
        item
        for item in candidates
        if not item.is_marked
        and item.id not in excluded_ids
        and (min_version is None or _is_at_least(item.version, min_version))
    ]
    if chosen is None:
        usable = [
            item
            for item in allowed
            if item.weight == 1.0 and routing.has_room(item, requirements)
        ]
        assert not usable
        return
    assert chosen in allowed
    assert routing.has_room(chosen, requirements)
    if chosen.weight == 0.0:
        assert all(item.weight == 0.0 for item in allowed)


@hypothesis.given(st.integers(6, 48), st.integers(2, 8), st.integers())
def test_instances_do_not_all_choose_one_idle_endpoint(
    count: int, instances: int, seed: int
) -> None:
    """Guard against herding: all instances sending to the one idle engine."""
    rng = random.Random(seed)
    trackers = [routing.LoadTracker() for _ in range(instances)]
    for tracker in trackers:
        for number in range(count):
            running = 0 if number == 0 else 8
            tracker.apply_report(
                f"e{number}", routing.LoadReport(10.0, running, 0, 8)
            )
    sent: collections.Counter[str] = collections.Counter()
    requirements = routing.Requirements("z", 64)
    rounds = 40
    for turn in range(rounds * instances):
        tracker = trackers[turn % instances]
        candidates = [
            routing.Candidate(
                f"e{n}", "z", 8, tracker.outstanding(f"e{n}", 10.5)
            )
            for n in range(count)
        ]
        chosen = routing.choose(candidates, requirements, rng)
        assert chosen is not None
        tracker.start(chosen.id, 10.5)
        sent[chosen.id] += 1
    # Two random choices include an endpoint with a probability of 2 / count;
    # the tolerance is five standard deviations.
    total = rounds * instances
    mean = total * 2 / count
    assert sent["e0"] <= mean + 5 * mean**0.5 + 1


@hypothesis.given(
    st.lists(st.tuples(st.booleans(), st.floats(0.01, 0.5)), max_size=60),
    st.floats(0, 3),
    st.integers(0, 5),
)
def test_estimate_adds_requests_sent_after_the_report(
    steps: list[tuple[bool, float]], report_age: float, others: int
) -> None:
    """Guard against counting own requests twice or missing newer ones."""
    tracker, now, own = routing.LoadTracker(), 100.0, 0
    history = [(0.0, 0)]
    for starts, pause in steps:
        now += pause
        if starts:
            tracker.start("e", now)
            own += 1
        elif own:
            tracker.finish("e", now)
            own -= 1
        history.append((now, own))
    taken_at = now - report_age
    own_count = [count for at, count in history if at <= taken_at][-1]
    report = routing.LoadReport(taken_at, own_count + others, 0, 8)
    tracker.apply_report("e", report)
    assert tracker.outstanding("e", now) == own + others
    # A fresher fact of a peer takes precedence over the report.
    tracker.apply_peer_load("i2", routing.PeerLoad(now + 0.1, {"e": 3}))
    assert tracker.outstanding("e", now + 0.1) == own + 3


@hypothesis.given(
    st.lists(st.integers(0, 12), max_size=200), st.randoms(), st.integers(1, 6)
)
def test_prefix_mirror_has_no_evicted_prefix(
    touched: list[int], rng: random.Random, capacity: int
) -> None:
    """Guard against affinity to a prefix evicted while events were lost."""
    engine_cache: dict[str, None] = {}
    mirror = routing.PrefixMirror(capacity)
    last_applied = 0
    for number, value in enumerate(touched, 1):
        prefix = f"p{value}"
        engine_cache.pop(prefix, None)
        engine_cache[prefix] = None
        if len(engine_cache) > capacity:
            engine_cache.pop(next(iter(engine_cache)))
        if rng.random() < 0.8:
            mirror.apply_events("e", 1, [(number, prefix)])
            last_applied = number
    if last_applied == len(touched):
        known = {v for v in range(13) if mirror.has("e", f"p{v}")}
        assert known <= {v for v in range(13) if f"p{v}" in engine_cache}
    mirror.apply_events("e", 2, [])
    assert not any(mirror.has("e", f"p{v}") for v in range(13))
