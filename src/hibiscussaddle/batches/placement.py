"""Choose the engine for each run and detect slow engines.

Callers pass the time in, and nothing here performs I/O.
"""

import collections
from collections import abc
import dataclasses
import math
import statistics
import typing

from hibiscussaddle.batches import item_waits
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations
from hibiscussaddle.scheduling import speedup

# An engine whose events are this many times slower than the median of the
# others gets no new runs while others have capacity. Noisy neighbours slow
# engines down 2.5 times for short periods, which is not worth a move.
SLOW_FACTOR: typing.Final = 2.2
# A run moves when its engine sends nothing for this long. Loading weights
# pauses runs for about a second, which a move avoids; events come every
# 0.05 s, and up to 2.5 times slower beside busy neighbours.
STALL_SECONDS: typing.Final = 0.3
# The same for the first event, which waits for a slot and for the prompt to
# be read.
FIRST_EVENT_STALL_SECONDS: typing.Final = 1.2
# A run that stalls this long is queued again even when no other engine has
# capacity, since its connection may be dead. Loading weights takes less time.
MAX_STALL_SECONDS: typing.Final = 2.0
# Events needed to judge the speed of an engine: with fewer, the prompts that
# are read between the first events look like slowness.
_MIN_ENGINE_EVENTS: typing.Final = 24
# Events needed to judge the speed of a run.
MIN_RUN_EVENTS: typing.Final = 3
# Time constant of the moving average of event intervals. Neighbours slow an
# engine down 2.5 times for 0.6 s, which must stay below SLOW_FACTOR.
_AVERAGING_SECONDS: typing.Final = 0.6
# Backoff of an engine that refused a run, doubled for each consecutive
# refusal up to the maximum. Engines refuse while they are full and for the
# second in which they load weights.
_REFUSED_BACKOFF_SECONDS: typing.Final = 0.1
_MAX_REFUSED_BACKOFF_SECONDS: typing.Final = 0.4
# The same for items that are larger than any that the engine has accepted,
# after it refused one. It may have no memory for them, or it was full: an item
# that no engine has for 5 s beside free slots counts as lost.
_OVERSIZE_BACKOFF_SECONDS: typing.Final = 0.2
_MAX_OVERSIZE_BACKOFF_SECONDS: typing.Final = 2.0
# The same for items of at most this multiple of the largest accepted one. An
# engine runs several items at once, so it was probably full or loading.
_SIMILAR_SIZE_FACTOR: typing.Final = 2.0
_MAX_SIMILAR_SIZE_BACKOFF_SECONDS: typing.Final = 0.4
# The same after a failure.
_FAILED_BACKOFF_SECONDS: typing.Final = 0.25
_MAX_FAILED_BACKOFF_SECONDS: typing.Final = 1.5
# The same once an engine is known to have ended. No longer, since peers that
# share a fault may confirm the ends of engines that live, and an item must be
# at an engine again within 5 s.
_ENDED_BACKOFF_SECONDS: typing.Final = 1.5
# An idle slow engine is tried again after this time, since slowness ends.
_SLOW_EXCLUSION_SECONDS: typing.Final = 3.0
# Advantage, in runs, of the engine whose cache holds the group's prompt.
_CACHED_PROMPT_BONUS_RUNS: typing.Final = 2.0
# Added cost of a full engine as a fraction of an idle one's. An engine decodes
# all its runs in one batch, so that load slows it down little.
_FULL_LOAD_COST_FRACTION: typing.Final = 0.5
# Smallest event interval that a choice assumes, as a fraction of the typical
# one.
_MIN_INTERVAL_FRACTION: typing.Final = 0.5
# The long-term event interval of an engine is the median of this many samples,
# taken at least this many seconds apart. They cover four seconds, so that
# short periods of slowness don't change the median.
_MEDIAN_SAMPLES: typing.Final = 41
_SAMPLE_SECONDS: typing.Final = 0.1
# A run moves only to an engine whose long-term event interval is at most this
# fraction of its own.
_FASTER_FRACTION: typing.Final = 0.85


