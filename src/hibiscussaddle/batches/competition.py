"""Compare the unfinished batches of an instance that share engines."""

import collections
from collections import abc
import logging
import time
import typing

from hibiscussaddle import containment
from hibiscussaddle import logs
from hibiscussaddle.scheduling import lengths
from hibiscussaddle.scheduling import order

_LOG = logging.getLogger(__name__)

# Interval between decisions about the groups that give way.
_DECISION_INTERVAL_SECONDS: typing.Final = 0.1
# The same as a multiple of the time that the last decision took, which grows
# with the groups of all batches.
_DECISION_REST_FACTOR: typing.Final = 20.0
# An engine that loads weights runs no new items for about a second. Room that
# was there this recently counts, so that no group gives way for a load.
_ROOM_MEMORY_SECONDS: typing.Final = 2.0


class Competition:
    """Decide which groups of the batches that share engines give way."""

    def __init__(self) -> None:
        """Start without batches."""
        # Size of an event, by route.
        self._lengths: dict[str, lengths.LengthModel] = {}
        # Unfinished work of each batch, by the engines that it competes for.
        self._batches: dict[
            str, dict[str, abc.Callable[[], order.BatchWork]]
        ] = {}
        self._giving_way: dict[str, frozenset[tuple[str, str]]] = {}
        # Monotonic seconds of the next decision, by pool.
        self._decide_at: dict[str, float] = {}
        # Monotonic seconds and events a second, by pool.
        self._room: dict[str, collections.deque[tuple[float, float]]] = {}
        # Seconds that items waited for engines, by route.
        self.waiting_seconds: dict[str, float] = {}
        # Events of completed items, by route and whether they were expected
        # or generated.
        self.events: collections.Counter[tuple[str, str]]
        self.events = collections.Counter()

    def record_wait(self, route: str, seconds: float) -> None:
        """Count the seconds that an item waited for an engine."""
        total = self.waiting_seconds.get(route, 0.0) + seconds
        self.waiting_seconds[route] = total

    def record_length(
        self, route: str, expected_tokens: float | None, generated: int
    ) -> float:
        """Count the events of a completed item; return the expected ones."""
        model = self.lengths(route)
        expected = model.expected_events(expected_tokens)
        model.observe(expected_tokens, generated)
        self.events[route, "expected"] += round(expected)
        self.events[route, "generated"] += generated
        return expected

    def lengths(self, route: str) -> lengths.LengthModel:
        """Return what finished items show of a route's lengths."""
        return self._lengths.setdefault(route, lengths.LengthModel())

    def join(
        self,
        pool: str,
        batch_id: str,
        work: abc.Callable[[], order.BatchWork],
    ) -> None:
        """Add a batch that competes for the engines of a pool."""
        self._batches.setdefault(pool, {})[batch_id] = work

    def leave(self, pool: str, batch_id: str) -> None:
        """Remove a batch."""
        batches = self._batches.get(pool, {})
        batches.pop(batch_id, None)
        if not batches:
            self._batches.pop(pool, None)
            self._giving_way.pop(pool, None)
            self._decide_at.pop(pool, None)
            self._room.pop(pool, None)

    def gives_way(
        self,
        pool: str,
        batch_id: str,
        group: str,
        events_per_second: abc.Callable[[], float],
    ) -> bool:
        """Return whether a group's items come after those of others."""
        now = time.monotonic()
        if now >= self._decide_at.get(pool, 0.0):
            room = self._room.setdefault(pool, collections.deque())
            room.append((now, events_per_second()))
            while now - room[0][0] > _ROOM_MEMORY_SECONDS:
                room.popleft()
            self._decide(pool, max(value for _, value in room))
            spent = time.monotonic() - now
            self._decide_at[pool] = now + max(
                _DECISION_INTERVAL_SECONDS, _DECISION_REST_FACTOR * spent
            )
        return (batch_id, group) in self._giving_way.get(pool, ())

    def _decide(self, pool: str, events_per_second: float) -> None:
        batches: list[order.BatchWork] = []
        for batch_id, work in self._batches.get(pool, {}).items():
            # The others compete without a batch whose work is unknown.
            with containment.contain("batch_work", batch_id):
                batches.append(work())
        now = time.time()
        before = self._giving_way.get(pool, frozenset())
        after = order.groups_giving_way(batches, events_per_second, now)
        self._giving_way[pool] = after
        if before == after:
            return
        for batch in batches:
            changed = {
                is_giving_way: sorted(
                    group
                    for batch_id, group in groups
                    if batch_id == batch.batch_id
                )
                for is_giving_way, groups in (
                    (True, after - before),
                    (False, before - after),
                )
            }
            if any(changed.values()):
                logs.event(
                    _LOG,
                    "groups_give_way",
                    batch=batch.batch_id,
                    groups=changed[True],
                    groups_back=changed[False],
                    missing=batch.missing_groups,
                    events_left=sum(g.events_left for g in batch.groups),
                    events_per_second=events_per_second,
                    seconds_left=batch.due_at - now,
                )
