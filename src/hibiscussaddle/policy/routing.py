"""Choice of endpoint: outstanding work, prefix affinity, power of two."""

import collections
from collections import abc
import dataclasses
import random
import typing

# Reports and peer facts older than this describe work that has ended.
MAX_AGE_SECONDS: typing.Final = 5.0
# Tokens that a cached prefix saves; the engines' prompt work is about 8.
PREFIX_TOKENS: typing.Final = 8.0
# Cost of another zone in tokens; one-way latency there is 0.5 to 1.5 ms.
OTHER_ZONE_TOKENS: typing.Final = 2.0
# Weight of occupied slots below saturation; it spreads work evenly.
SPREAD_TOKENS: typing.Final = 16.0
DEFAULT_TOKEN_SECONDS: typing.Final = 0.02
_MAX_HISTORY_ENTRIES = 4096
_MAX_MIRRORED_PREFIXES = 64


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Hold what an engine said about itself, some time ago."""

    # Monotonic seconds at which the numbers were true.
    taken_at: float
    running: int
    waiting: int
    slots: int
    # None while the engine does not know which weights it serves.
    version: int | None = None
    incarnation: int = 0


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """Hold one peer's own outstanding requests by endpoint id."""

    taken_at: float
    outstanding: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class Candidate:
    """Describe an endpoint at the moment of the choice."""

    id: str
    zone: str
    slots: int
    # Estimate of the requests that run or wait on it, from everyone.
    outstanding: float = 0.0
    token_seconds: float | None = None
    # 0 is set aside, between 0 and 1 is returning gradually.
    weight: float = 1.0
    is_marked: bool = False
    version: int | None = None
    has_prefix: bool = False


@dataclasses.dataclass(frozen=True)
class Requirements:
    """Describe the work to be placed."""

    zone: str
    expected_tokens: float
    # Typical length of the work ahead of it, in tokens.
    typical_tokens: float = 64.0
    # Weight versions that keep the result within its staleness bound.
    min_version: int | None = None
    # Largest outstanding work per slot that still leaves room.
    max_load_per_slot: float | None = None
    excluded_ids: frozenset[str] = frozenset()


def cost(candidate: Candidate, wish: Requirements) -> float:
    """Return the expected seconds until the work would end there."""
    slots = max(1, candidate.slots)
    over = max(0.0, candidate.outstanding + 1 - slots)
    tokens = wish.expected_tokens + over * wish.typical_tokens / slots
    tokens += SPREAD_TOKENS * candidate.outstanding / slots
    if candidate.zone != wish.zone:
        tokens += OTHER_ZONE_TOKENS
    if not candidate.has_prefix:
        tokens += PREFIX_TOKENS
    return tokens * (candidate.token_seconds or DEFAULT_TOKEN_SECONDS)


def is_allowed(candidate: Candidate, wish: Requirements) -> bool:
    """Return whether work may go there at all."""
    if candidate.is_marked or candidate.id in wish.excluded_ids:
        return False
    if wish.min_version is None:
        return True
    version = candidate.version
    return version is not None and version >= wish.min_version


def has_room(candidate: Candidate, wish: Requirements) -> bool:
    """Return whether the work would start soon after it is sent."""
    if wish.max_load_per_slot is None:
        return True
    return candidate.outstanding + 1 <= max(
        1.0, candidate.slots * wish.max_load_per_slot
    )


def choose(
    candidates: abc.Sequence[Candidate], wish: Requirements, rng: random.Random
) -> Candidate | None:
    """Return the cheaper of two random candidates; None without one.

    A candidate that returns after a slow time takes part with a chance
    equal to its weight. When only set-aside ones have room they are used:
    refusing everything would be worse than slow answers.
    """
    fit = [
        item
        for item in candidates
        if is_allowed(item, wish) and has_room(item, wish)
    ]
    active = [
        item
        for item in fit
        if item.weight >= 1.0 or rng.random() < item.weight
    ]
    if not active:
        active = [item for item in fit if item.weight > 0.0]
    if not active:
        # Waiting for a healthy endpoint is better while one exists.
        healthy = any(
            item.weight > 0.0 and is_allowed(item, wish) for item in candidates
        )
        if healthy:
            return None
        active = fit
    if not active:
        return None
    pair = rng.sample(active, min(2, len(active)))
    return min(pair, key=lambda item: cost(item, wish))


