"""Register this instance in the store and track the other members.

Each instance keeps a key under a store lease. A key that expires means that
its instance stopped, froze or lost its connection to the store.
"""

import logging
import time
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import addresses
from hibiscussaddle import containment
from hibiscussaddle import decoding
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import roles
from hibiscussaddle import logs
from hibiscussaddle.policy import engine_demand

_LOG = logging.getLogger(__name__)

PREFIX: typing.Final = "lease/member/"
# Time to live of the lease of a leader-eligible member; its batches are taken
# over once it expires. A shorter lease causes more false takeovers while the
# store is slow.
LEASE_SECONDS: typing.Final = 2.4
# Time to live of the lease of all other members, which own no batches: 165
# instances with the lease above would renew 236 times a second.
_LONG_LEASE_SECONDS: typing.Final = 7.2
# Fraction of the lease after which it is renewed, so that three renewals fit
# into one lease.
_RENEW_FRACTION: typing.Final = 0.29
# The role and the lease are checked at the renewal interval of a
# leader-eligible member.
_CHECK_INTERVAL_SECONDS: typing.Final = LEASE_SECONDS * _RENEW_FRACTION
# Delay before a new member evaluates its eligibility: all instances that
# start together have registered by then.
_SETTLE_SECONDS: typing.Final = 1.0
_RETRY_SECONDS: typing.Final = 0.2

# Callers that use the members name the type as presence.Member.
Member = member_lib.Member


