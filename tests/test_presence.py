"""Guard what members know of each other."""

import msgspec

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import presence


def _entry(member: presence.Member) -> store.StoreEntry:
    data = msgspec.json.encode(member)
    return store.StoreEntry(presence.PREFIX + member.instance, data, 1)


def _members(*others: presence.Member) -> presence.Members:
    found = presence.Members(presence.Member("me", "zone-a", 7))
    found.put_changes([_entry(member) for member in others])
    return found


def _member(name: str, **changes: object) -> presence.Member:
    member = presence.Member(name, "zone-a", 1)
    return msgspec.structs.replace(member, **changes)


def test_smallest_allowed_lag_counts() -> None:
    """Fails when a batch's weights may be older than its trainer allows."""
    found = _members(
        _member("one", allowed_lags={"base": 2}),
        _member("two", allowed_lags={"base": 1, "other": 3}),
        _member("three"),
    )
    assert found.allowed_lag("base") == 1
    assert found.allowed_lag("other") == 3
    assert found.allowed_lag("unknown") == 0


def test_restarted_instance_remembers_the_allowed_lag() -> None:
    """Fails when every engine loads at once after a restart of the fleet."""
    found = _members(_member("me", allowed_lags={"base": 1}))
    assert found.me.allowed_lags == {"base": 1}
    assert found.me.incarnation == 7


def test_leaving_members_are_the_last_choice() -> None:
    """Fails when work is given to an instance that stops, or to nobody."""
    found = _members(_member("one", leaving=True), _member("two"))
    assert [member.instance for member in found.staying()] == ["two"]
    found = _members(_member("one", leaving=True))
    assert found.sweeper() == "one"


def test_no_circle_of_instances_follows_one_another() -> None:
    """Fails when two instances each take the store's changes of the other."""
    everybody = [
        presence.Member(f"gateway-{n}", "zone-a", 1, f"peer:{n}")
        for n in range(6)
    ]
    # A stopping instance may know of its stop before the others do.
    views = {}
    for me in everybody:
        own = msgspec.structs.replace(me, leaving=me.instance[-1] in "024")
        found = presence.Members(own)
        others = [m for m in everybody if m.instance != me.instance]
        found.put_changes([_entry(member) for member in [own, *others]])
        reader = found.zone_reader()
        views[me.instance] = reader.instance if reader else None
    for start in views:
        seen = set()
        name: str | None = start
        while name is not None:
            assert name not in seen
            seen.add(name)
            name = views[name]
