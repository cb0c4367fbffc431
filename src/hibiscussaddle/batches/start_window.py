"""Bound how many items of all batches wait for engines at once.

A waiting item takes a task and a place in the queue, several times the memory
of one that has not begun, and the whole queue is ordered many times a second.
"""

import typing

import anyio

# Items of all batches that wait for their first engine.
MAX_WAITING: typing.Final = 8_192
# A batch may start as many items however many batches there are, so that no
# batch is kept from its engines.
MIN_WAITING: typing.Final = 64
# Largest number of items of one batch. Steps of 1,024 samples start whole.
MAX_WAITING_OF_BATCH: typing.Final = 1_024


def waiting_limit(batches: int) -> int:
    """Return how many items of each of some batches may wait at once."""
    share = MAX_WAITING // max(1, batches)
    return min(MAX_WAITING_OF_BATCH, max(MIN_WAITING, share))


class StartWindow:
    """Share the places of waiting items among the batches that run."""

    def __init__(self) -> None:
        """Start without batches."""
        self._batches: set[BatchWindow] = set()

    def join(self) -> "BatchWindow":
        """Return the places of one more batch."""
        window = BatchWindow(self)
        self._batches.add(window)
        return window

    def leave(self, window: "BatchWindow") -> None:
        """Remove a batch; the others share its places."""
        self._batches.discard(window)
        for other in self._batches:
            other.notify()

    def limit(self) -> int:
        """Return how many items of each batch may wait."""
        return waiting_limit(len(self._batches))


class BatchWindow:
    """Let the items of one batch begin in turn."""

    def __init__(self, shared: StartWindow) -> None:
        """Use StartWindow.join() instead."""
        self._shared = shared
        self._waiting: set[str] = set()
        self._changed = anyio.Event()

    async def enter(self, item_id: str) -> None:
        """Wait until an item may begin; it waits for an engine from then."""
        while len(self._waiting) >= self._shared.limit():
            await self._changed.wait()
        self._waiting.add(item_id)

    def exit(self, item_id: str) -> None:
        """Record that an item has an engine or ended; ignored if repeated."""
        if item_id in self._waiting:
            self._waiting.remove(item_id)
            self.notify()

    def notify(self) -> None:
        """Wake the item that waits for a place."""
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
