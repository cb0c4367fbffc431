"""Follow the keys of one prefix of the store."""

from collections import abc
import logging
import random
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import change_log
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

Handler: typing.TypeAlias = abc.Callable[[list[store.StoreEntry]], None]

# Waits between attempts while the store fails, in seconds: short against
# the two seconds within which a configuration must be in force.
FIRST_RETRY: typing.Final = 0.1
_LONGEST_RETRY: typing.Final = 0.6


class Feed:
    """Give every key of a prefix, then each change."""

    def __init__(
        self,
        client: store.StoreClient,
        prefix: str,
        on_listing: Handler,
        on_changes: Handler,
        wait: float,
        pause: float = 0.0,
        on_failure: abc.Callable[[], None] = lambda: None,
        log: change_log.ChangeLog | None = None,
    ) -> None:
        """Set the longest wait of a watch and the pause after one.

        Both are in seconds. A pause gathers changes that come singly, since
        each answer of the store counts as one call.
        """
        self.prefix = prefix
        # Monotonic seconds of the newest answer.
        self.current_at: float | None = None
        # Monotonic seconds of the newest failure.
        self.failed_at = float("-inf")
        # What followers of this instance read.
        self.log = log or change_log.ChangeLog()
        # Called after each step, with whether anything changed.
        self.on_step: abc.Callable[[bool], None] = lambda _: None
        self._client = client
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._wait = wait
        self._pause = pause
        self._on_failure = on_failure
        self._after: int | None = None
        self._backoff = store.Backoff(
            random.Random(), FIRST_RETRY, _LONGEST_RETRY
        )
        self._is_suspended = False
        self._resumed = anyio.Event()
        self._call: anyio.CancelScope | None = None

    @property
    def after(self) -> int | None:
        """Return the revision that is known, None before the first one."""
        return self._after

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            if self._is_suspended:
                await self._resumed.wait()
            with anyio.CancelScope() as self._call:
                failure = await self.step()
                if failure is None:
                    self._backoff.reset()
                    await anyio.sleep(self._pause)
                else:
                    await anyio.sleep(self._backoff.next())

    def suspend(self) -> None:
        """Call the store no more, since a peer passes its changes on."""
        if not self._is_suspended:
            self._is_suspended = True
            self._resumed = anyio.Event()
            if self._call is not None:
                self._call.cancel()

    def resume(self) -> None:
        """Call the store again, beginning with a listing.

        A watch may hear nothing while the store drops its history, which is
        also when readers fail.
        """
        if self._is_suspended:
            self._is_suspended = False
            self._after = None
            self._resumed.set()

    async def step(self) -> store.StoreFailure | None:
        """Make one call; return why it failed."""
        is_listing = self._after is None
        if self._after is None:
            answer = await self._client.scan(self.prefix)
        else:
            # On a connection that went silent a call hangs for all of its
            # wait, so none waits until the store answers again.
            wait = 0.0 if self.is_failing() else self._wait
            answer = await self._client.watch(self.prefix, self._after, wait)
        if isinstance(answer, result.Err):
            return self._fail(answer.err_value.failure)
        entries, revision = answer.ok_value
        if not is_listing and revision < (self._after or 0):
            # An answer from before what is known is not the newest state.
            return self._fail(store.StoreFailure.UNKNOWN)
        page = change_log.Page(tuple(entries), revision, is_listing)
        self.apply(page, time.monotonic())
        return None

    def apply(self, page: change_log.Page, now: float) -> None:
        """Take a page that is at least as new as what is known."""
        if self.failed_at != float("-inf") and self.is_failing():
            logs.event(_LOG, "store_regained", prefix=self.prefix)
        self._after = page.revision
        self.current_at = now
        changed = self.log.put(page)
        handler = self._on_listing if page.is_listing else self._on_changes
        handler(list(page.entries))
        self.on_step(changed)

    def is_failing(self) -> bool:
        """Tell whether the newest call failed."""
        return self.current_at is None or self.failed_at > self.current_at

    def age(self, now: float) -> float:
        """Return the seconds since an answer was overdue, 0 if none is."""
        if self.current_at is None:
            return float("inf")
        return max(0.0, now - self.current_at - self._wait - self._pause)

    def note_outage(self) -> None:
        """Note that the store failed the instance that is followed."""
        self._on_failure()

    def _fail(self, failure: store.StoreFailure) -> store.StoreFailure:
        if not self.is_failing() or self.failed_at == float("-inf"):
            logs.event(
                _LOG,
                "store_lost",
                logging.WARNING,
                prefix=self.prefix,
                why=failure.value,
            )
        self.failed_at = time.monotonic()
        self._on_failure()
        if failure is store.StoreFailure.HISTORY_GONE:
            self._after = None
        self.on_step(False)
        return failure
