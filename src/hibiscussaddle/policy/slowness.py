"""Ejection of slow endpoints and their gradual return to service."""

import collections
from collections import abc
import dataclasses
import enum
import statistics
import typing

# An endpoint is slow above this multiple of its group's median.
SLOW_FACTOR: typing.Final = 3.0
# At most this fraction of a comparison group is ejected.
MAX_EJECTED_FRACTION: typing.Final = 1 / 3
# Smaller zones are compared with the whole region, since no endpoint could be
# ejected from a group of one or two.
MIN_GROUP_SIZE: typing.Final = 3
# An endpoint is ejected when the median of its last observations is slow, so
# two slow ones of three are enough.
WINDOW_SIZE: typing.Final = 3
FIRST_EJECTION_SECONDS: typing.Final = 2.0
MAX_EJECTION_SECONDS: typing.Final = 30.0
# Time in which an endpoint returns to its normal weight after an ejection.
RAMP_SECONDS: typing.Final = 5.0
RAMP_START_FRACTION: typing.Final = 0.1
# Shorter times to the first token are scheduling noise.
MIN_FIRST_TOKEN_SECONDS: typing.Final = 0.05
# Interval between computations of a group's medians: computing them for each
# chunk would cost more than relaying the chunk.
MEDIAN_REFRESH_SECONDS: typing.Final = 0.1
_SMOOTHING_FACTOR = 0.3


class State(enum.Enum):
    """Enumerate the states of an endpoint."""

    NORMAL = "normal"
    # The value is part of the public interface.
    EJECTED = "aside"
    RETURNING = "returning"


class _Window:
    """Hold the last observations and their median."""

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SIZE
        )
        self.median: float | None = None

    def add(self, value: float) -> None:
        self._values.append(value)
        self.median = statistics.median(self._values)

    def exceeds(self, group_median: float | None) -> bool:
        if group_median is None or self.median is None:
            return False
        if len(self._values) < WINDOW_SIZE:
            return False
        return self.median > SLOW_FACTOR * group_median

    def clear(self) -> None:
        self._values.clear()
        self.median = None


@dataclasses.dataclass(frozen=True)
class _Medians:
    computed_at: float
    token_interval: float | None
    first_token_time: float | None


@dataclasses.dataclass
class _EndpointStats:
    zone: str
    token_intervals: _Window = dataclasses.field(default_factory=_Window)
    first_token_times: _Window = dataclasses.field(default_factory=_Window)
    token_seconds: float | None = None
    state: State = State.NORMAL
    state_since: float = 0.0
    ejection_seconds: float = FIRST_EJECTION_SECONDS