@dataclasses.dataclass
class EngineState:
    """Hold what this instance observed of one engine incarnation."""

    # Runs of this instance on the engine.
    running: int = 0
    # Seconds between two events of a run, as a short-term moving average.
    mean_interval: float | None = None
    events: int = 0
    # Long-term median of these intervals, and its samples.
    median_interval: float | None = None
    interval_samples: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MEDIAN_SAMPLES)
    )
    # Monotonic seconds of the newest sample and of the newest event, and those
    # until which the engine gets no run.
    sampled_at: float = float("-inf")
    observed_at: float = 0.0
    blocked_until: float = 0.0
    # Consecutive failures and refusals.
    failures: int = 0
    refusals: int = 0
    # Whether the newest backoff follows a failure. An event of another run
    # resets the failures but not the backoff.
    is_failure_backoff: bool = False
    # Monotonic seconds at which this incarnation was known to have ended; -inf
    # while it isn't.
    ended_at: float = float("-inf")
    # Whether a probe run is under way, which shows if the engine recovered.
    is_probing: bool = False
    # Monotonic seconds until which free capacity is kept for a run of another
    # engine with this many events left.
    reserved_until: float = float("-inf")
    reserved_events: float = 0.0
    # Slots that runs of slow engines move to, until these monotonic seconds.
    claimed_slots: int = 0
    claimed_until: float = float("-inf")
    # Tokens of the largest run that the engine accepted, and the consecutive
    # refusals of larger ones, which get none until these monotonic seconds.
    accepted_tokens: int = 0
    oversize_refusals: int = 0
    oversize_until: float = float("-inf")
    # The same for runs of more than _SIMILAR_SIZE_FACTOR times that size.
    much_larger_until: float = float("-inf")
    # Whether one of them is under way, which shows if the engine takes it.
    is_trying_oversize: bool = False
    # Newest weight version reported in a response, by model.
    versions: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def has_ended(self) -> bool:
        """Return whether this incarnation is known to have ended."""
        return self.ended_at > float("-inf")

    def is_reserved(self, events_left: float, now: float) -> bool:
        """Return whether free capacity is kept for a longer run."""
        return now < self.reserved_until and events_left < self.reserved_events

    def is_too_small(self, tokens: int, now: float) -> bool:
        """Return whether the engine recently refused so large an item."""
        if tokens <= self.accepted_tokens:
            return False
        if self.is_trying_oversize or now < self.oversize_until:
            return True
        return self._is_much_larger(tokens) and now < self.much_larger_until

    def _is_much_larger(self, tokens: int) -> bool:
        return tokens > _SIMILAR_SIZE_FACTOR * self.accepted_tokens

    def back_off_oversize(self, tokens: int, now: float) -> None:
        """Keep items of similar sizes away after the refusal of a larger one.

        It says nothing about items that are little larger than accepted ones
        if the refused item is much larger.
        """
        is_much_larger = self._is_much_larger(tokens)
        limit = (
            _MAX_OVERSIZE_BACKOFF_SECONDS
            if is_much_larger
            else _MAX_SIMILAR_SIZE_BACKOFF_SECONDS
        )
        backoff = _OVERSIZE_BACKOFF_SECONDS * 2**self.oversize_refusals
        until = now + min(limit, backoff)
        if is_much_larger:
            self.much_larger_until = until
        else:
            self.oversize_until = until
        if backoff < limit:
            self.oversize_refusals += 1

    def has_refused_size(self, tokens: int) -> bool:
        """Return whether the engine refused a run larger than any accepted.

        Whether it has memory for so large a run is unknown until it accepts
        one, also between the tries.
        """
        return self.oversize_refusals > 0 and tokens > self.accepted_tokens

    @property
    def is_suspect(self) -> bool:
        """Return whether the last run was refused or failed."""
        return self.refusals > 0 or self.failures > 0


