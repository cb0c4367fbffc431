"""Decide which members take the leader duties of a fleet.

Leader duties are running the batches of a route, taking over those of dead
members, and scanning for orphaned batches. Only the largest members of each
zone are eligible, so that only they need short leases. The decisions depend
on nothing but what members publish about themselves.
"""

import collections
from collections import abc
import hashlib
import typing

from hibiscussaddle.fleet import member as member_lib

# Leader-eligible members of each zone. A zone may lose one or two at once, and
# the others must be enough to take over.
ELIGIBLE_PER_ZONE: typing.Final = 4


def rank(subject: str, candidate: str) -> bytes:
    """Return the rendezvous rank of a candidate for a subject."""
    key = f"{subject}/{candidate}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def capacity_key(member: member_lib.Member) -> tuple[float, bytes]:
    """Return the sort key of a member by its processor capacity."""
    return member.cores, rank(member.zone, member.instance)


def is_leader_eligible(
    me: member_lib.Member, members: abc.Iterable[member_lib.Member]
) -> bool:
    """Return whether a member is among the largest of its zone."""
    larger_members = sum(
        capacity_key(other) > capacity_key(me)
        for other in members
        if other.zone == me.zone
        and other.instance != me.instance
        and not other.leaving
    )
    return not me.leaving and larger_members < ELIGIBLE_PER_ZONE


def candidates(
    members: abc.Iterable[member_lib.Member],
) -> list[member_lib.Member]:
    """Return the members that may take leader duties.

    These are the eligible active members; without any, all active members;
    when every member is draining, all of them.
    """
    all_members = list(members)
    active = [member for member in all_members if not member.leaving]
    eligible = [member for member in active if member.is_leader_eligible]
    return eligible or active or all_members


def route_owners(
    routes: abc.Iterable[str], members: abc.Iterable[member_lib.Member]
) -> dict[str, member_lib.Member]:
    """Return the member that runs the batches of each route.

    Owners are spread over the zones, so that the loss of a zone affects as
    few of them as possible. The result is empty without members.
    """
    by_zone: dict[str, list[member_lib.Member]] = {}
    for member in candidates(members):
        by_zone.setdefault(member.zone, []).append(member)
    owners_in_zone = collections.Counter[str]()
    owners: dict[str, member_lib.Member] = {}
    for route in sorted(routes):
        if not by_zone:
            break
        zone = max(by_zone, key=lambda z: (-owners_in_zone[z], rank(route, z)))
        owners_in_zone[zone] += 1
        owners[route] = max(
            by_zone[zone], key=lambda m: rank(route, m.instance)
        )
    return owners