class Members:
    """Track the live instances of the fleet."""

    def __init__(self, me: Member) -> None:
        """Start without members until the first listing is applied."""
        self.me = me
        self.all: dict[str, Member] = {}
        # Set after the first write of this instance's key.
        self.registered = anyio.Event()
        # Called with the name of each instance whose key was removed.
        self.on_removed: typing.Callable[[str], None] = lambda _: None
        # Called when a member is added or its description changes.
        self.on_changed: typing.Callable[[], None] = lambda: None
        # Returns the routes whose batches are assigned to members.
        self.batch_routes: typing.Callable[[], tuple[str, ...]]
        self.batch_routes = lambda: ()
        # Cached owners by route, valid for _owned_routes and the current
        # members.
        self._owners: dict[str, Member] = {}
        self._owned_routes: tuple[str, ...] | None = None
        # Newest demand by model and route. It outlives the member that
        # published it, until the next owner of the route knows a new one.
        self._demands: dict[tuple[str, str], int] = {}

    def peer_addresses(self) -> list[str]:
        """Return the addresses of peers, those of the own zone first."""
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

    def active_members(self) -> list[Member]:
        """Return the members that are not draining.

        Returns all members when every one of them is draining.
        """
        active = [m for m in self.all.values() if not m.leaving]
        return active or list(self.all.values())

    def candidates(self) -> list[Member]:
        """Return the members that may take leader duties."""
        return roles.candidates(self.all.values())

    def successor_of(self, instance: str) -> str:
        """Return the member that takes over the batches of an instance."""
        live = [
            m.instance for m in self.candidates() if m.instance != instance
        ]
        return max(
            live, key=lambda name: roles.rank(instance, name), default=""
        )

    def batch_bytes(self) -> int:
        """Return the largest batch that all candidates accept.

        The bytes are those of a member's account.
        """
        return min(
            (
                member.batch_bytes
                for member in self.candidates()
                if member.batch_bytes is not msgspec.UNSET
            ),
            default=decoding.MAX_AMOUNT,
        )

    def successors(self, instance: str) -> list[Member]:
        """Return the other members that may run a batch, the best first."""
        return sorted(
            (
                member
                for member in self.candidates()
                if member.peer_address
                and member.instance not in (instance, self.me.instance)
            ),
            key=lambda member: roles.rank(instance, member.instance),
            reverse=True,
        )

    def orphan_scanner(self) -> str:
        """Return the member that scans for orphaned batches."""
        return min((m.instance for m in self.candidates()), default="")

    def allowed_lag(self, model: str) -> int:
        """Return how many versions old weights may be; 0 while unknown."""
        return min(
            (
                member.allowed_lags[model]
                for member in self.all.values()
                if model in member.allowed_lags
            ),
            default=0,
        )

    def model_demands(self) -> dict[str, int]:
        """Return the output tokens per second that each model asks for."""
        demands: dict[str, int] = {}
        for (model, _), demand in self._demands.items():
            demands[model] = demands.get(model, 0) + demand
        return demands

    def _record_demands(self, member: Member) -> None:
        """Record the demands that a member has changed."""
        known = self.all.get(member.instance)
        before = _flatten(known.demands) if known is not None else {}
        for key, demand in _flatten(member.demands).items():
            if before.get(key) != demand:
                self._demands[key] = demand

    def zone_reader(self) -> Member | None:
        """Return the peer that reads the store on behalf of this zone.

        Returns None when this instance reads the store itself. The order
        uses only fields that a process never changes, so that instances
        can't follow each other in a cycle.
        """
        names = {
            member.instance
            for member in self.active_members()
            if member.zone == self.me.zone and member.peer_address
        }
        if not names - {self.me.instance} or self.me.instance not in names:
            return None
        reader = self.zone_readers()[self.me.zone]
        return None if reader.instance == self.me.instance else reader

    def zone_readers(self) -> dict[str, Member]:
        """Return the member that reads the store for each zone."""
        readers: dict[str, Member] = {}
        for member in sorted(self.active_members(), key=roles.capacity_key):
            if member.peer_address:
                readers[member.zone] = member
        return readers

    def route_owner(self, route: str) -> Member | None:
        """Return the member that runs the batches of a route."""
        routes = self.batch_routes()
        if self._owned_routes != routes:
            self._owned_routes = routes
            self._owners = roles.route_owners(routes, self.all.values())
        if route in self._owners:
            return self._owners[route]
        # A route that was removed from the configuration may still have
        # batches to end.
        return roles.route_owners((route,), self.all.values()).get(route)

    def apply_listing(self, entries: list[store.StoreEntry]) -> None:
        """Apply a complete listing of members."""
        removed = set(self.all) - {
            entry.key.removeprefix(PREFIX) for entry in entries
        }
        self.apply_changes(entries)
        for name in removed:
            self._remove(name)

    def apply_changes(self, entries: list[store.StoreEntry]) -> None:
        """Apply changes to the keys of members."""
        for entry in entries:
            if entry.key.startswith(PREFIX):
                with containment.contain("member_entry", entry.key):
                    self._apply_change(entry)

    def _apply_change(self, entry: store.StoreEntry) -> None:
        if entry.data is None:
            self._remove(entry.key.removeprefix(PREFIX))
            return
        try:
            member = decoding.decode_json(entry.data, Member)
            if member.peer_address:
                addresses.parse(member.peer_address)
        except ValueError as exc:
            store.log_decode_error(exc, entry.data)
            return
        if self.all.get(member.instance) != member:
            self._put(member)

    def _put(self, member: Member) -> None:
        if member.instance == self.me.instance and not self.me.allowed_lags:
            # Restore the lags that an earlier process of this instance
            # published.
            self.me = msgspec.structs.replace(
                self.me, allowed_lags=member.allowed_lags
            )
        self._record_demands(member)
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
            self.on_removed(instance)


def _flatten(
    demands: dict[str, dict[str, int]] | msgspec.UnsetType,
) -> dict[tuple[str, str], int]:
    if demands is msgspec.UNSET:
        return {}
    return {
        (model, route): demand
        for model, by_route in demands.items()
        for route, demand in by_route.items()
        if demand >= 0
    }


