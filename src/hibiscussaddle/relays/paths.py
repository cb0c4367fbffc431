"""Judge from its own traffic whether an instance reaches a service.

A suspicion only asks for a check; the result of the check decides. Callers
pass the time in, in monotonic seconds, and nothing here performs I/O.
"""

from collections import abc
import dataclasses
import enum
import typing

from hibiscussaddle import endpoints

# A service that sends no byte for this long while attempts wait is suspected.
# Plain services mostly respond within some hundredths of a second.
MIN_SILENCE_SECONDS: typing.Final = 0.15
# The same as a multiple of the mean time to the first byte, and its limit: a
# cut must be found well before callers count failures, after three seconds.
# Engines read a prompt for most of a second before their first event.
_SILENCE_FIRST_BYTE_FACTOR: typing.Final = 2.0
MAX_SILENCE_SECONDS: typing.Final = 1.2
# The longest silence while events of a stream are due, which come each 0.05 s,
# and up to 2.5 times slower beside busy neighbours.
_UNDER_WAY_SILENCE_SECONDS: typing.Final = 0.3
# Silence after which attempts end while their service refuses connections:
# those on existing connections may still be answered.
_REFUSED_SILENCE_SECONDS: typing.Final = 1.0
# Kinds of attempts whose time to the first byte is known for one service. The
# routes of a configuration are fewer.
_MAX_KINDS: typing.Final = 256
# Weight of the newest time to the first byte in the mean.
_FIRST_BYTE_WEIGHT: typing.Final = 0.2
# Endpoints that fail within this time are suspected together.
_FAILURE_WINDOW_SECONDS: typing.Final = 1.0
# Distinct endpoints that fail before their service is suspected. A single one
# may have ended.
_FAILED_ENDPOINTS: typing.Final = 2
# Time from a check that found the path open to the next one, doubled by each
# such check up to the maximum, and reset after a time without checks.
MIN_CHECK_INTERVAL_SECONDS: typing.Final = 0.5
MAX_CHECK_INTERVAL_SECONDS: typing.Final = 2.0
_CHECK_INTERVAL_RESET_SECONDS: typing.Final = 10.0
# The maximum while most attempts get no byte although the path is open: some
# services accept connections and hardly ever answer.
_MAX_UNANSWERED_INTERVAL_SECONDS: typing.Final = 60.0
# Share of the attempts with a byte below which a service hardly answers, and
# the weight of the newest attempt in it.
_MIN_ANSWERED_SHARE: typing.Final = 0.5
_ANSWERED_WEIGHT: typing.Final = 0.2
# Shortest time between two checks, also if failures contradict the first one.
_MIN_RECHECK_SECONDS: typing.Final = 0.1
# Time for which the endpoints that failed before a check are remembered.
_KNOWN_FAILURE_SECONDS: typing.Final = 10.0
# No peer is asked for this long after peers took no attempt. They may have
# been full, so it is short.
_NOT_RELAYED_SECONDS: typing.Final = 0.25


class Suspicion(enum.Enum):
    """Name what raises the suspicion that a service is cut off."""

    # Connections to several endpoints were refused or timed out.
    UNCONNECTED = "unconnected"
    # Connections to several endpoints broke, and none sent a byte since.
    BROKEN = "broken"
    # Attempts wait, and no endpoint sends a byte.
    SILENT = "silent"
    # Another service was found cut off.
    OTHER_SERVICE = "other_service"
    # Nothing raises it; the instance is about to depend on the path.
    NEEDED = "needed"


@dataclasses.dataclass(eq=False)
class Attempt:
    """Track one direct attempt until it ends."""

    path: "ServicePath"
    endpoint_id: str
    began_at: float
    # Closes its connection.
    close: abc.Callable[[], abc.Awaitable[None]]
    # Attempts of one kind, such as those of a route, respond similarly fast.
    kind: str = ""
    has_bytes: bool = False
    # Whether somebody waits for bytes; a slow caller doesn't.
    is_reading: bool = True
    # Whether this instance ended it, since its service is cut off.
    is_cut: bool = False

    def record_bytes(self, now: float) -> None:
        """Record that bytes arrived."""
        path = self.path
        path.newest_byte_at = now
        path.newest_byte_from = self.endpoint_id
        if self.has_bytes:
            return
        self.has_bytes = True
        path.record_first_byte(self, now)


