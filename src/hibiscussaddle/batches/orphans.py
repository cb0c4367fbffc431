"""Find the batches whose owner is dead or no longer runs them."""

from collections import abc
import time
import typing

import anyio
import result

from hibiscussaddle.batches import model
from hibiscussaddle.batches import storage
from hibiscussaddle.batches import takeover_waits
from hibiscussaddle.fleet import presence as presence_lib

_RETRY_DELAY_SECONDS: typing.Final = 0.3
# Interval between scans for orphaned batches. Scans only cover removals of
# owners that this instance was not notified of.
_SCAN_INTERVAL_SECONDS: typing.Final = 5.0
# The same while an owner is suspected or after an outage of the store, when
# the keys of dead members outlive them.
_SUSPECT_SCAN_INTERVAL_SECONDS: typing.Final = 0.5
# An owner is dead once this many scans in a row find that it is no member or
# does not confirm that it runs its batch.
_DEAD_AFTER_SCANS: typing.Final = 2
# Every member remembers dead owners for this long, since the successor that
# takes their batches over may itself die before it has done so.
_DEAD_OWNER_TTL_SECONDS: typing.Final = 30.0
# A batch that is taken over this long after the first one waited for others.
_LATE_TAKEOVER_SECONDS: typing.Final = 1.0
# A new member scans for dead owners once after this time, when all instances
# that started together have registered.
_JOIN_SCAN_DELAY_SECONDS: typing.Final = 1.0