class Presence:
    """Register this instance and keep its lease alive."""

    def __init__(self, client: store.StoreClient, members: Members) -> None:
        """Prepare; run() registers the instance."""
        self.members = members
        # Returns whether this instance has work that others must take over.
        self.has_work: typing.Callable[[], bool] = lambda: False
        self._client = client
        self._lease = 0
        self._lease_seconds = 0.0
        self._renewed_at = 0.0
        self._registered_at = float("inf")
        # Value of this instance's key in the store.
        self._published: Member | None = None
        # Monotonic seconds of the latest change of a published demand.
        self._demand_changed_at = float("-inf")
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Register and renew the lease until cancelled."""
        while True:
            self._wake = anyio.Event()
            self._update_eligibility()
            wanted = self._wanted_lease_seconds()
            if self._lease == 0 or self._lease_seconds != wanted:
                done = await self._register()
            elif self._published != self.members.me:
                done = await self._publish(self._lease)
            elif self._is_renewal_due():
                done = await self._renew()
            else:
                done = True
            wait = _CHECK_INTERVAL_SECONDS if done else _RETRY_SECONDS
            with anyio.move_on_after(wait):
                await self._wake.wait()

    def _wanted_lease_seconds(self) -> float:
        is_short = self.members.me.is_leader_eligible or self.has_work()
        return LEASE_SECONDS if is_short else _LONG_LEASE_SECONDS

    def _is_renewal_due(self) -> bool:
        # The renewal is due half a check interval early, since the next check
        # may be too late.
        interval = (
            self._lease_seconds * _RENEW_FRACTION - _CHECK_INTERVAL_SECONDS / 2
        )
        return time.monotonic() - self._renewed_at >= interval

    def _is_settling(self) -> bool:
        """Return whether members that just started may still be unknown."""
        return time.monotonic() - self._registered_at < _SETTLE_SECONDS

    def _update_eligibility(self) -> None:
        """Set whether this instance is leader-eligible in its zone."""
        members = self.members
        me = members.me
        if not members.registered.is_set() or self._is_settling():
            return
        is_eligible = roles.is_leader_eligible(me, members.all.values())
        if is_eligible != me.is_leader_eligible:
            members.me = msgspec.structs.replace(
                me, is_leader_eligible=is_eligible
            )
            logs.event(_LOG, "role_changed", is_core=is_eligible)

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, as far as this instance knows."""
        valid_until = self._renewed_at + self._lease_seconds
        return self._lease != 0 and time.monotonic() < valid_until

    def publish_allowed_lag(self, model: str, lag: int) -> None:
        """Lower the published lag of a model to that of a new batch."""
        me = self.members.me
        if lag >= me.allowed_lags.get(model, lag + 1):
            return
        lags = {**me.allowed_lags, model: lag}
        self.members.me = msgspec.structs.replace(me, allowed_lags=lags)
        logs.event(_LOG, "allowed_lag", model=model, versions=lag)
        self._wake.set()

    def publish_demand(self, model: str, route: str, demand: int) -> None:
        """Publish the demand of a model if it has changed much."""
        me = self.members.me
        demands = {} if me.demands is msgspec.UNSET else me.demands
        by_route = demands.get(model, {})
        now = time.monotonic()
        if not engine_demand.must_publish(
            by_route.get(route), demand, now - self._demand_changed_at
        ):
            return
        self._demand_changed_at = now
        self.members.me = msgspec.structs.replace(
            me, demands={**demands, model: {**by_route, route: demand}}
        )
        logs.event(
            _LOG,
            "model_demand",
            model=model,
            route=route,
            tokens_per_second=demand,
        )
        self._wake.set()

    def announce_leaving(self) -> None:
        """Announce that this instance is draining and takes no more work."""
        members = self.members
        members.me = msgspec.structs.replace(members.me, leaving=True)
        self._wake.set()

    async def deregister(self) -> None:
        """Revoke the lease, which removes this instance's key."""
        lease, self._lease = self._lease, 0
        if lease:
            await self._client.revoke(lease)

    async def _register(self) -> bool:
        seconds = self._wanted_lease_seconds()
        started = time.monotonic()
        granted = await self._client.grant(seconds)
        if isinstance(granted, result.Err):
            return False
        if not await self._publish(granted.ok_value):
            return False
        # The previous lease expires on its own, since no key refers to it.
        self._lease, self._lease_seconds = granted.ok_value, seconds
        self._renewed_at = started
        if not self.members.registered.is_set():
            self._registered_at = time.monotonic()
            self.members.registered.set()
        logs.event(_LOG, "member_registered", lease=self._lease)
        return True

    async def _publish(self, lease: int) -> bool:
        """Write this instance's key; return whether the write succeeded."""
        me = self.members.me
        put = store.Put(PREFIX + me.instance, msgspec.json.encode(me), lease)
        # Unconditional, since only this instance writes its key. It binds the
        # key to this lease, so that the lease of an earlier process doesn't
        # delete it on expiry.
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