class ServicePath:
    """Hold what an instance observed of its path to one service."""

    def __init__(self, service: str) -> None:
        """Start as reached."""
        self.service = service
        self.is_cut = False
        # Start of the cut, and whether connections get no answer, instead of
        # being refused.
        self.cut_at = 0.0
        self._is_silent_cut = False
        # Whether the cut is certain. A network or servers that stand still for
        # a moment answer no connection either.
        self.is_confirmed = False
        self.newest_byte_at = float("-inf")
        # ID of the endpoint that sent it.
        self.newest_byte_from = ""
        # Direct attempts in the order in which they began.
        self._attempts: dict[Attempt, None] = {}
        # Since when attempts have been waiting without a pause.
        self._waiting_from = 0.0
        # Time without a byte at the end of the last attempt: callers give up
        # and items move before a silence is noticed.
        self._unanswered_seconds = 0.0
        # When no attempt waited: the callers of all were slow.
        self._idle_at = float("-inf")
        # Mean time to the first byte by kind.
        self._first_byte_seconds: dict[str, float] = {}
        # Times of failures by endpoint.
        self._unconnected: dict[str, float] = {}
        self._broken: dict[str, float] = {}
        self._checked_at = float("-inf")
        self._check_interval = MIN_CHECK_INTERVAL_SECONDS
        # Moving average of the attempts that got a byte.
        self._answered_share = 1.0
        # Endpoints that accepted a connection of the last check, and those
        # that had failed before a check, with its time.
        self._accepted: frozenset[str] = frozenset()
        self._known_failures: dict[str, float] = {}
        # Endpoints whose attempts no peer took, since one was taken.
        self._not_relayed: set[str] = set()
        self._not_relayed_until = float("-inf")

    @property
    def has_attempts(self) -> bool:
        """Return whether direct attempts are under way."""
        return bool(self._attempts)

    @property
    def silence_seconds(self) -> float:
        """Return for how long the service may be silent.

        The slowest kind of the attempts that wait decides.
        """
        usual = _SILENCE_FIRST_BYTE_FACTOR * max(
            (
                self._first_byte_seconds.get(each.kind, 0.0)
                for each in self._attempts
                if each.is_reading
            ),
            default=0.0,
        )
        longest = MAX_SILENCE_SECONDS
        if any(each.has_bytes and each.is_reading for each in self._attempts):
            longest = _UNDER_WAY_SILENCE_SECONDS
        return min(longest, max(MIN_SILENCE_SECONDS, usual))

    def begin(self, attempt: Attempt) -> None:
        """Track an attempt."""
        if not self._is_waiting():
            self._waiting_from = attempt.began_at - self._unanswered_seconds
        self._attempts[attempt] = None

    def end(self, attempt: Attempt, now: float) -> None:
        """Stop tracking an attempt."""
        if attempt not in self._attempts:
            return
        if len(self._attempts) == 1:
            since = self._quiet_since()
            self._unanswered_seconds = 0.0 if since is None else now - since
        del self._attempts[attempt]
        self._record_answered(attempt.has_bytes)

    def _record_answered(self, has_bytes: bool) -> None:
        """Record whether an attempt got a byte."""
        change = _ANSWERED_WEIGHT * (has_bytes - self._answered_share)
        self._answered_share += change
        if self._answers:
            self._check_interval = min(
                self._check_interval, MAX_CHECK_INTERVAL_SECONDS
            )

    @property
    def _answers(self) -> bool:
        return self._answered_share >= _MIN_ANSWERED_SHARE

    def record_idle(self, now: float) -> None:
        """Record whether all attempts wait for their callers."""
        if not self._is_waiting():
            self._idle_at = now

    def _is_waiting(self) -> bool:
        return any(attempt.is_reading for attempt in self._attempts)

    def record_first_byte(self, attempt: Attempt, now: float) -> None:
        """Record the first byte of an attempt."""
        seconds = now - attempt.began_at
        means = self._first_byte_seconds
        mean = means.get(attempt.kind, 0.0)
        if mean:
            seconds = mean + _FIRST_BYTE_WEIGHT * (seconds - mean)
        elif len(means) >= _MAX_KINDS:
            means.clear()
        means[attempt.kind] = seconds
        if self._unconnected:
            failed_at = self._unconnected.get(attempt.endpoint_id)
            if failed_at is not None and failed_at <= attempt.began_at:
                del self._unconnected[attempt.endpoint_id]

    def record_unconnected(self, endpoint_id: str, now: float) -> None:
        """Record that a connection was refused or timed out."""
        self._unconnected[endpoint_id] = now

    def record_broken(self, endpoint_id: str, now: float) -> None:
        """Record that a connection broke under an attempt."""
        self._broken[endpoint_id] = now

    def failed_endpoints(self, now: float) -> set[str]:
        """Return the endpoints that failed a moment ago."""
        for failures in (self._unconnected, self._broken):
            for endpoint_id, at in list(failures.items()):
                if now - at > _FAILURE_WINDOW_SECONDS:
                    del failures[endpoint_id]
        return self._unconnected.keys() | self._broken.keys()

    def suspicion(self, now: float, endpoint_count: int) -> Suspicion | None:
        """Return why the service may be cut off; None if nothing hints it.

        Existing connections may live on while new ones fail, so that bytes
        don't refute failures to connect.
        """
        failed = self.failed_endpoints(now)
        needed = max(1, min(_FAILED_ENDPOINTS, endpoint_count))
        if len(self._unconnected) >= needed:
            return Suspicion.UNCONNECTED
        broken = {
            endpoint_id
            for endpoint_id, at in self._broken.items()
            if at > self.newest_byte_at
        }
        if broken and len(failed) >= needed:
            return Suspicion.BROKEN
        silent_at = self.silent_at()
        if silent_at is not None and now >= silent_at:
            return Suspicion.SILENT
        return None

    def may_check(self, now: float) -> bool:
        """Return whether the path may be checked now."""
        return not self.is_cut and (
            now >= self.next_check_at() or self._is_contradicted(now)
        )

    def _is_contradicted(self, now: float) -> bool:
        """Return whether endpoints failed that the last check didn't cover.

        A cut reaches one link after another, so that a check at its beginning
        may be accepted.
        """
        if now - self._checked_at < _MIN_RECHECK_SECONDS:
            return False
        self.failed_endpoints(now)
        refused = self._unconnected.keys()
        unknown = [
            endpoint_id
            for endpoint_id in refused
            if now - self._known_failures.get(endpoint_id, float("-inf"))
            > _KNOWN_FAILURE_SECONDS
        ]
        return bool(refused & self._accepted) or (
            len(unknown) >= _FAILED_ENDPOINTS
        )

    def next_check_at(self) -> float:
        """Return the time of the next check if one is needed."""
        return self._checked_at + self._check_interval

    def silent_at(self) -> float | None:
        """Return when the service counts as silent if no byte arrives."""
        since = self._quiet_since()
        return None if since is None else since + self.silence_seconds

    def _quiet_since(self) -> float | None:
        """Return since when attempts wait without a byte."""
        if not self._is_waiting():
            return None
        return max(
            self.newest_byte_at,
            self._checked_at,
            self._idle_at,
            self._waiting_from,
        )

    def record_open(
        self, now: float, accepted: abc.Iterable[str] = ()
    ) -> None:
        """Record that a check reached the service at some endpoints."""
        self._accepted = frozenset(accepted)
        self._remember_failures(now)
        longest = MAX_CHECK_INTERVAL_SECONDS
        if not self._answers:
            longest = _MAX_UNANSWERED_INTERVAL_SECONDS
        elif now - self._checked_at > _CHECK_INTERVAL_RESET_SECONDS:
            longest = MIN_CHECK_INTERVAL_SECONDS
        self._check_interval = min(longest, 2 * self._check_interval)
        self._record_checked(now)

    def _remember_failures(self, now: float) -> None:
        self._known_failures = {
            endpoint_id: at
            for endpoint_id, at in self._known_failures.items()
            if now - at <= _KNOWN_FAILURE_SECONDS
        } | dict.fromkeys(self.failed_endpoints(now) - self._accepted, now)

    def record_inconclusive(self, now: float) -> None:
        """Record a check that shows nothing."""
        self._accepted = frozenset()
        self._record_checked(now)

    def _record_checked(self, now: float) -> None:
        self._checked_at = now
        self._unconnected.clear()
        self._broken.clear()

    def record_cut(self, now: float, is_silent: bool) -> None:
        """Record that a check reached no endpoint, or got no answer."""
        self.is_cut = True
        self.cut_at = now
        self._is_silent_cut = is_silent
        self.is_confirmed = not is_silent
        self._not_relayed.clear()
        self._not_relayed_until = float("-inf")

    def record_still_cut(self) -> None:
        """Record that one more connection got no answer, or a refusal."""
        self.is_confirmed = True

    def record_reached(self, now: float) -> None:
        """Record that an endpoint accepts connections again."""
        self.is_cut = self.is_confirmed = False
        self._record_checked(now)
        # The next cut may follow at once.
        self._checked_at = float("-inf")
        self._check_interval = MIN_CHECK_INTERVAL_SECONDS

    def stalled(self, now: float) -> list[Attempt]:
        """Return the attempts of a cut service that wait in vain.

        While existing connections live on, none does.
        """
        before = now - (
            self.silence_seconds
            if self._is_silent_cut
            else _REFUSED_SILENCE_SECONDS
        )
        is_certain = self.is_cut and self.is_confirmed
        if not is_certain or self.newest_byte_at > before:
            return []
        return [
            attempt
            for attempt in self._attempts
            if attempt.began_at <= before and attempt.is_reading
        ]

    def record_relayed(self) -> None:
        """Record that a peer took an attempt."""
        self._not_relayed.clear()
        self._not_relayed_until = float("-inf")

    def record_not_relayed(
        self, endpoint_id: str, now: float, endpoint_count: int
    ) -> None:
        """Record that no peer took an attempt.

        A single endpoint may be unknown to the peers.
        """
        self._not_relayed.add(endpoint_id)
        if len(self._not_relayed) >= min(_FAILED_ENDPOINTS, endpoint_count):
            self._not_relayed_until = now + _NOT_RELAYED_SECONDS

    def is_unreached(self, now: float) -> bool:
        """Return whether neither this instance nor a peer reaches it."""
        return self.is_cut and now < self._not_relayed_until


