"""Guard which engine runs an item, under the load patterns that bind."""

import random
import typing

from hibiscussaddle.batches import placement
from hibiscussaddle.fleet import observations

import batch_builders

STEP_SECONDS: typing.Final = 0.04


def _observe(
    engines: placement.Placement, endpoint: typing.Any, pace: float
) -> None:
    for _ in range(40):
        engines.observe_gap(endpoint, pace, 1.0)


def test_full_engines_get_nothing() -> None:
    """Fails when a run waits in an engine while another has room."""
    engines = placement.Placement()
    small = batch_builders.engine("small", slots=1)
    large = batch_builders.engine("large", slots=4)
    engines.started(small)
    assert engines.choose([small, large], 1.0) is large
    for _ in range(4):
        engines.started(large)
    assert engines.choose([small, large], 1.0) is None


def test_group_stays_where_its_prompt_is() -> None:
    """Fails when the items of a group read their prompt at many engines."""
    engines = placement.Placement()
    found = [batch_builders.engine(f"engine-{n}", slots=12) for n in range(6)]
    first = engines.choose(found, 1.0)
    assert first is not None
    engines.started(first)
    chosen = engines.choose(found, 1.0, near=first.id)
    assert chosen is first


def test_refusing_engine_is_left_alone_for_a_moment() -> None:
    """Fails when an engine that loads weights is asked again and again."""
    engines = placement.Placement()
    endpoint = batch_builders.engine("engine-1")
    refusals = 0
    now = 0.0
    while now < 1.0:
        if engines.choose([endpoint], now, probes=True) is not None:
            refusals += 1
            engines.refused(endpoint, now)
        now += 0.02
    assert refusals <= 5


def test_engine_that_refused_gets_one_probe() -> None:
    """Fails when an engine that loads weights is sent many runs at once."""
    engines = placement.Placement()
    endpoint = batch_builders.engine("engine-1", slots=8)
    engines.refused(endpoint, 0.0)
    assert engines.choose([endpoint], 1.0) is None
    assert engines.choose([endpoint], 1.0, probes=True) is endpoint
    engines.started(endpoint)
    assert engines.choose([endpoint], 1.0, probes=True) is None
    engines.accepted(endpoint)
    assert engines.choose([endpoint], 1.0) is endpoint


def test_restarted_engine_starts_without_a_past() -> None:
    """Fails when a restarted engine inherits failures or a slow pace."""
    engines = placement.Placement()
    before = batch_builders.engine("engine-1", incarnation=1)
    for _ in range(5):
        engines.failed(before, 1.0)
    after = batch_builders.engine("engine-1", incarnation=2)
    assert engines.choose([after], 1.1) is after
    assert not engines.state(after).is_suspect


class _Run:
    """Hold one simulated run of an item."""

    def __init__(self, events: int) -> None:
        self.left = events
        self.endpoint: typing.Any = None
        self.gaps = 0
        self.next_at = 0.0
        self.ended_at: float | None = None

    def place(self, endpoint: typing.Any, now: float, pace: float) -> None:
        self.endpoint = endpoint
        self.gaps = 0
        self.next_at = now + pace


