"""Test the registration of members and what they know of each other."""

from collections import abc
import contextlib

import anyio
import httpx
import msgspec

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import presence
from hibiscussaddle.platform.standins import store as fake_store

import loopback


def _entry(member: presence.Member) -> store.StoreEntry:
    data = msgspec.json.encode(member)
    return store.StoreEntry(presence.PREFIX + member.instance, data, 1)


def _members(*others: presence.Member) -> presence.Members:
    members = presence.Members(presence.Member("me", "zone-a", 7))
    members.apply_changes([_entry(member) for member in others])
    return members


def _member(name: str, **changes: object) -> presence.Member:
    member = presence.Member(name, "zone-a", 1)
    return msgspec.structs.replace(member, **changes)


def test_smallest_allowed_lag_applies() -> None:
    """Fails when weights may be older than a batch's trainer allows."""
    members = _members(
        _member("one", allowed_lags={"base": 2}),
        _member("two", allowed_lags={"base": 1, "other": 3}),
        _member("three"),
    )
    assert members.allowed_lag("base") == 1
    assert members.allowed_lag("other") == 3
    assert members.allowed_lag("unknown") == 0


def test_restarted_instance_restores_its_allowed_lag() -> None:
    """Fails when all engines load weights at once after a fleet restart."""
    members = _members(_member("me", allowed_lags={"base": 1}))
    assert members.me.allowed_lags == {"base": 1}
    assert members.me.incarnation == 7


def test_draining_members_are_used_as_a_last_resort() -> None:
    """Fails when work goes to a draining instance, or to none at all."""
    members = _members(_member("one", leaving=True), _member("two"))
    assert [member.instance for member in members.active_members()] == ["two"]
    members = _members(_member("one", leaving=True))
    assert members.orphan_scanner() == "one"


def test_instances_never_follow_each_other_in_a_cycle() -> None:
    """Fails when instances in a cycle read the store through each other."""
    fleet_members = [
        presence.Member(f"gateway-{n}", "zone-a", 1, f"peer:{n}")
        for n in range(6)
    ]
    # A draining instance may know that it drains before the others do.
    readers = {}
    for me in fleet_members:
        own = msgspec.structs.replace(me, leaving=me.instance[-1] in "024")
        members = presence.Members(own)
        others = [m for m in fleet_members if m.instance != me.instance]
        members.apply_changes([_entry(member) for member in [own, *others]])
        reader = members.zone_reader()
        readers[me.instance] = reader.instance if reader else None
    for start in readers:
        seen = set()
        name: str | None = start
        while name is not None:
            assert name not in seen
            seen.add(name)
            name = readers[name]


def test_only_eligible_and_busy_members_have_short_leases() -> None:
    """Fails when every member renews a short lease.

    165 instances that renew leases of 2.4 s make 236 store calls a second,
    even while idle.
    """

    async def main() -> None:
        async with _registered(cores=1.0, larger=4) as (client, own_presence):
            before = client.calls["renew"] + client.calls["lease"]
            await anyio.sleep(4.0)
            assert client.calls["renew"] + client.calls["lease"] - before <= 2
            own_presence.has_work = lambda: True
            with anyio.fail_after(2):
                while own_presence._lease_seconds != presence.LEASE_SECONDS:
                    await anyio.sleep(0.05)

    anyio.run(main)


def test_largest_members_become_eligible_after_the_settle_time() -> None:
    """Fails when a member takes leader duties before it knows the others."""

    async def main() -> None:
        async with _registered(cores=2.0, larger=0) as (_, own_presence):
            assert not own_presence.members.me.is_leader_eligible
            with anyio.fail_after(3):
                while not own_presence.members.me.is_leader_eligible:
                    await anyio.sleep(0.05)
            with anyio.fail_after(2):
                while own_presence._lease_seconds != presence.LEASE_SECONDS:
                    await anyio.sleep(0.05)

    anyio.run(main)


@contextlib.asynccontextmanager
async def _registered(
    cores: float, larger: int
) -> abc.AsyncIterator[tuple[store.StoreClient, presence.Presence]]:
    """Yield the presence of an instance with larger ones in its zone."""
    fake = fake_store.Store()
    async with (
        loopback.serve(fake_store.create_app(fake)) as url,
        httpx.AsyncClient(trust_env=False) as http,
        anyio.create_task_group() as tasks,
    ):
        client = store.create_client(http, url, 2.0, 1000.0)
        me = presence.Member("me", "zone-a", 7, cores=cores)
        members = presence.Members(me)
        members.apply_changes(
            [
                _entry(_member(f"other-{n}", cores=cores + 1))
                for n in range(larger)
            ]
        )
        own_presence = presence.Presence(client, members)
        tasks.start_soon(own_presence.run)
        with anyio.fail_after(5):
            await members.registered.wait()
        yield client, own_presence
        tasks.cancel_scope.cancel()
