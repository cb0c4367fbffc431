"""Limit how many engines one item can end.

An item that makes its engine crash is tried again elsewhere, and its engine
mostly ran other items too. Those that were there spread over the engines, so
that the next crash tells them apart.
"""

import collections
import logging
import time
import typing

from hibiscussaddle.batches import item_trials
from hibiscussaddle.batches import model
from hibiscussaddle.endpoint_ends import decision
from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.routes import suspects

_LOG = logging.getLogger(__name__)

# An item under which as many engines ended waits for an engine without
# another such item, since the two could not be told apart.
_ISOLATED_ENDED: typing.Final = 2
# An item under which as many engines ended is held, but for single trials.
# Items that are innocent share an engine with others, so one more than for a
# request.
MAX_ENDED: typing.Final = item_trials.MAX_ENDED
# Such an item waits no longer for an engine of its own, since engines may end
# for other reasons all the time.
MAX_ISOLATION_SECONDS: typing.Final = 2.0
# It waits until no engine has ended for this long, so that one that ends for
# another reason is not taken as evidence against it.
_CALM_SECONDS: typing.Final = 1.0


class Checker(typing.Protocol):
    """Decide whether engines have ended."""

    async def check(self, endpoint: endpoints.Endpoint) -> decision.Verdict:
        """Return what is known of an engine whose connection broke."""


class _NoChecker:
    """Take no engine for one that ended."""

    async def check(self, endpoint: endpoints.Endpoint) -> decision.Verdict:
        """Return that the engine may live."""
        del endpoint
        return decision.Verdict.SUSPECTED


