"""Show that this instance lives, and know which others do.

Each instance keeps a key under a lease of the store. A key that vanishes
means that its instance stopped, froze or lost the store.
"""

import logging
import time
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import roles
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

PREFIX: typing.Final = "lease/member/"
# Time after which a silent instance of the core loses its batches, in seconds.
# Shorter leases make more false takeovers while the store is slow.
LEASE_SECONDS: typing.Final = 2.4
# The same for all others, whose loss takes nothing with it: 165 instances
# with the lease above would renew 236 times a second.
_LONG_LEASE_SECONDS: typing.Final = 7.2
# Part of a lease after which it is renewed: three renewals fit into one.
_RENEW_PART: typing.Final = 0.29
# How often the role and the lease are looked at, in seconds: one renewal of
# the core.
_LOOK_SECONDS: typing.Final = LEASE_SECONDS * _RENEW_PART
# A new member looks for the strongest of its zone after this time, in
# seconds: all instances that start together have registered by then.
_SETTLE_SECONDS: typing.Final = 1.0
_RETRY_SECONDS: typing.Final = 0.2


Member = member_lib.Member


class Members:
    """Know which instances live."""

    def __init__(self, me: Member) -> None:
        """Know nobody until the first listing."""
        self.me = me
        self.all: dict[str, Member] = {}
        # Set once this instance's key was written for the first time.
        self.registered = anyio.Event()
        # Called with each instance whose key vanished.
        self.on_gone: typing.Callable[[str], None] = lambda _: None
        # Called when a member appears or says something new.
        self.on_changed: typing.Callable[[], None] = lambda: None
        # Returns the routes whose batches are spread over members.
        self.batch_routes: typing.Callable[[], tuple[str, ...]]
        self.batch_routes = lambda: ()
        # Owners by route, for the routes and members that they follow from.
        self._owners: dict[str, Member] = {}
        self._owned_routes: tuple[str, ...] | None = None

    def peer_addresses(self) -> list[str]:
        """Return where peers are reached, those of the own zone first."""
        peers = [
            member
            for member in self.all.values()
            if member.instance != self.me.instance and member.peer_address
        ]
        peers.sort(
            key=lambda member: (
                member.zone != self.me.zone,
                roles.rank(self.me.instance, member.instance),
            )
        )
        return [member.peer_address for member in peers]

    def staying(self) -> list[Member]:
        """Return the members that may take work over.

        These are all members when every one of them stops soon.
        """
        found = [m for m in self.all.values() if not m.leaving]
        return found or list(self.all.values())

    def candidates(self) -> list[Member]:
        """Return the members that may take duties of the fleet."""
        return roles.candidates(self.all.values())

    def heir(self, instance: str) -> str:
        """Return the member that takes over what an instance owned."""
        live = [
            m.instance for m in self.candidates() if m.instance != instance
        ]
        return max(
            live, key=lambda name: roles.rank(instance, name), default=""
        )

    def sweeper(self) -> str:
        """Return the member that looks for work without an owner."""
        return min((m.instance for m in self.candidates()), default="")

    def allowed_lag(self, model: str) -> int:
        """Return how old weights may be, in versions; 0 while unknown."""
        return min(
            (
                member.allowed_lags[model]
                for member in self.all.values()
                if model in member.allowed_lags
            ),
            default=0,
        )

    def zone_reader(self) -> Member | None:
        """Return the peer that reads the store for this zone.

        None when this instance is to read it itself. It is stronger than
        this instance by what neither of them ever changes, so that no circle
        of instances follows one another.
        """
        zone = [
            member
            for member in self.staying()
            if member.zone == self.me.zone and member.peer_address
        ]
        names = {member.instance for member in zone}
        if not names - {self.me.instance} or self.me.instance not in names:
            return None
        reader = max(zone, key=roles.strength)
        return None if reader.instance == self.me.instance else reader

    def member_for(self, route: str) -> Member | None:
        """Return the member that runs the batches of a route."""
        routes = self.batch_routes()
        if self._owned_routes != routes:
            self._owned_routes = routes
            self._owners = roles.owners_of(routes, self.all.values())
        if route in self._owners:
            return self._owners[route]
        # A route that is gone from the configuration has batches to end.
        return roles.owners_of((route,), self.all.values()).get(route)

    def put_listing(self, entries: list[store.StoreEntry]) -> None:
        """Take a complete listing of members."""
        gone = set(self.all) - {
            entry.key.removeprefix(PREFIX) for entry in entries
        }
        self.put_changes(entries)
        for name in gone:
            self._remove(name)

    def put_changes(self, entries: list[store.StoreEntry]) -> None:
        """Take changes of members' keys."""
        for entry in entries:
            if not entry.key.startswith(PREFIX):
                continue
            if entry.data is None:
                self._remove(entry.key.removeprefix(PREFIX))
                continue
            try:
                member = msgspec.json.decode(entry.data, type=Member)
            except ValueError as exc:
                store.log_decode_error(exc, entry.data)
                continue
            if self.all.get(member.instance) != member:
                self._put(member)

    def _put(self, member: Member) -> None:
        if member.instance == self.me.instance and not self.me.allowed_lags:
            # A process that ran here before learnt them.
            self.me = msgspec.structs.replace(
                self.me, allowed_lags=member.allowed_lags
            )
        self.all[member.instance] = member
        self._owned_routes = None
        logs.event(
            _LOG,
            "member_seen",
            member=member.instance,
            leaving=member.leaving,
        )
        self.on_changed()

    def _remove(self, instance: str) -> None:
        if self.all.pop(instance, None) is not None:
            self._owned_routes = None
            logs.event(_LOG, "member_gone", member=instance)
            self.on_gone(instance)


