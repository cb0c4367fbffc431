"""Balance requests over endpoints and decide when to hedge.

This module only decides: time and randomness are arguments, and nothing is
sent.
"""

import collections
from collections import abc
import dataclasses
import random
import typing

from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations

# A hedge is sent when the first endpoint takes longer than this fraction of
# the route's latency target, so that the second one can still meet it.
HEDGE_TARGET_FRACTION: typing.Final = 0.4
# Number of newest latencies from which the median is taken.
_LATENCY_SAMPLES: typing.Final = 9
# An endpoint that failed gets no request for this long while others are
# available, doubled for each consecutive failure up to the maximum.
_FAILED_BACKOFF_SECONDS: typing.Final = 0.5
_MAX_FAILED_BACKOFF_SECONDS: typing.Final = 4.0
# The same once an endpoint is known to have ended. Its entry expires within
# 3.6 s, or is that of the next incarnation by then.
_ENDED_BACKOFF_SECONDS: typing.Final = 4.0
# The same after an endpoint refused a request because it was full.
_REFUSED_BACKOFF_SECONDS: typing.Final = 0.05
# Assumed latency of an endpoint without observations.
_INITIAL_LATENCY_SECONDS: typing.Final = 0.03
# Added latency of another zone: small, so that the own zone is only preferred
# among endpoints that are about equally fast.
_OTHER_ZONE_PENALTY_SECONDS: typing.Final = 0.004


@dataclasses.dataclass
class EndpointStats:
    """Hold what this instance observed of one endpoint incarnation."""

    # Requests that this instance sent and that have not ended.
    running: int = 0
    latencies: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_LATENCY_SAMPLES)
    )
    # Consecutive failures.
    failures: int = 0
    # Monotonic seconds at which the backoff ends.
    blocked_until: float = 0.0

    def latency(self) -> float:
        """Return the median of the newest latencies, in seconds."""
        if not self.latencies:
            return _INITIAL_LATENCY_SECONDS
        return sorted(self.latencies)[len(self.latencies) // 2]


class Balancer:
    """Track the latency and load of endpoints and choose among them."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Prefer endpoints of the given zone."""
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
        deferred: abc.Container[str] = (),
    ) -> endpoints.Endpoint | None:
        """Return the endpoint with the least expected latency.

        Deferred endpoints come after all others that are not in backoff.
        """
        best: tuple[tuple[bool, bool, float, float], endpoints.Endpoint] | None
        best = None
        for endpoint in candidates:
            if endpoint.id in tried:
                continue
            stats = self.stats(endpoint)
            expected_latency = stats.latency() * (
                1 + stats.running / endpoint.slots
            )
            if endpoint.zone != self._zone:
                expected_latency += _OTHER_ZONE_PENALTY_SECONDS
            # An endpoint in backoff is still better than none.
            blocked = now < stats.blocked_until
            is_deferred = endpoint.id in deferred
            rank = (
                blocked,
                is_deferred,
                expected_latency,
                self._rng.random(),
            )
            if best is None or rank < best[0]:
                best = (rank, endpoint)
        return best[1] if best else None

    def record_success(
        self, endpoint: endpoints.Endpoint, seconds: float
    ) -> None:
        """Record the latency of a response."""
        stats = self.stats(endpoint)
        stats.failures = 0
        stats.blocked_until = 0.0
        stats.latencies.append(seconds)

    def record_slow_response(
        self, endpoint: endpoints.Endpoint, seconds: float
    ) -> None:
        """Record that a response takes longer than these seconds."""
        self.stats(endpoint).latencies.append(seconds)

    def record_refusal(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Record that an endpoint refused a request."""
        self.stats(endpoint).blocked_until = now + _REFUSED_BACKOFF_SECONDS

    def record_failure(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Record that an endpoint gave no valid response."""
        stats = self.stats(endpoint)
        wait = min(
            _MAX_FAILED_BACKOFF_SECONDS,
            _FAILED_BACKOFF_SECONDS * 2**stats.failures,
        )
        stats.failures += 1
        stats.blocked_until = now + wait

    def clear_failures(
        self, cleared: abc.Iterable[endpoints.Endpoint]
    ) -> None:
        """Forget the failures of endpoints, which had another cause."""
        for endpoint in cleared:
            stats = self.stats(endpoint)
            stats.failures = 0
            stats.blocked_until = 0.0

    def record_lifetime_end(
        self, endpoint_id: str, incarnation: int, now: float
    ) -> None:
        """Record that an incarnation is known to have ended."""
        stats = self._stats.for_key(endpoint_id, incarnation)
        stats.blocked_until = now + _ENDED_BACKOFF_SECONDS

    def end_backoff(self, endpoint_id: str, incarnation: int) -> None:
        """Record that an incarnation that failed was reached again."""
        stats = self._stats.for_key(endpoint_id, incarnation)
        stats.failures = 0
        stats.blocked_until = 0.0


def hedge_delay(latency_target: float, seconds_left: float) -> float:
    """Return the seconds between the first attempt and its hedge."""
    return min(HEDGE_TARGET_FRACTION * latency_target, seconds_left / 2)
