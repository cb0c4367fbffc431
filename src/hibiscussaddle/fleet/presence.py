"""Show that this instance lives, and know which others do.

Each instance keeps a key under a lease of the store. A key that vanishes
means that its instance stopped, froze or lost the store.
"""

import hashlib
import logging
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

PREFIX: typing.Final = "lease/member/"
# Time after which a silent instance loses its batches, in seconds. Shorter
# leases make more false takeovers while the store is slow.
LEASE_SECONDS: typing.Final = 2.4
# Three renewals fit into one lease.
_RENEW_SECONDS: typing.Final = 0.7
_RETRY_SECONDS: typing.Final = 0.2


class Member(msgspec.Struct, frozen=True):
    """Describe a live instance."""

    instance: str
    zone: str
    # Wall-clock milliseconds of the start of its process.
    incarnation: int
    # host:port at which peers reach it.
    peer_address: str = ""
    # It stops soon and takes nothing over.
    leaving: bool = False
    # By model, how many versions behind the newest one the batches that it
    # accepted allow.
    allowed_lags: dict[str, int] = {}


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
                _rank(self.me.instance, member.instance),
            )
        )
        return [member.peer_address for member in peers]

    def staying(self) -> list[Member]:
        """Return the members that may take work over.

        These are all members when every one of them stops soon.
        """
        found = [m for m in self.all.values() if not m.leaving]
        return found or list(self.all.values())

    def heir(self, instance: str) -> str:
        """Return the member that takes over what an instance owned."""
        live = [m.instance for m in self.staying() if m.instance != instance]
        return max(live, key=lambda name: _rank(instance, name), default="")

    def sweeper(self) -> str:
        """Return the member that looks for work without an owner."""
        return min((m.instance for m in self.staying()), default="")

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

        None when this instance is to read it itself. It ranks above this
        instance, so that no circle of instances follows one another.
        """
        zone = [
            member
            for member in self.staying()
            if member.zone == self.me.zone and member.peer_address
        ]
        names = {member.instance for member in zone}
        if not names - {self.me.instance} or self.me.instance not in names:
            return None
        reader = max(zone, key=lambda m: _rank(self.me.zone, m.instance))
        return None if reader.instance == self.me.instance else reader

    def member_for(self, subject: str) -> Member | None:
        """Return the member that all instances prefer for a subject."""
        return max(
            self.staying(),
            key=lambda member: _rank(subject, member.instance),
            default=None,
        )

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
                store.log_malformed(exc, entry.data)
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
        logs.event(
            _LOG,
            "member_seen",
            member=member.instance,
            leaving=member.leaving,
        )
        self.on_changed()

    def _remove(self, instance: str) -> None:
        if self.all.pop(instance, None) is not None:
            logs.event(_LOG, "member_gone", member=instance)
            self.on_gone(instance)


class Presence:
    """Keep this instance's key while it runs."""

    def __init__(self, client: store.StoreClient, members: Members) -> None:
        """Register at the first call of run()."""
        self.members = members
        self._client = client
        self._lease = 0
        # What the key of this instance says.
        self._published: Member | None = None
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            self._wake = anyio.Event()
            if self._lease == 0:
                done = await self._register()
            elif self._published != self.members.me:
                done = await self._publish(self._lease)
            else:
                done = await self._renew()
            with anyio.move_on_after(
                _RENEW_SECONDS if done else _RETRY_SECONDS
            ):
                await self._wake.wait()

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
        granted = await self._client.grant(LEASE_SECONDS)
        if isinstance(granted, result.Err):
            return False
        if not await self._publish(granted.ok_value):
            return False
        self._lease = granted.ok_value
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
        renewed = await self._client.renew(lease)
        if isinstance(renewed, result.Ok):
            return True
        if renewed.err_value.failure is store.StoreFailure.MISSING:
            logs.event(_LOG, "member_lease_lost", logging.WARNING, lease=lease)
            self._lease = 0
        return False


def _rank(instance: str, candidate: str) -> bytes:
    key = f"{instance}/{candidate}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
