"""Choice of endpoint by outstanding work, prefix affinity and zone."""

import collections
from collections import abc
import dataclasses
import random
import typing

# Reports and peers' facts older than this describe work that has ended.
MAX_AGE_SECONDS: typing.Final = 5.0
# Tokens that a cached prefix saves: processing a prompt costs an engine about
# as much as 8 tokens of output.
PREFIX_TOKENS: typing.Final = 8.0
# Cost of another zone in tokens; the one-way latency is 0.5 to 1.5 ms.
OTHER_ZONE_TOKENS: typing.Final = 2.0
# Cost in tokens of a fully occupied endpoint; it spreads work evenly below
# saturation.
SPREAD_TOKENS: typing.Final = 16.0
# Assumed of an endpoint whose token interval is not known yet.
DEFAULT_TOKEN_SECONDS: typing.Final = 0.02
_MAX_HISTORY_ENTRIES = 4096
_MAX_MIRRORED_PREFIXES = 64


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Hold the load that an engine reported some time ago."""

    # Monotonic seconds at which the engine read these values.
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
    # Estimate of the requests of all instances that run or wait there.
    outstanding: float = 0.0
    token_seconds: float | None = None
    # 0 is ejected, between 0 and 1 is returning gradually.
    weight: float = 1.0
    is_marked: bool = False
    version: int | None = None
    has_prefix: bool = False


@dataclasses.dataclass(frozen=True)
class Requirements:
    """Describe the work to be placed and what its endpoint must fulfil."""

    zone: str
    expected_tokens: float
    # Typical length of the requests queued before it, in tokens.
    typical_tokens: float = 64.0
    # Oldest weight version that keeps the result within its staleness bound.
    min_version: int | None = None
    # Largest number of outstanding requests per slot; None for no limit.
    max_load_per_slot: float | None = None
    excluded_ids: frozenset[str] = frozenset()


def cost(candidate: Candidate, requirements: Requirements) -> float:
    """Return the expected seconds until the work ends on the candidate.

    Costs of another zone, of occupied slots and of a missing prefix are
    included.
    """
    slots = max(1, candidate.slots)
    excess = max(0.0, candidate.outstanding + 1 - slots)
    tokens = (
        requirements.expected_tokens
        + excess * requirements.typical_tokens / slots
    )
    tokens += SPREAD_TOKENS * candidate.outstanding / slots
    if candidate.zone != requirements.zone:
        tokens += OTHER_ZONE_TOKENS
    if not candidate.has_prefix:
        tokens += PREFIX_TOKENS
    return tokens * (candidate.token_seconds or DEFAULT_TOKEN_SECONDS)


def is_allowed(candidate: Candidate, requirements: Requirements) -> bool:
    """Return whether the candidate may get the work, whatever its load."""
    if candidate.is_marked or candidate.id in requirements.excluded_ids:
        return False
    if requirements.min_version is None:
        return True
    version = candidate.version
    return version is not None and version >= requirements.min_version


def has_room(candidate: Candidate, requirements: Requirements) -> bool:
    """Return whether the candidate's load is below the limit."""
    if requirements.max_load_per_slot is None:
        return True
    return candidate.outstanding + 1 <= max(
        1.0, candidate.slots * requirements.max_load_per_slot
    )


def choose(
    candidates: abc.Sequence[Candidate],
    requirements: Requirements,
    rng: random.Random,
) -> Candidate | None:
    """Return the cheaper of two random candidates; None without one.

    A candidate that returns from ejection is considered with a probability
    equal to its weight. Ejected candidates are used only when no other may
    get the work: refusing everything would be worse than slow responses.
    """
    eligible = [
        item
        for item in candidates
        if is_allowed(item, requirements) and has_room(item, requirements)
    ]
    active = [
        item
        for item in eligible
        if item.weight >= 1.0 or rng.random() < item.weight
    ]
    if not active:
        active = [item for item in eligible if item.weight > 0.0]
    if not active:
        # While a healthy endpoint exists, the work should wait for it.
        healthy = any(
            item.weight > 0.0 and is_allowed(item, requirements)
            for item in candidates
        )
        if healthy:
            return None
        active = eligible
    if not active:
        return None
    pair = rng.sample(active, min(2, len(active)))
    return min(pair, key=lambda item: cost(item, requirements))


