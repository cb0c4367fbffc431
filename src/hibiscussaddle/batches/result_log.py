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

# Unfinished texts are kept this often, in seconds: an instance that takes a
# batch over generates at most this much again.
_PARTIAL_SECONDS: typing.Final = 1.0
# The same when results are written anyway, which costs no further call.
_PARTIAL_BESIDE_SECONDS: typing.Final = 0.4
# An entry of the result log stays well below the store's limit, in bytes.
MAX_ENTRY_BYTES: typing.Final = 600_000
# Wait before a write that failed is repeated, in seconds.
_RETRY_SECONDS: typing.Final = 0.2


class ResultLog:
    """Append results to a batch's log while its owner is unchanged."""

    def __init__(
        self,
        batches: storage.BatchStorage,
        record: storage.OwnerRecord,
        total: int,
        entries: abc.Sequence[storage.LogEntry],
        partials: abc.Callable[[], list[model.PartialText]],
        on_confirmed: abc.Callable[[float], None],
        gather_seconds: abc.Callable[[], float],
        on_listed: abc.Callable[[storage.LogEntry], None],
    ) -> None:
        """Continue after the entries that are listed already.

        Each write that succeeds confirms the ownership as of its start, in
        seconds since the boot. A result waits for others for the gathering
        time, which is asked again whenever one is added.
        """
        self.listed = {
            found.item_id: found
            for entry in entries
            for found in entry.results
        }
        # Results that wait for the next append.
        self.ready: list[model.Result] = []
        self._storage = batches
        self._record = record
        self._total = total
        self._number = len(entries)
        self._partials = partials
        self._on_confirmed = on_confirmed
        self._gather_seconds = gather_seconds
        self._on_listed = on_listed
        self._kept_at = time.monotonic()
        self._added = anyio.Event()

    def add(self, found: model.Result) -> None:
        """List a result with the next append."""
        self.ready.append(found)
        self._added.set()

    async def run(self) -> bool:
        """List until every item is; False when another owner took over."""
        while len(self.listed) < self._total:
            if not self.ready:
                if not await self._wait_result():
                    return False
                continue
            found = _take(self.ready)
            if not await self._append(found):
                return False
            key = model.log_key(self._record.batch_id, self._number)
            self._number += 1
            self.listed.update({entry.item_id: entry for entry in found})
            self._on_listed(storage.LogEntry(key, tuple(found)))
        return True

    async def _wait_result(self) -> bool:
        """Wait for results and keep the unfinished texts meanwhile.

        Returns False when another owner took over.
        """
        self._added = anyio.Event()
        with anyio.move_on_after(_PARTIAL_SECONDS):
            await self._added.wait()
        if self.ready:
            await self._gather()
            return True
        partials = self._partials()
        if not partials:
            return True
        started = clocks.boot_seconds()
        kept = await self._storage.keep_partials(
            self._record.batch_id, self._record.revision, partials
        )
        if isinstance(kept, result.Err):
            logs.event(
                _LOG,
                "partials_not_stored",
                batch=self._record.batch_id,
                texts=len(partials),
                why=kept.err_value.failure.value,
            )
            return kept.err_value.failure is not store.StoreFailure.CONFLICT
        self._on_confirmed(started)
        return True

    async def _gather(self) -> None:
        """Let results that end soon share the next write."""
        started = time.monotonic()
        while True:
            left = self._gather_seconds() - (time.monotonic() - started)
            if left <= 0:
                return
            self._added = anyio.Event()
            with anyio.move_on_after(left):
                await self._added.wait()

    def _due_partials(self) -> list[model.PartialText]:
        """Return the unfinished texts if it is time to keep them."""
        now = time.monotonic()
        if now - self._kept_at < _PARTIAL_BESIDE_SECONDS:
            return []
        self._kept_at = now
        return self._partials()

    async def _append(self, found: list[model.Result]) -> bool:
        """Repeat one append until its outcome is known."""
        batch_id = self._record.batch_id
        key = model.log_key(batch_id, self._number)
        data = model.encode_results(found)
        complete = len(self.listed) + len(found) == self._total
        partials = self._due_partials()
        while True:
            started = clocks.boot_seconds()
            answer = await self._storage.append(
                batch_id,
                self._record.revision,
                self._number,
                found,
                partials,
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
            await anyio.sleep(_RETRY_SECONDS)


def _take(ready: list[model.Result]) -> list[model.Result]:
    """Remove and return results for one log entry."""
    found: list[model.Result] = []
    size = 0
    while ready and (not found or size < MAX_ENTRY_BYTES):
        found.append(ready.pop(0))
        size += len(found[-1].text.encode())
    return found