class Presence:
    """Keep this instance's key while it runs."""

    def __init__(self, client: store.StoreClient, members: Members) -> None:
        """Register at the first call of run()."""
        self.members = members
        # Returns whether this instance has work that others take over.
        self.has_work: typing.Callable[[], bool] = lambda: False
        self._client = client
        self._lease = 0
        self._lease_seconds = 0.0
        self._renewed_at = 0.0
        self._registered_at = float("inf")
        # What the key of this instance says.
        self._published: Member | None = None
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            self._wake = anyio.Event()
            self._choose_role()
            wanted = self._wanted_seconds()
            if self._lease == 0 or self._lease_seconds != wanted:
                done = await self._register()
            elif self._published != self.members.me:
                done = await self._publish(self._lease)
            elif self._is_renewal_due():
                done = await self._renew()
            else:
                done = True
            wait = _LOOK_SECONDS if done else _RETRY_SECONDS
            with anyio.move_on_after(wait):
                await self._wake.wait()

    def _wanted_seconds(self) -> float:
        is_short = self.members.me.is_core or self.has_work()
        return LEASE_SECONDS if is_short else _LONG_LEASE_SECONDS

    def _is_renewal_due(self) -> bool:
        # The next look may be a moment too late.
        interval = self._lease_seconds * _RENEW_PART - _LOOK_SECONDS / 2
        return time.monotonic() - self._renewed_at >= interval

    def _is_settling(self) -> bool:
        """Tell whether others that started as well may still be unknown."""
        return time.monotonic() - self._registered_at < _SETTLE_SECONDS

    def _choose_role(self) -> None:
        """Join or leave the core of the zone, as the others are now."""
        members = self.members
        me = members.me
        if not members.registered.is_set() or self._is_settling():
            return
        is_core = roles.belongs_to_core(me, members.all.values())
        if is_core != me.is_core:
            members.me = msgspec.structs.replace(me, is_core=is_core)
            logs.event(_LOG, "role_changed", is_core=is_core)

    def note_lag(self, model: str, lag: int) -> None:
        """Publish the smallest lag that batches of a model allow."""
        me = self.members.me
        if lag >= me.allowed_lags.get(model, lag + 1):
            return
        lags = {**me.allowed_lags, model: lag}
        self.members.me = msgspec.structs.replace(me, allowed_lags=lags)
        logs.event(_LOG, "allowed_lag", model=model, versions=lag)
        self._wake.set()

    def leave_soon(self) -> None:
        """Tell the others that this instance takes no more work over."""
        members = self.members
        members.me = msgspec.structs.replace(members.me, leaving=True)
        self._wake.set()

    async def leave(self) -> None:
        """Remove this instance's key."""
        lease, self._lease = self._lease, 0
        if lease:
            await self._client.revoke(lease)

    async def _register(self) -> bool:
        seconds = self._wanted_seconds()
        started = time.monotonic()
        granted = await self._client.grant(seconds)
        if isinstance(granted, result.Err):
            return False
        if not await self._publish(granted.ok_value):
            return False
        # A lease before this one lapses without the key.
        self._lease, self._lease_seconds = granted.ok_value, seconds
        self._renewed_at = started
        if not self.members.registered.is_set():
            self._registered_at = time.monotonic()
            self.members.registered.set()
        logs.event(_LOG, "member_registered", lease=self._lease)
        return True

    async def _publish(self, lease: int) -> bool:
        """Write this instance's key under a lease; tell whether it is."""
        me = self.members.me
        put = store.Put(PREFIX + me.instance, msgspec.json.encode(me), lease)
        # Without a condition: only this instance writes its key, and the
        # lease of a process before must not delete it.
        done = await self._client.commit({}, [put])
        if isinstance(done, result.Ok):
            self._published = me
        elif done.err_value.failure is store.StoreFailure.MISSING:
            self._lease = 0
        return isinstance(done, result.Ok)

    async def _renew(self) -> bool:
        lease = self._lease
        started = time.monotonic()
        renewed = await self._client.renew(lease)
        if isinstance(renewed, result.Ok):
            self._renewed_at = started
            return True
        if renewed.err_value.failure is store.StoreFailure.MISSING:
            logs.event(_LOG, "member_lease_lost", logging.WARNING, lease=lease)
            self._lease = 0
        return False
