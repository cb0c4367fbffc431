"""Track whether this instance still owns a batch."""

from collections import abc
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import storage
from hibiscussaddle import clocks

# The owner record is read if no write confirmed it for this long.
_READ_INTERVAL_SECONDS: typing.Final = 1.0
_RETRY_DELAY_SECONDS: typing.Final = 0.2
# An owner whose last confirmation is older starts no run: the batch may have
# ended, and no item may reach an engine later than 3 s after that.
_START_VALIDITY_SECONDS: typing.Final = 2.4
# An owner whose last confirmation is older serves no read. Once a caller has
# read a result that a successor logged, every other read must return it within
# a second.
_READ_VALIDITY_SECONDS: typing.Final = 1.2


class Ownership:
    """Confirm the owner record of one batch repeatedly."""

    def __init__(
        self,
        batch_storage: storage.BatchStorage,
        record: storage.OwnerRecord,
        is_complete: abc.Callable[[], bool],
    ) -> None:
        """Start confirmed if the record was just written or read.

        Without that, runs may start, but no read is served until the store
        confirms the record. A missing record is no loss once is_complete
        returns True, since the owner itself removes the record of a complete
        batch.
        """
        self._storage = batch_storage
        self._record = record
        self._is_complete = is_complete
        # Seconds since boot.
        self._confirmed_at = clocks.boot_seconds()
        self._is_proved = record.is_current

    def confirm(self, boot_seconds: float) -> None:
        """Record that ownership was proved at a time since boot."""
        self._is_proved = True
        self._confirmed_at = max(self._confirmed_at, boot_seconds)

    def is_confirmed(self) -> bool:
        """Return whether the last confirmation still allows starting runs."""
        return self._confirmation_age() < _START_VALIDITY_SECONDS

    def is_authoritative(self) -> bool:
        """Return whether the last confirmation still allows serving reads."""
        return (
            self._is_proved
            and self._confirmation_age() < _READ_VALIDITY_SECONDS
        )

    def _confirmation_age(self) -> float:
        return clocks.boot_seconds() - self._confirmed_at

    async def wait_for_loss(self) -> str:
        """Wait until this instance no longer owns the batch; return why.

        Writes confirm the ownership too, so the record is read only after an
        interval without a write.
        """
        while True:
            due_seconds = _READ_INTERVAL_SECONDS - self._confirmation_age()
            if self._is_proved and due_seconds > 0:
                await anyio.sleep(due_seconds)
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
