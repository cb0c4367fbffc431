"""Decide who grants the requests to a limited endpoint, and how many.

The decisions depend on nothing but what members publish about themselves.
"""

from collections import abc
import enum
import typing

from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import roles


# Fractions of a limit that instances which don't reach their holder may use
# beside it: those of all such zones together, and all such instances. Together
# with the holder they stay below one and a half times the limit.
_CUT_OFF_ZONES_FRACTION: typing.Final = 0.4
_CUT_OFF_INSTANCES_FRACTION: typing.Final = 0.1


class Scope(enum.Enum):
    """Name the instances for which a holder grants requests."""

    FLEET = "fleet"
    # The zones divide the limit, as the fleet's holder grants nothing.
    ZONE = "zone"
    # The fleet's holder isn't reached and may grant the limit to others.
    CUT_OFF_ZONE = "cut_off_zone"
    CUT_OFF_INSTANCE = "cut_off_instance"


def holder(
    scope: Scope,
    endpoint_id: str,
    me: member_lib.Member,
    members: abc.Iterable[member_lib.Member],
) -> member_lib.Member | None:
    """Return the member that grants the requests to an endpoint."""
    if scope is Scope.CUT_OFF_INSTANCE:
        return me
    eligible = roles.candidates(
        member
        for member in members
        if scope is Scope.FLEET or member.zone == me.zone
    )
    return max(
        eligible,
        key=lambda member: roles.rank(endpoint_id, member.instance),
        default=None,
    )


def fraction(
    scope: Scope,
    me: member_lib.Member,
    members: abc.Iterable[member_lib.Member],
) -> float:
    """Return the fraction of a limit that a holder may grant.

    An instance that knows no members may not know those that share the limit
    with it, so it grants nothing.
    """
    active = [member for member in members if not member.leaving]
    if not active:
        return 0.0
    if scope is Scope.FLEET:
        return 1.0
    if scope is Scope.CUT_OFF_INSTANCE:
        return _CUT_OFF_INSTANCES_FRACTION / len(active)
    in_zone = sum(member.zone == me.zone for member in active)
    if scope is Scope.CUT_OFF_ZONE:
        return _CUT_OFF_ZONES_FRACTION * in_zone / len(active)
    return in_zone / len(active)


def next_scope(scope: Scope, has_declined: bool) -> Scope | None:
    """Return whom to ask when a holder declined or did not respond."""
    if scope is Scope.FLEET:
        return Scope.ZONE if has_declined else Scope.CUT_OFF_ZONE
    if scope is Scope.CUT_OFF_INSTANCE:
        return None
    return Scope.CUT_OFF_INSTANCE
