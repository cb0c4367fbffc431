"""Decide from facts whether the lifetime of an endpoint has ended.

A lifetime is one incarnation of an endpoint ID. Callers pass the time in, and
nothing here performs I/O.
"""

from collections import abc
import dataclasses
import enum
import typing

# ID and incarnation of an endpoint.
Lifetime: typing.TypeAlias = tuple[str, int]

# The entry of an endpoint that stops without notice expires after three missed
# renewals, 2.4 s after its end at the earliest. One that is removed sooner was
# removed by the endpoint itself; feeds are up to 1.1 s late.
ORDERLY_REMOVAL_SECONDS: typing.Final = 1.5

# If most of a service breaks at once, peers must be refused for this long: a
# link or the listeners of a machine may refuse for a moment.
OWN_LINK_AGREED_SECONDS: typing.Final = 0.65


class Verdict(enum.Enum):
    """Say what is known of a lifetime after its connection broke."""

    # Only the own connection says so, which is no evidence.
    SUSPECTED = "suspected"
    ENDED = "ended"
    LIVES = "lives"
    # It drained or was removed in order, which is no evidence against the
    # requests that it had.
    LEFT = "left"


class Cause(enum.Enum):
    """Name the fact that decided."""

    OWN_CONNECTION = "own_connection"
    NEWER_INCARNATION = "newer_incarnation"
    ENTRY_REMOVED = "entry_removed"
    ENTRY_RENEWED = "entry_renewed"
    # Draining, or removed before it can have expired.
    IN_ORDER = "in_order"
    # The own instance got a response or a new connection.
    CONTACT = "contact"
    PEER_REACHED = "peer_reached"
    PEERS_AGREE = "peers_agree"
    # Another instance confirmed the end.
    REPORTED = "reported"


class Reach(enum.Enum):
    """Say whether an instance reaches an endpoint."""

    REACHED = "reached"
    REFUSED = "refused"
    UNKNOWN = "unknown"


# After a contact, the removal of the entry belongs to a later end. An instance
# that is told of an end may not list the endpoint yet.
_KEPT_WITHOUT_ENTRY: typing.Final = (
    Cause.ENTRY_REMOVED,
    Cause.IN_ORDER,
    Cause.CONTACT,
    Cause.PEER_REACHED,
    Cause.REPORTED,
)


@dataclasses.dataclass(frozen=True)
class PeerOpinion:
    """Hold what another instance knows of a lifetime."""

    is_other_zone: bool
    reach: Reach


@dataclasses.dataclass(frozen=True)
class Facts:
    """Hold what is known of the ID of a suspected lifetime now."""

    # Incarnation in the list of endpoints, None without an entry.
    incarnation: int | None
    is_leaving: bool = False
    # Monotonic seconds after which the newest entry was surely written.
    renewed_after: float = float("-inf")
    # Monotonic seconds at which the newest exchange began that showed the
    # endpoint to be there.
    contact_at: float = float("-inf")
    opinions: tuple[PeerOpinion, ...] = ()
    # Seconds for which peers have confirmed the end each time they were asked.
    agreed_seconds: float = 0.0
    # Whether instances of other zones are listed.
    has_other_zones: bool = False
    # Most endpoints of the service refuse this instance at the same time.
    is_own_link: bool = False


@dataclasses.dataclass(frozen=True)
class Decision:
    """Hold a verdict and the fact that decided."""

    verdict: Verdict
    cause: Cause


def decide(
    lifetime: Lifetime,
    suspected_at: float,
    previous: Decision,
    facts: Facts,
    now: float,
) -> Decision:
    """Return what is known of a lifetime that was suspected.

    The entry in the store has the last word. After an end that peers confirmed
    a new connection may be one to the next incarnation, whose entry isn't
    known yet, so it doesn't refute the end.
    """
    _, incarnation = lifetime
    if previous.cause is Cause.ENTRY_RENEWED:
        # It lived on, so what happened later has nothing to do with it.
        return previous
    if facts.incarnation is None:
        if previous.cause in _KEPT_WITHOUT_ENTRY:
            return previous
        if now - suspected_at < ORDERLY_REMOVAL_SECONDS:
            return Decision(Verdict.LEFT, Cause.IN_ORDER)
        return Decision(Verdict.ENDED, Cause.ENTRY_REMOVED)
    if facts.incarnation > incarnation:
        if previous.verdict is Verdict.LEFT:
            return previous
        return Decision(Verdict.ENDED, Cause.NEWER_INCARNATION)
    if facts.is_leaving:
        return Decision(Verdict.LEFT, Cause.IN_ORDER)
    if facts.renewed_after > suspected_at:
        return Decision(Verdict.LIVES, Cause.ENTRY_RENEWED)
    if previous.verdict is Verdict.ENDED:
        return previous
    if facts.contact_at > suspected_at:
        return Decision(Verdict.LIVES, Cause.CONTACT)
    reaches = {opinion.reach for opinion in facts.opinions}
    if Reach.REACHED in reaches:
        return Decision(Verdict.LIVES, Cause.PEER_REACHED)
    is_long_enough = (
        not facts.is_own_link
        or facts.agreed_seconds >= OWN_LINK_AGREED_SECONDS
    )
    if is_long_enough and peers_agree(facts.opinions, facts.has_other_zones):
        return Decision(Verdict.ENDED, Cause.PEERS_AGREE)
    return previous


def peers_agree(
    opinions: abc.Iterable[PeerOpinion], has_other_zones: bool
) -> bool:
    """Return whether the peers that were asked confirm an end.

    Instances of one zone may share the fault of a link, so one of another zone
    must confirm it where there is any.
    """
    given = tuple(opinions)
    if any(opinion.reach is Reach.REACHED for opinion in given):
        return False
    return any(
        opinion.reach is Reach.REFUSED
        and (opinion.is_other_zone or not has_other_zones)
        for opinion in given
    )