class Paths:
    """Hold the paths to all services that this instance has used."""

    def __init__(self) -> None:
        """Start without observations."""
        self._paths: dict[str, ServicePath] = {}

    def path(self, service: str) -> ServicePath:
        """Return the path to a service."""
        found = self._paths.get(service)
        if found is None:
            found = self._paths[service] = ServicePath(service)
        return found

    def all(self) -> tuple[ServicePath, ...]:
        """Return the paths to all services that were used."""
        return tuple(self._paths.values())

    def is_cut(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether the service of an endpoint is cut off."""
        return self.is_service_cut(endpoint.service)

    def is_service_cut(self, service: str) -> bool:
        """Return whether a service is cut off from this instance."""
        found = self._paths.get(service)
        return found is not None and found.is_cut

    def is_cut_since(self, service: str, before: float) -> bool:
        """Return whether a service is certainly cut off since then."""
        found = self._paths.get(service)
        return (
            found is not None
            and found.is_cut
            and found.is_confirmed
            and found.cut_at <= before
        )

    def is_service_unreached(self, service: str, now: float) -> bool:
        """Return whether no peer reaches a service that is cut off."""
        found = self._paths.get(service)
        return found is not None and found.is_unreached(now)

    def cut_count(self) -> int:
        """Return the number of services that are cut off."""
        return sum(path.is_cut for path in self._paths.values())
