"""Own batches: accept them, run them and take over those of dead owners."""

import logging
import time
import typing

import anyio
from anyio import abc as anyio_abc
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import handoff
from hibiscussaddle.batches import model
from hibiscussaddle.batches import runner
from hibiscussaddle.batches import storage
from hibiscussaddle import containment
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Delays before each read that checks whether an acceptance with an unknown
# outcome took effect. The store may execute a call seconds after it was sent.
_RECHECK_DELAYS_SECONDS: typing.Final = (0.3, 0.7, 1.5, 3.0, 6.0)
_RETRY_DELAY_SECONDS: typing.Final = 0.3
# Delay after an unexpected error of a batch, which may come again.
_FAILED_BATCH_DELAY_SECONDS: typing.Final = 5.0
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
# A new member scans for dead owners once after this time, when all instances
# that started together have registered.
_JOIN_SCAN_DELAY_SECONDS: typing.Final = 1.0
# Every instance knows a published weight version after this time.
_VERSION_PROPAGATION_SECONDS: typing.Final = 0.5


_Job: typing.TypeAlias = typing.Callable[
    ..., typing.Coroutine[typing.Any, typing.Any, None]
]


async def _run_contained(batch_id: str, job: _Job, *args: object) -> None:
    with containment.contain("batch", batch_id):
        await job(*args)


