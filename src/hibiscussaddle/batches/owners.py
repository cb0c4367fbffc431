"""Own batches: accept them, run them, take over those of lost instances."""

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
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Waits between the reads that find out whether an acceptance without an
# answer took effect, in seconds. The store may carry a call out seconds late.
_SETTLE_SECONDS: typing.Final = (0.3, 0.7, 1.5, 3.0, 6.0)
# Wait before a failed takeover is repeated, in seconds.
_RETRY_SECONDS: typing.Final = 0.3
# How often batches without a live owner are looked for, in seconds. Only
# covers what a lost event left behind.
_SWEEP_SECONDS: typing.Final = 5.0
# The same while an owner is suspected or after an outage of the store, in
# which members' keys outlive them.
_SUSPECT_SECONDS: typing.Final = 0.5
# An owner that is not a member, or does not take a reminder, at two sweeps in
# a row is gone.
_SWEEP_SIGHTINGS: typing.Final = 2
# Every member remembers lost owners for this long, in seconds: the one that
# takes their batches over may be lost itself before it has done so.
_LOST_SECONDS: typing.Final = 30.0
# A new member looks for lost owners once after this time, in seconds: all
# instances that start together have registered by then.
_JOIN_SECONDS: typing.Final = 1.0
# Every instance knows a named version after this time, in seconds.
_NAMED_SECONDS: typing.Final = 0.5