class LoadTracker:
    """Estimate the outstanding requests of each endpoint from three sources.

    The number of own requests is exact. Those of others are taken from the
    fresher of the peers' facts and the engine's report, less the own requests
    at the time of the report. Own requests that were sent after the report
    was taken are therefore included.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._own: collections.Counter[str] = collections.Counter()
        self._history: dict[str, collections.deque[tuple[float, int]]] = {}
        self._reports: dict[str, LoadReport] = {}
        # Requests of others by endpoint, derived from its report.
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
        """Return the number of own outstanding requests."""
        return self._own[endpoint_id]

    def own_loads(self) -> dict[str, int]:
        """Return the numbers of own outstanding requests by endpoint."""
        return {key: count for key, count in self._own.items() if count > 0}

    def apply_report(self, endpoint_id: str, report: LoadReport) -> None:
        """Store an engine's report unless a newer one is known."""
        current = self._reports.get(endpoint_id)
        if current is not None and report.taken_at < current.taken_at:
            return
        self._reports[endpoint_id] = report
        own_count = self._own_at(endpoint_id, report.taken_at)
        total = report.running + report.waiting
        self._others_by_report[endpoint_id] = max(
            0.0, float(total - own_count)
        )

    def apply_peer_load(self, instance: str, load: PeerLoad) -> None:
        """Store a peer's load unless a newer one is known."""
        current = self._peers.get(instance)
        if current is None or load.taken_at >= current.taken_at:
            self._peers[instance] = load

    def remove_peer(self, instance: str) -> None:
        """Remove the load of a dead peer."""
        self._peers.pop(instance, None)

    def last_report(self, endpoint_id: str) -> LoadReport | None:
        """Return the newest report of an engine."""
        return self._reports.get(endpoint_id)

    def outstanding(self, endpoint_id: str, now: float) -> float:
        """Return the estimated outstanding requests of all instances."""
        oldest_at = now - MAX_AGE_SECONDS
        newest = -1.0
        others = 0.0
        for peer in self._peers.values():
            if peer.taken_at >= oldest_at:
                newest = max(newest, peer.taken_at)
                others += peer.outstanding.get(endpoint_id, 0)
        report = self._reports.get(endpoint_id)
        if report is not None and report.taken_at >= oldest_at:
            if report.taken_at > newest:
                others = self._others_by_report[endpoint_id]
        return self._own[endpoint_id] + others

    def _own_at(self, endpoint_id: str, when: float) -> int:
        for at, value in reversed(self._history.get(endpoint_id, ())):
            if at <= when:
                return value
        return 0


class PrefixMirror:
    """Mirror the engines' prefix caches from delayed and lossy events."""

    def __init__(self, capacity: int = _MAX_MIRRORED_PREFIXES) -> None:
        """Mirror at most `capacity` prefixes for each endpoint."""
        self._capacity = capacity
        self._caches: dict[str, dict[str, None]] = {}
        self._incarnations: dict[str, int] = {}
        self._last_numbers: dict[str, int] = {}

    def touch(self, endpoint_id: str, prefix: str) -> None:
        """Record that the endpoint has just computed a prefix."""
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
        """Apply numbered events; a missing one counts as an unknown prefix."""
        if self._incarnations.get(endpoint_id) != incarnation:
            self._incarnations[endpoint_id] = incarnation
            self._caches.pop(endpoint_id, None)
            self._last_numbers.pop(endpoint_id, None)
        for number, prefix in events:
            last = self._last_numbers.get(endpoint_id, number - 1)
            if number <= last:
                continue
            first_lost = max(last + 1, number - self._capacity)
            # A placeholder takes the place of each unknown prefix, so that the
            # mirror evicts at least what the engine has evicted.
            for lost in range(first_lost, number):
                self.touch(endpoint_id, f"\0lost {lost}")
            self._last_numbers[endpoint_id] = number
            self.touch(endpoint_id, prefix)

    def last_event(self, endpoint_id: str) -> int:
        """Return the number of the last event received, 0 without one."""
        return self._last_numbers.get(endpoint_id, 0)

    def has(self, endpoint_id: str, prefix: str) -> bool:
        """Return whether the endpoint probably caches the prefix."""
        return prefix in self._caches.get(endpoint_id, ())
