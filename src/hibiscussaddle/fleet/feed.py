"""Watch the keys of one prefix of the store."""

from collections import abc
import logging
import random
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import clocks
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import confirmation as confirmation_lib
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

Handler: typing.TypeAlias = abc.Callable[[list[store.StoreEntry]], None]

# Bounds of the backoff while the store fails: short compared with the two
# seconds within which a configuration must be in force.
FIRST_RETRY_SECONDS: typing.Final = 0.1
_LONGEST_RETRY_SECONDS: typing.Final = 0.6
# With a confirmation, a listing replaces a watch at this interval. A watch may
# miss changes while the store drops its history, and a listing misses none.
# Shorter than the time within which a revoked key must stop working, and than
# the history of the store, so that no watch starts before it.
_RELIST_SECONDS: typing.Final = 3.0
# Interval at which a feed that nothing uses checks whether that changed.
_NEED_CHECK_SECONDS: typing.Final = 0.2


class Feed:
    """Pass every key of a prefix to handlers, then each change."""

    def __init__(
        self,
        client: store.StoreClient,
        prefix: str,
        on_listing: Handler,
        on_changes: Handler,
        wait: float,
        pause: float = 0.0,
        on_failure: abc.Callable[[], None] = lambda: None,
        changes: change_log.ChangeLog | None = None,
        confirmation: confirmation_lib.Confirmation | None = None,
        relist: float | None = None,
    ) -> None:
        """Set the longest wait of a watch and the pause after each one.

        Both are in seconds. The pause coalesces single changes, since each
        response of the store counts as one call. A listing replaces a watch
        each `relist` seconds, or at a fixed interval with a confirmation.
        """
        self.prefix = prefix
        # Monotonic time of the latest response, in seconds.
        self.last_success_at: float | None = None
        # Monotonic time of the latest failure, in seconds.
        self.last_failure_at = float("-inf")
        # Monotonic time of the latest failure of the store, in seconds. One
        # watch that breaks off is none.
        self.last_outage_at = float("-inf")
        # Monotonic time of the latest complete listing, in seconds.
        self.last_listing_at = float("-inf")
        # Changes that followers of this instance read.
        self.change_log = changes or change_log.ChangeLog()
        # Records which responses confirmed the keys; None if their age doesn't
        # matter.
        self.confirmation = confirmation
        # Returns whether any part of the instance uses the keys now. The store
        # isn't called for others.
        self.is_needed: abc.Callable[[], bool] = lambda: True
        # Called with each response of the store, also an empty one, and the
        # monotonic seconds at which the request was sent.
        self.on_response: abc.Callable[[float, change_log.Page], None]
        self.on_response = lambda *_: None
        # Called after each poll with whether anything changed.
        self.on_poll: abc.Callable[[bool], None] = lambda _: None
        self._client = client
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._wait_seconds = wait
        self._pause_seconds = pause
        self._on_failure = on_failure
        if confirmation is not None:
            relist = _RELIST_SECONDS
        self._relist_seconds = relist
        self._revision: int | None = None
        # Revision after which watches start with a confirmation, and the time
        # of the newest listing in seconds of clocks.boot_seconds().
        self._watched_after = 0
        self._listed_at = float("-inf")
        self._backoff = store.Backoff(
            random.Random(), FIRST_RETRY_SECONDS, _LONGEST_RETRY_SECONDS
        )
        self._is_suspended = False
        self._resumed = anyio.Event()
        self._call_scope: anyio.CancelScope | None = None

    @property
    def revision(self) -> int | None:
        """Return the newest known revision; None before the first listing."""
        return self._revision

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        while True:
            if self._is_suspended:
                await self._resumed.wait()
            if not self.is_needed():
                await anyio.sleep(_NEED_CHECK_SECONDS)
                continue
            with anyio.CancelScope() as self._call_scope:
                failure = await self.poll_once()
                if failure is None:
                    self._backoff.reset()
                    await anyio.sleep(self._pause_seconds)
                else:
                    await anyio.sleep(self._backoff.next())

    def suspend(self) -> None:
        """Stop calling the store, since a peer passes on its changes."""
        if not self._is_suspended:
            self._is_suspended = True
            self._resumed = anyio.Event()
            if self._call_scope is not None:
                self._call_scope.cancel()

    def resume(self) -> None:
        """Call the store again, beginning with a listing.

        Followed readers often fail while the store drops its history, and a
        watch may receive no changes at that time.
        """
        if self._is_suspended:
            self._is_suspended = False
            self._revision = None
            self._resumed.set()

    async def poll_once(self) -> store.StoreFailure | None:
        """Make one store call; return the failure, if any."""
        is_listing = self._revision is None
        sent_at = clocks.boot_seconds()
        sent_at_monotonic = time.monotonic()
        is_check = self._is_check_due(sent_at)
        if self._revision is None or is_check:
            response = await self._client.scan(self.prefix)
        else:
            # A call on a connection that loses packets silently hangs for its
            # whole wait, so calls don't wait until the store responds again.
            # A process that was suspended needs a response at once, too.
            wait = 0.0
            if not self.is_failing() and not self._is_stale(sent_at):
                wait = self._wait_seconds
            # An empty response may come from a watch that missed changes, so
            # it doesn't advance the revision after which the next one starts.
            after = self._revision
            if self.confirmation is not None:
                after = self._watched_after
            response = await self._client.watch(self.prefix, after, wait)
        if isinstance(response, result.Err):
            return self._record_failure(response.err_value.failure)
        entries, revision = response.ok_value
        if revision < self._newest_known_revision():
            # A response older than the known revision is not the newest state.
            # It may also be a listing that a page of the reader has overtaken.
            return self._record_failure(store.StoreFailure.UNKNOWN)
        if is_check and not is_listing:
            entries = entries + self.change_log.removals(entries, revision)
        if is_listing or is_check:
            self._listed_at = sent_at
        if is_listing or is_check or entries:
            self._watched_after = revision
        page = change_log.Page(tuple(entries), revision, is_listing)
        self.on_response(sent_at_monotonic, page)
        self.apply(page, time.monotonic(), sent_at)
        return None

    def _is_check_due(self, now: float) -> bool:
        return (
            self._relist_seconds is not None
            and now - self._listed_at >= self._relist_seconds
        )

    def _newest_known_revision(self) -> int:
        known = self._revision or 0
        if self.confirmation is None:
            return known
        return max(known, self.confirmation.revision)

    def _is_stale(self, now: float) -> bool:
        return self.confirmation is not None and (
            not self.confirmation.is_fresh(now)
        )

    def apply(
        self,
        page: change_log.Page,
        now: float,
        confirmed_at: float | None = None,
    ) -> None:
        """Apply a page that is at least as new as the known revision.

        It holds all changes acknowledged before `confirmed_at`, in seconds of
        clocks.boot_seconds(); None if that is unknown.
        """
        if self.last_failure_at != float("-inf") and self.is_failing():
            logs.event(_LOG, "store_regained", prefix=self.prefix)
        self._revision = page.revision
        self.last_success_at = now
        changed = self.change_log.apply(page)
        if page.is_listing:
            self.last_listing_at = now
        handler = self._on_listing if page.is_listing else self._on_changes
        handler(list(page.entries))
        if self.confirmation is not None and confirmed_at is not None:
            self.confirmation.confirm(confirmed_at, page.revision)
        self.on_poll(changed)

    def is_failing(self) -> bool:
        """Return whether the latest call failed or none has succeeded."""
        return (
            self.last_success_at is None
            or self.last_failure_at > self.last_success_at
        )

    def steady_seconds(self, now: float) -> float:
        """Return the seconds since the latest failure or new listing.

        The result is 0 while the newest state isn't known.
        """
        if self._revision is None or self.is_failing():
            return 0.0
        return now - max(self.last_failure_at, self.last_listing_at)

    def overdue_seconds(self, now: float) -> float:
        """Return how many seconds the next response is overdue.

        The result is 0 if none is overdue and infinite before the first one.
        """
        if self.last_success_at is None:
            return float("inf")
        return max(
            0.0,
            now
            - self.last_success_at
            - self._wait_seconds
            - self._pause_seconds,
        )

    def record_outage(self) -> None:
        """Record a store failure that the followed instance reported."""
        self._on_failure()

    def _record_failure(
        self, failure: store.StoreFailure
    ) -> store.StoreFailure:
        if not self.is_failing() or self.last_failure_at == float("-inf"):
            logs.event(
                _LOG,
                "store_lost",
                logging.WARNING,
                prefix=self.prefix,
                why=failure.value,
            )
        is_repeated = self.is_failing()
        self.last_failure_at = time.monotonic()
        # The store may cut a waiting watch or drop its history. Entries that
        # vanish then have not expired in an outage and are gone.
        if is_repeated or failure is store.StoreFailure.UNAVAILABLE:
            self.last_outage_at = self.last_failure_at
            self._on_failure()
        if failure is store.StoreFailure.HISTORY_GONE:
            self._revision = None
        self.on_poll(False)
        return failure
