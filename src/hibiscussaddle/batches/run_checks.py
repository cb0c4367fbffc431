"""Check the runs of one batch for those that stall, are slow or never end."""

from collections import abc
import logging
import time
import typing

import anyio

from hibiscussaddle.batches import engine_choice
from hibiscussaddle.batches import limits as limits_lib
from hibiscussaddle.batches import model
from hibiscussaddle.batches import moves
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import unfinished_items
from hibiscussaddle import containment
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

_CHECK_INTERVAL_SECONDS: typing.Final = 0.1
# Delay after an unexpected error, which may come again.
_UNEXPECTED_ERROR_DELAY_SECONDS: typing.Final = 1.0
# A run that lasts this long after the retention of its batch is over ends. One
# that is nearly complete still gives a result.
_MAX_EXPIRED_RUN_SECONDS: typing.Final = 10.0


class RunChecks:
    """Interrupt runs, so that their items resume elsewhere or are given up."""

    def __init__(
        self,
        batch: model.Batch,
        engines: placement.Placement,
        choice: engine_choice.EngineChoice,
        unfinished: unfinished_items.UnfinishedItems,
        limits: limits_lib.ItemLimits,
        gives_way: abc.Callable[[model.Item], bool],
    ) -> None:
        """Call gives_way() for whether an item comes after those of others."""
        self._batch = batch
        self._engines = engines
        self._choice = choice
        self._unfinished = unfinished
        self._limits = limits
        self._gives_way = gives_way

    async def run(self) -> None:
        """Check all runs at a fixed interval until cancelled."""
        while True:
            await anyio.sleep(_CHECK_INTERVAL_SECONDS)
            with containment.contain("run_checks", self._batch.id):
                self.check(time.monotonic())
                continue
            await anyio.sleep(_UNEXPECTED_ERROR_DELAY_SECONDS)

    def check(self, now: float) -> None:
        """Interrupt the runs for which there is a reason."""
        is_expired = self._limits.is_expired()
        # The longest runs reserve the fastest engines first.
        for progress in sorted(
            self._unfinished.progress.values(),
            key=self._unfinished.events_left,
            reverse=True,
        ):
            if progress.endpoint is None or progress.cancel_scope is None:
                continue
            reason = self._move_reason(progress, now)
            if is_expired and (
                now - progress.started_at > _MAX_EXPIRED_RUN_SECONDS
            ):
                reason = moves.MoveReason.EXPIRED
            if reason is not None:
                self._interrupt(progress, reason, now)

    def _move_reason(
        self, progress: runs.Progress, now: float
    ) -> moves.MoveReason | None:
        # Fast engines belong to the groups that count.
        gains = not self._gives_way(progress.item)
        return moves.move_reason(
            self._engines,
            progress,
            self._choice.move_candidates(progress),
            self._unfinished.events_left(progress) if gains else 0.0,
            now,
        )

    def _interrupt(
        self, progress: runs.Progress, reason: moves.MoveReason, now: float
    ) -> None:
        endpoint = progress.endpoint
        if endpoint is None or progress.cancel_scope is None:
            return
        logs.event(
            _LOG,
            "run_moved",
            item=progress.item.id,
            endpoint=endpoint.id,
            why=reason.value,
            last_event=progress.transcript.last_id,
        )
        progress.excluded_endpoint_id = endpoint.id
        if reason is moves.MoveReason.STALLED:
            self._engines.record_failure(endpoint, now)
        progress.cancel_scope.cancel()