class _Step:
    """Play one step of 24 groups on six engines, one of them slow."""

    TICK = 0.01
    CHECK = 0.1

    def __init__(self, seed: int, moves: bool, slowness: float = 4.0) -> None:
        rng = random.Random(seed)
        self.moves = moves
        self.engines = placement.Placement()
        self.found = [
            batch_builders.engine(f"engine-{n}", slots=12) for n in range(6)
        ]
        self.paces = {
            endpoint.id: STEP_SECONDS * (slowness if n == 5 else 1)
            for n, endpoint in enumerate(self.found)
        }
        lengths = [int(rng.lognormvariate(2.3, 0.8)) + 1 for _ in range(96)]
        self.runs = [_Run(length) for length in lengths]

    def play(self) -> float:
        """Return the seconds until nine tenths of the groups are whole."""
        now = 0.0
        while any(run.ended_at is None for run in self.runs):
            for run in self.runs:
                self._advance(run, now)
            if self.moves and round(now / self.TICK) % 10 == 0:
                self._move(now)
            now += self.TICK
        ends = [run.ended_at or 0.0 for run in self.runs]
        groups = [max(ends[n : n + 4]) for n in range(0, len(ends), 4)]
        return sorted(groups)[int(len(groups) * 0.9)]

    def _advance(self, run: _Run, now: float) -> None:
        if run.ended_at is not None:
            return
        if run.endpoint is None:
            endpoint = self.engines.choose(self.found, now)
            if endpoint is not None:
                self._place(run, endpoint, now)
            return
        pace = self.paces[run.endpoint.id]
        while run.left and now >= run.next_at:
            run.left -= 1
            run.gaps += 1
            run.next_at += pace
            if self.moves:
                self.engines.observe_gap(run.endpoint, pace, now)
        if not run.left:
            run.ended_at = now
            self.engines.ended(run.endpoint)

    def _place(self, run: _Run, endpoint: typing.Any, now: float) -> None:
        self.engines.started(endpoint)
        run.place(endpoint, now, self.paces[endpoint.id])

    def _move(self, now: float) -> None:
        typical = self.engines.typical_pace(self.found)
        for run in self.runs:
            if run.endpoint is None or run.ended_at is not None:
                continue
            if run.gaps < placement.MIN_RUN_EVENTS:
                continue
            pace = self.paces[run.endpoint.id]
            lagging = self.engines.is_lagging(run.endpoint, typical, pace, now)
            if not lagging:
                continue
            avoid = {run.endpoint.id}
            other = self.engines.choose(self.found, now, avoid=avoid)
            if other is not None:
                self.engines.ended(run.endpoint)
                self._place(run, other, now)


def test_step_with_one_slow_engine() -> None:
    """Fails when a step waits for the engine that its neighbours slow.

    Pattern: one of six engines runs four times slower (srv_slow) while a
    step of 24 groups begins, and nobody knows it yet. The plain choice goes
    by load and never moves a run; the time lost is against equal engines.
    """
    lost_plain = lost_moved = 0.0
    for seed in range(8):
        equal = _Step(seed, moves=False, slowness=1.0).play()
        lost_plain += _Step(seed, moves=False).play() - equal
        lost_moved += _Step(seed, moves=True).play() - equal
    assert lost_moved < 0.5 * lost_plain


def _play_mixed_step(seed: int, knows_paces: bool) -> float:
    """Return when the last item of a step on a mixed fleet ends.

    Two of six engines need 1.3 times as long for each event. The estimates
    of the items' lengths are off by half.
    """
    rng = random.Random(seed)
    found = [batch_builders.engine(f"engine-{n}", slots=16) for n in range(6)]
    paces = {
        endpoint.id: STEP_SECONDS * (1.3 if n % 3 == 0 else 1.0)
        for n, endpoint in enumerate(found)
    }
    engines = placement.Placement()
    if knows_paces:
        for n in range(100):
            for endpoint in found:
                pace = paces[endpoint.id]
                engines.observe_gap(endpoint, pace, n * pace)
    lengths = [
        min(
            136, int(rng.lognormvariate(2.6, 0.8) * rng.choice([1] * 11 + [5]))
        )
        for _ in range(92)
    ]
    hints = [length * rng.lognormvariate(0.0, 0.5) for length in lengths]
    order = placement.order_items({str(n): [h] for n, h in enumerate(hints)})
    ends: list[float] = []
    for group, _ in order:
        endpoint = engines.choose(found, 10.0)
        assert endpoint is not None
        engines.started(endpoint)
        ends.append(lengths[int(group)] * paces[endpoint.id])
    return max(ends)


def test_longest_items_run_on_the_fastest_engines() -> None:
    """Fails when the longest item of a step runs on a slow machine.

    Pattern: engines differ in speed by 1.3 (speeds of the site files) and a
    step is as long as its longest item. The plain choice goes by load only.
    """
    known = sum(_play_mixed_step(seed, True) for seed in range(20))
    plain = sum(_play_mixed_step(seed, False) for seed in range(20))
    assert known < 0.95 * plain


def _run_engine(
    engines: placement.Placement,
    endpoint: typing.Any,
    pace: float,
    start: float,
    end: float,
) -> None:
    """Let an engine with eight runs send events at a pace."""
    now = start
    while now < end:
        now += pace
        for _ in range(8):
            engines.observe_gap(endpoint, pace, now)


