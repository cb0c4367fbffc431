"""Choose the endpoint of each request and decide on hedges.

Pure decisions: time and randomness are passed in, nothing is sent.
"""

import collections
from collections import abc
import dataclasses
import random
import typing

from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations

# A second endpoint is asked when the first one takes longer than this part
# of the route's latency target, so that the second can still meet it.
HEDGE_TARGET_PART: typing.Final = 0.4
# Latencies that the median of an endpoint is taken over.
_WINDOW: typing.Final = 9
# An endpoint that failed gets no request for this long while others are
# left, doubled for each failure in a row up to the limit, in seconds.
_FAILED_SECONDS: typing.Final = 0.5
_MAX_FAILED_SECONDS: typing.Final = 4.0
# The same after it refused a request as full.
_FULL_SECONDS: typing.Final = 0.05
# Latency of an endpoint without observations, in seconds.
_FIRST_LATENCY: typing.Final = 0.03
# Added latency of another zone, in seconds: prefers the own zone only
# between endpoints that are equally fast.
_ZONE_SECONDS: typing.Final = 0.004


@dataclasses.dataclass
class EndpointStats:
    """Hold what this instance observed of one endpoint incarnation."""

    running: int = 0
    latencies: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_WINDOW)
    )
    failures: int = 0
    blocked_until: float = 0.0

    def latency(self) -> float:
        """Return the median of the newest latencies in seconds."""
        if not self.latencies:
            return _FIRST_LATENCY
        return sorted(self.latencies)[len(self.latencies) // 2]


class Balancer:
    """Track endpoints and choose among them."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Prefer endpoints of the own zone."""
        self._zone = zone
        self._rng = rng
        self._stats = observations.Observations(EndpointStats)

    def stats(self, endpoint: endpoints.Endpoint) -> EndpointStats:
        """Return the observations of an endpoint's incarnation."""
        return self._stats.for_endpoint(endpoint)

    def choose(
        self,
        candidates: abc.Iterable[endpoints.Endpoint],
        now: float,
        tried: abc.Container[str] = (),
    ) -> endpoints.Endpoint | None:
        """Return the endpoint with the least expected latency."""
        best: tuple[tuple[bool, float, float], endpoints.Endpoint] | None
        best = None
        for endpoint in candidates:
            if endpoint.id in tried:
                continue
            stats = self.stats(endpoint)
            cost = stats.latency() * (1 + stats.running / endpoint.slots)
            if endpoint.zone != self._zone:
                cost += _ZONE_SECONDS
            # A blocked endpoint is still better than none.
            blocked = now < stats.blocked_until
            rank = (blocked, cost, self._rng.random())
            if best is None or rank < best[0]:
                best = (rank, endpoint)
        return best[1] if best else None

    def succeeded(self, endpoint: endpoints.Endpoint, seconds: float) -> None:
        """Note the latency of an answer."""
        stats = self.stats(endpoint)
        stats.failures = 0
        stats.blocked_until = 0.0
        stats.latencies.append(seconds)

    def overdue(self, endpoint: endpoints.Endpoint, seconds: float) -> None:
        """Note that an endpoint took longer than these seconds."""
        self.stats(endpoint).latencies.append(seconds)

    def refused(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Note that an endpoint was full."""
        self.stats(endpoint).blocked_until = now + _FULL_SECONDS

    def failed(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Note that an endpoint gave no usable answer."""
        stats = self.stats(endpoint)
        wait = min(_MAX_FAILED_SECONDS, _FAILED_SECONDS * 2**stats.failures)
        stats.failures += 1
        stats.blocked_until = now + wait


def hedge_seconds(target: float, left: float) -> float:
    """Return when a second endpoint is asked, in seconds from the first."""
    return min(HEDGE_TARGET_PART * target, left / 2)