class OwnedBatches:
    """Run the batches that this instance owns."""

    def __init__(
        self,
        dependencies: runner.Dependencies,
        members: presence_lib.Members,
        handoffs: handoff.HandoffClient,
    ) -> None:
        """Start without batches; run() must be running to accept any."""
        self.runners: dict[str, runner.BatchRunner] = {}
        self._dependencies = dependencies
        self.members = members
        self._handoffs = handoffs
        self._storage = dependencies.storage
        me = members.me
        self._me = model.Owner(me.instance, me.incarnation)
        self._tasks: anyio_abc.TaskGroup | None = None
        # Dead owners whose batches this instance takes over.
        self._owners_to_replace: set[str] = set()
        # Monotonic seconds at which each dead owner was detected.
        self._dead_since: dict[str, float] = {}
        # Owners that have a member key but do not confirm their batches.
        self._unreachable: set[str] = set()
        self._scan_now = anyio.Event()
        self._takeover_now = anyio.Event()
        self._is_stopping = False
        # Called with a model and by how many weight versions a batch may lag
        # behind the newest.
        # Called with the bytes that all batches brought along.
        self.on_held: typing.Callable[[int], None] = lambda _: None
        self._held_bytes = 0
        self.on_lag: typing.Callable[[str, int], None] = lambda *_: None
        # Called with each batch that begins to run here.
        self.on_step: typing.Callable[[model.Batch], None] = lambda _: None
        members.on_removed = self._record_member_removal
        members.on_changed = self._request_takeover

    async def run(self) -> None:
        """Run batches and take over orphaned ones until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            # The previous incarnation of this instance may have left batches.
            self._owners_to_replace.add(self._me.instance)
            self._takeover_now.set()
            tasks.start_soon(self._scan_for_orphans)
            tasks.start_soon(self._scan_on_join)
            while True:
                await self._takeover_now.wait()
                self._takeover_now = anyio.Event()
                if not await self._take_over_orphans():
                    await anyio.sleep(_RETRY_DELAY_SECONDS)
                    self._takeover_now.set()

    async def accept(
        self, batch: model.Batch, timeout: float
    ) -> result.Result[None, store.StoreError]:
        """Store a batch and start it; return Ok if it is stored already.

        The error is a CONFLICT if another workspace has a batch of that ID.
        """
        member = self.members.route_owner(batch.route)
        owner = self._me
        if member is not None and member.instance != owner.instance:
            owner = model.Owner(member.instance, member.incarnation)
        response = await self._storage.accept(batch, owner, timeout)
        if isinstance(response, result.Ok):
            self._spawn(batch.id, self._record_lag, batch)
            record = storage.OwnerRecord(batch.id, owner, response.ok_value)
            if owner == self._me or member is None:
                self._start(batch, record)
            else:
                self._spawn(batch.id, self._hand_off, member, batch, record)
            return result.Ok(None)
        failure = response.err_value.failure
        if failure is store.StoreFailure.CONFLICT:
            head = storage.conflicting_head(response.err_value)
            if head is None and batch.workspace:
                error = store.StoreError(store.StoreFailure.UNKNOWN)
                return result.Err(error)
            if head is None or model.is_repeat(batch, head):
                return result.Ok(None)
        if failure is store.StoreFailure.UNKNOWN:
            self._spawn(batch.id, self._resolve_acceptance, batch.id)
        return response

    async def _record_lag(self, batch: model.Batch) -> None:
        """Report by how many weight versions a batch may lag behind."""
        # A version that was just published may not be known here yet.
        await anyio.sleep(_VERSION_PROPAGATION_SECONDS)
        newest = self._dependencies.view.versions.get(batch.model)
        if newest is not None:
            self.on_lag(batch.model, max(0, newest - batch.min_version))

    def accept_handoff(
        self, batch: model.Batch, record: storage.OwnerRecord
    ) -> bool:
        """Run a batch that a peer accepted; return whether it runs here."""
        if self._is_stopping or record.owner != self._me:
            return False
        self._start(batch, record)
        return True

    def ensure_running(self, record: storage.OwnerRecord) -> bool:
        """Run a batch that this instance owns according to the store.

        Returns whether it runs here.
        """
        if self._is_running_here(record):
            return True
        if self._is_stopping or record.owner != self._me:
            return False
        self._spawn(record.batch_id, self._resume_in_background, record)
        return True

    def record_end(self, batch_id: str) -> None:
        """Stop a batch after the store has acknowledged its end."""
        self._dependencies.reader.record_end(batch_id)
        owned = self.runners.get(batch_id)
        if owned is not None:
            owned.stop("ended")

    def notify_end(self, batch_id: str, route: str) -> None:
        """Notify the owner that its batch ended, before its next write."""
        self.record_end(batch_id)
        member = self.members.route_owner(route)
        if member is not None and member.instance != self._me.instance:
            self._spawn(batch_id, self._handoffs.notify_end, member, batch_id)

    async def _resume_in_background(self, record: storage.OwnerRecord) -> None:
        await self._resume(record)

    async def _hand_off(
        self,
        member: presence_lib.Member,
        batch: model.Batch,
        record: storage.OwnerRecord,
    ) -> None:
        """Send a batch to its owner; take it over if the owner refuses it."""
        if not await self._handoffs.send(member, batch, record):
            await self._take_over_with_retries(record)

    def _spawn(self, batch_id: str, job: _Job, *args: object) -> None:
        """Start a job for one batch, whose errors end nothing else."""
        if self._tasks is None:
            raise RuntimeError(
                "OwnedBatches.run() must run before a batch starts"
            )
        self._tasks.start_soon(_run_contained, batch_id, job, *args)

    def stop(self) -> None:
        """Stop taking over batches; those that run here continue."""
        self._is_stopping = True

    async def release(self) -> None:
        """Give up every batch, so that others continue them at once."""
        for owned in list(self.runners.values()):
            owned.stop("instance_stopping")
            response = await self._storage.release(owned.record)
            logs.event(
                _LOG,
                "batch_released",
                batch=owned.batch.id,
                done=isinstance(response, result.Ok),
            )

    def _start(
        self,
        batch: model.Batch,
        record: storage.OwnerRecord,
        log: typing.Sequence[storage.LogEntry] = (),
        checkpoints: typing.Sequence[model.TextCheckpoint] = (),
    ) -> None:
        """Run a batch, in place of a runner with an older owner record."""
        if self._is_running_here(record):
            return
        with containment.contain("batch", batch.id):
            self._start_runner(batch, record, log, checkpoints)
            return
        self._spawn(batch.id, self._find_own_batches_later)

    def _start_runner(
        self,
        batch: model.Batch,
        record: storage.OwnerRecord,
        log: typing.Sequence[storage.LogEntry],
        checkpoints: typing.Sequence[model.TextCheckpoint],
    ) -> None:
        owned = runner.BatchRunner(
            self._dependencies, batch, record, log, checkpoints
        )
        previous = self.runners.get(batch.id)
        if previous is not None:
            previous.stop("restarted")
        elif not log:
            # The batch doesn't depend on the statistics.
            with containment.contain("step_statistics", batch.id):
                self.on_step(batch)
        self.runners[batch.id] = owned
        self._spawn(batch.id, self._run, owned, model.submitted_bytes(batch))

    def _is_running_here(self, record: storage.OwnerRecord) -> bool:
        """Return whether a runner has this owner record or a newer one.

        A runner with an older record stops as soon as it reads the store.
        """
        owned = self.runners.get(record.batch_id)
        return owned is not None and owned.record.revision >= record.revision

    async def _run(self, owned: runner.BatchRunner, size: int) -> None:
        self._hold(size)
        try:
            with containment.contain("batch", owned.batch.id):
                await owned.run()
                return
            # Until the next attempt it counts as running here. A member that
            # took it over would probably fail as well.
            await anyio.sleep(_FAILED_BATCH_DELAY_SECONDS)
            self._find_own_batches()
        finally:
            self._hold(-size)
            if self.runners.get(owned.batch.id) is owned:
                del self.runners[owned.batch.id]

    async def _find_own_batches_later(self) -> None:
        await anyio.sleep(_FAILED_BATCH_DELAY_SECONDS)
        self._find_own_batches()

    def _hold(self, count: int) -> None:
        self._held_bytes += count
        self.on_held(self._held_bytes)

    async def _resolve_acceptance(self, batch_id: str) -> None:
        """Start a batch whose acceptance took effect without a response."""
        for delay in _RECHECK_DELAYS_SECONDS:
            await anyio.sleep(delay)
            if batch_id in self.runners:
                return
            record = await self._storage.owner(batch_id)
            if isinstance(record, result.Ok):
                # Its owner was never notified, so this instance takes over.
                await self._take_over_with_retries(record.ok_value)
                return

    def _record_member_removal(self, instance: str) -> None:
        self._dead_since[instance] = time.monotonic()
        self._takeover_now.set()

    async def _scan_on_join(self) -> None:
        """Find owners that died before this instance joined.

        If this instance is the successor of such an owner, no other member
        takes over its batches.
        """
        while self._me.instance not in self.members.all:
            await anyio.sleep(_RETRY_DELAY_SECONDS)
        await anyio.sleep(_JOIN_SCAN_DELAY_SECONDS)
        while isinstance(records := await self._storage.owners(), result.Err):
            await anyio.sleep(_RETRY_DELAY_SECONDS)
        for record in records.ok_value:
            owner = record.owner
            if owner.instance and self._is_dead(owner):
                self._dead_since.setdefault(owner.instance, time.monotonic())
        self._takeover_now.set()

    def _request_takeover(self) -> None:
        self._takeover_now.set()

    def _collect_dead_owners(self) -> None:
        """Select the dead owners whose successor this instance is now."""
        expired_before = time.monotonic() - _DEAD_OWNER_TTL_SECONDS
        for instance, dead_since in list(self._dead_since.items()):
            if self.members.successor_of(instance) == self._me.instance:
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
            if self.members.orphan_scanner() != self._me.instance:
                suspicions.clear()
                continue
            records = await self._storage.owners()
            if isinstance(records, result.Err):
                continue
            suspects = {
                record.owner.instance
                for record in records.ok_value
                if not await self._is_running(record)
            }
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
        member = self.members.all[record.owner.instance]
        return await self._handoffs.ensure_running(member, record)

    def _is_dead(self, owner: model.Owner) -> bool:
        member = self.members.all.get(owner.instance)
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
            return False
        all_taken_over = True
        for record in records.ok_value:
            owner = record.owner
            if owner.instance not in replaced and owner.instance:
                continue
            if owner == self._me and self._is_running_here(record):
                continue
            if owner != self._me and not self._may_take_over(owner):
                continue
            is_taken_over = await self._take_over_contained(record)
            all_taken_over = is_taken_over and all_taken_over
        if not all_taken_over:
            self._owners_to_replace |= replaced
        return all_taken_over

    async def _take_over_with_retries(
        self, record: storage.OwnerRecord
    ) -> None:
        while not await self._take_over(record):
            await anyio.sleep(_RETRY_DELAY_SECONDS)

    async def _take_over_contained(self, record: storage.OwnerRecord) -> bool:
        """Take over a batch, whose errors must not keep others waiting."""
        with containment.contain("batch", record.batch_id):
            return await self._take_over(record)
        self._spawn(record.batch_id, self._find_own_batches_later)
        return True

    async def _take_over(self, record: storage.OwnerRecord) -> bool:
        """Take over a batch; return False if that must be retried."""
        response = await self._storage.take_over(record, self._me)
        if isinstance(response, result.Err):
            self._find_own_batches()
            failure = response.err_value.failure
            # On a conflict the batch ended, another instance was faster, or
            # an earlier attempt took effect without a response.
            return failure is store.StoreFailure.CONFLICT
        logs.event(
            _LOG,
            "batch_taken_over",
            batch=record.batch_id,
            owner_before=record.owner.instance,
            revision_before=record.revision,
        )
        new_record = storage.OwnerRecord(
            record.batch_id, self._me, response.ok_value
        )
        is_resumed = await self._resume(new_record)
        if not is_resumed:
            self._find_own_batches()
        return is_resumed

    def _find_own_batches(self) -> None:
        """Look for batches that this instance owns but doesn't run.

        No other instance takes them over while this one is alive.
        """
        self._owners_to_replace.add(self._me.instance)
        self._takeover_now.set()

    async def _resume(self, record: storage.OwnerRecord) -> bool:
        """Continue an owned batch after its logged results.

        Returns False if the batch could not be read in time.
        """
        started = time.monotonic()
        while True:
            batch = await self._storage.batch(record.batch_id)
            log = await self._storage.log_entries_after(record.batch_id, "")
            checkpoints = await self._storage.checkpoints(record.batch_id)
            if (
                isinstance(batch, result.Ok)
                and isinstance(log, result.Ok)
                and isinstance(checkpoints, result.Ok)
            ):
                break
            if time.monotonic() - started > sum(_RECHECK_DELAYS_SECONDS):
                return False
            await anyio.sleep(_RETRY_DELAY_SECONDS)
        self._start(
            batch.ok_value, record, log.ok_value[0], checkpoints.ok_value
        )
        return True
