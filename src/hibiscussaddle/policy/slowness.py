"""Detection of slow endpoints and their gradual return to service."""

import collections
from collections import abc
import dataclasses
import enum
import statistics
import typing

SLOW_FACTOR: typing.Final = 3.0
# At most this part of a comparison group is set aside.
MAX_EJECTED_FRACTION: typing.Final = 1 / 3
# Smaller zones are compared with the whole region: a third of one or two
# endpoints is none.
MIN_GROUP_SIZE: typing.Final = 3
# Two slow observations of the last three set an endpoint aside.
WINDOW_SIZE: typing.Final = 3
FIRST_EJECTION_SECONDS: typing.Final = 2.0
MAX_EJECTION_SECONDS: typing.Final = 30.0
RAMP_SECONDS: typing.Final = 5.0
RAMP_START_FRACTION: typing.Final = 0.1
# First-token times below this are scheduling noise, not slowness.
MIN_FIRST_TOKEN_SECONDS: typing.Final = 0.05
# Group medians are computed again after this time: once a chunk would
# cost more than relaying it.
MEDIAN_REFRESH_SECONDS: typing.Final = 0.1
_SMOOTHING_FACTOR = 0.3


class State(enum.Enum):
    """List the states of one endpoint."""

    NORMAL = "normal"
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

    def exceeds(self, typical: float | None) -> bool:
        if typical is None or self.median is None:
            return False
        if len(self._values) < WINDOW_SIZE:
            return False
        return self.median > SLOW_FACTOR * typical

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
    """Compare each endpoint's own observations with its group's median."""

    def __init__(self) -> None:
        """Start without observations."""
        self._stats: dict[str, _EndpointStats] = {}
        self._groups: dict[str, list[_EndpointStats]] = {}
        self._medians: dict[str, _Medians] = {}

    def set_endpoints(self, zones: abc.Mapping[str, str]) -> None:
        """Follow exactly these endpoints, given with their zones."""
        for endpoint_id in set(self._stats) - set(zones):
            del self._stats[endpoint_id]
        for endpoint_id, zone in zones.items():
            track = self._stats.setdefault(endpoint_id, _EndpointStats(zone))
            track.zone = zone
        tracks = list(self._stats.values())
        self._groups = {}
        for zone in set(zones.values()):
            own = [track for track in tracks if track.zone == zone]
            self._groups[zone] = own if len(own) >= MIN_GROUP_SIZE else tracks
        self._medians = {}

    def observe_token_interval(
        self, endpoint_id: str, token_seconds: float, now: float
    ) -> None:
        """Note the seconds for each token of one chunk."""
        track = self._stats.get(endpoint_id)
        if track is None:
            return
        track.token_intervals.add(token_seconds)
        before = track.token_seconds
        if before is None:
            track.token_seconds = token_seconds
        else:
            track.token_seconds = before + _SMOOTHING_FACTOR * (
                token_seconds - before
            )
        self._eject_if_slow(track, now)

    def observe_first_token(
        self, endpoint_id: str, seconds: float, now: float
    ) -> None:
        """Note the time from sending to the first token."""
        track = self._stats.get(endpoint_id)
        if track is None:
            return
        track.first_token_times.add(max(seconds, MIN_FIRST_TOKEN_SECONDS))
        self._eject_if_slow(track, now)

    def token_seconds(self, endpoint_id: str) -> float | None:
        """Return the smoothed seconds for each token."""
        track = self._stats.get(endpoint_id)
        return track.token_seconds if track else None

    def state(self, endpoint_id: str) -> State:
        """Return the state of an endpoint."""
        track = self._stats.get(endpoint_id)
        return track.state if track else State.NORMAL

    def weight(self, endpoint_id: str, now: float) -> float:
        """Return the part of its normal work the endpoint should get."""
        track = self._stats.get(endpoint_id)
        if track is None or track.state is State.NORMAL:
            return 1.0
        if track.state is State.EJECTED:
            if now < track.state_since + track.ejection_seconds:
                return 0.0
            self._start_ramp(track, now)
        passed = now - track.state_since
        if passed >= RAMP_SECONDS:
            track.state = State.NORMAL
            track.ejection_seconds = FIRST_EJECTION_SECONDS
            return 1.0
        return (
            RAMP_START_FRACTION
            + (1 - RAMP_START_FRACTION) * passed / RAMP_SECONDS
        )

    def ejected_ids(self) -> frozenset[str]:
        """Return the endpoints that are set aside."""
        return frozenset(
            key
            for key, track in self._stats.items()
            if track.state is State.EJECTED
        )

    def typical_intervals(
        self, zone: str, now: float
    ) -> tuple[float, float] | None:
        """Return a group's medians of token gap and first-token time."""
        if zone not in self._groups:
            return None
        medians = self._group_medians(zone, now)
        if medians.token_interval is None or medians.first_token_time is None:
            return None
        return medians.token_interval, medians.first_token_time

    def _eject_if_slow(self, track: _EndpointStats, now: float) -> None:
        if track.state is State.EJECTED:
            return
        medians = self._group_medians(track.zone, now)
        is_slow = track.token_intervals.exceeds(
            medians.token_interval
        ) or track.first_token_times.exceeds(medians.first_token_time)
        if not is_slow:
            return
        group = self._groups[track.zone]
        count = sum(t.state is State.EJECTED for t in group)
        if count + 1 > len(group) * MAX_EJECTED_FRACTION:
            return
        if track.state is State.RETURNING:
            track.ejection_seconds = min(
                MAX_EJECTION_SECONDS, 2 * track.ejection_seconds
            )
        track.state = State.EJECTED
        track.state_since = now

    def _group_medians(self, zone: str, now: float) -> _Medians:
        known = self._medians.get(zone)
        if (
            known is not None
            and now < known.computed_at + MEDIAN_REFRESH_SECONDS
        ):
            return known
        group = self._groups[zone]
        medians = _Medians(
            now,
            _median([track.token_intervals.median for track in group]),
            _median([track.first_token_times.median for track in group]),
        )
        self._medians[zone] = medians
        return medians

    @staticmethod
    def _start_ramp(track: _EndpointStats, now: float) -> None:
        track.state = State.RETURNING
        track.state_since = now
        track.token_intervals.clear()
        track.first_token_times.clear()
        track.token_seconds = None


def _median(values: abc.Iterable[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return statistics.median(known) if known else None
