"""Run the items of one owned batch and append their results to its log."""

from collections import abc
import dataclasses
import functools
import itertools
import logging
import time
import typing

import anyio
from anyio import abc as anyio_abc

from hibiscussaddle.batches import competition as competition_lib
from hibiscussaddle.batches import engine_choice
from hibiscussaddle.batches import engine_wait
from hibiscussaddle.batches import events
from hibiscussaddle.batches import groups
from hibiscussaddle.batches import item_waits
from hibiscussaddle.batches import limits
from hibiscussaddle.batches import model
from hibiscussaddle.batches import ownership
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import report as report_lib
from hibiscussaddle.batches import result_log
from hibiscussaddle.batches import run_checks
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import scores
from hibiscussaddle.batches import start_window as start_window_lib
from hibiscussaddle.batches import storage
from hibiscussaddle.batches import suspect_items as suspect_items_lib
from hibiscussaddle.batches import text_cache
from hibiscussaddle.batches import unfinished_items
from hibiscussaddle.batches import wait_checks
from hibiscussaddle.batches import waiting_items
from hibiscussaddle.batches import write_coalescing
from hibiscussaddle import containment
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.scheduling import order
from hibiscussaddle.scoring import scorer

_LOG = logging.getLogger(__name__)

# Generating a text of fewer events again is faster than storing it.
_MIN_CHECKPOINT_EVENTS: typing.Final = 16
# Items that start without letting other tasks run in between.
_STARTS_PER_TURN: typing.Final = 128
# Delay after an unexpected error of an item, which may come again.
_UNEXPECTED_ERROR_DELAY_SECONDS: typing.Final = 1.0
# Interval at which a held item is checked for its next trial, or its end.
_MARKED_CHECK_SECONDS: typing.Final = 0.1
# Ended lifetimes that the line of a held item names.
_MAX_LIFETIMES_NAMED: typing.Final = 6
# Items of a stopped batch that its last line names.
_MAX_CANCELLED_NAMED: typing.Final = 8
# Ends of runs that the engine never started; a probe run follows.
_NOT_STARTED_ENDS: typing.Final = (
    runs.RunEnd.OTHER_ENDPOINT,
    runs.RunEnd.NOT_RUN,
    runs.RunEnd.NOT_RELAYED,
    runs.RunEnd.STALE_WEIGHTS,
)
# Why a runner stops that found another owner, or none, in the store.
LOST_OWNERSHIP_REASONS: typing.Final = (
    "ownership_lost",
    "owner_changed",
    "owner_removed",
)


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Hold the components that all batch runners of an instance share."""

    storage: storage.BatchStorage
    view: view_lib.View
    engines: placement.Placement
    items: runs.ItemRunner
    text_cache: text_cache.TextCache
    waiting_items: waiting_items.WaitingItems
    scorer: scorer.Scorer
    reader: reader.BatchReader
    limiter: limiter_lib.Limiter
    suspect_items: suspect_items_lib.SuspectItems = dataclasses.field(
        default_factory=suspect_items_lib.SuspectItems
    )
    competition: competition_lib.Competition = dataclasses.field(
        default_factory=competition_lib.Competition
    )
    start_window: start_window_lib.StartWindow = dataclasses.field(
        default_factory=start_window_lib.StartWindow
    )
    wait_lines: item_waits.LineBudget = dataclasses.field(
        default_factory=item_waits.LineBudget
    )


class BatchRunner:
    """Run one owned batch until it is complete, ended or taken over."""

    def __init__(
        self,
        dependencies: Dependencies,
        batch: model.Batch,
        record: storage.OwnerRecord,
        log: abc.Sequence[storage.LogEntry] = (),
        checkpoints: abc.Iterable[model.TextCheckpoint] = (),
    ) -> None:
        """Resume from the results and checkpoints that are stored."""
        self.batch = batch
        self.record = record
        self._dependencies = dependencies
        self._choice = engine_choice.EngineChoice(
            dependencies.view,
            dependencies.engines,
            dependencies.limiter,
            batch,
        )
        self._limits = limits.ItemLimits(
            batch, self._choice.route, self._choice.workspace
        )
        self._ownership = ownership.Ownership(
            dependencies.storage, record, self._is_complete
        )
        self._log = result_log.ResultLog(
            dependencies.storage,
            record,
            len(batch.items),
            log,
            self._checkpoints,
            self._ownership.confirm,
            self._coalescing_seconds,
            self._record_logged,
        )
        self._groups = groups.GroupTracker(batch, self._log.logged)
        # The groups as far as their results are logged, and the group of each
        # result that isn't yet.
        self._logged_groups = groups.GroupTracker(batch, self._log.logged)
        self._group_by_unlogged: dict[str, str] = {}
        self._scores = scores.BatchScores(
            dependencies.scorer,
            batch,
            self._limits,
            self._groups,
            self._ownership.is_confirmed,
        )
        checkpoint_by_item = {
            checkpoint.item_id: checkpoint for checkpoint in checkpoints
        }
        self._unfinished = unfinished_items.UnfinishedItems(
            dependencies.competition.lengths(batch.route)
        )
        # Groups with texts that were cached from an earlier batch.
        self._carried_over_groups: set[str] = set()
        for item in batch.items:
            if item.id not in self._log.logged:
                self._add_item(item, checkpoint_by_item.get(item.id))
        # Batches of one model compete for the same engines.
        self._engine_pool = batch.model or batch.route
        self._run_checks = run_checks.RunChecks(
            batch,
            dependencies.engines,
            self._choice,
            self._unfinished,
            self._limits,
            self._gives_way,
        )
        self._window = dependencies.start_window.join()
        self._started_at = time.monotonic()
        self._engine_wait = engine_wait.EngineWait(
            batch,
            self._choice,
            self._unfinished,
            self._limits,
            dependencies.waiting_items,
            dependencies.suspect_items,
            dependencies.competition,
            lambda: self._ownership.is_confirmed(),
            self._rank,
        )
        self._wait_checks = wait_checks.WaitChecks(
            batch,
            self._unfinished,
            self._engine_wait.explain,
            dependencies.wait_lines,
            self._started_at,
        )
        # Items whose runs were cancelled with the batch, with their engines.
        self._cancelled_runs: list[str] = []
        self._scope = anyio.CancelScope()
        self.stop_reason = ""
        dependencies.reader.record_owned_batch(
            batch, log, self._is_authoritative
        )

    def _add_item(
        self, item: model.Item, checkpoint: model.TextCheckpoint | None
    ) -> None:
        """Add an unfinished item with its text of an earlier owner or batch.

        If that text is complete and needs no score, it becomes the result.
        """
        texts = self._dependencies.text_cache
        if checkpoint is None and not texts.has(item.id, self.batch.workspace):
            self._unfinished.add(item)
            return
        cached = texts.pop(item.id, self.batch.workspace)
        if cached != text_cache.CachedText():
            self._carried_over_groups.add(item.group)
        result = cached.result
        if result is not None and self._limits.accepts_versions(
            set(result.versions)
        ):
            if item.scoring is None:
                self._log_result(item, result)
                return
            # A score belongs to the scoring call of one step, so this step
            # requests its own.
            transcript = events.create_complete_transcript(result)
        else:
            transcript = events.create_transcript(
                checkpoint or cached.checkpoint, self.batch.min_version
            )
        if transcript.is_complete and not self._limits.accepts_versions(
            transcript.versions
        ):
            transcript.clear()
        self._unfinished.add(item, transcript)

    def _cache_texts(self) -> None:
        """Cache the texts of items that a later batch may contain again."""
        put = functools.partial(
            self._dependencies.text_cache.put, workspace=self.batch.workspace
        )
        for result in [*self._log.logged.values(), *self._log.pending]:
            if result.outcome is model.Outcome.COMPLETED:
                put(result.item_id, text_cache.CachedText(result=result))
        for progress in self._unfinished.progress.values():
            checkpoint = progress.transcript.to_checkpoint(progress.item.id)
            if checkpoint is not None:
                put(progress.item.id, text_cache.CachedText(checkpoint))

    def report(self) -> report_lib.BatchReport:
        """Return the state of the batch for operators."""
        return report_lib.create_report(
            self.batch,
            self._log.logged,
            self._unfinished,
            self.wait_summary(),
        )

    def wait_summary(
        self, max_examined: int = wait_checks.MAX_EXAMINED
    ) -> wait_checks.Summary:
        """Return where the unfinished items are and why they wait."""
        return self._wait_checks.summary(time.monotonic(), max_examined)

    def held_bytes(self) -> int:
        """Return the memory that texts outside the log hold.

        The read cache of the instance counts the results in the log.
        """
        return self._log.held_bytes() + sum(
            model.held_bytes(progress.transcript.texts)
            for progress in self._unfinished.progress.values()
        )

    def text_bytes(self) -> int:
        """Return the memory that all texts of the batch hold."""
        return self.held_bytes() + self._log.logged_bytes

    def stop(self, reason: str) -> None:
        """Stop all runs and append no further results."""
        if not self.stop_reason:
            self.stop_reason = reason
        self._scope.cancel()

    async def run(self) -> None:
        """Run until the batch is complete or stop() is called."""
        logs.event(
            _LOG,
            "batch_started",
            batch=self.batch.id,
            step=self.batch.step,
            items=len(self.batch.items),
            listed=len(self._log.logged),
            owner_revision=self.record.revision,
        )
        self._dependencies.competition.join(
            self._engine_pool, self.batch.id, self._work
        )
        try:
            with self._scope:
                await self._run_tasks()
        finally:
            self.stop_reason = self.stop_reason or "failed"
            self._dependencies.start_window.leave(self._window)
            self._dependencies.competition.leave(
                self._engine_pool, self.batch.id
            )
            self._dependencies.reader.record_owner_stopped(
                self.batch.id, self._is_authoritative
            )
            self._log_cancelled_items()
        if self.stop_reason != "complete":
            self._cache_texts()
        logs.event(
            _LOG,
            "batch_stopped",
            batch=self.batch.id,
            why=self.stop_reason,
            listed=len(self._log.logged),
        )

    def _log_cancelled_items(self) -> None:
        """Log the items that a stop of the batch left without a result."""
        if not self._unfinished:
            return
        scoring = sum(
            progress.track.state is item_waits.State.SCORING
            for progress in self._unfinished.progress.values()
        )
        running = len(self._cancelled_runs)
        first_ids = itertools.islice(
            itertools.chain(
                (
                    item_id
                    for item_id, progress in self._unfinished.progress.items()
                    if progress.track.state is item_waits.State.WAITING
                ),
                self._unfinished.idle_ids(),
            ),
            _MAX_CANCELLED_NAMED,
        )
        logs.event(
            _LOG,
            "batch_items_cancelled",
            batch=self.batch.id,
            why=self.stop_reason,
            running=running,
            scoring=scoring,
            waiting=len(self._unfinished) - running - scoring,
            first_running=",".join(self._cancelled_runs[:_MAX_CANCELLED_NAMED])
            or "-",
            first_waiting=",".join(first_ids) or "-",
        )

    async def _run_tasks(self) -> None:
        """Run all items and log their results until the batch is complete."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_ownership)
            tasks.start_soon(self._run_checks.run)
            tasks.start_soon(self._wait_checks.run)
            tasks.start_soon(self._start_items, tasks)
            is_complete = await self._log.run()
            reason = "complete" if is_complete else "ownership_lost"
            self.stop_reason = self.stop_reason or reason
            tasks.cancel_scope.cancel()

    async def _start_items(self, tasks: anyio_abc.TaskGroup) -> None:
        """Start the items in order, as many as may wait for engines."""
        order_ids = self._unfinished.in_order(self._carried_over_groups)
        for position, item_id in enumerate(order_ids):
            await self._window.enter(item_id)
            progress = self._unfinished.begin(item_id)
            progress.track.state = item_waits.State.BETWEEN_RUNS
            tasks.start_soon(self._finish_item, progress, position)
            if position % _STARTS_PER_TURN == _STARTS_PER_TURN - 1:
                await anyio.sleep(0)

    def _work(self) -> order.BatchWork:
        """Return the unfinished work of the batch."""
        return order.BatchWork(
            self.batch.id,
            self._limits.due_at(),
            self._groups.missing_groups(),
            tuple(
                order.GroupWork(
                    group, events, group in self._carried_over_groups
                )
                for group, events in (
                    self._unfinished.events_left_by_group().items()
                )
            ),
            self._limits.priority(),
        )

    def _gives_way(self, item: model.Item) -> bool:
        return self._dependencies.competition.gives_way(
            self._engine_pool,
            self.batch.id,
            item.group,
            lambda: self._choice.events_per_second(item),
        )

    def _rank(
        self, progress: runs.Progress, position: int, waited: float
    ) -> order.Rank:
        """Return the rank of an item that waited the given seconds."""
        gives_way = self._gives_way(progress.item)
        may_wait = waited < order.MAX_WAIT_SECONDS
        standing = (
            order.Standing.GIVES_WAY
            if gives_way and may_wait
            else order.Standing.COUNTS
        )
        return order.Rank(
            may_wait,
            standing,
            self._limits.priority(),
            not progress.transcript.texts,
            self.batch.submitted_at,
            self.batch.id,
            position,
        )

    async def _finish_item(
        self, progress: runs.Progress, position: int
    ) -> None:
        """Run an item until it has a result, whatever errors it causes."""
        item_id = progress.item.id
        try:
            while item_id in self._unfinished:
                with containment.contain("item", item_id):
                    await self._run_item(progress, position)
                    return
                progress.track.state = item_waits.State.BETWEEN_RUNS
                await anyio.sleep(_UNEXPECTED_ERROR_DELAY_SECONDS)
                if self._limits.is_expired():
                    self._abandon_item(progress)
        finally:
            self._window.exit(item_id)

    async def _run_item(self, progress: runs.Progress, position: int) -> None:
        """Run an item until its text is complete, then score and log it."""
        suspect_items = self._dependencies.suspect_items
        while not progress.transcript.is_complete:
            if self._limits.is_abandoned(progress):
                self._abandon_item(progress)
                return
            await self._wait_while_marked(progress)
            try:
                endpoint = await self._engine_wait.wait(progress, position)
                self._window.exit(progress.item.id)
                if endpoint is None:
                    self._abandon_item(progress)
                    return
                end = await self._run_once(progress, endpoint)
            finally:
                suspect_items.release(self.batch, progress.item)
            if end is runs.RunEnd.COMPLETE and self._accept_text(progress):
                progress.transcript.is_complete = True
            elif end is runs.RunEnd.FAILED:
                progress.failures += 1
            elif end is runs.RunEnd.IMPOSSIBLE:
                progress.failures = self._limits.max_attempts()
            elif end in _NOT_STARTED_ENDS:
                # Only a refusal may be due to the size of the item.
                size = progress.tokens if end is runs.RunEnd.NOT_RUN else 0
                self._dependencies.engines.record_refusal(
                    endpoint, time.monotonic(), size
                )
        progress.track.state = item_waits.State.SCORING
        score = await self._scores.score(progress)
        if score is None:
            self._abandon_item(progress)
        else:
            self._complete_item(progress, score)

    async def _wait_while_marked(self, progress: runs.Progress) -> None:
        """Keep an item under which engines ended until its next trial.

        It may not be listed as abandoned before its retention is over.
        """
        suspect_items = self._dependencies.suspect_items
        held_at = time.monotonic()
        is_held = False
        while suspect_items.is_marked(
            self.batch, progress.item
        ) and not self._limits.is_abandoned(progress):
            progress.track.state = item_waits.State.MARKED
            if not is_held:
                is_held = True
                self._log_held("item_held", progress, 0.0)
            await anyio.sleep(_MARKED_CHECK_SECONDS)
        if is_held:
            held = time.monotonic() - held_at
            self._log_held("item_released", progress, held)

    def _log_held(
        self, event: str, progress: runs.Progress, seconds: float
    ) -> None:
        lifetimes = self._dependencies.suspect_items.ended_lifetimes(
            self.batch, progress.item
        )
        logs.event(
            _LOG,
            event,
            logging.WARNING,
            batch=self.batch.id,
            item=progress.item.id,
            ended=len(lifetimes),
            lifetimes=",".join(
                f"{endpoint_id}/{incarnation}"
                for endpoint_id, incarnation in lifetimes[
                    :_MAX_LIFETIMES_NAMED
                ]
            )
            or "-",
            seconds=seconds,
        )

    async def _run_once(
        self, progress: runs.Progress, endpoint: endpoints.Endpoint
    ) -> runs.RunEnd:
        progress.track.state = item_waits.State.RUNNING
        # The item runner resets it as the run starts.
        progress.last_event_at = None
        try:
            return await self._dependencies.items.run(
                progress, self.batch, endpoint
            )
        except anyio.get_cancelled_exc_class():
            self._cancelled_runs.append(f"{progress.item.id}@{endpoint.id}")
            raise
        finally:
            progress.track.end_run(
                progress.last_event_at is not None, time.monotonic()
            )
            self._dependencies.engines.record_end(endpoint)
            self._dependencies.waiting_items.wake()

    def _accept_text(self, progress: runs.Progress) -> bool:
        """Return whether a complete text is allowed; discard it if not."""
        transcript = progress.transcript
        if self._limits.accepts_versions(transcript.versions):
            return True
        logs.event(
            _LOG,
            "run_discarded",
            item=progress.item.id,
            versions=sorted(transcript.versions),
            min_version=self.batch.min_version,
        )
        transcript.clear()
        return False

    def _abandon_item(self, progress: runs.Progress) -> None:
        self._add_result(
            progress.item,
            model.Result(progress.item.id, model.Outcome.DEAD),
        )

    def _complete_item(self, progress: runs.Progress, score: str) -> None:
        transcript = progress.transcript
        # The result doesn't depend on the statistics.
        with containment.contain("item_statistics", progress.item.id):
            self._record_completion(progress)
        self._add_result(
            progress.item,
            model.Result(
                progress.item.id,
                model.Outcome.COMPLETED,
                "\n".join(transcript.texts),
                tuple(sorted(transcript.versions)),
                score,
            ),
        )

    def _record_completion(self, progress: runs.Progress) -> None:
        """Count and log a completed item."""
        transcript = progress.transcript
        expected = self._dependencies.competition.record_length(
            self.batch.route,
            progress.item.expected_output,
            len(transcript.texts),
        )
        logs.event(
            _LOG,
            "item_completed",
            batch=self.batch.id,
            item=progress.item.id,
            group=progress.item.group or "-",
            endpoint=progress.endpoint.id if progress.endpoint else "-",
            runs=progress.runs,
            events=len(transcript.texts),
            expected_events=expected,
            waited=progress.waited,
            versions=sorted(transcript.versions),
            seconds=time.monotonic() - self._started_at,
        )

    def _add_result(self, item: model.Item, result: model.Result) -> None:
        self._unfinished.remove(item.id)
        self._log_result(item, result)

    def _log_result(self, item: model.Item, result: model.Result) -> None:
        self._groups.record_result(item.group)
        self._group_by_unlogged[item.id] = item.group
        self._log.add(result)

    def _record_logged(self, entry: storage.LogEntry) -> None:
        for found in entry.results:
            group = self._group_by_unlogged.pop(found.item_id)
            self._logged_groups.record_result(group)
        self._dependencies.reader.record_entry(self.batch.id, entry)

    def _coalescing_seconds(self) -> float:
        """Return how many seconds results may wait to share a write."""
        logged = self._logged_groups.complete_groups
        return write_coalescing.coalescing_seconds(
            self._groups.has_enough_groups(),
            self._groups.complete_groups > logged,
            self._limits.seconds_left(),
        )

    def _checkpoints(self) -> list[model.TextCheckpoint]:
        """Return checkpoints of texts that are long enough or complete."""
        checkpoints: list[model.TextCheckpoint] = []
        size = 0
        for progress in self._unfinished.progress.values():
            transcript = progress.transcript
            is_short = len(transcript.texts) < _MIN_CHECKPOINT_EVENTS
            if is_short and not transcript.is_complete:
                continue
            checkpoint = transcript.to_checkpoint(progress.item.id)
            size += sum(map(len, transcript.texts))
            if checkpoint is None or size > result_log.MAX_ENTRY_BYTES:
                break
            checkpoints.append(checkpoint)
        return checkpoints

    async def _watch_ownership(self) -> None:
        self.stop(await self._ownership.wait_for_loss())

    def _is_authoritative(self) -> bool:
        """Return whether this runner knows every result in the log."""
        return not self.stop_reason and self._ownership.is_authoritative()

    def _is_complete(self) -> bool:
        """Return whether every item has a result, even if it is not logged."""
        return not self._unfinished