class Placement:
    """Track the engines that this instance observes and choose among them."""

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
        preferred_id: str = "",
        excluded_ids: abc.Container[str] = (),
        allow_probe: bool = False,
        events_left: float = float("inf"),
        tokens: int = 0,
        is_overdue: bool = False,
    ) -> endpoints.Endpoint | None:
        """Return the engine for a run, None while none has capacity.

        The cache of the preferred engine holds the group's prompt. An engine
        that refused or failed its last run gets one probe before other runs.
        An overdue item takes slow and reserved engines as well.
        """
        typical_median = self.typical_median_interval(candidates)
        obstacles = self.obstacles(
            candidates,
            now,
            excluded_ids,
            allow_probe,
            events_left,
            tokens,
            is_overdue,
        )
        best: tuple[float, endpoints.Endpoint] | None = None
        for endpoint, obstacle in zip(candidates, obstacles, strict=True):
            if obstacle is not None:
                continue
            state = self.state(endpoint)
            runs = state.running + 1.0
            if endpoint.id == preferred_id:
                runs -= _CACHED_PROMPT_BONUS_RUNS
            load = 1 + _FULL_LOAD_COST_FRACTION * runs / endpoint.slots
            cost = load * self._relative_interval(state, typical_median)
            if best is None or cost < best[0]:
                best = (cost, endpoint)
        return best[1] if best else None

    def obstacles(
        self,
        candidates: abc.Iterable[endpoints.Endpoint],
        now: float,
        excluded_ids: abc.Container[str] = (),
        allow_probe: bool = False,
        events_left: float = float("inf"),
        tokens: int = 0,
        is_overdue: bool = False,
    ) -> list[item_waits.Reason | None]:
        """Return what keeps a run from each engine, None for nothing."""
        candidates = list(candidates)
        typical = self.typical_interval(candidates)
        return [
            self._obstacle(
                endpoint,
                typical,
                now,
                excluded_ids,
                allow_probe,
                events_left,
                tokens,
                is_overdue,
            )
            for endpoint in candidates
        ]

    def _obstacle(
        self,
        endpoint: endpoints.Endpoint,
        typical: float | None,
        now: float,
        excluded_ids: abc.Container[str],
        allow_probe: bool,
        events_left: float,
        tokens: int,
        is_overdue: bool,
    ) -> item_waits.Reason | None:
        state = self.state(endpoint)
        if state.running >= endpoint.slots:
            return item_waits.Reason.FULL
        if now < state.blocked_until:
            if state.is_failure_backoff:
                return item_waits.Reason.FAILED
            return item_waits.Reason.REFUSED
        if endpoint.id in excluded_ids:
            return item_waits.Reason.EXCLUDED
        if state.is_probing:
            return item_waits.Reason.PROBING
        if state.is_suspect and not allow_probe:
            return item_waits.Reason.SUSPECT
        if not is_overdue and self.is_slow(state, typical, now):
            return item_waits.Reason.SLOW
        if not is_overdue and state.is_reserved(events_left, now):
            return item_waits.Reason.RESERVED
        if state.is_too_small(tokens, now):
            return item_waits.Reason.TOO_SMALL
        return None

    def has_capacity_elsewhere(
        self,
        candidates: abc.Iterable[endpoints.Endpoint],
        now: float,
        excluded_id: str,
        allow_probe: bool = False,
    ) -> bool:
        """Return whether any engine but the excluded one has capacity."""
        others = [ep for ep in candidates if ep.id != excluded_id]
        return self.choose(others, now, allow_probe=allow_probe) is not None

    def claim_elsewhere(
        self,
        candidates: abc.Iterable[endpoints.Endpoint],
        now: float,
        excluded_id: str,
    ) -> bool:
        """Claim a free slot of any engine but the excluded one for a move.

        Returns False if there is none besides those claimed just before.
        """
        others = [
            endpoint
            for endpoint in candidates
            if endpoint.id != excluded_id
            and self._unclaimed_slots(endpoint, now) > 0
        ]
        chosen = self.choose(others, now)
        if chosen is None:
            return False
        state = self.state(chosen)
        if now >= state.claimed_until:
            state.claimed_slots = 0
            state.claimed_until = now + speedup.RESERVATION_SECONDS
        state.claimed_slots += 1
        return True

    def _unclaimed_slots(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> int:
        state = self.state(endpoint)
        claimed = state.claimed_slots if now < state.claimed_until else 0
        return endpoint.slots - state.running - claimed

    def reserve_faster(
        self,
        candidates: abc.Iterable[endpoints.Endpoint],
        endpoint: endpoints.Endpoint,
        events_left: float,
        now: float,
    ) -> bool:
        """Reserve the engine on which a run would end much sooner.

        Returns whether that engine has capacity for the run now.
        """
        own = self.state(endpoint).median_interval
        if own is None or not speedup.is_worth_moving(events_left, own, 0.0):
            return False
        best: tuple[bool, float, EngineState] | None = None
        for other in candidates:
            state = self.state(other)
            interval = state.median_interval
            if other.id == endpoint.id or interval is None:
                continue
            if state.is_suspect or now < state.blocked_until:
                continue
            if interval > _FASTER_FRACTION * own:
                continue
            if not speedup.is_worth_moving(events_left, own, interval):
                continue
            if state.is_reserved(events_left, now):
                continue
            is_full = state.running >= other.slots
            if best is None or (is_full, interval) < best[:2]:
                best = (is_full, interval, state)
        if best is None:
            return False
        is_full, _, state = best
        state.reserved_until = now + speedup.RESERVATION_SECONDS
        state.reserved_events = events_left
        return not is_full

    def typical_interval(
        self, candidates: abc.Iterable[endpoints.Endpoint]
    ) -> float | None:
        """Return the median of the engines' mean intervals, in seconds."""
        intervals = [
            state.mean_interval
            for state in map(self.state, candidates)
            if state.mean_interval is not None
            and state.events >= _MIN_ENGINE_EVENTS
        ]
        # The lower median, so that one slow engine of two is detected.
        return statistics.median_low(intervals) if intervals else None

    def is_slow(
        self, state: EngineState, typical: float | None, now: float
    ) -> bool:
        """Return whether an engine is much slower than the others."""
        if typical is None or state.mean_interval is None:
            return False
        if state.events < _MIN_ENGINE_EVENTS:
            return False
        if (
            state.running == 0
            and now - state.observed_at > _SLOW_EXCLUSION_SECONDS
        ):
            return False
        return state.mean_interval > SLOW_FACTOR * typical

    def is_lagging(
        self,
        endpoint: endpoints.Endpoint,
        typical: float | None,
        run_interval: float | None,
        now: float,
    ) -> bool:
        """Return whether a run is slow because its engine is slow."""
        if typical is None or run_interval is None:
            return False
        if run_interval < SLOW_FACTOR * typical:
            return False
        return self.is_slow(self.state(endpoint), typical, now)

    def record_start(
        self, endpoint: endpoints.Endpoint, tokens: int = 0
    ) -> None:
        """Record that a run of some tokens was assigned to an engine."""
        state = self.state(endpoint)
        state.running += 1
        state.is_probing = state.is_suspect
        if state.oversize_refusals and tokens > state.accepted_tokens:
            state.is_trying_oversize = True

    def record_acceptance(
        self, endpoint: endpoints.Endpoint, tokens: int = 0
    ) -> None:
        """Record that an engine accepted a run of some tokens."""
        state = self.state(endpoint)
        state.refusals = state.failures = 0
        state.is_probing = False
        if tokens > state.accepted_tokens:
            state.accepted_tokens = tokens
            state.is_trying_oversize = False
            state.oversize_refusals = 0
            state.oversize_until = float("-inf")
            state.much_larger_until = float("-inf")

    def record_end(self, endpoint: endpoints.Endpoint) -> None:
        """Record that a run left an engine."""
        state = self.state(endpoint)
        state.running = max(0, state.running - 1)
        state.is_probing = False
        state.is_trying_oversize = False

    def record_interval(
        self, endpoint: endpoints.Endpoint, seconds: float, now: float
    ) -> None:
        """Record the seconds between two events of a run."""
        state = self.state(endpoint)
        # Idle time between runs says nothing about the speed.
        since = min(seconds, now - state.observed_at)
        state.events += 1
        state.observed_at = now
        state.failures = 0
        previous = (
            state.mean_interval if state.mean_interval is not None else seconds
        )
        weight = 1 - math.exp(-since / _AVERAGING_SECONDS)
        state.mean_interval = previous + weight * (seconds - previous)
        if now - state.sampled_at >= _SAMPLE_SECONDS:
            state.sampled_at = now
            state.interval_samples.append(seconds)
            state.median_interval = statistics.median_low(
                state.interval_samples
            )

    def record_refusal(
        self, endpoint: endpoints.Endpoint, now: float, tokens: int = 0
    ) -> None:
        """Record that an engine refused a run of some tokens, and back off.

        It rejects a run that is larger than its memory as if it were full,
        which says nothing about smaller ones.
        """
        state = self.state(endpoint)
        if 0 < state.accepted_tokens < tokens:
            state.back_off_oversize(tokens, now)
            return
        if now < state.blocked_until:
            # Several runs were sent before the first refusal arrived.
            return
        backoff = _REFUSED_BACKOFF_SECONDS * 2**state.refusals
        state.refusals += 1
        state.is_failure_backoff = False
        state.blocked_until = now + min(_MAX_REFUSED_BACKOFF_SECONDS, backoff)

    def record_failure(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Record that an engine interrupted a run or didn't respond."""
        state = self.state(endpoint)
        if now < state.blocked_until:
            # All runs on an engine break together, which is one failure.
            return
        backoff = min(
            _MAX_FAILED_BACKOFF_SECONDS,
            _FAILED_BACKOFF_SECONDS * 2**state.failures,
        )
        state.failures += 1
        state.is_failure_backoff = True
        state.blocked_until = now + backoff

    def clear_failures(
        self, cleared: abc.Iterable[endpoints.Endpoint]
    ) -> None:
        """Forget the failures of engines, which had another cause."""
        for endpoint in cleared:
            state = self.state(endpoint)
            if state.has_ended:
                # Its backoff has another reason.
                continue
            state.failures = 0
            if state.is_failure_backoff:
                state.is_failure_backoff = False
                state.blocked_until = 0.0
            state.is_probing = state.is_probing and state.is_suspect

    def record_lifetime_end(
        self, endpoint_id: str, incarnation: int, now: float
    ) -> None:
        """Record that an incarnation of an engine is known to have ended."""
        state = self._states.for_key(endpoint_id, incarnation)
        if state.has_ended:
            return
        state.ended_at = now
        state.is_failure_backoff = True
        state.blocked_until = now + _ENDED_BACKOFF_SECONDS

    def end_backoff(self, endpoint_id: str, incarnation: int) -> None:
        """Record that an incarnation that was taken for ended lives."""
        state = self._states.for_key(endpoint_id, incarnation)
        state.ended_at = float("-inf")
        if state.is_failure_backoff:
            state.failures = 0
            state.blocked_until = 0.0

    def typical_median_interval(
        self, candidates: abc.Iterable[endpoints.Endpoint]
    ) -> float | None:
        """Return the median of the engines' long-term event intervals."""
        intervals = [
            state.median_interval
            for state in map(self.state, candidates)
            if state.median_interval is not None
        ]
        return statistics.median_low(intervals) if intervals else None

    @staticmethod
    def _relative_interval(state: EngineState, typical: float | None) -> float:
        """Return an engine's event interval relative to the typical one."""
        if typical is None or state.median_interval is None:
            return 1.0
        return max(_MIN_INTERVAL_FRACTION, state.median_interval / typical)


def order_items(
    groups: abc.Mapping[str, abc.Sequence[float]],
    carried_over: abc.Container[str] = (),
) -> list[tuple[str, int]]:
    """Return (group, index) pairs in the order in which items start.

    The values of groups are expected output tokens. Groups with the longest
    items start first, since the step lasts until its longest item ends.
    The items of a group stay together because they share a prompt. Groups
    carried over from an earlier step come before all others, since the trainer
    waits for every one of them.
    """
    longest = sorted(
        groups,
        key=lambda group: (
            group in carried_over,
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