class Orphans:
    """Have the batches of dead owners taken over, those left here as well."""

    def __init__(
        self,
        members: presence_lib.Members,
        batch_storage: storage.BatchStorage,
        ensure_running: abc.Callable[
            [presence_lib.Member, storage.OwnerRecord], abc.Awaitable[bool]
        ],
        take_over: abc.Callable[[storage.OwnerRecord], abc.Awaitable[bool]],
        waits: takeover_waits.TakeoverWaits,
    ) -> None:
        """Ask owners whether they run a batch; take over those of dead ones.

        take_over() returns False for a batch that must be tried again.
        """
        self._members = members
        self._storage = batch_storage
        self._ensure_running = ensure_running
        self._take_over = take_over
        self._waits = waits
        me = members.me
        self._me = model.Owner(me.instance, me.incarnation)
        # The previous incarnation of this instance may have left batches.
        self._owners_to_replace: set[str] = {me.instance}
        # Monotonic seconds at which each dead owner was detected.
        self._dead_since: dict[str, float] = {}
        # Owners that have a member key but do not confirm their batches.
        self._unreachable: set[str] = set()
        self._scan_now = anyio.Event()
        self._takeover_now = anyio.Event()
        self._takeover_now.set()
        self._is_stopping = False
        # Longer while no member has room for a batch.
        self.retry_delay = _RETRY_DELAY_SECONDS
        members.on_removed = self.record_member_removal
        members.on_changed = self.request_takeover

    async def run(self) -> None:
        """Look for batches to take over until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._scan_for_orphans)
            tasks.start_soon(self._scan_on_join)
            while True:
                await self._takeover_now.wait()
                self._takeover_now = anyio.Event()
                self.retry_delay = _RETRY_DELAY_SECONDS
                if not await self._take_over_orphans():
                    await anyio.sleep(self.retry_delay)
                    self._takeover_now.set()

    def stop(self) -> None:
        """Have no more batches taken over."""
        self._is_stopping = True

    def record_member_removal(self, instance: str) -> None:
        """Record that a member stopped, whose batches need a new owner."""
        self._dead_since[instance] = time.monotonic()
        self._takeover_now.set()

    async def _scan_on_join(self) -> None:
        """Find owners that died before this instance joined.

        If this instance is the successor of such an owner, no other member
        takes over its batches.
        """
        while self._me.instance not in self._members.all:
            await anyio.sleep(_RETRY_DELAY_SECONDS)
        await anyio.sleep(_JOIN_SCAN_DELAY_SECONDS)
        while isinstance(records := await self._storage.owners(), result.Err):
            await anyio.sleep(_RETRY_DELAY_SECONDS)
        for record in records.ok_value:
            owner = record.owner
            if owner.instance and self._is_dead(owner):
                self._dead_since.setdefault(owner.instance, time.monotonic())
        self._takeover_now.set()

    def request_takeover(self) -> None:
        """Look for batches to take over now."""
        self._takeover_now.set()

    def _collect_dead_owners(self) -> None:
        """Select the dead owners whose successor this instance is now."""
        expired_before = time.monotonic() - _DEAD_OWNER_TTL_SECONDS
        for instance, dead_since in list(self._dead_since.items()):
            if self._members.successor_of(instance) == self._me.instance:
                self._owners_to_replace.add(instance)
            elif dead_since > expired_before:
                continue
            del self._dead_since[instance]

    def scan_soon(self) -> None:
        """Trigger a scan for orphaned batches now."""
        self._scan_now.set()

    async def _scan_for_orphans(self) -> None:
        """Find batches whose owner is dead or no longer runs them."""
        suspicions: dict[str, int] = {}
        while True:
            interval = (
                _SUSPECT_SCAN_INTERVAL_SECONDS
                if suspicions
                else _SCAN_INTERVAL_SECONDS
            )
            with anyio.move_on_after(interval):
                await self._scan_now.wait()
            self._scan_now = anyio.Event()
            if self._members.orphan_scanner() != self._me.instance:
                suspicions.clear()
                continue
            records = await self._storage.owners()
            if isinstance(records, result.Err):
                continue
            suspects: set[str] = set()
            for record in records.ok_value:
                if not await self._is_running(record):
                    owner = record.owner.instance
                    suspects.add(owner)
                    self._waits.record(record.batch_id, owner, "owner_silent")
            suspicions = {
                name: suspicions.get(name, 0) + 1 for name in suspects
            }
            dead = {
                name
                for name, count in suspicions.items()
                if count >= _DEAD_AFTER_SCANS
            }
            if dead:
                self._unreachable = dead
                self._owners_to_replace |= dead
                self._takeover_now.set()

    async def _is_running(self, record: storage.OwnerRecord) -> bool:
        """Return whether a batch's owner is alive and runs it."""
        if self._is_dead(record.owner):
            return False
        member = self._members.all[record.owner.instance]
        return await self._ensure_running(member, record)

    def _is_dead(self, owner: model.Owner) -> bool:
        member = self._members.all.get(owner.instance)
        return member is None or member.incarnation != owner.incarnation

    def _may_take_over(self, owner: model.Owner) -> bool:
        """Return whether an owner's batches may be taken over."""
        if not owner.instance or owner.instance == self._me.instance:
            return True
        return self._is_dead(owner) or owner.instance in self._unreachable

    async def _take_over_orphans(self) -> bool:
        """Take over batches of dead owners; return whether none is left."""
        self._collect_dead_owners()
        if self._is_stopping or not self._owners_to_replace:
            return True
        # Failed takeovers add this instance again meanwhile.
        replaced, self._owners_to_replace = self._owners_to_replace, set()
        records = await self._storage.owners()
        if isinstance(records, result.Err):
            self._owners_to_replace |= replaced
            self._waits.record("-", ",".join(replaced), "owners_unreadable")
            return False
        started = time.monotonic()
        all_taken_over = True
        for record in records.ok_value:
            owner = record.owner
            if owner.instance not in replaced and owner.instance:
                continue
            if owner != self._me and not self._may_take_over(owner):
                continue
            if time.monotonic() - started > _LATE_TAKEOVER_SECONDS:
                self._waits.record(
                    record.batch_id, owner.instance, "behind_others", started
                )
            is_taken_over = await self._take_over(record)
            all_taken_over = is_taken_over and all_taken_over
        if not all_taken_over:
            self._owners_to_replace |= replaced
        return all_taken_over

    def find_own_batches(self) -> None:
        """Look for batches that this instance owns but doesn't run.

        No other instance takes them over while this one is alive.
        """
        self._owners_to_replace.add(self._me.instance)
        self._takeover_now.set()
