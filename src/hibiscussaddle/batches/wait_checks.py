"""Log and count the unfinished items of one batch by where they are."""

import collections
from collections import abc
import dataclasses
import itertools
import logging
import time
import typing

import anyio

from hibiscussaddle.batches import item_waits
from hibiscussaddle.batches import model
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import unfinished_items
from hibiscussaddle import containment
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

_CHECK_INTERVAL_SECONDS: typing.Final = 1.0
# Delay after an unexpected error, which may come again.
_UNEXPECTED_ERROR_DELAY_SECONDS: typing.Final = 5.0
# Waiting items of all batches whose reasons a summary determines. Each takes a
# look at every engine.
MAX_EXAMINED: typing.Final = 64
# Items that have not begun and may be named.
_MAX_IDLE_NAMED: typing.Final = 40

# Number of items by state and main reason.
Counts: typing.TypeAlias = collections.Counter[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class Summary:
    """Summarize the unfinished items of a batch."""

    counts: Counts
    # Seconds for which any item has been at no engine.
    longest_wait: float


def format_counts(counts: Counts) -> str:
    """Return counts as text, such as 'running:9,waiting/full:3'."""
    return ",".join(
        f"{state}:{count}" if reason == "-" else f"{state}/{reason}:{count}"
        for (state, reason), count in sorted(counts.items())
    )


def merge(summaries: abc.Iterable[Summary]) -> Summary:
    """Return the summary of several batches."""
    counts: Counts = collections.Counter()
    longest = 0.0
    for summary in summaries:
        counts.update(summary.counts)
        longest = max(longest, summary.longest_wait)
    return Summary(counts, longest)


class WaitChecks:
    """Tell where the items of a batch are and why they wait."""

    def __init__(
        self,
        batch: model.Batch,
        unfinished: unfinished_items.UnfinishedItems,
        explain: abc.Callable[[runs.Progress, float], item_waits.Reasons],
        budget: item_waits.LineBudget,
        started_at: float,
    ) -> None:
        """Call explain() for why a queued item gets no engine at a time.

        The batch started here at these monotonic seconds.
        """
        self._batch = batch
        self._unfinished = unfinished
        self._explain = explain
        self._selector = item_waits.LogSelector(budget)
        self._started_at = started_at

    async def run(self) -> None:
        """Check all items at a fixed interval until cancelled."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_SECONDS)
            with containment.contain("wait_checks", self._batch.id):
                self.check(time.monotonic())
                continue
            await anyio.sleep(_UNEXPECTED_ERROR_DELAY_SECONDS)

    def check(self, now: float) -> None:
        """Log the items that have waited for too long."""
        waits = [
            self._wait(progress, now)
            for progress in self._unfinished.progress.values()
        ]
        states = collections.Counter(wait.state.value for wait in waits)
        idle_count = self._unfinished.idle_count
        states[item_waits.State.NOT_BEGUN.value] += idle_count
        idle_waits = self._idle_waits(now)
        selection = self._selector.select(waits + idle_waits, now)
        for wait in selection.lines:
            self._log(wait, now)
        if selection.named:
            logs.event(
                _LOG,
                "items_wait",
                batch=self._batch.id,
                unfinished=",".join(
                    f"{k}:{n}" for k, n in states.items() if n
                ),
                left_out=selection.left_out + idle_count - len(idle_waits),
                items=",".join(selection.named),
            )

    def summary(self, now: float, max_examined: int = MAX_EXAMINED) -> Summary:
        """Count the unfinished items by state and main reason.

        The reasons of more items than may be examined are not determined.
        """
        counts: Counts = collections.Counter()
        longest = self._idle_seconds(now)
        if self._unfinished.idle_count:
            key = item_waits.State.NOT_BEGUN.value, "-"
            counts[key] += self._unfinished.idle_count
        examined = 0
        for progress in self._unfinished.progress.values():
            wait = self._wait(progress, now)
            reason = "-"
            if wait.state is item_waits.State.WAITING:
                examined += 1
                reason = item_waits.Reason.UNEXAMINED.value
                if examined <= max_examined:
                    reasons = self._reasons(wait, now)
                    reason = item_waits.main_reason(reasons)
            counts[wait.state.value, reason] += 1
            longest = max(longest, item_waits.longest_wait([wait]))
        return Summary(counts, longest)

    def _idle_seconds(self, now: float) -> float:
        return now - self._started_at if self._unfinished.idle_count else 0.0

    def _idle_waits(self, now: float) -> list[item_waits.Wait]:
        """Return the first of the items that have not begun.

        There are up to the items of the largest batch.
        """
        seconds = self._idle_seconds(now)
        idle_ids = self._unfinished.idle_ids()
        return [
            item_waits.Wait(item_id, item_waits.State.NOT_BEGUN, seconds)
            for item_id in itertools.islice(idle_ids, _MAX_IDLE_NAMED)
        ]

    def _wait(self, progress: runs.Progress, now: float) -> item_waits.Wait:
        track = progress.track
        since = self._started_at
        if track.served_until is not None:
            since = track.served_until
        run_seconds = 0.0
        if track.state is item_waits.State.RUNNING:
            run_since = progress.started_at
            if progress.last_event_at is not None:
                run_since = since = progress.last_event_at
            run_seconds = now - run_since
        return item_waits.Wait(
            progress.item.id,
            track.state,
            now - since,
            progress.endpoint.id if progress.endpoint else "",
            progress.transcript.last_id,
            progress.runs,
            track.silent_runs,
            run_seconds,
        )

    def _reasons(
        self, wait: item_waits.Wait, now: float
    ) -> item_waits.Reasons:
        """Return why an item is where it is."""
        reasons: item_waits.Reasons = collections.Counter()
        if wait.state is item_waits.State.NOT_BEGUN:
            reasons[item_waits.Reason.START_WINDOW] = 1
        elif wait.state is item_waits.State.WAITING:
            progress = self._unfinished.progress[wait.item_id]
            reasons.update(self._explain(progress, now))
            sought_at = progress.track.sought_at
            if now - sought_at > item_waits.SKIPPED_SECONDS:
                reasons[item_waits.Reason.SKIPPED] = 1
        return reasons

    def _log(self, wait: item_waits.Wait, now: float) -> None:
        reasons = self._reasons(wait, now)
        reasons[item_waits.Reason.SILENT_RUNS] = wait.silent_runs
        logs.event(
            _LOG,
            "item_waits",
            batch=self._batch.id,
            item=wait.item_id,
            state=wait.state.value,
            seconds=wait.seconds,
            why=item_waits.format_reasons(reasons) or "-",
            engine=wait.engine or "-",
            run_seconds=wait.run_seconds,
            last_event="-" if wait.last_event is None else wait.last_event,
            runs=wait.runs,
        )
