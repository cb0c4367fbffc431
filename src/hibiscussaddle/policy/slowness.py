"""Detection of slow endpoints and their gradual return to service."""

import collections
from collections import abc
import dataclasses
import enum
import statistics
import typing

SLOW_FACTOR: typing.Final = 3.0
# At most this part of a comparison group is set aside.
MAX_ASIDE: typing.Final = 1 / 3
# Smaller zones are compared with the whole region: a third of one or two
# endpoints is none.
MIN_GROUP: typing.Final = 3
# Two slow observations of the last three set an endpoint aside.
WINDOW: typing.Final = 3
FIRST_ASIDE_SECONDS: typing.Final = 2.0
MAX_ASIDE_SECONDS: typing.Final = 30.0
RAMP_SECONDS: typing.Final = 5.0
RAMP_START: typing.Final = 0.1
# First-token times below this are scheduling noise, not slowness.
MIN_FIRST_TOKEN_SECONDS: typing.Final = 0.05
_SMOOTHING = 0.3


class State(enum.Enum):
    """List the states of one endpoint."""

    NORMAL = "normal"
    ASIDE = "aside"
    RETURNING = "returning"


def _window() -> collections.deque[float]:
    return collections.deque(maxlen=WINDOW)


@dataclasses.dataclass
class _Track:
    zone: str
    gaps: collections.deque[float] = dataclasses.field(default_factory=_window)
    firsts: collections.deque[float] = dataclasses.field(
        default_factory=_window
    )
    token_seconds: float | None = None
    state: State = State.NORMAL
    since: float = 0.0
    aside_seconds: float = FIRST_ASIDE_SECONDS


class Detector:
    """Compare each endpoint's own observations with its group's median."""

    def __init__(self) -> None:
        """Start without observations."""
        self._tracks: dict[str, _Track] = {}

    def set_endpoints(self, zones: abc.Mapping[str, str]) -> None:
        """Follow exactly these endpoints, given with their zones."""
        for endpoint_id in set(self._tracks) - set(zones):
            del self._tracks[endpoint_id]
        for endpoint_id, zone in zones.items():
            track = self._tracks.setdefault(endpoint_id, _Track(zone))
            track.zone = zone

    def observe_gap(
        self, endpoint_id: str, token_seconds: float, now: float
    ) -> None:
        """Note the seconds for each token of one chunk."""
        track = self._tracks.get(endpoint_id)
        if track is None:
            return
        track.gaps.append(token_seconds)
        before = track.token_seconds
        if before is None:
            track.token_seconds = token_seconds
        else:
            track.token_seconds = before + _SMOOTHING * (
                token_seconds - before
            )
        self._judge(endpoint_id, track, now)

    def observe_first_token(
        self, endpoint_id: str, seconds: float, now: float
    ) -> None:
        """Note the time from sending to the first token."""
        track = self._tracks.get(endpoint_id)
        if track is None:
            return
        track.firsts.append(max(seconds, MIN_FIRST_TOKEN_SECONDS))
        self._judge(endpoint_id, track, now)

    def token_seconds(self, endpoint_id: str) -> float | None:
        """Return the smoothed seconds for each token."""
        track = self._tracks.get(endpoint_id)
        return track.token_seconds if track else None

    def state(self, endpoint_id: str) -> State:
        """Return the state of an endpoint."""
        track = self._tracks.get(endpoint_id)
        return track.state if track else State.NORMAL

    def weight(self, endpoint_id: str, now: float) -> float:
        """Return the part of its normal work the endpoint should get."""
        track = self._tracks.get(endpoint_id)
        if track is None or track.state is State.NORMAL:
            return 1.0
        if track.state is State.ASIDE:
            if now < track.since + track.aside_seconds:
                return 0.0
            self._return(track, now)
        passed = now - track.since
        if passed >= RAMP_SECONDS:
            track.state = State.NORMAL
            track.aside_seconds = FIRST_ASIDE_SECONDS
            return 1.0
        return RAMP_START + (1 - RAMP_START) * passed / RAMP_SECONDS

    def aside(self) -> frozenset[str]:
        """Return the endpoints that are set aside."""
        return frozenset(
            key
            for key, track in self._tracks.items()
            if track.state is State.ASIDE
        )

    def is_slow(self, endpoint_id: str) -> bool:
        """Tell whether recent observations exceed the group's median."""
        track = self._tracks.get(endpoint_id)
        if track is None:
            return False
        group = self._group(track.zone)
        return _exceeds(track.gaps, [t.gaps for t in group]) or _exceeds(
            track.firsts, [t.firsts for t in group]
        )

    def _judge(self, endpoint_id: str, track: _Track, now: float) -> None:
        if not self.is_slow(endpoint_id):
            return
        if track.state is State.ASIDE:
            return
        group = self._group(track.zone)
        count = sum(t.state is State.ASIDE for t in group)
        if count + 1 > len(group) * MAX_ASIDE:
            return
        if track.state is State.RETURNING:
            track.aside_seconds = min(
                MAX_ASIDE_SECONDS, 2 * track.aside_seconds
            )
        track.state = State.ASIDE
        track.since = now

    def _group(self, zone: str) -> list[_Track]:
        own = [t for t in self._tracks.values() if t.zone == zone]
        if len(own) >= MIN_GROUP:
            return own
        return list(self._tracks.values())

    @staticmethod
    def _return(track: _Track, now: float) -> None:
        track.state = State.RETURNING
        track.since = now
        track.gaps.clear()
        track.firsts.clear()
        track.token_seconds = None


def _exceeds(
    own: abc.Sequence[float], group: abc.Sequence[abc.Sequence[float]]
) -> bool:
    if len(own) < WINDOW:
        return False
    medians = [statistics.median(values) for values in group if values]
    limit = SLOW_FACTOR * statistics.median(medians)
    return statistics.median(own) > limit
