"""Choose the engine of each run and find runs that should move.

Pure decisions: time is passed in, nothing is sent.
"""

import collections
from collections import abc
import dataclasses
import math
import statistics
import typing

from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations

# An engine whose events are this many times slower than the median of the
# others gets no new runs while others have room. Neighbours slow engines
# 2.5 times for moments, which is not worth a move.
SLOW_FACTOR: typing.Final = 2.2
# A run whose engine sends nothing for this long moves, in seconds. Loading
# weights pauses runs for about a second, which a move avoids; events come
# every 0.05 s, and up to 2.5 times slower beside busy neighbours.
STALL_SECONDS: typing.Final = 0.3
# The same for the first event, which waits for a slot and the prompt.
FIRST_EVENT_SECONDS: typing.Final = 1.2
# A run that stalls this long gives its place up even when no other engine has
# room, in seconds: it waits for one like the others, and no dead connection
# keeps it. Loading weights takes less time.
STALL_LIMIT_SECONDS: typing.Final = 2.0
# Events of one engine that are needed to judge its pace: with fewer, the
# prompts that are read between the first events look like slowness.
_MIN_EVENTS: typing.Final = 24
# Events of one run that are needed to judge it.
MIN_RUN_EVENTS: typing.Final = 3
# Time over which the pace of an engine is averaged, in seconds. Neighbours
# slow an engine 2.5 times for 0.6 s, which must stay below the factor above.
_PACE_SECONDS: typing.Final = 0.6
# An engine that refused a run gets the next one after this time, doubled
# for each refusal in a row up to the limit. Engines refuse while they are
# full and for the second in which they load weights.
_REFUSED_SECONDS: typing.Final = 0.1
_MAX_REFUSED_SECONDS: typing.Final = 0.4
# The same after a failure, doubled for each one in a row up to the limit.
_FAILED_SECONDS: typing.Final = 0.25
_MAX_FAILED_SECONDS: typing.Final = 4.0
# A slow engine is tried again after this time: slowness ends.
_SLOW_SECONDS: typing.Final = 3.0
# Cost in runs of leaving the engine that holds the group's prompt.
_GROUP_BONUS: typing.Final = 2.0
# Part by which a full engine is slower than an idle one, for the choice: an
# engine decodes all its runs in one batch, so that load costs little pace.
_LOAD_WEIGHT: typing.Final = 0.5
# The lasting pace of an engine is the median of this many gaps, taken at
# least this many seconds apart: four seconds hide moments of slowness.
_STEADY_GAPS: typing.Final = 41
_STEADY_SECONDS: typing.Final = 0.1
# A run of at least this many events moves to an engine whose lasting pace is
# at most this part of its own. Runs that got so far are mostly the longest
# ones of their step, and a move costs about one event.
LONG_RUN_EVENTS: typing.Final = 40
_FASTER_PART: typing.Final = 0.85


@dataclasses.dataclass
class EngineState:
    """Hold what this instance observed of one engine incarnation."""

    running: int = 0
    # Seconds between two events of a run, averaged over a short time.
    pace: float | None = None
    events: int = 0
    # The lasting one, and the gaps that it is taken from.
    steady_pace: float | None = None
    gaps: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_STEADY_GAPS)
    )
    gap_at: float = float("-inf")
    observed_at: float = 0.0
    blocked_until: float = 0.0
    failures: int = 0
    refusals: int = 0
    # A run is on its way that shows whether the engine takes runs again.
    probed: bool = False
    # Newest weight version that a response named, by model.
    versions: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def is_suspect(self) -> bool:
        """Tell whether the last run was refused or failed."""
        return self.refusals > 0 or self.failures > 0


