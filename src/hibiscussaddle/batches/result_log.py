"""Append the results of an owned batch to its log, with checkpoints."""

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

# Interval between text checkpoints. After a takeover, at most the events of
# one interval are generated again.
_CHECKPOINT_INTERVAL_SECONDS: typing.Final = 1.0
# Interval between checkpoints that share a write with results, which costs no
# additional call.
_PIGGYBACK_INTERVAL_SECONDS: typing.Final = 0.4
# Keeps an entry of the result log well below the store's limit.
MAX_ENTRY_BYTES: typing.Final = 600_000
_RETRY_DELAY_SECONDS: typing.Final = 0.2


class ResultLog:
    """Append results to a batch's log while its owner is unchanged."""

    def __init__(
        self,
        batch_storage: storage.BatchStorage,
        record: storage.OwnerRecord,
        item_count: int,
        entries: abc.Sequence[storage.LogEntry],
        checkpoints: abc.Callable[[], list[model.TextCheckpoint]],
        on_confirmed: abc.Callable[[float], None],
        coalescing_seconds: abc.Callable[[], float],
        on_logged: abc.Callable[[storage.LogEntry], None],
    ) -> None:
        """Continue after the entries that are in the log already.

        A successful write proves the ownership at its start, so on_confirmed()
        is called with that time in seconds since boot. The first pending
        result waits coalescing_seconds() for others; that limit is computed
        again whenever a result is added.
        """
        self.logged = {
            item_result.item_id: item_result
            for entry in entries
            for item_result in entry.results
        }
        # Memory that the texts of logged results hold.
        self.logged_bytes = model.held_bytes(
            item_result.text for item_result in self.logged.values()
        )
        # Results that wait for the next append.
        self.pending: list[model.Result] = []
        # Results of the append that is under way or retried.
        self._appending: list[model.Result] = []
        self._storage = batch_storage
        self._record = record
        self._item_count = item_count
        self._next_number = len(entries)
        self._checkpoints = checkpoints
        self._on_confirmed = on_confirmed
        self._coalescing_seconds = coalescing_seconds
        self._on_logged = on_logged
        self._checkpointed_at = time.monotonic()
        self._added = anyio.Event()

    def add(self, item_result: model.Result) -> None:
        """Queue a result for the next append."""
        self.pending.append(item_result)
        self._added.set()

    async def run(self) -> bool:
        """Append results until every item has one in the log.

        Returns False if another owner took over.
        """
        while len(self.logged) < self._item_count:
            if not self.pending:
                if not await self._wait_for_results():
                    return False
                continue
            results = _pop_entry_results(self.pending)
            self._appending = results
            if not await self._append(results):
                return False
            key = model.log_key(self._record.batch_id, self._next_number)
            self._next_number += 1
            self.logged.update(
                {item_result.item_id: item_result for item_result in results}
            )
            self.logged_bytes += self._appending_bytes()
            self._appending = []
            self._on_logged(storage.LogEntry(key, tuple(results)))
        return True

    def held_bytes(self) -> int:
        """Return the memory that the texts of unlogged results hold."""
        return model.held_bytes(
            item_result.text for item_result in self._appending + self.pending
        )

    def _appending_bytes(self) -> int:
        return model.held_bytes(
            item_result.text for item_result in self._appending
        )

    async def _wait_for_results(self) -> bool:
        """Wait for results and store text checkpoints meanwhile.

        Returns False if another owner took over.
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
        """Wait for results that can share the next write."""
        started = time.monotonic()
        while True:
            remaining = self._coalescing_seconds() - (
                time.monotonic() - started
            )
            if remaining <= 0:
                return
            self._added = anyio.Event()
            with anyio.move_on_after(remaining):
                await self._added.wait()

    def _due_checkpoints(self) -> list[model.TextCheckpoint]:
        """Return the text checkpoints if the next append includes them."""
        now = time.monotonic()
        if now - self._checkpointed_at < _PIGGYBACK_INTERVAL_SECONDS:
            return []
        self._checkpointed_at = now
        return self._checkpoints()

    async def _append(self, results: list[model.Result]) -> bool:
        """Append one entry, retrying until the outcome is known.

        Returns False if another owner took over.
        """
        batch_id = self._record.batch_id
        key = model.log_key(batch_id, self._next_number)
        data = model.encode_results(results)
        is_last = len(self.logged) + len(results) == self._item_count
        checkpoints = self._due_checkpoints()
        while True:
            started = clocks.boot_seconds()
            response = await self._storage.append(
                batch_id,
                self._record.revision,
                self._next_number,
                results,
                checkpoints,
                is_last,
            )
            if isinstance(response, result.Ok):
                self._on_confirmed(started)
                return True
            error = response.err_value
            if error.failure is store.StoreFailure.CONFLICT:
                # If the key holds these bytes, an earlier attempt took effect
                # without a response.
                return any(
                    entry.key == key and entry.data == data
                    for entry in error.current
                )
            logs.event(
                _LOG,
                "results_not_stored",
                logging.WARNING,
                batch=batch_id,
                results=len(results),
                why=error.failure.value,
            )
            await anyio.sleep(_RETRY_DELAY_SECONDS)


def _pop_entry_results(pending: list[model.Result]) -> list[model.Result]:
    """Remove and return the results for one log entry."""
    count = size = 0
    while count < len(pending) and (not count or size < MAX_ENTRY_BYTES):
        size += len(pending[count].text.encode())
        count += 1
    results = pending[:count]
    del pending[:count]
    return results
