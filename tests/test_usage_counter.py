"""Test in which window a request counts, and how totals are merged."""

from hibiscussaddle.usage import counter as counter_lib
from hibiscussaddle.usage import totals


def test_request_counts_once_in_the_window_of_its_first_begin() -> None:
    """Fails when a hedge or a further attempt counts again."""
    counter = counter_lib.UsageCounter(5.0)
    req = counter.track("desk")
    req.record_send(9.9)
    req.record_send(10.1)
    req.close()
    assert counter.counts() == {1: {"desk": 1}}


def test_attempt_that_did_not_run_does_not_count() -> None:
    """Fails when a refused attempt decides the window, or counts at all."""
    counter = counter_lib.UsageCounter(5.0)
    req = counter.track("desk")
    req.record_send(9.9)
    req.record_not_run(9.9)
    assert counter.counts() == {1: {}}
    req.record_send(10.1)
    req.close()
    assert counter.counts() == {1: {}, 2: {"desk": 1}}


def test_window_is_final_once_its_requests_are() -> None:
    """Fails when a window is closed while a request in it may not have run."""
    counter = counter_lib.UsageCounter(5.0)
    req = counter.track("desk")
    assert counter.final_through(10.2) == 1
    req.record_send(9.9)
    assert counter.final_through(10.2) == 0
    req.close()
    assert counter.final_through(10.2) == 1
    assert counter.final_through(9.99) == 0


def test_reported_windows_are_forgotten() -> None:
    """Fails when counts pile up, or return after their report."""
    counter = counter_lib.UsageCounter(5.0)
    counter.track("desk").record_send(1.0)
    counter.forget(0)
    counter.track("desk").record_send(2.0)
    assert counter.counts() == {}


def test_totals_that_arrive_late_replace_no_newer_ones() -> None:
    """Fails when a repeated or reordered message changes a sum."""
    table = totals.Table()
    newer = totals.Totals("a", 1, 2, 0, {0: {"desk": 2}})
    table.merge(newer)
    table.merge(newer)
    table.merge(totals.Totals("a", 1, 1, 0, {0: {"desk": 1}}))
    # A later process of the same instance counts on its own.
    table.merge(totals.Totals("a", 5, 1, 0, {0: {"desk": 1, "shop": 4}}))
    assert table.sum(0) == {"desk": 3, "shop": 4}


def test_totals_of_a_stopped_process_stay_until_they_are_reported() -> None:
    """Fails when the counts of an instance that stopped are dropped."""
    table = totals.Table()
    end = totals.ALL_WINDOWS
    table.merge(totals.Totals("a", 1, 1, end, {3: {"desk": 1}}))
    table.merge(totals.Totals("b", 1, 1, 2, {}))
    table.retain({("b", 1)})
    table.record_reported(2)
    assert table.sum(3) == {"desk": 1}
    table.record_reported(3)
    assert [t.instance for t in table.all()] == ["b"]
