"""Test which reports are fixed and sent, under failures of every step."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from hibiscussaddle.platform import control_wire
from hibiscussaddle.usage import counter
from hibiscussaddle.usage import reports as reports_lib
from hibiscussaddle.usage import totals as totals_lib

CFG = reports_lib.ReportConfig(window_seconds=5.0, late_seconds=10.0)
A, B = ("a", 0), ("b", 0)
SOURCES = frozenset({A, B})
Outcome = control_wire.Outcome
Kind = reports_lib.StepKind
Write = reports_lib.WriteOutcome


class Holder:
    """Hold one state machine with its table."""

    def __init__(self, cfg: reports_lib.ReportConfig = CFG) -> None:
        """Start without totals."""
        self.table = totals_lib.Table()
        self.reports = reports_lib.Reports(cfg, self.table, random.Random(1))
        self.sequence = 0

    def put(
        self,
        source: totals_lib.Source,
        final_through: int,
        windows: dict[int, dict[str, int]] | None = None,
    ) -> None:
        """Receive totals of a process."""
        self.sequence += 1
        self.table.merge(
            totals_lib.Totals(
                *source, self.sequence, final_through, windows or {}
            )
        )

    def step(self, now: float, kind: reports_lib.StepKind) -> reports_lib.Step:
        """Return the next step, which must be of a kind."""
        found = self.reports.next_step(now, SOURCES)
        assert found is not None and found.kind is kind, found
        return found

    def idle(self, now: float) -> bool:
        """Return whether no step is due."""
        return self.reports.next_step(now, SOURCES) is None

    def fix(self, now: float, revision: int = 1) -> reports_lib.Step:
        """Fix the next window; return the step that sends its report."""
        fixing = self.step(now, Kind.FIX)
        self.reports.on_fixed(fixing, Write.OK, revision, now)
        return self.step(now, Kind.SEND)


def _loaded() -> Holder:
    holder = Holder()
    holder.step(0.0, Kind.LOAD)
    holder.reports.on_loaded(None, 0, 0, 0.0)
    return holder


def _decoded(step: reports_lib.Step) -> tuple[int, dict[str, int]]:
    return control_wire.decode_usage(step.body)


def test_window_is_reported_when_all_totals_are_final() -> None:
    """Fails when a report leaves out an instance that answers in time."""
    holder = _loaded()
    holder.put(A, 0, {0: {"desk": 1}})
    assert holder.idle(5.5)
    holder.put(B, 0, {0: {"desk": 2}})
    assert _decoded(holder.fix(5.6)) == (0, {"desk": 3})


def test_empty_window_is_reported() -> None:
    """Fails when a window without requests gets no report."""
    holder = _loaded()
    holder.put(A, 0)
    holder.put(B, 0)
    assert _decoded(holder.fix(5.1)) == (0, {})


def test_silent_instance_delays_a_report_only_for_a_while() -> None:
    """Fails when one dead instance makes every report late."""
    holder = _loaded()
    third = ("c", 0)
    holder.put(A, 0, {0: {"desk": 1}})
    holder.put(third, 0)
    sources = SOURCES | {third}
    assert holder.reports.next_step(11.9, sources) is None
    found = holder.reports.next_step(12.1, sources)
    assert found is not None and found.kind is Kind.FIX


def test_holder_that_reaches_no_instance_reports_nothing() -> None:
    """Fails when a cut-off holder, or one whose clock is ahead, reports."""
    holder = _loaded()
    holder.put(A, 0)
    assert holder.idle(500.0)


def test_instance_that_started_later_is_not_waited_for() -> None:
    """Fails when a fresh instance delays windows from before its start."""
    holder = _loaded()
    holder.put(A, 0)
    found = holder.reports.next_step(5.1, frozenset({A, ("new", 5001)}))
    assert found is not None and found.kind is Kind.FIX


def test_process_that_is_no_longer_listed_is_waited_for() -> None:
    """Fails when a window is fixed without a process known to be unfinished.

    After an outage of the store its lease had ended, and the few members
    listed were final.
    """
    holder = _loaded()
    holder.put(A, 0)
    holder.put(B, 0)
    holder.put(("c", 0), -1, {0: {"desk": 1}})
    assert holder.idle(5.5)
    holder.put(("c", 0), 0, {0: {"desk": 2}})
    assert _decoded(holder.fix(5.6)) == (0, {"desk": 2})


def test_process_that_is_gone_for_good_blocks_no_report() -> None:
    """Fails when killed instances outweigh those that run in late windows."""
    holder = _loaded()
    holder.put(A, 0)
    holder.put(B, 0)
    for name in "cdefg":
        holder.put((name, 0), -1, {0: {"desk": 1}})
    assert holder.idle(11.9)
    assert _decoded(holder.fix(12.1)) == (0, {"desk": 5})


def test_new_listing_of_members_delays_reports() -> None:
    """Fails when a window is fixed before the members are listed again."""
    holder = _loaded()
    holder.put(A, 0)
    holder.put(B, 0)
    assert holder.reports.next_step(5.5, SOURCES, 1.0) is None
    assert holder.reports.next_step(5.5, SOURCES, 4.0) is not None
    # The report is due soon.
    assert holder.reports.next_step(12.1, SOURCES, 0.0) is not None


def test_window_without_a_known_process_waits_until_it_is_late() -> None:
    """Fails when a holder that knows no process reports a window at once."""
    holder = _loaded()
    none = frozenset[totals_lib.Source]()
    assert holder.reports.next_step(11.9, none) is None
    assert holder.reports.next_step(12.1, none) is not None


def test_lost_answer_repeats_the_same_bytes() -> None:
    """Fails when late totals change a report whose answer was lost."""
    holder = _loaded()
    holder.put(A, 0, {0: {"desk": 1}})
    holder.put(B, 0)
    sent = holder.fix(5.1)
    holder.reports.on_sent(sent, Outcome.UNKNOWN, 5.2)
    holder.put(B, 0, {0: {"desk": 9}})
    assert holder.idle(5.25)
    again = holder.step(6.0, Kind.SEND)
    assert again.body == sent.body


def test_refusals_are_repeated_ever_more_slowly() -> None:
    """Fails when 429 or an outage makes the holder send a storm of calls."""
    holder = _loaded()
    holder.put(A, 0)
    holder.put(B, 0)
    sent = holder.fix(5.1)
    now, calls = 5.1, 0
    while now < 65.1:
        if not holder.idle(now):
            holder.reports.on_sent(sent, Outcome.REFUSED, now)
            calls += 1
        now += 0.05
    assert 25 <= calls <= 70
    holder.reports.on_sent(sent, Outcome.ACCEPTED, now)
    assert holder.table.reported_through == 0


def test_rejected_report_does_not_block_the_next() -> None:
    """Fails when a report that the API never takes stops all reports."""
    holder = _loaded()
    holder.put(A, 1)
    holder.put(B, 1)
    sent = holder.fix(10.1)
    holder.reports.on_sent(sent, Outcome.REJECTED, 10.1)
    assert holder.fix(10.1, 2).window == 1


@pytest.mark.parametrize("status", [401, 403, 404, 409])
def test_denied_report_is_repeated_until_it_is_overdue(status: int) -> None:
    """Fails when wrong access to the API makes all instances forget counts."""
    holder = _loaded()
    holder.put(A, 1)
    holder.put(B, 1)
    outcome = control_wire.decode_status(status)
    sent = holder.fix(10.1)
    now, calls = 10.1, 0
    while now < 14.9:
        if not holder.idle(now):
            assert holder.step(now, Kind.SEND) == sent
            assert not holder.reports.on_sent(sent, outcome, now)
            calls += 1
        now += 0.05
    assert 3 <= calls <= 12
    assert holder.reports.skipped_count == 0
    assert holder.table.reported_through == -1
    assert holder.reports.on_sent(sent, outcome, 15.1)
    assert holder.reports.skipped_count == 1
    assert holder.fix(15.1, 2).window == 1


@pytest.mark.parametrize("status", [400, 422])
def test_malformed_report_is_skipped_at_once(status: int) -> None:
    """Fails when a report that is wrong itself holds up the later ones."""
    holder = _loaded()
    holder.put(A, 1)
    holder.put(B, 1)
    sent = holder.fix(10.1)
    outcome = control_wire.decode_status(status)
    assert holder.reports.on_sent(sent, outcome, 10.1)
    assert holder.reports.skipped_count == 1
    assert holder.fix(10.1, 2).window == 1


def test_successor_repeats_what_a_killed_holder_fixed() -> None:
    """Fails when a successor sends other counts for a fixed window."""
    killed = _loaded()
    killed.put(A, 0, {0: {"desk": 1}})
    killed.put(B, 0)
    fixed = killed.fix(5.1)
    successor = Holder()
    successor.put(A, 0, {0: {"desk": 7}})
    successor.put(B, 0)
    successor.step(9.0, Kind.LOAD)
    successor.reports.on_loaded(fixed.body, 4, 0, 9.0)
    again = successor.step(9.0, Kind.SEND)
    assert again.body == fixed.body
    successor.reports.on_sent(again, Outcome.ACCEPTED, 9.1)
    successor.put(A, 1)
    successor.put(B, 1)
    following = successor.step(10.1, Kind.FIX)
    assert (following.window, following.expected_revision) == (1, 4)


def test_unclear_write_is_read_again() -> None:
    """Fails when a report is sent that may not be in the store."""
    holder = _loaded()
    holder.put(A, 0)
    holder.put(B, 0)
    fixing = holder.step(5.1, Kind.FIX)
    holder.reports.on_fixed(fixing, Write.UNCLEAR, 0, 5.2)
    holder.step(6.0, Kind.LOAD)


def test_windows_behind_go_out_oldest_first() -> None:
    """Fails when windows of an outage are skipped or reordered."""
    holder = _loaded()
    holder.put(A, 5)
    holder.put(B, 5)
    windows = []
    assert holder.reports.windows_behind(31.0) == 4
    for revision in range(6):
        sent = holder.fix(31.0, revision + 1)
        windows.append(sent.window)
        holder.reports.on_sent(sent, Outcome.ACCEPTED, 31.0)
    assert windows == [0, 1, 2, 3, 4, 5]
    assert holder.idle(31.0)
    assert holder.reports.windows_behind(31.0) == 0


def test_long_outage_leaves_a_bounded_backlog() -> None:
    """Fails when a system that was down for days reports for hours."""
    holder = Holder()
    body = control_wire.encode_usage(3, {})
    holder.reports.on_loaded(body, 2, 0, 5e6)
    sent = holder.step(5e6, Kind.SEND)
    holder.reports.on_sent(sent, Outcome.ACCEPTED, 5e6)
    present = counter.window_at(5e6, 5.0)
    holder.put(A, present - 1)
    holder.put(B, present - 1)
    oldest = holder.step(5e6, Kind.FIX).window
    assert oldest == present - counter.MAX_BACKLOG_WINDOWS


class System:
    """Simulate holders in turn, the store and the API, with failures."""

    def __init__(self, rng: random.Random) -> None:
        """Start with one holder."""
        self.rng = rng
        self.now = 1.0
        self.body: bytes | None = None
        self.revision = 0
        # Writes without a response, which may arrive later.
        self.delayed: list[tuple[int, int, bytes]] = []
        # Increases with the holder; a write of an earlier one fails.
        self.term = 1
        self.accepted = collections.defaultdict[int, set[bytes]](set)
        self.holder = Holder()

    def replace_holder(self) -> None:
        """Kill the holder; its successor begins without totals."""
        self.term += 1
        self.holder = Holder()

    def _write(self, term: int, expected: int, body: bytes) -> bool:
        if term != self.term or expected != self.revision:
            return False
        self.revision += 1
        self.body = body
        return True

    def run(self) -> None:
        """Take one random action."""
        self.now += self.rng.random()
        newest = counter.window_at(self.now, 5.0)
        if self.rng.random() < 0.6:
            # Totals change at random, also those of windows already fixed.
            windows = {
                newest - n: {"desk": self.rng.randint(0, 9)} for n in range(4)
            }
            self.holder.put(self.rng.choice((A, B)), newest - 1, windows)
        if self.delayed and self.rng.random() < 0.3:
            self._write(*self.delayed.pop())
        if self.rng.random() < 0.03:
            self.replace_holder()
        step = self.holder.reports.next_step(self.now, SOURCES)
        if step is None:
            return
        if step.kind is Kind.LOAD:
            self.holder.reports.on_loaded(
                self.body, self.revision, 0, self.now
            )
        elif step.kind is Kind.FIX:
            self._fix(step)
        else:
            self._send(step)

    def _fix(self, step: reports_lib.Step) -> None:
        write = (self.term, step.expected_revision, step.body)
        fate = self.rng.random()
        outcome = Write.UNCLEAR
        if fate < 0.2:
            self.delayed.append(write)
        elif fate < 0.3:
            outcome = Write.FAILED
        elif self._write(*write) and fate < 0.9:
            outcome = Write.OK
        if fate > 0.95:
            self.replace_holder()
            return
        self.holder.reports.on_fixed(step, outcome, self.revision, self.now)

    def _send(self, step: reports_lib.Step) -> None:
        fate = self.rng.random()
        outcome = Outcome.REFUSED
        if fate < 0.7:
            self.accepted[step.window].add(step.body)
            outcome = Outcome.UNKNOWN if fate < 0.3 else Outcome.ACCEPTED
        if fate > 0.95:
            self.replace_holder()
            return
        self.holder.reports.on_sent(step, outcome, self.now)


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_no_window_ever_gets_two_different_counts(seed: int) -> None:
    """Fails when crashes, lost answers or hand-overs change a report."""
    system = System(random.Random(seed))
    for _ in range(400):
        system.run()
    assert all(len(bodies) == 1 for bodies in system.accepted.values())
    windows = sorted(system.accepted)
    # None is left out, and most of the past ones were reported.
    assert windows == list(range(len(windows)))
    assert len(windows) > 5