class Placement:
    """Track engines and choose among them."""

    def __init__(self) -> None:
        """Start without observations."""
        self._states = observations.Observations(EngineState)

    def state(self, endpoint: endpoints.Endpoint) -> EngineState:
        """Return the state of an endpoint's incarnation."""
        return self._states.for_endpoint(endpoint)

    def choose(
        self,
        candidates: abc.Sequence[endpoints.Endpoint],
        now: float,
        near: str = "",
        avoid: abc.Container[str] = (),
        probes: bool = False,
    ) -> endpoints.Endpoint | None:
        """Return the engine for a run, None while none has room.

        The engine named by near holds the group's prompt. An engine that
        refused or failed its last run gets one probe before any other run.
        """
        typical = self.typical_pace(candidates)
        steady = self._typical_steady_pace(candidates)
        best: tuple[float, endpoints.Endpoint] | None = None
        for endpoint in candidates:
            state = self.state(endpoint)
            if state.running >= endpoint.slots or now < state.blocked_until:
                continue
            if endpoint.id in avoid:
                continue
            if state.probed or (state.is_suspect and not probes):
                continue
            if self.is_slow(state, typical, now):
                continue
            runs = state.running + 1.0
            if endpoint.id == near:
                runs -= _GROUP_BONUS
            load = 1 + _LOAD_WEIGHT * runs / endpoint.slots
            cost = load * self._relative_pace(state, steady)
            if best is None or cost < best[0]:
                best = (cost, endpoint)
        return best[1] if best else None

    def has_room(
        self,
        candidates: abc.Iterable[endpoints.Endpoint],
        now: float,
        other_than: str,
    ) -> bool:
        """Tell whether a run could move away from an engine."""
        found = [ep for ep in candidates if ep.id != other_than]
        return self.choose(found, now) is not None

    def is_faster_elsewhere(
        self,
        candidates: abc.Iterable[endpoints.Endpoint],
        endpoint: endpoints.Endpoint,
        now: float,
    ) -> bool:
        """Tell whether a long run would end sooner at another engine."""
        own = self.state(endpoint).steady_pace
        found = [ep for ep in candidates if ep.id != endpoint.id]
        other = self.choose(found, now)
        if own is None or other is None:
            return False
        pace = self.state(other).steady_pace
        return pace is not None and pace <= _FASTER_PART * own

    def typical_pace(
        self, candidates: abc.Iterable[endpoints.Endpoint]
    ) -> float | None:
        """Return the median seconds between events of these engines."""
        paces = [
            state.pace
            for state in map(self.state, candidates)
            if state.pace is not None and state.events >= _MIN_EVENTS
        ]
        # The lower median, so that with two engines one slow one shows.
        return statistics.median_low(paces) if paces else None

    def is_slow(
        self, state: EngineState, typical: float | None, now: float
    ) -> bool:
        """Tell whether an engine is much slower than the others."""
        if typical is None or state.pace is None:
            return False
        if state.events < _MIN_EVENTS:
            return False
        if state.running == 0 and now - state.observed_at > _SLOW_SECONDS:
            return False
        return state.pace > SLOW_FACTOR * typical

    def is_lagging(
        self,
        endpoint: endpoints.Endpoint,
        typical: float | None,
        run_pace: float | None,
        now: float,
    ) -> bool:
        """Tell whether a run is slow because its engine is slow."""
        if typical is None or run_pace is None:
            return False
        if run_pace < SLOW_FACTOR * typical:
            return False
        return self.is_slow(self.state(endpoint), typical, now)

    def started(self, endpoint: endpoints.Endpoint) -> None:
        """Count a run."""
        state = self.state(endpoint)
        state.running += 1
        state.probed = state.is_suspect

    def accepted(self, endpoint: endpoints.Endpoint) -> None:
        """Note that an engine started a run."""
        state = self.state(endpoint)
        state.refusals = state.failures = 0
        state.probed = False

    def ended(self, endpoint: endpoints.Endpoint) -> None:
        """Count the end of a run."""
        state = self.state(endpoint)
        state.running = max(0, state.running - 1)
        state.probed = False

    def observe_gap(
        self, endpoint: endpoints.Endpoint, seconds: float, now: float
    ) -> None:
        """Note the time between two events of a run."""
        state = self.state(endpoint)
        # Pauses between runs say nothing about the speed.
        since = min(seconds, now - state.observed_at)
        state.events += 1
        state.observed_at = now
        state.failures = 0
        before = state.pace if state.pace is not None else seconds
        part = 1 - math.exp(-since / _PACE_SECONDS)
        state.pace = before + part * (seconds - before)
        if now - state.gap_at >= _STEADY_SECONDS:
            state.gap_at = now
            state.gaps.append(seconds)
            state.steady_pace = statistics.median_low(state.gaps)

    def refused(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Note that an engine had no room."""
        state = self.state(endpoint)
        if now < state.blocked_until:
            # Several runs were sent before the first refusal.
            return
        wait = _REFUSED_SECONDS * 2**state.refusals
        state.refusals += 1
        state.blocked_until = now + min(_MAX_REFUSED_SECONDS, wait)

    def failed(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Note that an engine broke off or did not answer."""
        state = self.state(endpoint)
        wait = min(_MAX_FAILED_SECONDS, _FAILED_SECONDS * 2**state.failures)
        state.failures += 1
        state.blocked_until = now + wait

    def _typical_steady_pace(
        self, candidates: abc.Iterable[endpoints.Endpoint]
    ) -> float | None:
        paces = [
            state.steady_pace
            for state in map(self.state, candidates)
            if state.steady_pace is not None
        ]
        return statistics.median_low(paces) if paces else None

    @staticmethod
    def _relative_pace(state: EngineState, typical: float | None) -> float:
        if typical is None or state.steady_pace is None:
            return 1.0
        return max(0.5, state.steady_pace / typical)


def order_items(
    groups: abc.Mapping[str, abc.Sequence[float]],
    carried: abc.Container[str] = (),
) -> list[tuple[str, int]]:
    """Return (group, index) in the order in which items start.

    The values are expected output tokens. Groups with the longest item
    start first, so that the last runs to end are not the longest ones; the
    items of a group stay together because they share a prompt. Groups
    carried over from an earlier step come before all others, since the
    trainer waits for every one of them.
    """
    longest = sorted(
        groups,
        key=lambda group: (
            group in carried,
            max(groups[group], default=0.0),
        ),
        reverse=True,
    )
    order: list[tuple[str, int]] = []
    for group in longest:
        lengths = groups[group]
        by_length = sorted(range(len(lengths)), key=lengths.__getitem__)
        order += [(group, index) for index in reversed(by_length)]
    return order