def test_moment_of_slowness_moves_no_run() -> None:
    """Fails when runs flee an engine that its neighbours slow for 0.6 s.

    Pattern: 15 % of the engines are 2.5 times slower for 0.6 s at a time. On
    kigali-engrave scale-2 all long runs of an engine moved together, twice
    within a second, and the step took 8.2 s.
    """
    engines = placement.Placement()
    found = [batch_builders.engine(f"engine-{n}") for n in range(4)]
    for endpoint in found:
        _run_engine(engines, endpoint, STEP_SECONDS, 0.0, 5.0)
    _run_engine(engines, found[0], 2.5 * STEP_SECONDS, 5.0, 5.6)
    for endpoint in found[1:]:
        _run_engine(engines, endpoint, STEP_SECONDS, 5.0, 5.6)
    typical = engines.typical_pace(found)
    state = engines.state(found[0])
    assert not engines.is_slow(state, typical, 5.6)
    assert not engines.is_faster_elsewhere(found, found[0], 5.6)


def test_slow_engine_is_noticed_in_a_second() -> None:
    """Fails when runs stay on an engine that became 3.5 times slower."""
    engines = placement.Placement()
    found = [batch_builders.engine(f"engine-{n}") for n in range(4)]
    for endpoint in found:
        _run_engine(engines, endpoint, STEP_SECONDS, 0.0, 5.0)
    _run_engine(engines, found[0], 3.5 * STEP_SECONDS, 5.0, 6.0)
    for endpoint in found[1:]:
        _run_engine(engines, endpoint, STEP_SECONDS, 5.0, 6.0)
    typical = engines.typical_pace(found)
    assert engines.is_slow(engines.state(found[0]), typical, 6.0)


def test_long_run_moves_to_a_faster_engine() -> None:
    """Fails when a run that turns out long ends on a slow engine."""
    engines = placement.Placement()
    slow = batch_builders.engine("slow")
    fast = batch_builders.engine("fast")
    for n in range(100):
        engines.observe_gap(slow, 0.052, n * 0.052)
        engines.observe_gap(fast, 0.040, n * 0.040)
    assert engines.is_faster_elsewhere([slow, fast], slow, 6.0)
    assert not engines.is_faster_elsewhere([slow, fast], fast, 6.0)
    for _ in range(fast.slots):
        engines.started(fast)
    assert not engines.is_faster_elsewhere([slow, fast], slow, 6.0)


def test_slow_engine_is_tried_again() -> None:
    """Fails when an engine that was slow once is never used again."""
    engines = placement.Placement()
    slow = batch_builders.engine("slow")
    fast = [batch_builders.engine(f"fast-{n}") for n in range(2)]
    _observe(engines, slow, 4 * STEP_SECONDS)
    for endpoint in fast:
        _observe(engines, endpoint, STEP_SECONDS)
        for _ in range(endpoint.slots):
            engines.started(endpoint)
    found = [slow, *fast]
    assert engines.choose(found, 2.0) is None
    assert engines.choose(found, 10.0) is slow


def test_long_items_start_first() -> None:
    """Fails when the last runs of a step are the longest ones."""
    groups = {"a": [10.0, 20.0], "b": [300.0, 5.0], "c": [40.0]}
    order = placement.order_items(groups)
    assert order[0] == ("b", 0)
    assert [group for group, _ in order] == ["b", "b", "c", "a", "a"]


def test_carried_groups_start_first() -> None:
    """Fails when a group that the trainer must have waits behind others."""
    groups = {"a": [10.0], "b": [300.0], "c": [40.0]}
    order = placement.order_items(groups, carried={"a"})
    assert [group for group, _ in order] == ["a", "b", "c"]


def test_endpoints_of_the_past_are_forgotten() -> None:
    """Fails when each restarted endpoint costs memory for ever."""
    found = observations.Observations(list)
    for number in range(10_000):
        found.for_endpoint(batch_builders.engine(f"engine-{number}")).append(
            number
        )
    assert found.for_endpoint(batch_builders.engine("engine-0")) == []
    assert found.for_endpoint(batch_builders.engine("engine-9999")) == [9999]
