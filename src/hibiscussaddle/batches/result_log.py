"""List the results of an owned batch and keep its unfinished texts."""

from collections import abc
import logging
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import storage
from hibiscussaddle import clocks
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

# Unfinished texts are written this often, in seconds: an instance that takes a
# batch over generates at most this much again.
_CHECKPOINT_INTERVAL_SECONDS: typing.Final = 1.0
# The same when results are written anyway, which costs no further call.
_PIGGYBACK_INTERVAL_SECONDS: typing.Final = 0.4
# An entry of the result log stays well below the store's limit, in bytes.
MAX_ENTRY_BYTES: typing.Final = 600_000
# Wait before a write that failed is repeated, in seconds.
_RETRY_DELAY_SECONDS: typing.Final = 0.2


class ResultLog:
    """Append results to a batch's log while its owner is unchanged."""

    def __init__(
        self,
        batches: storage.BatchStorage,
        record: storage.OwnerRecord,
        total: int,
        entries: abc.Sequence[storage.LogEntry],
        checkpoints: abc.Callable[[], list[model.TextCheckpoint]],
        on_confirmed: abc.Callable[[float], None],
        coalescing_seconds: abc.Callable[[], float],
        on_logged: abc.Callable[[storage.LogEntry], None],
    ) -> None:
        """Continue after the entries that are listed already.

        Each write that succeeds confirms the ownership as of its start, in
        seconds since the boot. A result waits for others for the gathering
        time, which is asked again whenever one is added.
        """
        self.logged = {
            found.item_id: found
            for entry in entries
            for found in entry.results
        }
        # Results that wait for the next append.
        self.pending: list[model.Result] = []
        self._storage = batches
        self._record = record
        self._total = total
        self._number = len(entries)
        self._checkpoints = checkpoints
        self._on_confirmed = on_confirmed
        self._coalescing_seconds = coalescing_seconds
        self._on_logged = on_logged
        self._checkpointed_at = time.monotonic()
        self._added = anyio.Event()

    def add(self, found: model.Result) -> None:
        """List a result with the next append."""
        self.pending.append(found)
        self._added.set()

    async def run(self) -> bool:
        """List until every item is; False when another owner took over."""
        while len(self.logged) < self._total:
            if not self.pending:
                if not await self._wait_for_results():
                    return False
                continue
            found = _pop_entry_results(self.pending)
            if not await self._append(found):
                return False
            key = model.log_key(self._record.batch_id, self._number)
            self._number += 1
            self.logged.update({entry.item_id: entry for entry in found})
            self._on_logged(storage.LogEntry(key, tuple(found)))
        return True

    async def _wait_for_results(self) -> bool:
        """Wait for results and keep the unfinished texts meanwhile.

        Returns False when another owner took over.
        """
        self._added = anyio.Event()
        with anyio.move_on_after(_CHECKPOINT_INTERVAL_SECONDS):
            await self._added.wait()
        if self.pending:
            await self._coalesce()
            return True
        checkpoints = self._checkpoints()
        if not checkpoints:
            return True
        started = clocks.boot_seconds()
        written = await self._storage.put_checkpoints(
            self._record.batch_id, self._record.revision, checkpoints
        )
        if isinstance(written, result.Err):
            logs.event(
                _LOG,
                "partials_not_stored",
                batch=self._record.batch_id,
                texts=len(checkpoints),
                why=written.err_value.failure.value,
            )
            return written.err_value.failure is not store.StoreFailure.CONFLICT
        self._on_confirmed(started)
        return True

    async def _coalesce(self) -> None:
        """Let results that end soon share the next write."""
        started = time.monotonic()
        while True:
            left = self._coalescing_seconds() - (time.monotonic() - started)
            if left <= 0:
                return
            self._added = anyio.Event()
            with anyio.move_on_after(left):
                await self._added.wait()

    def _due_checkpoints(self) -> list[model.TextCheckpoint]:
        """Return the unfinished texts if it is time to keep them."""
        now = time.monotonic()
        if now - self._checkpointed_at < _PIGGYBACK_INTERVAL_SECONDS:
            return []
        self._checkpointed_at = now
        return self._checkpoints()

    async def _append(self, found: list[model.Result]) -> bool:
        """Repeat one append until its outcome is known."""
        batch_id = self._record.batch_id
        key = model.log_key(batch_id, self._number)
        data = model.encode_results(found)
        complete = len(self.logged) + len(found) == self._total
        checkpoints = self._due_checkpoints()
        while True:
            started = clocks.boot_seconds()
            answer = await self._storage.append(
                batch_id,
                self._record.revision,
                self._number,
                found,
                checkpoints,
                complete,
            )
            if isinstance(answer, result.Ok):
                self._on_confirmed(started)
                return True
            error = answer.err_value
            if error.failure is store.StoreFailure.CONFLICT:
                # With these bytes there, an earlier attempt took effect
                # without an answer.
                return any(
                    entry.key == key and entry.data == data
                    for entry in error.current
                )
            logs.event(
                _LOG,
                "results_not_stored",
                logging.WARNING,
                batch=batch_id,
                results=len(found),
                why=error.failure.value,
            )
            await anyio.sleep(_RETRY_DELAY_SECONDS)


def _pop_entry_results(pending: list[model.Result]) -> list[model.Result]:
    """Remove and return results for one log entry."""
    found: list[model.Result] = []
    size = 0
    while pending and (not found or size < MAX_ENTRY_BYTES):
        found.append(pending.pop(0))
        size += len(found[-1].text.encode())
    return found
