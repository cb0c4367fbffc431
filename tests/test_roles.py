"""Test which members take leader duties and how they spread over zones."""

import msgspec
import pytest

from hibiscussaddle.fleet import member
from hibiscussaddle.fleet import roles

ROUTES = ("rollouts-a", "rollouts-b", "rollouts-c")


def _fleet(
    zones: int, size: int, with_eligible: bool = True
) -> list[member.Member]:
    """Return members whose capacity grows with their number in the zone."""
    members = [
        member.Member(f"m-{z}-{n}", f"zone-{z}", 1, cores=0.5 + 0.1 * n)
        for z in range(zones)
        for n in range(size)
    ]
    if not with_eligible:
        return members
    return [
        msgspec.structs.replace(
            m, is_leader_eligible=roles.is_leader_eligible(m, members)
        )
        for m in members
    ]


def test_largest_members_of_each_zone_are_eligible() -> None:
    """Fails when small machines run the batches of a fleet.

    The fleet has 165 machines of 0.5 to 2.2 cores in five zones.
    """
    fleet = _fleet(5, 33)
    eligible = [m for m in fleet if m.is_leader_eligible]
    assert len(eligible) == 5 * roles.ELIGIBLE_PER_ZONE
    assert min(m.cores for m in eligible) >= max(
        m.cores for m in fleet if not m.is_leader_eligible
    )
    owners = roles.route_owners(ROUTES, fleet)
    assert all(owner.is_leader_eligible for owner in owners.values())


@pytest.mark.parametrize("zones", [3, 4, 5])
def test_loss_of_a_zone_affects_one_owner(zones: int) -> None:
    """Fails when the loss of one zone affects the owners of two routes.

    On pbmcg-rollout scale-1 one instance ran the batches of both trainers; on
    cereza-hs-grown scale-1 all three owners were in the zone that was cut off.
    """
    fleet = _fleet(zones, 12)
    owners = roles.route_owners(ROUTES, fleet)
    assert len({owner.zone for owner in owners.values()}) == len(ROUTES)
    lost = owners["rollouts-b"].zone
    left = [m for m in fleet if m.zone != lost]
    after = roles.route_owners(ROUTES, left)
    assert after["rollouts-a"] == owners["rollouts-a"]
    assert after["rollouts-b"].zone != lost


def test_loss_of_a_member_moves_its_routes_only() -> None:
    """Fails when the loss of one member moves the routes of others."""
    routes = [f"route-{n}" for n in range(12)]
    fleet = _fleet(3, 8)
    before = roles.route_owners(routes, fleet)
    lost = before["route-5"]
    after = roles.route_owners(routes, [m for m in fleet if m != lost])
    for route in routes:
        if before[route] != lost:
            assert after[route] == before[route]
        assert after[route] != lost


def test_members_take_duties_while_none_is_eligible() -> None:
    """Fails when a fleet that has just started runs no batches."""
    fleet = _fleet(3, 4, with_eligible=False)
    assert set(roles.route_owners(ROUTES, fleet)) == set(ROUTES)
    leaving = [msgspec.structs.replace(m, leaving=True) for m in fleet]
    assert set(roles.route_owners(ROUTES, leaving)) == set(ROUTES)
    assert roles.route_owners(ROUTES, []) == {}


def test_draining_member_frees_its_eligibility() -> None:
    """Fails when a draining member keeps another one from being eligible."""
    fleet = _fleet(1, 6)
    assert [m.is_leader_eligible for m in fleet] == [False] * 2 + [True] * 4
    fleet[5] = msgspec.structs.replace(fleet[5], leaving=True)
    assert roles.is_leader_eligible(fleet[1], fleet)
    assert not roles.is_leader_eligible(fleet[5], fleet)