class Detector:
    """Compare the observations of each endpoint with its group's median."""

    def __init__(self) -> None:
        """Start without observations."""
        self._stats: dict[str, _EndpointStats] = {}
        self._groups: dict[str, list[_EndpointStats]] = {}
        self._medians: dict[str, _Medians] = {}

    def set_endpoints(self, zones: abc.Mapping[str, str]) -> None:
        """Track exactly these endpoints, which are mapped to their zones."""
        for endpoint_id in set(self._stats) - set(zones):
            del self._stats[endpoint_id]
        for endpoint_id, zone in zones.items():
            stats = self._stats.setdefault(endpoint_id, _EndpointStats(zone))
            stats.zone = zone
        all_stats = list(self._stats.values())
        self._groups = {}
        for zone in set(zones.values()):
            zone_stats = [stats for stats in all_stats if stats.zone == zone]
            self._groups[zone] = (
                zone_stats if len(zone_stats) >= MIN_GROUP_SIZE else all_stats
            )
        self._medians = {}

    def observe_token_interval(
        self, endpoint_id: str, token_seconds: float, now: float
    ) -> None:
        """Record the seconds per token of one chunk."""
        stats = self._stats.get(endpoint_id)
        if stats is None:
            return
        stats.token_intervals.add(token_seconds)
        before = stats.token_seconds
        if before is None:
            stats.token_seconds = token_seconds
        else:
            stats.token_seconds = before + _SMOOTHING_FACTOR * (
                token_seconds - before
            )
        self._eject_if_slow(stats, now)

    def observe_first_token(
        self, endpoint_id: str, seconds: float, now: float
    ) -> None:
        """Record the seconds from sending to the first token."""
        stats = self._stats.get(endpoint_id)
        if stats is None:
            return
        stats.first_token_times.add(max(seconds, MIN_FIRST_TOKEN_SECONDS))
        self._eject_if_slow(stats, now)

    def token_seconds(self, endpoint_id: str) -> float | None:
        """Return the smoothed seconds per token."""
        stats = self._stats.get(endpoint_id)
        return stats.token_seconds if stats else None

    def state(self, endpoint_id: str) -> State:
        """Return the state of an endpoint."""
        stats = self._stats.get(endpoint_id)
        return stats.state if stats else State.NORMAL

    def weight(self, endpoint_id: str, now: float) -> float:
        """Return the fraction of normal work that the endpoint should get.

        It also ends an ejection whose time is over, and the ramp after it.
        """
        stats = self._stats.get(endpoint_id)
        if stats is None or stats.state is State.NORMAL:
            return 1.0
        if stats.state is State.EJECTED:
            if now < stats.state_since + stats.ejection_seconds:
                return 0.0
            self._start_ramp(stats, now)
        elapsed = now - stats.state_since
        if elapsed >= RAMP_SECONDS:
            stats.state = State.NORMAL
            stats.ejection_seconds = FIRST_EJECTION_SECONDS
            return 1.0
        return (
            RAMP_START_FRACTION
            + (1 - RAMP_START_FRACTION) * elapsed / RAMP_SECONDS
        )

    def ejected_ids(self) -> frozenset[str]:
        """Return the ids of the ejected endpoints."""
        return frozenset(
            key
            for key, stats in self._stats.items()
            if stats.state is State.EJECTED
        )

    def typical_latencies(
        self, zone: str, now: float
    ) -> tuple[float, float] | None:
        """Return the group's median token interval and time to first token.

        Both are in seconds; None while either is unknown.
        """
        if zone not in self._groups:
            return None
        medians = self._group_medians(zone, now)
        if medians.token_interval is None or medians.first_token_time is None:
            return None
        return medians.token_interval, medians.first_token_time

    def _eject_if_slow(self, stats: _EndpointStats, now: float) -> None:
        if stats.state is State.EJECTED:
            return
        medians = self._group_medians(stats.zone, now)
        is_slow = stats.token_intervals.exceeds(
            medians.token_interval
        ) or stats.first_token_times.exceeds(medians.first_token_time)
        if not is_slow:
            return
        group = self._groups[stats.zone]
        ejected_count = sum(item.state is State.EJECTED for item in group)
        if ejected_count + 1 > len(group) * MAX_EJECTED_FRACTION:
            return
        if stats.state is State.RETURNING:
            stats.ejection_seconds = min(
                MAX_EJECTION_SECONDS, 2 * stats.ejection_seconds
            )
        stats.state = State.EJECTED
        stats.state_since = now

    def _group_medians(self, zone: str, now: float) -> _Medians:
        current = self._medians.get(zone)
        if (
            current is not None
            and now < current.computed_at + MEDIAN_REFRESH_SECONDS
        ):
            return current
        group = self._groups[zone]
        medians = _Medians(
            now,
            _median([stats.token_intervals.median for stats in group]),
            _median([stats.first_token_times.median for stats in group]),
        )
        self._medians[zone] = medians
        return medians

    @staticmethod
    def _start_ramp(stats: _EndpointStats, now: float) -> None:
        stats.state = State.RETURNING
        stats.state_since = now
        stats.token_intervals.clear()
        stats.first_token_times.clear()
        stats.token_seconds = None


def _median(values: abc.Iterable[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return statistics.median(known) if known else None
