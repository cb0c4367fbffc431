"""Decide through which peer the next attempt goes.

This module only decides: time and randomness are passed in, and the caller
tells it what peers responded.
"""

from collections import abc
import dataclasses
import random
import typing

from hibiscussaddle import endpoints
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import roles
from hibiscussaddle.relays import messages

# Peers that are asked for one attempt.
MAX_PEERS: typing.Final = 3
# Time for which a peer is left out after it refused or didn't respond. It
# doubles with each time in a row; the random part keeps senders apart.
MIN_ABSENCE_SECONDS: typing.Final = 0.3
MAX_ABSENCE_SECONDS: typing.Final = 2.0
_ABSENCE_SPREAD: typing.Final = 0.3
# A peer that was cut off or silent comes last for this long, and its zone is
# judged by it. Then its next failure is the first one again.
RECENT_SECONDS: typing.Final = 5.0
# A peer that hasn't served yet counts as if it had this many times the
# attempts that it has, as it may be cut off. In a zone of which more peers
# were cut off than served it does so more often.
_UNPROVEN_WEIGHT: typing.Final = 2
_SUSPECT_ZONE_WEIGHT: typing.Final = 16
# A peer of which nothing was heard for this long, while an attempt waited that
# was given up, may have gone silent.
_SILENCE_SECONDS: typing.Final = 0.5
# Time for which the zones found are kept unless a peer is cut off or serves
# for the first time.
_ZONES_SECONDS: typing.Final = 0.3
# Absences of one peer for services or for endpoints; the oldest goes first.
_MAX_ABSENCES: typing.Final = 256

# Refusals that tell nothing of the peer: the next one may know more.
_NEUTRAL: typing.Final = frozenset(
    {
        messages.Refusal.LEAVING,
        messages.Refusal.EXPIRED,
        messages.Refusal.REJECTED,
    }
)
# Endpoints of a service that accept no connection of a peer, without one that
# does, after which the peer counts as cut off.
_MAX_UNREACHED: typing.Final = 2


@dataclasses.dataclass
class _Absence:
    """Hold since when a peer is left out, and for how long."""

    failures: int
    failed_at: float
    until: float


@dataclasses.dataclass
class _Peer:
    """Hold what an instance knows of one process of a peer."""

    incarnation: int
    zone: str
    rank: bytes
    # Own attempts at the peer.
    outstanding: int = 0
    # Seconds at which it last sent something.
    heard_at: float = float("-inf")
    # Whether its build relays no attempts.
    is_outdated: bool = False
    # Absence for all attempts, by service, and by endpoint ID.
    absence: _Absence | None = None
    cut_off: dict[str, _Absence] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, _Absence] = dataclasses.field(default_factory=dict)
    # Endpoints by service that accepted no connection since one responded.
    unreached: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    # Seconds at which an endpoint of a service last responded through it.
    served_at: dict[str, float] = dataclasses.field(default_factory=dict)


