"""Assign engines to waiting items in order of urgency."""

from collections import abc
import contextlib
import dataclasses
import time
import typing

import anyio

from hibiscussaddle.batches import placement
from hibiscussaddle import endpoints
from hibiscussaddle.scheduling import order

Ranker: typing.TypeAlias = abc.Callable[[float], order.Rank]

# Interval between checks without a wake-up. Backoffs of engines expire and the
# endpoint view changes without one.
_RECHECK_INTERVAL_SECONDS: typing.Final = 0.02
# An assignment that takes longer is followed by a pause of a multiple of it.
_LONG_ASSIGNMENT_SECONDS: typing.Final = 0.01
_REST_FACTOR: typing.Final = 3.0
# An item that waits longer takes any engine that accepts it. Preferences must
# not keep an item from all engines.
OVERDUE_SECONDS: typing.Final = 2.0
# Interval between rankings of all items. New items are ranked at once.
_RANKING_INTERVAL_SECONDS: typing.Final = 0.1


class Chooser(typing.Protocol):
    """Choose the engine for one item, None while none has capacity."""

    def __call__(self, allow_probe: bool) -> endpoints.Endpoint | None:
        """Include engines that refused their last run when probes may run."""


# Compared by identity, since thousands of entries may wait.
@dataclasses.dataclass(eq=False)
class _Entry:
    rank: order.Rank
    # Returns the rank of an item that waited the given seconds.
    ranker: Ranker
    waiting_since: float
    pool: str
    choose: Chooser
    is_abandoned: abc.Callable[[], bool]
    # Tokens for which an engine needs memory.
    tokens: int
    # Whether no engine is found for a reason that concerns this item alone.
    is_held_back: abc.Callable[[], bool]
    endpoint: endpoints.Endpoint | None = None
    # Raised in the task of the item, which handles its own errors.
    error: Exception | None = None
    # Set once the item has an engine, is abandoned or failed.
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@contextlib.contextmanager
def _errors_of(entry: _Entry) -> abc.Iterator[None]:
    """Pass an error to the item that caused it; the others go on waiting."""
    try:
        yield
    except Exception as exc:
        entry.error = exc
        entry.done.set()


class WaitingItems:
    """Queue the items of all batches of an instance until engines are free."""

    def __init__(self, engines: placement.Placement) -> None:
        """Start with an empty queue."""
        self._engines = engines
        # Without values; ordered by rank as of the last assignment.
        self._entries: dict[_Entry, None] = {}
        self._wake = anyio.Event()
        self._ranked_at = float("-inf")

    async def run(self) -> None:
        """Assign engines until cancelled."""
        while True:
            if not self._entries:
                await self._wake.wait()
            self._wake = anyio.Event()
            started = time.monotonic()
            self.assign_engines()
            spent = time.monotonic() - started
            if spent > _LONG_ASSIGNMENT_SECONDS:
                # A long queue leaves most of the time to other calls.
                await anyio.sleep(_REST_FACTOR * spent)
            with anyio.move_on_after(_RECHECK_INTERVAL_SECONDS):
                await self._wake.wait()

    async def wait_for_engine(
        self,
        ranker: Ranker,
        pool: str,
        choose: Chooser,
        is_abandoned: abc.Callable[[], bool],
        tokens: int = 0,
        is_held_back: abc.Callable[[], bool] = lambda: False,
    ) -> endpoints.Endpoint | None:
        """Return an engine with capacity, None when the item is abandoned.

        Items of one pool choose from the same engines, except those that are
        held back for a reason of their own. The run counts as started on the
        returned engine.
        """
        entry = _Entry(
            ranker(0.0),
            ranker,
            time.monotonic(),
            pool,
            choose,
            is_abandoned,
            tokens,
            is_held_back,
        )
        self._entries[entry] = None
        self._wake.set()
        try:
            await entry.done.wait()
        except BaseException:
            if entry.endpoint is not None:
                self._engines.record_end(entry.endpoint)
            raise
        finally:
            self._entries.pop(entry, None)
        if entry.error is not None:
            raise entry.error
        return entry.endpoint

    def wake(self) -> None:
        """Assign engines without waiting for the next check."""
        self._wake.set()

    def assign_engines(self) -> None:
        """Assign engines by rank, then probe runs in the reverse order."""
        now = time.monotonic()
        if now - self._ranked_at >= _RANKING_INTERVAL_SECONDS:
            self._ranked_at = now
            for entry in self._entries:
                with _errors_of(entry):
                    entry.rank = entry.ranker(now - entry.waiting_since)
        entries = sorted(self._entries, key=lambda entry: entry.rank)
        self._assign_pass(entries, now, allow_probe=False)
        # Probes show which engines accept runs again. Engines refuse items
        # that are larger than their memory each time, so the smallest items
        # make probes, and of these the least urgent ones.
        probes = sorted(entries[::-1], key=lambda entry: entry.tokens)
        self._assign_pass(probes, now, allow_probe=True)
        self._entries = {e: None for e in entries if not e.done.is_set()}

    def _assign_pass(
        self, entries: list[_Entry], now: float, allow_probe: bool
    ) -> None:
        # Tokens of the smallest item of each pool that got no engine. Smaller
        # ones may get one, and so may overdue ones.
        refused_tokens: dict[tuple[str, bool], int] = {}
        for entry in entries:
            is_overdue = now - entry.waiting_since >= OVERDUE_SECONDS
            refused = refused_tokens.get((entry.pool, is_overdue))
            if entry.done.is_set() or (
                refused is not None and entry.tokens >= refused
            ):
                continue
            with _errors_of(entry):
                if entry.is_abandoned():
                    entry.done.set()
                elif not (
                    self._try_assign(entry, allow_probe)
                    or entry.is_held_back()
                ):
                    refused_tokens[entry.pool, is_overdue] = entry.tokens

    def _try_assign(self, entry: _Entry, allow_probe: bool) -> bool:
        entry.endpoint = entry.choose(allow_probe=allow_probe)
        if entry.endpoint is None:
            return False
        self._engines.record_start(entry.endpoint, entry.tokens)
        entry.done.set()
        return True
