"""Property tests of the queue."""

import hypothesis
from hypothesis import strategies as st

from hibiscussaddle.policy import queueing

_ENTRIES = st.lists(
    st.builds(
        queueing.Entry,
        customer=st.sampled_from(("a", "b")),
        work_class=st.sampled_from(queueing.WorkClass),
        priority=st.integers(0, 9),
        enqueued_at=st.floats(0, 30),
        start_by=st.floats(0, 60),
        expected_tokens=st.just(10.0),
    ),
    max_size=60,
)


@hypothesis.given(_ENTRIES, st.integers(1, 20))
def test_full_queue_sheds_the_lowest_priority(
    entries: list[queueing.Entry], bound: int
) -> None:
    """Guard against unbounded memory and shedding of higher priorities."""
    queue = queueing.Queue(bound)
    kept: list[queueing.Entry] = []
    for entry in entries:
        shed = queue.push(entry)
        kept.append(entry)
        if shed is not None:
            kept.remove(shed)
            assert all(shed.priority <= other.priority for other in kept)
        assert len(queue) == len(kept) <= bound
    started = []
    while heads := queue.heads():
        queue.start(heads[0], 60.0)
        started.append(heads[0])
    assert sorted(map(id, started)) == sorted(map(id, kept))
    ranks = [entry.rank for entry in started]
    assert ranks == sorted(ranks)
    assert queue.waiting_count("a", queueing.WorkClass.SHORT) == 0


def _entry(work_class: queueing.WorkClass, at: float) -> queueing.Entry:
    return queueing.Entry("a", work_class, 5, at, at + 1000, 10.0)


@hypothesis.given(st.sampled_from(queueing.WorkClass), st.floats(0.1, 1.0))
def test_ageing_prevents_starvation_of_every_class(
    work_class: queueing.WorkClass, pause: float
) -> None:
    """Guard against starvation by a continuous flow of short work."""
    queue = queueing.Queue()
    old = _entry(work_class, 0.0)
    queue.push(old)
    now = 0.0
    while now < 60:
        now += pause
        queue.push(_entry(queueing.WorkClass.SHORT, now))
        first = queue.heads()[0]
        queue.start(first, now)
        if first is old:
            break
    delay = queueing.CLASS_DELAY_SECONDS[work_class.value]
    assert now <= delay + 2 * pause


@hypothesis.given(st.floats(0.01, 100), st.integers(1, 50))
def test_expected_wait_falls_to_zero_with_an_empty_queue(
    interval: float, ahead: int
) -> None:
    """Guard against refusing all work forever after one bad estimate."""
    queue = queueing.Queue()
    short = queueing.WorkClass.SHORT
    for number in range(ahead):
        queue.push(_entry(short, 0.0))
        wait = queue.expected_wait_seconds("a", short)
        assert wait >= 0.0
        assert queue.waiting_count("a", short) == number + 1
    now = 0.0
    while heads := queue.heads():
        before = queue.expected_wait_seconds("a", short)
        now += interval
        queue.start(heads[0], now)
        assert (
            before == 0.0 or queue.expected_wait_seconds("a", short) <= before
        )
    assert queue.expected_wait_seconds("a", short) == 0.0


@hypothesis.given(st.lists(st.floats(1, 1000), min_size=1), st.floats(1, 2000))
def test_expected_length_is_within_observed_range(
    lengths: list[float], limit: float
) -> None:
    """Guard against expectations outside the observed and allowed range."""
    model = queueing.LengthModel()
    assert model.expected_tokens("a", "chat", limit) == limit
    for tokens in lengths:
        model.observe("a", "chat", tokens)
    expected = model.expected_tokens("a", "chat", limit)
    assert expected <= limit
    assert expected >= min(limit, min(lengths)) - 1e-6
    assert model.expected_tokens("b", "chat", limit) == limit