class BatchOwners:
    """Run the batches that this instance owns."""

    def __init__(
        self,
        tools: runner.Dependencies,
        members: presence_lib.Members,
        handoffs: handoff.Handoff,
    ) -> None:
        """Start without batches; run() needs to be started."""
        self.running: dict[str, runner.BatchRunner] = {}
        self._tools = tools
        self.members = members
        self._handoffs = handoffs
        self._storage = tools.storage
        me = members.me
        self._me = model.Owner(me.instance, me.incarnation)
        self._tasks: anyio_abc.TaskGroup | None = None
        # Owners whose batches this instance takes over.
        self._gone: set[str] = set()
        # Monotonic seconds at which each lost owner vanished.
        self._lost: dict[str, float] = {}
        # Owners that live by their key but take no reminders.
        self._unreachable: set[str] = set()
        self._sweep_now = anyio.Event()
        self._claim_now = anyio.Event()
        self._stopping = False
        # Called with a model and the versions that a batch may lag behind.
        self.on_lag: typing.Callable[[str, int], None] = lambda *_: None
        members.on_gone = self._note_gone
        members.on_changed = self._claim_soon

    async def run(self) -> None:
        """Run batches and take over orphans until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            # Batches of the process that ran here before.
            self._gone.add(self._me.instance)
            self._claim_now.set()
            tasks.start_soon(self._sweep)
            tasks.start_soon(self._look_around)
            while True:
                await self._claim_now.wait()
                self._claim_now = anyio.Event()
                if not await self._claim_orphans():
                    await anyio.sleep(_RETRY_SECONDS)
                    self._claim_now.set()

    async def accept(
        self, batch: model.Batch, timeout: float
    ) -> result.Result[None, store.StoreError]:
        """Keep a batch and start it; Ok as well when it is known already."""
        member = self.members.member_for(batch.route)
        owner = self._me
        if member is not None and member.instance != owner.instance:
            owner = model.Owner(member.instance, member.incarnation)
        answer = await self._storage.accept(batch, owner, timeout)
        if isinstance(answer, result.Ok):
            self._spawn(self._note_lag, batch)
            record = storage.OwnerRecord(batch.id, owner, answer.ok_value)
            if owner == self._me or member is None:
                self._start(batch, record)
            else:
                self._spawn(self._hand_off, member, batch, record)
            return result.Ok(None)
        failure = answer.err_value.failure
        if failure is store.StoreFailure.CONFLICT:
            return result.Ok(None)
        if failure is store.StoreFailure.UNKNOWN:
            self._spawn(self._settle, batch.id)
        return answer

    async def _note_lag(self, batch: model.Batch) -> None:
        """Learn how old the weights of a batch may be."""
        # A version that was named just before may not be known here yet.
        await anyio.sleep(_NAMED_SECONDS)
        newest = self._tools.view.versions.get(batch.model)
        if newest is not None:
            self.on_lag(batch.model, max(0, newest - batch.min_version))

    def adopt(self, batch: model.Batch, record: storage.OwnerRecord) -> bool:
        """Run a batch that a peer accepted; tell whether it is taken."""
        if self._stopping or record.owner != self._me:
            return False
        if batch.id not in self.running:
            self._start(batch, record)
        return True

    def remind(self, record: storage.OwnerRecord) -> bool:
        """Run a batch that the store says is this instance's."""
        if record.batch_id in self.running:
            return True
        if self._stopping or record.owner != self._me:
            return False
        self._spawn(self._resume_quietly, record)
        return True

    def note_ended(self, batch_id: str) -> None:
        """Stop a batch whose end the store has acknowledged."""
        self._tools.reader.note_ended(batch_id)
        owned = self.running.get(batch_id)
        if owned is not None:
            owned.stop("ended")

    def tell_ended(self, batch_id: str, route: str) -> None:
        """Let a batch's owner know of its end before its next write fails."""
        self.note_ended(batch_id)
        member = self.members.member_for(route)
        if member is not None and member.instance != self._me.instance:
            self._spawn(self._handoffs.tell_ended, member, batch_id)

    async def _resume_quietly(self, record: storage.OwnerRecord) -> None:
        await self._resume(record)

    async def _hand_off(
        self,
        member: presence_lib.Member,
        batch: model.Batch,
        record: storage.OwnerRecord,
    ) -> None:
        if await self._handoffs.send(member, batch, record):
            return
        while not await self._claim(record):
            await anyio.sleep(_RETRY_SECONDS)

    def _spawn(
        self,
        job: typing.Callable[
            ..., typing.Coroutine[typing.Any, typing.Any, None]
        ],
        *args: object,
    ) -> None:
        if self._tasks is None:
            raise RuntimeError("run() must be started before a batch")
        self._tasks.start_soon(job, *args)

    def stop(self) -> None:
        """Take no more batches over."""
        self._stopping = True

    async def release(self) -> None:
        """Give every batch up, so that others continue them at once."""
        for owned in list(self.running.values()):
            owned.stop("instance_stopping")
            answer = await self._storage.release(owned.record)
            logs.event(
                _LOG,
                "batch_released",
                batch=owned.batch.id,
                done=isinstance(answer, result.Ok),
            )

    def _start(
        self,
        batch: model.Batch,
        record: storage.OwnerRecord,
        log: typing.Sequence[storage.LogEntry] = (),
        partials: typing.Sequence[model.PartialText] = (),
    ) -> None:
        owned = runner.BatchRunner(self._tools, batch, record, log, partials)
        before = self.running.get(batch.id)
        if before is not None:
            before.stop("restarted")
        self.running[batch.id] = owned
        self._spawn(self._run, owned)

    async def _run(self, owned: runner.BatchRunner) -> None:
        try:
            await owned.run()
        finally:
            if self.running.get(owned.batch.id) is owned:
                del self.running[owned.batch.id]

    async def _settle(self, batch_id: str) -> None:
        """Start a batch whose acceptance took effect without an answer."""
        for wait in _SETTLE_SECONDS:
            await anyio.sleep(wait)
            if batch_id in self.running:
                return
            found = await self._storage.owner(batch_id)
            if isinstance(found, result.Ok):
                # Its owner was never told, so this instance takes it.
                await self._claim(found.ok_value)
                return

    def _note_gone(self, instance: str) -> None:
        self._lost[instance] = time.monotonic()
        self._claim_now.set()

    async def _look_around(self) -> None:
        """Learn of owners that were lost before this instance joined.

        The others take it for their heir and claim nothing themselves.
        """
        while self._me.instance not in self.members.all:
            await anyio.sleep(_RETRY_SECONDS)
        await anyio.sleep(_JOIN_SECONDS)
        while isinstance(found := await self._storage.owners(), result.Err):
            await anyio.sleep(_RETRY_SECONDS)
        for record in found.ok_value:
            owner = record.owner
            if owner.instance and self._is_lost(owner):
                self._lost.setdefault(owner.instance, time.monotonic())
        self._claim_now.set()

    def _claim_soon(self) -> None:
        self._claim_now.set()

    def _inherit(self) -> None:
        """Take the lost owners whose heir this instance is by now."""
        before = time.monotonic() - _LOST_SECONDS
        for instance, lost_at in list(self._lost.items()):
            if self.members.heir(instance) == self._me.instance:
                self._gone.add(instance)
            elif lost_at > before:
                continue
            del self._lost[instance]

    def sweep_soon(self) -> None:
        """Look for lost owners now."""
        self._sweep_now.set()

    async def _sweep(self) -> None:
        """Find batches whose owner lives no more or forgot them."""
        seen: dict[str, int] = {}
        while True:
            wait = _SUSPECT_SECONDS if seen else _SWEEP_SECONDS
            with anyio.move_on_after(wait):
                await self._sweep_now.wait()
            self._sweep_now = anyio.Event()
            if self.members.sweeper() != self._me.instance:
                seen.clear()
                continue
            found = await self._storage.owners()
            if isinstance(found, result.Err):
                continue
            lost = {
                record.owner.instance
                for record in found.ok_value
                if not await self._runs(record)
            }
            seen = {name: seen.get(name, 0) + 1 for name in lost}
            ready = {n for n, c in seen.items() if c >= _SWEEP_SIGHTINGS}
            if ready:
                self._unreachable = ready
                self._gone |= ready
                self._claim_now.set()

    async def _runs(self, record: storage.OwnerRecord) -> bool:
        """Tell whether a batch's owner lives and runs it."""
        if self._is_lost(record.owner):
            return False
        member = self.members.all[record.owner.instance]
        return await self._handoffs.remind(member, record)

    def _is_lost(self, owner: model.Owner) -> bool:
        member = self.members.all.get(owner.instance)
        return member is None or member.incarnation != owner.incarnation

    def _may_take(self, owner: model.Owner) -> bool:
        """Tell whether another instance's batch may be taken over."""
        if not owner.instance or owner.instance == self._me.instance:
            return True
        return self._is_lost(owner) or owner.instance in self._unreachable

    async def _claim_orphans(self) -> bool:
        """Take over batches of lost owners; tell whether all is done."""
        self._inherit()
        if self._stopping or not self._gone:
            return True
        gone = set(self._gone)
        found = await self._storage.owners()
        if isinstance(found, result.Err):
            return False
        done = True
        for record in found.ok_value:
            owner = record.owner
            if owner.instance not in gone and owner.instance:
                continue
            if owner == self._me and record.batch_id in self.running:
                continue
            if owner != self._me and not self._may_take(owner):
                continue
            done = await self._claim(record) and done
        if done:
            self._gone -= gone
        return done

    async def _claim(self, record: storage.OwnerRecord) -> bool:
        answer = await self._storage.take_over(record, self._me)
        if isinstance(answer, result.Err):
            failure = answer.err_value.failure
            # On a conflict another instance was faster or the batch ended.
            return failure is store.StoreFailure.CONFLICT
        logs.event(
            _LOG,
            "batch_taken_over",
            batch=record.batch_id,
            owner_before=record.owner.instance,
            revision_before=record.revision,
        )
        taken = storage.OwnerRecord(record.batch_id, self._me, answer.ok_value)
        return await self._resume(taken)

    async def _resume(self, record: storage.OwnerRecord) -> bool:
        """Continue an owned batch after its listed results."""
        started = time.monotonic()
        while True:
            batch = await self._storage.batch(record.batch_id)
            log = await self._storage.log_after(record.batch_id, "")
            partials = await self._storage.partials(record.batch_id)
            if (
                isinstance(batch, result.Ok)
                and isinstance(log, result.Ok)
                and isinstance(partials, result.Ok)
            ):
                break
            if time.monotonic() - started > sum(_SETTLE_SECONDS):
                return False
            await anyio.sleep(_RETRY_SECONDS)
        if record.batch_id not in self.running:
            self._start(
                batch.ok_value,
                record,
                log.ok_value[0],
                partials.ok_value,
            )
        return True
