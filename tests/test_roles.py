"""Guard which members take duties, and how few a zone takes with it."""

import msgspec
import pytest

from hibiscussaddle.fleet import member
from hibiscussaddle.fleet import roles

ROUTES = ("rollouts-a", "rollouts-b", "rollouts-c")


def _fleet(zones: int, size: int, core: bool = True) -> list[member.Member]:
    """Return members whose number in the zone tells how strong they are."""
    found = [
        member.Member(f"m-{z}-{n}", f"zone-{z}", 1, cores=0.5 + 0.1 * n)
        for z in range(zones)
        for n in range(size)
    ]
    if not core:
        return found
    return [
        msgspec.structs.replace(m, is_core=roles.is_leader_eligible(m, found))
        for m in found
    ]


def test_the_strongest_of_each_zone_are_the_core() -> None:
    """Fails when weak machines run the batches of a fleet.

    Pattern: 165 machines of 0.5 to 2.2 cores in five zones.
    """
    fleet = _fleet(5, 33)
    core = [m for m in fleet if m.is_core]
    assert len(core) == 5 * roles.ELIGIBLE_PER_ZONE
    assert min(m.cores for m in core) >= max(
        m.cores for m in fleet if not m.is_core
    )
    owners = roles.route_owners(ROUTES, fleet)
    assert all(owner.is_core for owner in owners.values())


@pytest.mark.parametrize("zones", [3, 4, 5])
def test_cut_of_a_zone_takes_one_owner(zones: int) -> None:
    """Fails when two trainers lose their owner with one zone.

    On pbmcg-rollout scale-1 one instance ran the batches of both trainers;
    on cereza-hs-grown scale-1 all three owners stood in the zone that was
    cut.
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
    """Fails when the loss of one member moves the batches of others."""
    routes = [f"route-{n}" for n in range(12)]
    fleet = _fleet(3, 8)
    before = roles.route_owners(routes, fleet)
    lost = before["route-5"]
    after = roles.route_owners(routes, [m for m in fleet if m != lost])
    for route in routes:
        if before[route] != lost:
            assert after[route] == before[route]
        assert after[route] != lost


def test_members_without_a_core_still_take_duties() -> None:
    """Fails when a fleet that has just started runs no batches."""
    fleet = _fleet(3, 4, core=False)
    assert set(roles.route_owners(ROUTES, fleet)) == set(ROUTES)
    leaving = [msgspec.structs.replace(m, leaving=True) for m in fleet]
    assert set(roles.route_owners(ROUTES, leaving)) == set(ROUTES)
    assert roles.route_owners(ROUTES, []) == {}


def test_leaving_member_makes_room_in_the_core() -> None:
    """Fails when a stopping member keeps its successor out of the core."""
    fleet = _fleet(1, 6)
    assert [m.is_core for m in fleet] == [False] * 2 + [True] * 4
    fleet[5] = msgspec.structs.replace(fleet[5], leaving=True)
    assert roles.is_leader_eligible(fleet[1], fleet)
    assert not roles.is_leader_eligible(fleet[5], fleet)