class PeerChoice:
    """Hold what this instance knows of its peers."""

    def __init__(self, me: str, rng: random.Random) -> None:
        """Start without knowledge; me is the name of this instance."""
        self._me = me
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        # Suspect zones by service, and until when they hold.
        self._zones: dict[str, tuple[set[str], float]] = {}

    @property
    def outstanding(self) -> int:
        """Return the number of attempts at all peers."""
        return sum(peer.outstanding for peer in self._peers.values())

    def choose(
        self,
        members: abc.Collection[member_lib.Member],
        endpoint: endpoints.Endpoint,
        tried: abc.Collection[str],
        now: float,
    ) -> member_lib.Member | None:
        """Return the peer for an attempt, None if all are left out.

        Once a peer has refused the attempt, those that have served before
        come first, whatever their load.
        """
        if len(self._peers) > 2 * len(members):
            self._forget(members)
        suspect_zones = self._suspect_zones(endpoint.service, now)
        best = None
        best_key = None
        for member in members:
            if (
                member.instance == self._me
                or member.leaving
                or not member.peer_address
                or member.instance in tried
            ):
                continue
            peer = self._peer(member)
            if not _is_eligible(peer, endpoint, now):
                continue
            key = _key(peer, endpoint.service, suspect_zones, bool(tried), now)
            if best_key is None or key < best_key:
                best, best_key = member, key
        return best

    def begin(self, member: member_lib.Member) -> None:
        """Record that an attempt is sent to a peer."""
        self._peer(member).outstanding += 1

    def end(self, member: member_lib.Member) -> None:
        """Record that an attempt at a peer has ended."""
        peer = self._peers.get(member.instance)
        if peer is not None:
            peer.outstanding = max(0, peer.outstanding - 1)

    def record_served(
        self, member: member_lib.Member, service: str, now: float
    ) -> None:
        """Record that an endpoint responded through a peer."""
        peer = self._peer(member)
        peer.heard_at = now
        peer.absence = None
        peer.cut_off.pop(service, None)
        peer.unreached.pop(service, None)
        if service not in peer.served_at:
            self._zones.pop(service, None)
        peer.served_at[service] = now

    def record_refusal(
        self,
        member: member_lib.Member,
        endpoint: endpoints.Endpoint,
        refusal: messages.Refusal,
        now: float,
        retry_after: float = 0.0,
    ) -> None:
        """Record why a peer has no response; the time is in seconds."""
        peer = self._peer(member)
        peer.heard_at = now
        if refusal is messages.Refusal.UNKNOWN_PATH:
            peer.is_outdated = True
        elif refusal is messages.Refusal.CUT_OFF:
            self._record_cut(peer, endpoint.service, now)
        elif refusal is messages.Refusal.UNLISTED:
            # Its view may be older than that of this instance, or newer.
            peer.absence = None
            self._extend(peer.endpoints, endpoint.id, now)
        elif refusal is messages.Refusal.NOT_SENT:
            # The endpoint may have ended, so that no peer reaches it.
            peer.absence = None
            self._extend(peer.endpoints, endpoint.id, now)
            unreached = peer.unreached.setdefault(endpoint.service, set())
            unreached.add(endpoint.id)
            if len(unreached) >= _MAX_UNREACHED:
                self._record_cut(peer, endpoint.service, now)
        elif refusal not in _NEUTRAL:
            peer.absence = self._next_absence(peer.absence, now, retry_after)

    def _record_cut(self, peer: _Peer, service: str, now: float) -> None:
        peer.absence = None
        peer.unreached.pop(service, None)
        peer.served_at.pop(service, None)
        self._zones.pop(service, None)
        self._extend(peer.cut_off, service, now)

    def record_silence(self, member: member_lib.Member, now: float) -> None:
        """Record that a peer accepted no connection, or broke it."""
        peer = self._peer(member)
        peer.served_at.clear()
        peer.absence = self._next_absence(peer.absence, now)

    def record_given_up(
        self, member: member_lib.Member, waited_since: float, now: float
    ) -> None:
        """Record that an attempt ended while it waited for a peer."""
        if (
            now - waited_since >= _SILENCE_SECONDS
            and self._peer(member).heard_at < waited_since
        ):
            self.record_silence(member, now)

    def record_data(self, member: member_lib.Member, now: float) -> None:
        """Record that a peer has sent a part of a response."""
        self._peer(member).heard_at = now

    def _extend(
        self, absences: dict[str, _Absence], key: str, now: float
    ) -> None:
        absences[key] = self._next_absence(absences.pop(key, None), now)
        if len(absences) > _MAX_ABSENCES:
            del absences[next(iter(absences))]

    def _next_absence(
        self, before: _Absence | None, now: float, at_least: float = 0.0
    ) -> _Absence:
        failures = 1
        if before is not None and now - before.failed_at < RECENT_SECONDS:
            failures = before.failures + 1
            if now < before.until:
                # One of several attempts that were sent together.
                failures = before.failures
        doubled = MIN_ABSENCE_SECONDS * 2 ** min(failures - 1, 8)
        seconds = max(doubled, at_least)
        seconds *= 1 + self._rng.uniform(0.0, _ABSENCE_SPREAD)
        return _Absence(failures, now, now + min(MAX_ABSENCE_SECONDS, seconds))

    def _peer(self, member: member_lib.Member) -> _Peer:
        peer = self._peers.get(member.instance)
        if peer is None or peer.incarnation != member.incarnation:
            outstanding = peer.outstanding if peer is not None else 0
            peer = _Peer(
                member.incarnation,
                member.zone,
                roles.rank(self._me, member.instance),
                outstanding,
            )
            self._peers[member.instance] = peer
        return peer

    def _forget(self, members: abc.Iterable[member_lib.Member]) -> None:
        known = {member.instance for member in members}
        for name in list(self._peers):
            if name not in known and not self._peers[name].outstanding:
                del self._peers[name]

    def _suspect_zones(self, service: str, now: float) -> set[str]:
        """Return the zones of which more peers were cut off than served."""
        known = self._zones.get(service)
        if known is not None and now < known[1]:
            return known[0]
        found = self._find_suspect_zones(service, now)
        self._zones[service] = found, now + _ZONES_SECONDS
        return found

    def _find_suspect_zones(self, service: str, now: float) -> set[str]:
        balance: dict[str, int] = {}
        for peer in self._peers.values():
            served_at = peer.served_at.get(service, float("-inf"))
            if _is_recent(peer.cut_off.get(service), now):
                balance[peer.zone] = balance.get(peer.zone, 0) + 1
            elif now - served_at < RECENT_SECONDS:
                balance[peer.zone] = balance.get(peer.zone, 0) - 1
        return {zone for zone, count in balance.items() if count > 0}


def _is_eligible(
    peer: _Peer, endpoint: endpoints.Endpoint, now: float
) -> bool:
    return not (
        peer.is_outdated
        or _is_absent(peer.absence, now)
        or _is_absent(peer.cut_off.get(endpoint.service), now)
        or _is_absent(peer.endpoints.get(endpoint.id), now)
    )


def _key(
    peer: _Peer,
    service: str,
    suspect_zones: abc.Container[str],
    must_be_proven: bool,
    now: float,
) -> tuple[bool, bool, int, bytes]:
    """Return the sort key of an eligible peer; the smallest is chosen."""
    is_proven = service in peer.served_at
    if is_proven:
        weight = 1
    elif peer.zone in suspect_zones:
        weight = _SUSPECT_ZONE_WEIGHT
    else:
        weight = _UNPROVEN_WEIGHT
    has_failed = _is_recent(peer.cut_off.get(service), now) or (
        # A busy peer serves, and is as good as before once it has room.
        not is_proven and _is_recent(peer.absence, now)
    )
    return (
        has_failed,
        must_be_proven and not is_proven,
        (peer.outstanding + 1) * weight,
        peer.rank,
    )


def _is_absent(absence: _Absence | None, now: float) -> bool:
    return absence is not None and now < absence.until


def _is_recent(absence: _Absence | None, now: float) -> bool:
    return absence is not None and now - absence.failed_at < RECENT_SECONDS
