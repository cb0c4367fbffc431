"""Decide which members take the duties of a fleet.

Duties are the batches of a route, those of lost members, and the search for
both. A few strong members of each zone take them, the core; only those need
leases that end soon. Pure decisions over what members say of themselves.
"""

import collections
from collections import abc
import hashlib
import typing

from hibiscussaddle.fleet import member as member_lib

# Members of the core in each zone: a zone loses one or two at once.
CORE_PER_ZONE: typing.Final = 4


def rank(subject: str, candidate: str) -> bytes:
    """Return the rendezvous rank of a candidate for a subject."""
    key = f"{subject}/{candidate}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def strength(member: member_lib.Member) -> tuple[float, bytes]:
    """Order the members of a zone by their share of processors."""
    return member.cores, rank(member.zone, member.instance)


def belongs_to_core(
    me: member_lib.Member, members: abc.Iterable[member_lib.Member]
) -> bool:
    """Tell whether a member is among the strongest of its zone."""
    stronger = sum(
        strength(other) > strength(me)
        for other in members
        if other.zone == me.zone
        and other.instance != me.instance
        and not other.leaving
    )
    return not me.leaving and stronger < CORE_PER_ZONE


def candidates(
    members: abc.Iterable[member_lib.Member],
) -> list[member_lib.Member]:
    """Return the members that may take duties.

    These are those of the core that stay; without any, all that stay; when
    all are leaving, all.
    """
    found = list(members)
    staying = [member for member in found if not member.leaving]
    core = [member for member in staying if member.is_core]
    return core or staying or found


def owners_of(
    routes: abc.Iterable[str], members: abc.Iterable[member_lib.Member]
) -> dict[str, member_lib.Member]:
    """Return the member that runs the batches of each route.

    Owners are spread over the zones, so that the loss of one zone takes as
    few of them as can be. Nothing is returned without members.
    """
    by_zone: dict[str, list[member_lib.Member]] = {}
    for member in candidates(members):
        by_zone.setdefault(member.zone, []).append(member)
    taken = collections.Counter[str]()
    found: dict[str, member_lib.Member] = {}
    for route in sorted(routes):
        if not by_zone:
            break
        zone = max(by_zone, key=lambda z: (-taken[z], rank(route, z)))
        taken[zone] += 1
        found[route] = max(
            by_zone[zone], key=lambda m: rank(route, m.instance)
        )
    return found
