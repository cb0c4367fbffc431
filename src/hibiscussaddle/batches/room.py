"""Reserve the memory of the batches that an instance runs.

A batch is accepted into a part of an instance's budget only, so that its
successor has room for it beside its own.
"""

from collections import abc
import typing

from hibiscussaddle.callers import memory

HOLDER: typing.Final = "batches"
# Part of the budget into which batches are accepted. The rest is for those of
# another instance that is lost.
_ACCEPTED_FRACTION: typing.Final = 0.5


def largest_batch(budget: int) -> int:
    """Return the largest footprint that an instance with a budget accepts."""
    return int(_ACCEPTED_FRACTION * memory.usable_bytes(budget))


class BatchRoom:
    """Draw the footprints of batches from the account of an instance."""

    def __init__(
        self,
        account: memory.Account,
        largest_elsewhere: abc.Callable[[], int] = lambda: (
            memory.UNLIMITED_BYTES
        ),
    ) -> None:
        """Call largest_elsewhere() for the least that any successor accepts.

        All are bytes of the account.
        """
        self._account = account
        self._largest_elsewhere = largest_elsewhere

    def fits(self, footprint: int) -> bool:
        """Return whether a batch may be accepted once there is room."""
        largest = largest_batch(self._account.budget)
        return footprint <= min(largest, self._largest_elsewhere())

    def accept(self, footprint: int) -> memory.Hold | None:
        """Reserve the memory of a new batch, None without room."""
        held = self._account.by_holder[HOLDER]
        if held + footprint > largest_batch(self._account.budget):
            return None
        return self.take_over(footprint)

    def take_over(self, footprint: int) -> memory.Hold | None:
        """Reserve the memory of an accepted batch, None without room."""
        hold = self._account.open(HOLDER)
        if hold.resize(footprint):
            return hold
        hold.close()
        return None
