"""Run the items of one owned batch and list their results."""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio

from hibiscussaddle.batches import engine_choice
from hibiscussaddle.batches import events
from hibiscussaddle.batches import groups
from hibiscussaddle.batches import limits
from hibiscussaddle.batches import model
from hibiscussaddle.batches import moves
from hibiscussaddle.batches import ownership
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import report as report_lib
from hibiscussaddle.batches import result_log
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import scores
from hibiscussaddle.batches import storage
from hibiscussaddle.batches import text_cache
from hibiscussaddle.batches import waiting as waiting_lib
from hibiscussaddle.batches import write_coalescing
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.scoring import scorer

_LOG = logging.getLogger(__name__)

# How often running items are checked for stalls, in seconds.
_CHECK_SECONDS: typing.Final = 0.1
# Shorter texts are generated again sooner than they are kept, in events.
_MIN_PARTIAL_EVENTS: typing.Final = 16
# Ends of a run that the engine did not start; it gets a probe next.
_NOT_STARTED: typing.Final = (
    runs.RunEnd.OTHER_ENDPOINT,
    runs.RunEnd.NOT_RUN,
    runs.RunEnd.STALE_WEIGHTS,
)


@dataclasses.dataclass(frozen=True)
class Tools:
    """Hold what every batch runner of an instance shares."""

    storage: storage.BatchStorage
    view: view_lib.View
    engines: placement.Placement
    items: runs.ItemRunner
    leftovers: text_cache.TextCache
    waiting: waiting_lib.WaitingItems
    scorer: scorer.Scorer
    reader: reader.BatchReader


