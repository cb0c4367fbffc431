"""Own batches: accept them, run them and take over those of dead owners."""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio
from anyio import abc as anyio_abc
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import footprint
from hibiscussaddle.batches import handoff
from hibiscussaddle.batches import model
from hibiscussaddle.batches import orphans
from hibiscussaddle.batches import room as room_lib
from hibiscussaddle.batches import runner
from hibiscussaddle.batches import storage
from hibiscussaddle.batches import takeover_waits
from hibiscussaddle.batches import wait_checks
from hibiscussaddle.callers import memory
from hibiscussaddle import containment
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Delays before each read that checks whether an acceptance with an unknown
# outcome took effect. The store may execute a call seconds after it was sent.
_RECHECK_DELAYS_SECONDS: typing.Final = (0.3, 0.7, 1.5, 3.0, 6.0)
_RETRY_DELAY_SECONDS: typing.Final = 0.3
# Delay before members are asked again for a batch that has no room.
_NO_ROOM_DELAY_SECONDS: typing.Final = 1.0
# A member that adopts a batch has written its owner record after this time,
# unless it was lost or the store doesn't answer.
_ADOPTION_SECONDS: typing.Final = 1.0
# Delay after an unexpected error of a batch, which may come again.
_FAILED_BATCH_DELAY_SECONDS: typing.Final = 5.0
# Interval at which the texts of a batch are accounted.
_TEXT_CHECK_SECONDS: typing.Final = 1.0
# Every instance knows a published weight version after this time.
_VERSION_PROPAGATION_SECONDS: typing.Final = 0.5


@dataclasses.dataclass(frozen=True)
class Submission:
    """Hold a new batch, its encoded form and the memory that it takes."""

    batch: model.Batch
    values: abc.Sequence[bytes]
    hold: memory.Hold


_Job: typing.TypeAlias = typing.Callable[
    ..., typing.Coroutine[typing.Any, typing.Any, None]
]


async def _run_contained(batch_id: str, job: _Job, *args: object) -> None:
    with containment.contain("batch", batch_id):
        await job(*args)


async def _account_texts(owned: runner.BatchRunner, hold: memory.Hold) -> None:
    """Account the texts of a batch beside its footprint, until cancelled."""
    size = hold.size
    while True:
        await anyio.sleep(_TEXT_CHECK_SECONDS)
        hold.force(size + owned.text_bytes())


