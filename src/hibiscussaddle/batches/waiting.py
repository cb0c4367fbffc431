"""Give waiting items their engines, the most urgent item first."""

from collections import abc
import dataclasses
import typing

import anyio

from hibiscussaddle.batches import placement
from hibiscussaddle import endpoints

# How often waiting items look for an engine when nothing changed, in
# seconds: engines become usable again by time and by changes of the view.
_LOOK_SECONDS: typing.Final = 0.02


@dataclasses.dataclass(frozen=True, order=True)
class Rank:
    """Order waiting items; lower ranks have room first.

    A trainer waits for its oldest step, and later ones only add to it.
    """

    # Wall-clock seconds of the batch's submission.
    submitted_at: float
    batch_id: str
    # Place in the order of the batch.
    place: int


class Chooser(typing.Protocol):
    """Choose the engine of one item, None while none has room."""

    def __call__(self, probes: bool) -> endpoints.Endpoint | None:
        """Also use engines that refused their last run if it probes."""


@dataclasses.dataclass
class _Entry:
    rank: Rank
    pool: str
    choose: Chooser
    is_over: abc.Callable[[], bool]
    endpoint: endpoints.Endpoint | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class WaitingItems:
    """Place the waiting items of all batches of an instance."""

    def __init__(self, engines: placement.Placement) -> None:
        """Start with nothing waiting."""
        self._engines = engines
        self._entries: list[_Entry] = []
        self._look = anyio.Event()

    async def run(self) -> None:
        """Place items until cancelled."""
        while True:
            if not self._entries:
                await self._look.wait()
            self._look = anyio.Event()
            self.place()
            with anyio.move_on_after(_LOOK_SECONDS):
                await self._look.wait()

    async def seek(
        self,
        rank: Rank,
        pool: str,
        choose: Chooser,
        is_over: abc.Callable[[], bool],
    ) -> endpoints.Endpoint | None:
        """Wait for an engine with room; None when the item is over.

        Items of one pool have the same engines to choose from. The run
        counts as started on the engine that is returned.
        """
        entry = _Entry(rank, pool, choose, is_over)
        self._entries.append(entry)
        self._look.set()
        try:
            await entry.done.wait()
        except BaseException:
            if entry.endpoint is not None:
                self._engines.ended(entry.endpoint)
            raise
        finally:
            if entry in self._entries:
                self._entries.remove(entry)
        return entry.endpoint

    def look(self) -> None:
        """Look for engines now, since one may have room."""
        self._look.set()

    def place(self) -> None:
        """Give engines to items in order, then probe with the last ones."""
        self._entries.sort(key=lambda entry: entry.rank)
        self._place_pass(self._entries, probes=False)
        # The least urgent items find out which engines take runs again.
        self._place_pass(self._entries[::-1], probes=True)
        self._entries = [e for e in self._entries if not e.done.is_set()]

    def _place_pass(self, entries: list[_Entry], probes: bool) -> None:
        full: set[str] = set()
        for entry in entries:
            if entry.done.is_set() or entry.pool in full:
                continue
            if entry.is_over():
                entry.done.set()
            elif not self._try(entry, probes):
                full.add(entry.pool)

    def _try(self, entry: _Entry, probes: bool) -> bool:
        entry.endpoint = entry.choose(probes=probes)
        if entry.endpoint is None:
            return False
        self._engines.started(entry.endpoint)
        entry.done.set()
        return True
