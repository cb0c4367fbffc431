"""Guard that instances keep the rate limit of an endpoint together."""

import anyio
import pytest

import limit_fleet

SIZES = (8, 74, 350)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate", [0.5, 1.0, 2.6, 40.0])
def test_sum_keeps_the_limit_and_uses_it(size: int, rate: float) -> None:
    """Fails when instances exceed a limit together or leave it unused."""
    fleet = limit_fleet.LimitFleet(size, rate)
    sent = fleet.run(30.0, demand=5 * rate)
    assert fleet.most_in_window() <= fleet.allowed_in_window()
    assert sent >= 0.8 * rate * 30.0


@pytest.mark.parametrize("size", SIZES)
def test_shares_keep_the_limit_without_any_holder(size: int) -> None:
    """Fails when instances that reach nobody each send at once."""
    fleet = limit_fleet.LimitFleet(size, 4.0)
    fleet.cut_instances = set(fleet.members)
    fleet.run(30.0, demand=40.0)
    assert fleet.most_in_window() <= fleet.allowed_in_window()


@pytest.mark.parametrize("size", SIZES)
def test_restarted_holders_keep_the_limit(size: int) -> None:
    """Fails when each new holder starts with requests saved up."""
    fleet = limit_fleet.LimitFleet(size, 1.0)
    for _ in range(20):
        fleet.run(1.0, demand=10.0)
        fleet.restart(fleet.holder())
    assert fleet.most_in_window() <= fleet.allowed_in_window()


@pytest.mark.parametrize("size", SIZES)
def test_cut_off_zone_goes_on_within_its_share(size: int) -> None:
    """Fails when a cut off zone is not served or sends beyond its share."""
    fleet = limit_fleet.LimitFleet(size, 6.0)
    zone = fleet.members[fleet.holder()].zone
    inside = {n for n, m in fleet.members.items() if m.zone == zone}
    outside = set(fleet.members) - inside
    fleet.cut_zones = {zone}
    # The leases of the zone are still valid for its members.
    fleet.run(2.0, demand=60.0)
    fleet.without_lease = inside
    fleet.remove_from_views(inside, outside)
    before = len(fleet.sent)
    fleet.run(20.0, demand=60.0)
    assert fleet.most_in_window() <= fleet.allowed_in_window()
    # The zone is never told that its holder lost its lease only.
    assert fleet.run(10.0, 60.0, inside) >= 0.6 * 10.0 * 6.0 / 3
    assert fleet.run(10.0, 60.0, outside) >= 0.7 * 10.0 * 6.0
    assert len(fleet.sent) > before


def test_zones_divide_the_limit_while_the_store_is_down() -> None:
    """Fails when holders whose membership may have ended grant it all."""
    fleet = limit_fleet.LimitFleet(9, 6.0)
    fleet.without_lease = set(fleet.members)
    sent = fleet.run(30.0, demand=60.0)
    assert fleet.most_in_window() <= fleet.allowed_in_window()
    assert sent >= 0.8 * 6.0 * 30.0


def test_instance_without_members_sends_nothing() -> None:
    """Fails when an instance that knows nobody takes the whole limit."""
    fleet = limit_fleet.LimitFleet(3, 6.0)
    fleet.cut_instances = {"gateway-0"}
    fleet.views["gateway-0"].all.clear()
    assert fleet.run(5.0, 20.0, {"gateway-0"}) == 0


def test_end_of_a_limit_reaches_those_that_ask() -> None:
    """Fails when instances keep a limit that ended elsewhere."""
    fleet = limit_fleet.LimitFleet(8, 1.0)
    fleet.run(5.0, demand=10.0)
    fleet.now += 1.0
    fleet.name_limit(fleet.holder(), None)
    fleet.now += 1.0
    assert fleet.run(2.0, demand=50.0) >= 90
    fleet.now += 1.0
    fleet.name_limit("gateway-3", 1.0)
    fleet.now += 0.2
    # Only those that were told again hold requests back.
    assert fleet.run(4.0, 50.0, {"gateway-3"}) <= 11


@pytest.mark.parametrize("rate", [0.0, 0.001])
def test_tiny_limit_allows_a_request_now_and_then(rate: float) -> None:
    """Fails when the end of a limit of 0 could never be seen."""
    fleet = limit_fleet.LimitFleet(8, rate)
    assert 6 <= fleet.run(40.0, demand=5.0) <= 10


def test_huge_limit_needs_no_permits() -> None:
    """Fails when a limit beyond any load costs a call for each request."""
    fleet = limit_fleet.LimitFleet(8, 1e12)
    assert fleet.run(2.0, demand=50.0) >= 60
    assert fleet.asked == 0


def test_lower_limit_applies_at_once_and_a_higher_one_soon() -> None:
    """Fails when a changed limit is kept at its old rate."""
    fleet = limit_fleet.LimitFleet(8, 40.0)
    fleet.run(4.0, demand=100.0)
    for rate, low, high in ((1.0, 3, 11), (40.0, 128, 245)):
        fleet.now += 0.5
        for name in fleet.members:
            fleet.name_limit(name, rate)
        assert low <= fleet.run(4.0, demand=100.0) <= high


def test_denied_callers_return_one_after_the_other() -> None:
    """Fails when callers that are denied together return together."""
    fleet = limit_fleet.LimitFleet(8, 2.0)
    fleet.run(0.4, demand=100.0, names={fleet.holder()})
    assert max(fleet.retry_after) > 1.0
    assert all(0 < seconds <= 5.0 for seconds in fleet.retry_after)


def test_calls_between_instances_are_bounded() -> None:
    """Fails when denied requests each cost a call to the holder."""
    fleet = limit_fleet.LimitFleet(8, 1.0)
    fleet.run(10.0, demand=400.0)
    # At most ten a second for each instance but the holder, and the grants.
    assert fleet.asked <= 7 * 10 * 10.0 + 20


@pytest.mark.parametrize("rate", [1.0, 4.0, 40.0])
def test_one_busy_instance_uses_the_whole_limit(rate: float) -> None:
    """Fails when an instance asks too rarely while the others are idle."""
    fleet = limit_fleet.LimitFleet(8, rate)
    busy = next(name for name in fleet.members if name != fleet.holder())
    assert fleet.run(20.0, 10 * rate, {busy}) >= 0.75 * rate * 20.0


def test_begin_and_end_of_a_limit_reach_every_zone() -> None:
    """Fails when zones learn of a limit from their own requests only."""
    fleet = limit_fleet.LimitFleet(9, 2.0)
    for name in fleet.members:
        fleet.restart(name, knows_limit=False)
    readers = fleet.views["gateway-0"].zone_readers().values()
    observer = next(
        name
        for name in fleet.members
        if name not in {fleet.holder(), *(m.instance for m in readers)}
    )

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            for limiter in fleet.limiters.values():
                tasks.start_soon(limiter.run)
            for rate in (2.0, None):
                fleet.now += 1.0
                fleet.name_limit(observer, rate)
                with anyio.fail_after(2):
                    while {
                        fleet.limiters[member.instance].is_limited(
                            limit_fleet.ENDPOINT
                        )
                        for member in readers
                    } != {rate is not None}:
                        await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert len(list(readers)) == 3