class OwnedBatches:
    """Run the batches that this instance owns."""

    def __init__(
        self,
        dependencies: runner.Dependencies,
        members: presence_lib.Members,
        handoffs: handoff.HandoffClient,
        room: room_lib.BatchRoom | None = None,
    ) -> None:
        """Start without batches; run() must be running to accept any.

        None bounds no memory.
        """
        self.runners: dict[str, runner.BatchRunner] = {}
        self._dependencies = dependencies
        self.members = members
        self._handoffs = handoffs
        # Memory that batches may take here.
        self.room = room or room_lib.BatchRoom(memory.Account())
        self._storage = dependencies.storage
        me = members.me
        self._me = model.Owner(me.instance, me.incarnation)
        self._tasks: anyio_abc.TaskGroup | None = None
        # Batches that a reminder brought back and that are being read.
        self._resuming: set[str] = set()
        self._is_stopping = False
        # Called with a model and by how many weight versions a batch may lag
        # behind the newest.
        self.on_lag: typing.Callable[[str, int], None] = lambda *_: None
        # Called with each batch that begins to run here.
        self.on_step: typing.Callable[[model.Batch], None] = lambda _: None
        self._takeover_waits = takeover_waits.TakeoverWaits()
        self._orphans = orphans.Orphans(
            members,
            self._storage,
            handoffs.ensure_running,
            self._take_over_orphan,
            self._takeover_waits,
        )

    async def run(self) -> None:
        """Run batches and take over orphaned ones until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._orphans.run()

    def wait_summary(
        self, max_examined: int = wait_checks.MAX_EXAMINED
    ) -> wait_checks.Summary:
        """Return where the unfinished items are and why they wait."""
        share = -(-max_examined // max(1, len(self.runners)))
        return wait_checks.merge(
            owned.wait_summary(share) for owned in self.runners.values()
        )

    def scan_soon(self) -> None:
        """Trigger a scan for orphaned batches now."""
        self._orphans.scan_soon()

    async def accept(
        self, submission: Submission, timeout: float
    ) -> result.Result[None, store.StoreError]:
        """Store a batch and start it; return Ok if it is stored already.

        After Ok the memory belongs to the batch. The error is a CONFLICT if
        another workspace has a batch of that ID.
        """
        batch = submission.batch
        member = self.members.route_owner(batch.route)
        owner = self._me
        if member is not None and member.instance != owner.instance:
            owner = model.Owner(member.instance, member.incarnation)
        held_bytes = submission.hold.size
        response = await self._storage.accept(
            batch, owner, timeout, submission.values, held_bytes
        )
        if isinstance(response, result.Ok):
            self._spawn(batch.id, self._record_lag, batch)
            record = storage.OwnerRecord(
                batch.id, owner, response.ok_value, held_bytes
            )
            if owner == self._me or member is None:
                self._start(batch, record, submission.hold)
            else:
                # Until the member has the batch, there is room for it here.
                self._spawn(
                    batch.id,
                    self._hand_off,
                    member,
                    batch,
                    record,
                    submission.hold,
                )
            return result.Ok(None)
        accepted = self._is_stored(batch, response.err_value)
        if isinstance(accepted, result.Ok):
            submission.hold.close()
        return accepted

    def _is_stored(
        self, batch: model.Batch, error: store.StoreError
    ) -> result.Result[None, store.StoreError]:
        """Return Ok if a batch was not stored because it is already."""
        if error.failure is store.StoreFailure.CONFLICT:
            head = storage.conflicting_head(error)
            if head is None and batch.workspace:
                unknown = store.StoreError(store.StoreFailure.UNKNOWN)
                return result.Err(unknown)
            if head is None or model.is_repeat(batch, head):
                return result.Ok(None)
        if error.failure is store.StoreFailure.UNKNOWN:
            self._spawn(batch.id, self._resolve_acceptance, batch.id)
        return result.Err(error)

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
        if self._is_running_here(record):
            return True
        # The sender has room for what is refused here.
        hold = self.room.accept(record.footprint)
        if hold is None:
            return False
        self._start(batch, record, hold)
        return True

    def adopt(self, record: storage.OwnerRecord) -> bool:
        """Take over a batch that a peer has no room for.

        Returns whether there is room for it here.
        """
        if self._is_stopping:
            return False
        hold = self.room.take_over(record.footprint)
        if hold is None:
            return False
        self._spawn(record.batch_id, self._adopt, record, hold)
        return True

    async def _adopt(
        self, record: storage.OwnerRecord, hold: memory.Hold
    ) -> None:
        if not await self._take_over_into(record, hold):
            # The peer that asked counts the batch as taken over.
            await self._take_over_with_retries(record)

    def ensure_running(self, record: storage.OwnerRecord) -> bool:
        """Run a batch that this instance owns according to the store.

        Returns whether it runs here.
        """
        if self._is_running_here(record):
            return True
        if self._is_stopping or record.owner != self._me:
            return False
        # Each reminder of a slow one would take the memory of the batch again.
        if record.batch_id not in self._resuming:
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
        self._resuming.add(record.batch_id)
        try:
            hold = self.room.take_over(record.footprint)
            if hold is not None:
                await self._resume(record, hold)
            elif not await self._pass_on(record):
                self._orphans.find_own_batches()
        finally:
            self._resuming.discard(record.batch_id)

    async def _hand_off(
        self,
        member: presence_lib.Member,
        batch: model.Batch,
        record: storage.OwnerRecord,
        hold: memory.Hold,
    ) -> None:
        """Send a batch to its owner; take it over if the owner refuses it."""
        try:
            if await self._handoffs.send(member, batch, record):
                return
        finally:
            hold.close()
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
        self._orphans.stop()

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
        hold: memory.Hold,
        log: typing.Sequence[storage.LogEntry] = (),
        checkpoints: typing.Sequence[model.TextCheckpoint] = (),
    ) -> None:
        """Run a batch, in place of a runner with an older owner record."""
        self._takeover_waits.end(batch.id)
        if self._is_running_here(record):
            hold.close()
            return
        with containment.contain("batch", batch.id):
            self._start_runner(batch, record, hold, log, checkpoints)
            return
        hold.close()
        self._spawn(batch.id, self._find_own_batches_later)

    def _start_runner(
        self,
        batch: model.Batch,
        record: storage.OwnerRecord,
        hold: memory.Hold,
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
        self._spawn(batch.id, self._run, owned, hold)

    def _is_running_here(self, record: storage.OwnerRecord) -> bool:
        """Return whether a runner has this owner record or a newer one.

        A runner with an older record stops as soon as it reads the store.
        """
        owned = self.runners.get(record.batch_id)
        return owned is not None and owned.record.revision >= record.revision

    async def _run(self, owned: runner.BatchRunner, hold: memory.Hold) -> None:
        try:
            with containment.contain("batch", owned.batch.id):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_account_texts, owned, hold)
                    await owned.run()
                    tasks.cancel_scope.cancel()
                return
            # Until the next attempt it counts as running here. A member that
            # took it over would probably fail as well.
            await anyio.sleep(_FAILED_BATCH_DELAY_SECONDS)
            self._orphans.find_own_batches()
        finally:
            hold.close()
            if self.runners.get(owned.batch.id) is owned:
                del self.runners[owned.batch.id]
            if owned.stop_reason in runner.LOST_OWNERSHIP_REASONS:
                # If the store still names this instance, no other one runs
                # the batch.
                self._orphans.find_own_batches()

    async def _find_own_batches_later(self) -> None:
        await anyio.sleep(_FAILED_BATCH_DELAY_SECONDS)
        self._orphans.find_own_batches()

    async def _resolve_acceptance(self, batch_id: str) -> None:
        """Start a batch whose acceptance took effect without a response."""
        for delay in _RECHECK_DELAYS_SECONDS:
            await anyio.sleep(delay)
            if batch_id in self.runners:
                return
            self._takeover_waits.record(
                batch_id, self._me.instance, "acceptance_unknown"
            )
            record = await self._storage.owner(batch_id)
            if isinstance(record, result.Ok):
                # Its owner was never notified, so this instance takes over.
                await self._take_over_with_retries(record.ok_value)
                return

    async def _take_over_with_retries(
        self, record: storage.OwnerRecord
    ) -> None:
        while not await self._take_over(record):
            await anyio.sleep(_RETRY_DELAY_SECONDS)

    async def _take_over_orphan(self, record: storage.OwnerRecord) -> bool:
        """Take over a batch, whose errors must not keep others waiting.

        Returns False if that must be retried.
        """
        if self._is_stopping:
            return True
        if record.owner == self._me and self._is_running_here(record):
            return True
        with containment.contain("batch", record.batch_id):
            return await self._take_over(record)
        self._spawn(record.batch_id, self._find_own_batches_later)
        return True

    async def _take_over(self, record: storage.OwnerRecord) -> bool:
        """Take over a batch; return False if that must be retried."""
        hold = self.room.take_over(record.footprint)
        if hold is None:
            return await self._pass_on(record)
        return await self._take_over_into(record, hold)

    async def _pass_on(self, record: storage.OwnerRecord) -> bool:
        """Let another member run a batch that has no room here.

        Returns False if no member has room; some will once others end.
        """
        for member in self.members.successors(record.owner.instance):
            if await self._handoffs.ask_to_adopt(member, record):
                self._spawn(record.batch_id, self._check_adoption, record)
                return True
        logs.event(
            _LOG,
            "batch_without_room",
            logging.WARNING,
            batch=record.batch_id,
            footprint=record.footprint,
        )
        self._record_wait(record, "no_room")
        self._orphans.retry_delay = _NO_ROOM_DELAY_SECONDS
        return False

    async def _check_adoption(self, record: storage.OwnerRecord) -> None:
        """Take over a batch that the member which adopts it left alone."""
        while not self._is_stopping:
            await anyio.sleep(_ADOPTION_SECONDS)
            found = await self._storage.owner(record.batch_id)
            if isinstance(found, result.Ok):
                if found.ok_value.revision != record.revision:
                    return
                self._record_wait(record, "not_adopted")
                if await self._take_over(record):
                    return
            elif found.err_value.failure is store.StoreFailure.MISSING:
                return

    def _record_wait(
        self,
        record: storage.OwnerRecord,
        why: str,
        since: float | None = None,
    ) -> None:
        """Record why a batch waits for its takeover."""
        owner = record.owner.instance
        self._takeover_waits.record(record.batch_id, owner, why, since)

    async def _take_over_into(
        self, record: storage.OwnerRecord, hold: memory.Hold
    ) -> bool:
        """Take over a batch with its memory; False must be retried."""
        response = await self._storage.take_over(record, self._me)
        if isinstance(response, result.Err):
            hold.close()
            self._orphans.find_own_batches()
            failure = response.err_value.failure
            self._record_wait(record, f"store_{failure.value}")
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
        new_record = dataclasses.replace(
            record, owner=self._me, revision=response.ok_value, is_current=True
        )
        is_resumed = await self._resume(new_record, hold)
        if not is_resumed:
            self._orphans.find_own_batches()
        return is_resumed

    async def _resume(
        self, record: storage.OwnerRecord, hold: memory.Hold
    ) -> bool:
        """Continue an owned batch after its logged results.

        Returns False if the batch could not be read in time.
        """
        is_started = False
        try:
            stored = await self._read(record)
            if stored is None:
                return False
            batch, log, checkpoints = stored
            if not record.footprint:
                # A build before accepted it without a bound.
                encoded = sum(len(item.body) for item in batch.items)
                hold.force(footprint.batch_bytes(encoded, len(batch.items)))
            is_started = True
            self._start(batch, record, hold, log, checkpoints)
        finally:
            if not is_started:
                hold.close()
        return True

    async def _read(
        self, record: storage.OwnerRecord
    ) -> (
        tuple[model.Batch, list[storage.LogEntry], list[model.TextCheckpoint]]
        | None
    ):
        """Return a batch and what is stored of its results.

        None if they could not be read in time.
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
                return batch.ok_value, log.ok_value[0], checkpoints.ok_value
            self._record_wait(record, "unreadable", started)
            if time.monotonic() - started > sum(_RECHECK_DELAYS_SECONDS):
                return None
            await anyio.sleep(_RETRY_DELAY_SECONDS)
