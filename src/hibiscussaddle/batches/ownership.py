"""Know whether a batch is still this instance's to run."""

from collections import abc
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import storage
from hibiscussaddle import clocks

# The owner record is read when no write confirmed it for this long, in
# seconds.
_READ_INTERVAL_SECONDS: typing.Final = 1.0
# Wait before a read that failed is repeated, in seconds.
_RETRY_DELAY_SECONDS: typing.Final = 0.2
# An owner that could not confirm its ownership for this long starts no run,
# in seconds: the batch may be ended, and an item must not reach an engine
# later than 3 s after that.
_START_VALIDITY_SECONDS: typing.Final = 2.4
# An owner that could not confirm its ownership for this long answers no read,
# in seconds: what a successor has listed must be shown within a second after
# it was read.
_READ_VALIDITY_SECONDS: typing.Final = 1.2


class Ownership:
    """Confirm the owner record of one batch again and again."""

    def __init__(
        self,
        batches: storage.BatchStorage,
        record: storage.OwnerRecord,
        is_complete: abc.Callable[[], bool],
    ) -> None:
        """Start confirmed: the record was just written or read.

        The record of a complete batch is removed by its owner.
        """
        self._storage = batches
        self._record = record
        self._is_complete = is_complete
        # Seconds since the boot.
        self._confirmed_at = clocks.boot_seconds()

    def confirm(self, at: float) -> None:
        """Note a call that proved it and started at a time since the boot."""
        self._confirmed_at = max(self._confirmed_at, at)

    def is_confirmed(self) -> bool:
        """Tell whether the batch was surely this owner's a moment ago."""
        return self._confirmation_age() < _START_VALIDITY_SECONDS

    def is_authoritative(self) -> bool:
        """Tell whether this owner knows every listed result."""
        return self._confirmation_age() < _READ_VALIDITY_SECONDS

    def _confirmation_age(self) -> float:
        return clocks.boot_seconds() - self._confirmed_at

    async def wait_for_loss(self) -> str:
        """Return why the batch is not this owner's any more.

        Writes confirm the ownership as well; only without them is it read.
        """
        while True:
            due = _READ_INTERVAL_SECONDS - self._confirmation_age()
            if due > 0:
                await anyio.sleep(due)
                continue
            started = clocks.boot_seconds()
            owner = await self._storage.owner(self._record.batch_id)
            if isinstance(owner, result.Ok):
                if owner.ok_value.revision != self._record.revision:
                    return "owner_changed"
                self.confirm(started)
                continue
            if owner.err_value.failure is store.StoreFailure.MISSING:
                if not self._is_complete():
                    return "owner_removed"
            await anyio.sleep(_RETRY_DELAY_SECONDS)