class LoadTracker:
    """Estimate each endpoint's outstanding work from three sources.

    Own work is exact. The work of others is taken from the fresher of the
    peers' facts and the engine's report minus what was own work then, so
    that work sent after the report was taken is not forgotten.
    """

    def __init__(self) -> None:
        """Start with no work."""
        self._own: collections.Counter[str] = collections.Counter()
        self._history: dict[str, collections.deque[tuple[float, int]]] = {}
        self._reports: dict[str, LoadReport] = {}
        # Work of others as each report shows it.
        self._others_by_report: dict[str, float] = {}
        self._peers: dict[str, PeerLoad] = {}

    def start(self, endpoint_id: str, now: float) -> None:
        """Count one request as sent."""
        self._own[endpoint_id] += 1
        self._record_own(endpoint_id, now)

    def finish(self, endpoint_id: str, now: float) -> None:
        """Count one request as ended."""
        self._own[endpoint_id] -= 1
        self._record_own(endpoint_id, now)

    def _record_own(self, endpoint_id: str, now: float) -> None:
        history = self._history.setdefault(
            endpoint_id, collections.deque(maxlen=_MAX_HISTORY_ENTRIES)
        )
        history.append((now, self._own[endpoint_id]))
        while len(history) > 1 and history[1][0] < now - 2 * MAX_AGE_SECONDS:
            history.popleft()

    def own_outstanding(self, endpoint_id: str) -> int:
        """Return own outstanding requests."""
        return self._own[endpoint_id]

    def own_loads(self) -> dict[str, int]:
        """Return own outstanding requests by endpoint, for the peers."""
        return {key: count for key, count in self._own.items() if count > 0}

    def apply_report(self, endpoint_id: str, report: LoadReport) -> None:
        """Keep an engine's report unless a newer one is known."""
        current = self._reports.get(endpoint_id)
        if current is not None and report.taken_at < current.taken_at:
            return
        self._reports[endpoint_id] = report
        own_then = self._own_at(endpoint_id, report.taken_at)
        total = report.running + report.waiting
        self._others_by_report[endpoint_id] = max(0.0, float(total - own_then))

    def apply_peer_load(self, instance: str, load: PeerLoad) -> None:
        """Keep a peer's fact unless a newer one is known."""
        current = self._peers.get(instance)
        if current is None or load.taken_at >= current.taken_at:
            self._peers[instance] = load

    def remove_peer(self, instance: str) -> None:
        """Drop the fact of a dead peer."""
        self._peers.pop(instance, None)

    def last_report(self, endpoint_id: str) -> LoadReport | None:
        """Return the last report of an engine."""
        return self._reports.get(endpoint_id)

    def outstanding(self, endpoint_id: str, now: float) -> float:
        """Return the estimate of everyone's outstanding requests."""
        horizon = now - MAX_AGE_SECONDS
        newest = -1.0
        others = 0.0
        for peer in self._peers.values():
            if peer.taken_at >= horizon:
                newest = max(newest, peer.taken_at)
                others += peer.outstanding.get(endpoint_id, 0)
        report = self._reports.get(endpoint_id)
        if report is not None and report.taken_at >= horizon:
            if report.taken_at > newest:
                others = self._others_by_report[endpoint_id]
        return self._own[endpoint_id] + others

    def _own_at(self, endpoint_id: str, when: float) -> int:
        for at, value in reversed(self._history.get(endpoint_id, ())):
            if at <= when:
                return value
        return 0


class PrefixMirror:
    """Mirror the prefix caches of the engines from late, lossy events."""

    def __init__(self, capacity: int = _MAX_MIRRORED_PREFIXES) -> None:
        """Mirror at most `capacity` prefixes an endpoint."""
        self._capacity = capacity
        self._caches: dict[str, dict[str, None]] = {}
        self._incarnations: dict[str, int] = {}
        self._last_numbers: dict[str, int] = {}

    def touch(self, endpoint_id: str, prefix: str) -> None:
        """Note that the endpoint just computed a prefix."""
        cache = self._caches.setdefault(endpoint_id, {})
        cache.pop(prefix, None)
        cache[prefix] = None
        while len(cache) > self._capacity:
            cache.pop(next(iter(cache)))

    def apply_events(
        self,
        endpoint_id: str,
        incarnation: int,
        events: abc.Iterable[tuple[int, str]],
    ) -> None:
        """Apply numbered events; a lost one counts as an unknown prefix."""
        if self._incarnations.get(endpoint_id) != incarnation:
            self._incarnations[endpoint_id] = incarnation
            self._caches.pop(endpoint_id, None)
            self._last_numbers.pop(endpoint_id, None)
        for number, prefix in events:
            last = self._last_numbers.get(endpoint_id, number - 1)
            if number <= last:
                continue
            first_lost = max(last + 1, number - self._capacity)
            for lost in range(first_lost, number):
                self.touch(endpoint_id, f"\0lost {lost}")
            self._last_numbers[endpoint_id] = number
            self.touch(endpoint_id, prefix)

    def last_event(self, endpoint_id: str) -> int:
        """Return the number of the last event heard, 0 without one."""
        return self._last_numbers.get(endpoint_id, 0)

    def has(self, endpoint_id: str, prefix: str) -> bool:
        """Return whether the endpoint probably has the prefix."""
        return prefix in self._caches.get(endpoint_id, ())
