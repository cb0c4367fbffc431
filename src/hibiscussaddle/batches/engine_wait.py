"""Wait for the engine of an item's next run."""

import collections
from collections import abc
import functools
import logging
import time

import anyio

from hibiscussaddle.batches import competition as competition_lib
from hibiscussaddle.batches import engine_choice
from hibiscussaddle.batches import item_waits
from hibiscussaddle.batches import limits as limits_lib
from hibiscussaddle.batches import model
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import suspect_items as suspect_items_lib
from hibiscussaddle.batches import unfinished_items
from hibiscussaddle.batches import waiting_items as waiting_items_lib
from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.routes import routing_config
from hibiscussaddle.scheduling import order
from hibiscussaddle.software_versions import continuation

_LOG = logging.getLogger(__name__)


class EngineWait:
    """Queue the items of one batch for engines that may run them."""

    def __init__(
        self,
        batch: model.Batch,
        choice: engine_choice.EngineChoice,
        unfinished: unfinished_items.UnfinishedItems,
        limits: limits_lib.ItemLimits,
        waiting_items: waiting_items_lib.WaitingItems,
        suspect_items: suspect_items_lib.SuspectItems,
        competition: competition_lib.Competition,
        is_confirmed: abc.Callable[[], bool],
        rank: abc.Callable[[runs.Progress, int, float], order.Rank],
    ) -> None:
        """Call is_confirmed() for whether this instance may start runs.

        rank() returns the rank of an item at its position in the batch that
        waited the given seconds.
        """
        self._batch = batch
        self._choice = choice
        self._unfinished = unfinished
        self._limits = limits
        self._waiting_items = waiting_items
        self._suspect_items = suspect_items
        self._competition = competition
        self._is_confirmed = is_confirmed
        self._rank = rank

    async def wait(
        self, progress: runs.Progress, position: int
    ) -> endpoints.Endpoint | None:
        """Return an engine with capacity, None when the item is abandoned."""
        pool = ""
        ended_at = self._suspect_items.last_ended_at(
            self._batch, progress.item
        )
        if ended_at != progress.alone_after:
            progress.alone_after = ended_at
            progress.alone_seconds = 0.0
        if self._suspect_items.must_be_alone(
            self._batch, progress.item, progress.alone_seconds
        ):
            # Each waits for an engine of its own, and others for none.
            pool += f"/{progress.item.id}"
        started = time.monotonic()
        progress.track.state = item_waits.State.WAITING
        progress.track.waiting_since = started
        if progress.idle_since is None:
            progress.idle_since = progress.last_event_at or started
        began = progress.transcript.software_version
        seconds_left = None
        if began is not None:
            pool += f"/version/{began}"
            max_wait = self._choice.max_wait_seconds(progress)
            seconds_left = max(0.0, progress.idle_since + max_wait - started)
        with anyio.move_on_after(seconds_left) as scope:
            endpoint = await self._wait_in_pool(
                progress, position, pool, started
            )
        if scope.cancelled_caught:
            endpoint = await self._wait_in_pool(
                progress, position, pool + "/anew", started, has_waited=True
            )
        waited = time.monotonic() - started
        progress.waited += waited
        if self._is_suspect(progress.item):
            # A run that is refused ends the wait, but brings no event.
            progress.alone_seconds += waited
        self._competition.record_wait(self._batch.route, waited)
        return endpoint

    def explain(
        self, progress: runs.Progress, now: float
    ) -> item_waits.Reasons:
        """Return why an item that waits for an engine gets none."""
        if not self._is_confirmed():
            return collections.Counter(
                [item_waits.Reason.OWNERSHIP_UNCONFIRMED]
            )
        suspect_items = self._suspect_items
        item = progress.item
        if suspect_items.is_marked(self._batch, item):
            return collections.Counter([item_waits.Reason.MARKED])
        waited = now - progress.track.waiting_since + progress.alone_seconds
        avoided: abc.Container[str] = ()
        # Other items are sent to avoided engines if need be.
        if suspect_items.must_be_alone(self._batch, item, waited):
            if not suspect_items.is_calm(now):
                return collections.Counter([item_waits.Reason.ENGINES_END])
            avoided = suspect_items.avoided_engines(
                self._batch,
                item,
                self._choice.continuing_candidates(progress),
                waited,
            )
        return self._choice.explain(
            progress,
            now,
            self._unfinished.events_left(progress),
            avoided,
            progress.tokens,
            _is_overdue(progress, now),
        )

    async def _wait_in_pool(
        self,
        progress: runs.Progress,
        position: int,
        pool: str,
        started: float,
        has_waited: bool = False,
    ) -> endpoints.Endpoint | None:
        """Wait for an engine beside the items that have the same choice.

        The pool is one of those of the item's service. The wait began at the
        given monotonic seconds.
        """
        item_id = progress.item.id
        route: routing_config.Route | None = None
        service = ""

        def current_pool() -> str:
            # Hashing each waiting item ten times a second takes long.
            nonlocal route, service
            current = self._choice.route()
            if current is not route:
                route = current
                service = current.service_for(item_id) if current else ""
            return f"{self._batch.id}/{service}{pool}"

        def choose(allow_probe: bool) -> endpoints.Endpoint | None:
            now = time.monotonic()
            progress.track.sought_at = now
            if not self._is_confirmed():
                return None
            waited = now - started + progress.alone_seconds
            endpoint = self._choose(
                progress,
                now,
                allow_probe,
                waited,
                self._choice.continuing_candidates(progress),
            )
            if endpoint is None:
                endpoint = self._choose_anew(
                    progress, now, allow_probe, waited, has_waited
                )
            return endpoint

        return await self._waiting_items.wait_for_engine(
            lambda waited: self._rank(progress, position, waited),
            current_pool(),
            choose,
            lambda: self._limits.is_abandoned(progress),
            progress.tokens,
            lambda: self._is_suspect(progress.item),
            progress.idle_since,
            current_pool,
        )

    def _is_suspect(self, item: model.Item) -> bool:
        """Return whether engines ended under an item."""
        return bool(self._suspect_items.ended_count(self._batch, item))

    def _choose_anew(
        self,
        progress: runs.Progress,
        now: float,
        allow_probe: bool,
        waited: float,
        has_waited: bool,
    ) -> endpoints.Endpoint | None:
        """Choose an engine that can't continue the text, and discard it."""
        transcript = progress.transcript
        if transcript.software_version is None:
            return None
        candidates = self._choice.candidates(progress.item)
        reason = continuation.discard_reason(
            transcript.software_version, candidates, has_waited
        )
        if reason is None:
            return None
        endpoint = self._choose(progress, now, allow_probe, waited, candidates)
        if endpoint is None:
            return None
        logs.event(
            _LOG,
            "text_discarded",
            batch=self._batch.id,
            item=progress.item.id,
            began=transcript.software_version,
            events=len(transcript.texts),
            endpoint=endpoint.id,
            why=reason.value,
        )
        transcript.clear()
        return endpoint

    def _choose(
        self,
        progress: runs.Progress,
        now: float,
        allow_probe: bool,
        waited: float,
        candidates: abc.Sequence[endpoints.Endpoint],
    ) -> endpoints.Endpoint | None:
        """Choose one of the engines for an item, None without capacity."""
        events_left = self._unfinished.events_left(progress)
        if self._is_suspect(progress.item):
            return self._choose_for_suspect(
                progress, now, allow_probe, events_left, waited, candidates
            )
        return self._choice.choose(
            progress,
            now,
            allow_probe,
            events_left,
            tokens=progress.tokens,
            is_overdue=_is_overdue(progress, now),
            candidates=candidates,
        )

    def _choose_for_suspect(
        self,
        progress: runs.Progress,
        now: float,
        allow_probe: bool,
        events_left: float,
        waited: float,
        candidates: abc.Sequence[endpoints.Endpoint],
    ) -> endpoints.Endpoint | None:
        """Choose an engine apart from other items that may have ended one."""
        item = progress.item
        suspect_items = self._suspect_items
        if suspect_items.is_marked(self._batch, item):
            return None
        is_alone = suspect_items.must_be_alone(self._batch, item, waited)
        if is_alone and not suspect_items.is_calm(now):
            return None
        avoided = suspect_items.avoided_engines(
            self._batch, item, candidates, waited
        )
        choose = functools.partial(
            self._choice.choose,
            progress,
            now,
            allow_probe,
            events_left,
            tokens=progress.tokens,
            is_overdue=_is_overdue(progress, now),
            candidates=candidates,
        )
        endpoint = choose(avoided_ids=avoided)
        if endpoint is None and not is_alone:
            endpoint = choose()
        if endpoint is not None:
            suspect_items.reserve(self._batch, item, endpoint.id)
        return endpoint


def _is_overdue(progress: runs.Progress, now: float) -> bool:
    """Return whether an item was idle for long, over all its waits.

    A refused run ends a wait, but brings the item to no engine.
    """
    idle_since = progress.idle_since
    if idle_since is None:
        return False
    return now - idle_since >= waiting_items_lib.OVERDUE_SECONDS