class SuspectItems:
    """Track the items under which engines ended, and where they run."""

    def __init__(
        self,
        known: suspects.Suspects | None = None,
        end_checker: Checker | None = None,
    ) -> None:
        """Share the table of requests under which endpoints ended.

        Without a checker no engine counts as ended.
        """
        # An empty table counts as false.
        self._known = suspects.Suspects() if known is None else known
        self._end_checker = end_checker or _NoChecker()
        # Engine of each suspect that runs there without an event of this run,
        # or is about to.
        self._engines: dict[suspects.Fingerprint, str] = {}
        # Last event of the text at which each suspect's engine ended.
        self._ended_after: dict[suspects.Fingerprint, int] = {}
        # Monotonic seconds at which the newest end of an engine was found.
        self._ended_at = float("-inf")

    def ended_count(self, batch: model.Batch, item: model.Item) -> int:
        """Return under how many runs of an item its engine ended.

        Ends that are only suspected count for a short time.
        """
        # Usually there is none, and a long body takes a while to hash.
        if not self._known:
            return 0
        own = _fingerprint(batch, item)
        now = time.monotonic()
        return self._known.ended_count(own, now) + self._known.pending_count(
            own, now
        )

    def is_marked(self, batch: model.Batch, item: model.Item) -> bool:
        """Return whether an item must not run now.

        That is until its next trial is due, or until it is known whether one
        more engine ended under it.
        """
        if not self._known:
            return False
        now = time.monotonic()
        own = _fingerprint(batch, item)
        ended = self._known.ended_count(own, now)
        pending = self._known.pending_count(own, now)
        if pending and ended + pending >= MAX_ENDED:
            return True
        ended_at = self._known.last_ended_at(own, now)
        return item_trials.is_held(ended, ended_at, now)

    def ended_lifetimes(
        self, batch: model.Batch, item: model.Item
    ) -> tuple[suspects.Lifetime, ...]:
        """Return the lifetimes of engines that ended under an item."""
        return self._known.lifetimes(_fingerprint(batch, item))

    def last_ended_at(self, batch: model.Batch, item: model.Item) -> float:
        """Return the monotonic seconds of the newest end, or -inf."""
        if not self._known:
            return float("-inf")
        return self._known.last_ended_at(
            _fingerprint(batch, item), time.monotonic()
        )

    def must_be_alone(
        self, batch: model.Batch, item: model.Item, waited: float = 0.0
    ) -> bool:
        """Return whether an item waits for an engine without a suspect.

        It no longer does so after it waited for some seconds.
        """
        return (
            self.ended_count(batch, item) >= _ISOLATED_ENDED
            and waited < MAX_ISOLATION_SECONDS
        )

    def is_calm(self, now: float) -> bool:
        """Return whether no engine has ended under an item recently."""
        return now - self._ended_at >= _CALM_SECONDS

    def avoided_engines(
        self,
        batch: model.Batch,
        item: model.Item,
        candidates: typing.Iterable[endpoints.Endpoint],
        waited: float = 0.0,
    ) -> frozenset[str]:
        """Return the engines with more suspects than the others.

        For an item that must be alone these are all with a suspect.
        """
        own = _fingerprint(batch, item)
        counts = collections.Counter(
            engine for known, engine in self._engines.items() if known != own
        )
        if self.must_be_alone(batch, item, waited):
            return frozenset(counts)
        ids = [endpoint.id for endpoint in candidates]
        least = min((counts[name] for name in ids), default=0)
        return frozenset(name for name in ids if counts[name] > least)

    def reserve(
        self, batch: model.Batch, item: model.Item, endpoint_id: str
    ) -> None:
        """Record the engine of a suspect until release()."""
        self._engines[_fingerprint(batch, item)] = endpoint_id

    def release(self, batch: model.Batch, item: model.Item) -> None:
        """Record that a suspect is at no engine any more."""
        if self._engines:
            self._engines.pop(_fingerprint(batch, item), None)

    def record_first_event(
        self, batch: model.Batch, item: model.Item, event_id: int
    ) -> None:
        """Record that an engine survived the start of a run.

        An end of the engine is no evidence against the item from now on, so
        other suspects may join it there. An item whose text goes on after the
        event at which engines ended didn't end them.
        """
        self.release(batch, item)
        if not self._known:
            return
        own = _fingerprint(batch, item)
        # Another instance may have found the ends, at an unknown event.
        if event_id > self._ended_after.get(own, 0):
            self._clear(own)

    def record_complete(self, batch: model.Batch, item: model.Item) -> None:
        """Record that an engine survived a whole run."""
        if self._known:
            self._clear(_fingerprint(batch, item))

    def _clear(self, fingerprint: suspects.Fingerprint) -> None:
        self._known.record_response(fingerprint)
        self._ended_after.pop(fingerprint, None)

    async def check_end(
        self,
        batch: model.Batch,
        item: model.Item,
        endpoint: endpoints.Endpoint,
        last_event_id: int = 0,
    ) -> None:
        """Record whether the engine ended under a run that broke off.

        The event is the last one of the text, 0 without a text.
        """
        broke_at = time.monotonic()
        own = _fingerprint(batch, item)
        lifetime = (endpoint.id, endpoint.incarnation)
        verdict = decision.Verdict.SUSPECTED
        try:
            verdict = await self._end_checker.check(endpoint)
        finally:
            # A stop of the batch, or a move, may end the check.
            if verdict is decision.Verdict.SUSPECTED:
                self._known.record_suspicion(own, lifetime, broke_at)
        if verdict is decision.Verdict.LIVES:
            self._known.record_suspicion(
                own, lifetime, broke_at, is_refuted=True
            )
        if verdict in (decision.Verdict.LIVES, decision.Verdict.LEFT):
            return
        if len(self._ended_after) >= suspects.MAX_REQUESTS:
            # Without it, any event clears an item.
            self._ended_after.clear()
        self._ended_after[own] = last_event_id
        if verdict is decision.Verdict.SUSPECTED:
            self._log_end("engine_suspected", batch, item, endpoint)
            return
        self._ended_at = time.monotonic()
        age = self._ended_at - broke_at
        self._known.record_end(own, lifetime, self._ended_at, age)
        is_marked = self.ended_count(batch, item) >= MAX_ENDED
        event = "item_marked" if is_marked else "engine_ended"
        self._log_end(event, batch, item, endpoint)

    def _log_end(
        self,
        event: str,
        batch: model.Batch,
        item: model.Item,
        endpoint: endpoints.Endpoint,
    ) -> None:
        logs.event(
            _LOG,
            event,
            logging.WARNING,
            batch=batch.id,
            item=item.id,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            ended=self.ended_count(batch, item),
        )


def _fingerprint(batch: model.Batch, item: model.Item) -> suspects.Fingerprint:
    return suspects.fingerprint("POST", batch.host, item.path, item.body)