class BatchRunner:
    """Own one batch until it is complete, ended or taken over."""

    def __init__(
        self,
        tools: Tools,
        batch: model.Batch,
        record: storage.OwnerRecord,
        log: abc.Sequence[storage.LogEntry] = (),
        partials: abc.Iterable[model.TextCheckpoint] = (),
    ) -> None:
        """Continue after the results and texts that are kept already."""
        self.batch = batch
        self.record = record
        self._tools = tools
        self._choice = engine_choice.EngineChoice(
            tools.view, tools.engines, batch
        )
        self._limits = limits.ItemLimits(batch, self._choice.route)
        self._ownership = ownership.Ownership(
            tools.storage, record, self._is_complete
        )
        self._log = result_log.ResultLog(
            tools.storage,
            record,
            len(batch.items),
            log,
            self._partials,
            self._ownership.confirm,
            self._gather_seconds,
            lambda entry: tools.reader.record_entry(batch.id, entry),
        )
        self._groups = groups.GroupTracker(batch, self._log.logged)
        self._scores = scores.BatchScores(
            tools.scorer,
            batch,
            self._limits,
            self._groups,
            self._ownership.is_confirmed,
        )
        kept = {partial.item_id: partial for partial in partials}
        self._progress: dict[str, runs.Progress] = {}
        # Groups of which an earlier batch left texts.
        self._carried: set[str] = set()
        for item in batch.items:
            if item.id not in self._log.logged:
                self._add_item(item, kept.get(item.id))
        self._started_at = time.monotonic()
        self._scope = anyio.CancelScope()
        self.why_stopped = ""
        tools.reader.record_owned(batch, log, self._is_sure)

    def _add_item(
        self, item: model.Item, partial: model.TextCheckpoint | None
    ) -> None:
        """Start with what an earlier owner or batch left of the item."""
        leftover = self._tools.leftovers.pop(item.id)
        if leftover != text_cache.CachedText():
            self._carried.add(item.group)
        found = leftover.result
        if found is not None and self._limits.fits(set(found.versions)):
            if item.scoring is None:
                self._groups.record_result(item.group)
                self._log.add(found)
                return
            # The score of an earlier step belongs to that step's call.
            transcript = events.create_whole_transcript(found)
        else:
            transcript = events.create_transcript(
                partial or leftover.checkpoint, self.batch.min_version
            )
        if transcript.is_whole and not self._limits.fits(transcript.versions):
            transcript.clear()
        self._progress[item.id] = runs.Progress(item, transcript)

    def _keep_leftovers(self) -> None:
        """Keep the texts that a later batch may ask for again."""
        keep = self._tools.leftovers.put
        for found in [*self._log.logged.values(), *self._log.pending]:
            if found.outcome is model.Outcome.COMPLETED:
                keep(found.item_id, text_cache.CachedText(result=found))
        for progress in self._progress.values():
            partial = progress.transcript.to_partial(progress.item.id)
            if partial is not None:
                keep(progress.item.id, text_cache.CachedText(partial))

    def report(self) -> report_lib.BatchReport:
        """Return the state of the batch for operators."""
        return report_lib.create_report(
            self.batch, self._log.logged, self._progress
        )

    def stop(self, why: str) -> None:
        """Stop all runs; nothing more is listed."""
        if not self.why_stopped:
            self.why_stopped = why
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
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._check_owner)
                tasks.start_soon(self._check_runs)
                for place, progress in enumerate(self._ordered()):
                    rank = waiting_lib.Rank(
                        self.batch.submitted_at, self.batch.id, place
                    )
                    tasks.start_soon(self._run_item, progress, rank)
                done = await self._log.run()
                why = "complete" if done else "ownership_lost"
                self.why_stopped = self.why_stopped or why
                tasks.cancel_scope.cancel()
        self._tools.reader.record_released(self.batch.id, self._is_sure)
        if self.why_stopped != "complete":
            self._keep_leftovers()
        logs.event(
            _LOG,
            "batch_stopped",
            batch=self.batch.id,
            why=self.why_stopped,
            listed=len(self._log.logged),
        )

    def _ordered(self) -> list[runs.Progress]:
        by_group: dict[str, list[runs.Progress]] = {}
        for progress in self._progress.values():
            by_group.setdefault(progress.item.group, []).append(progress)
        expected = {
            group: [p.item.expected_output or 0.0 for p in found]
            for group, found in by_group.items()
        }
        order = placement.order_items(expected, self._carried)
        return [by_group[group][index] for group, index in order]

    async def _run_item(
        self, progress: runs.Progress, rank: waiting_lib.Rank
    ) -> None:
        while not progress.transcript.is_whole:
            endpoint = await self._place(progress, rank)
            if endpoint is None:
                self._give_up(progress)
                return
            end = await self._run_once(progress, endpoint)
            if end is runs.RunEnd.COMPLETE and self._is_valid(progress):
                progress.transcript.is_whole = True
            elif end is runs.RunEnd.FAILED:
                progress.failures += 1
            elif end is runs.RunEnd.IMPOSSIBLE:
                progress.failures = self._limits.max_attempts()
            elif end in _NOT_STARTED:
                now = time.monotonic()
                self._tools.engines.refused(endpoint, now)
        score = await self._scores.score(progress)
        if score is None:
            self._give_up(progress)
        else:
            self._complete(progress, score)

    async def _run_once(
        self, progress: runs.Progress, endpoint: endpoints.Endpoint
    ) -> runs.RunEnd:
        try:
            return await self._tools.items.run(progress, self.batch, endpoint)
        finally:
            self._tools.engines.ended(endpoint)
            self._tools.waiting.look()

    def _is_valid(self, progress: runs.Progress) -> bool:
        transcript = progress.transcript
        if self._limits.fits(transcript.versions):
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

    def _give_up(self, progress: runs.Progress) -> None:
        self._add_result(
            progress.item,
            model.Result(progress.item.id, model.Outcome.DEAD),
        )

    def _complete(self, progress: runs.Progress, score: str) -> None:
        transcript = progress.transcript
        logs.event(
            _LOG,
            "item_completed",
            batch=self.batch.id,
            item=progress.item.id,
            group=progress.item.group or "-",
            endpoint=progress.endpoint.id if progress.endpoint else "-",
            runs=progress.runs,
            events=len(transcript.texts),
            versions=sorted(transcript.versions),
            seconds=time.monotonic() - self._started_at,
        )
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

    def _add_result(self, item: model.Item, found: model.Result) -> None:
        self._progress.pop(item.id, None)
        self._groups.record_result(item.group)
        self._log.add(found)

    async def _place(
        self, progress: runs.Progress, rank: waiting_lib.Rank
    ) -> endpoints.Endpoint | None:
        """Wait for an engine with room; None when the item is given up."""

        def choose(probes: bool) -> endpoints.Endpoint | None:
            if not self._ownership.is_confirmed():
                return None
            return self._choice.choose(progress, time.monotonic(), probes)

        route = self._choice.route()
        service = route.service_for(progress.item.id) if route else ""
        return await self._tools.waiting.seek(
            rank,
            f"{self.batch.id}/{service}",
            choose,
            lambda: self._limits.is_over(progress),
        )

    async def _check_runs(self) -> None:
        """Move runs whose engine stalls or is slow."""
        while True:
            await anyio.sleep(_CHECK_SECONDS)
            now = time.monotonic()
            for progress in list(self._progress.values()):
                if progress.endpoint is None or progress.scope is None:
                    continue
                why = moves.why_move(
                    self._tools.engines,
                    progress,
                    self._choice.candidates(progress.item),
                    now,
                )
                if why is not None:
                    self._move(progress, why, now)

    def _move(
        self, progress: runs.Progress, why: moves.Reason, now: float
    ) -> None:
        endpoint = progress.endpoint
        if endpoint is None or progress.scope is None:
            return
        logs.event(
            _LOG,
            "run_moved",
            item=progress.item.id,
            endpoint=endpoint.id,
            why=why.value,
            last_event=progress.transcript.last_id,
        )
        progress.left = endpoint.id
        if why is moves.Reason.STALLED:
            self._tools.engines.failed(endpoint, now)
        progress.scope.cancel()

    def _gather_seconds(self) -> float:
        """Return how long results may wait for others before the write."""
        written = groups.GroupTracker(self.batch, self._log.logged)
        return write_coalescing.coalescing_seconds(
            self._groups.has_enough_groups(),
            self._groups.complete_groups > written.complete_groups,
            self._limits.seconds_left(),
        )

    def _partials(self) -> list[model.TextCheckpoint]:
        """Return the unfinished texts that are worth keeping."""
        found: list[model.TextCheckpoint] = []
        size = 0
        for progress in self._progress.values():
            transcript = progress.transcript
            is_short = len(transcript.texts) < _MIN_PARTIAL_EVENTS
            if is_short and not transcript.is_whole:
                continue
            partial = transcript.to_partial(progress.item.id)
            size += sum(map(len, transcript.texts))
            if partial is None or size > result_log.MAX_ENTRY_BYTES:
                break
            found.append(partial)
        return found

    async def _check_owner(self) -> None:
        self.stop(await self._ownership.wait_for_loss())

    def _is_sure(self) -> bool:
        """Tell whether this owner knows every listed result."""
        return not self.why_stopped and self._ownership.is_authoritative()

    def _is_complete(self) -> bool:
        """Tell whether every item ran; the last append may be under way."""
        return not self._progress
