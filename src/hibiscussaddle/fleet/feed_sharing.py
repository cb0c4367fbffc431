"""Share store watches within a zone: one reader watches, the others follow.

Every watch of every instance counts as a store call, and the call rates that
the store allows grow more slowly than the fleet. A follower whose reader
fails or falls behind watches the store itself at once.
"""

from collections import abc
import logging
import time
import typing

import anyio
import httpx
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import clocks
from hibiscussaddle import containment
from hibiscussaddle import decoding
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import confirmation as confirmation_lib
from hibiscussaddle.fleet import feed as feed_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle import logs
from hibiscussaddle.rate_limits import observed
from hibiscussaddle.routes import suspect_spread
from hibiscussaddle.routes import suspects as suspects_lib

_LOG = logging.getLogger(__name__)

CHANGES_PATH: typing.Final = "/v1/changes"
# Longest wait of a follower for changes. A draining endpoint must be known
# after two seconds, also when the reader freezes.
WAIT_SECONDS: typing.Final = 1.0
# Time beyond the wait after which a request to the reader times out.
TIMEOUT_MARGIN_SECONDS: typing.Final = 0.25
# A reader whose own store response is overdue by more than this time serves no
# followers. Waiting requests check it at the same interval.
MAX_OVERDUE_SECONDS: typing.Final = 0.2
# Delay after a reader failure until a reader is followed again: about as long
# as the reader needs to detect the failure and to call the store again.
_RETRY_SECONDS: typing.Final = 1.0
# A new instance that has not found a reader after this time reads the store
# itself.
_JOIN_TIMEOUT_SECONDS: typing.Final = 1.2
# Intervals at which a new instance checks for its own key and retries a reader
# that is not ready.
_JOIN_POLL_INTERVAL_SECONDS: typing.Final = 0.02
_JOIN_RETRY_INTERVAL_SECONDS: typing.Final = 0.1
# Interval at which an instance without a reader checks for one.
_READER_CHECK_INTERVAL_SECONDS: typing.Final = 0.5


class ChangesRequest(msgspec.Struct, frozen=True):
    """Request the changes after known revisions from a reader."""

    # Newest known revision by prefix; None requests all keys of the prefix.
    after: dict[str, int | None]
    # Longest wait for a change, in seconds.
    wait: float
    # Newest known revision of the reader's rate limits; None requests all.
    limits_after: int | None = None
    # Newest known revision of the reader's suspects; None requests all.
    suspects_after: int | None = None


class ChangesResponse(msgspec.Struct, frozen=True):
    """Carry changes to a follower."""

    pages: dict[str, change_log.Page]
    # Seconds since the store last failed for the reader; None if it never did.
    failed_ago: float | None
    # Rate limits of endpoints, which the response doesn't wait for.
    limits: tuple[observed.LimitReport, ...] = ()
    limits_revision: int = 0
    # Requests under which endpoints ended, which end the wait.
    suspects: tuple[suspects_lib.Evidence, ...] = ()
    suspects_revision: int = 0
    # Age of the reader's knowledge of the operator's documents at the arrival
    # of the request, in seconds. Left out of the encoding while unknown.
    age_at_arrival: float | msgspec.UnsetType = msgspec.UNSET


def _find_confirmation(
    feeds: abc.Iterable[feed_lib.Feed],
) -> confirmation_lib.Confirmation | None:
    return next(
        (f.confirmation for f in feeds if f.confirmation is not None), None
    )


class ZoneReader:
    """Serve the changes that this instance reads from the store."""

    def __init__(
        self,
        feeds: abc.Sequence[feed_lib.Feed],
        limits: observed.ObservedLimits,
        suspects: suspects_lib.Suspects,
    ) -> None:
        """Share what this instance knows."""
        self._limits = limits
        self._suspects = suspects
        suspects.on_change = self._notify
        self._feeds = {feed.prefix: feed for feed in feeds}
        self._confirmation = _find_confirmation(feeds)
        self._changed = anyio.Event()
        for feed in feeds:
            feed.on_poll = self._on_feed_poll

    def _on_feed_poll(self, changed: bool) -> None:
        is_confirmed = self._confirmation is not None
        if changed or is_confirmed or not self.is_current(time.monotonic()):
            self._notify()

    def _notify(self) -> None:
        changed_event, self._changed = self._changed, anyio.Event()
        changed_event.set()

    def is_current(self, now: float) -> bool:
        """Return whether this instance knows the newest state."""
        return not any(
            feed.is_failing()
            or feed.overdue_seconds(now) > MAX_OVERDUE_SECONDS
            for feed in self._feeds.values()
            if feed.is_needed()
        )

    async def wait_for_changes(
        self, request: ChangesRequest
    ) -> ChangesResponse | None:
        """Return changes once there are any; None if this reader is stale.

        A confirmation that the operator's documents are current ends the wait
        as well, so that followers know them for about as long as the reader.
        """
        arrived_at = clocks.boot_seconds()
        confirmed_at = self._confirmed_at()
        deadline = time.monotonic() + min(request.wait, WAIT_SECONDS)
        while True:
            now = time.monotonic()
            if not self.is_current(now) or not request.after.keys() <= (
                self._feeds.keys()
            ):
                return None
            if self._has_changes(request) or now >= deadline:
                break
            if self._confirmed_at() != confirmed_at:
                break
            # Wakes up periodically, since an overdue response sets no event.
            with anyio.move_on_after(min(deadline - now, MAX_OVERDUE_SECONDS)):
                await self._changed.wait()
        if self._is_behind(request):
            return None
        return self._create_response(request, time.monotonic(), arrived_at)

    def _confirmed_at(self) -> float | None:
        if self._confirmation is None:
            return None
        return self._confirmation.confirmed_at

    def _has_changes(self, request: ChangesRequest) -> bool:
        known = request.suspects_after
        if known is not None and self._suspects.revision > known:
            return not self._is_behind(request)
        return not self._is_behind(request) and any(
            after is None
            or self._feeds[prefix].change_log.changes_after(after).entries
            for prefix, after in request.after.items()
        )

    def _is_behind(self, request: ChangesRequest) -> bool:
        """Return whether this reader knows less than the follower."""
        return any(
            (after or 0) > self._feeds[prefix].change_log.revision
            for prefix, after in request.after.items()
        )

    def _create_response(
        self, request: ChangesRequest, now: float, arrived_at: float
    ) -> ChangesResponse:
        pages = {
            prefix: self._feeds[prefix].change_log.changes_after(after)
            for prefix, after in request.after.items()
        }
        last_outage_at = max(
            feed.last_outage_at for feed in self._feeds.values()
        )
        failed_ago = (
            None if last_outage_at == float("-inf") else now - last_outage_at
        )
        age: float | msgspec.UnsetType = msgspec.UNSET
        if self._confirmation is not None and (
            self._confirmation.confirmed_at is not None
        ):
            age = self._confirmation.age(arrived_at)
        return ChangesResponse(
            pages,
            failed_ago,
            self._limits.changes_after(request.limits_after, now),
            self._limits.revision,
            self._suspects.changes_after(request.suspects_after, now),
            self._suspects.revision,
            age,
        )


class Follower:
    """Follow the reader of the own zone while that reader is current."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        members: presence.Members,
        feeds: abc.Sequence[feed_lib.Feed],
        limits: observed.ObservedLimits,
        suspects: suspects_lib.Suspects,
    ) -> None:
        """Start without a reader; every feed calls the store itself."""
        self._limits = limits
        self._limits_revision: int | None = None
        self._suspects = suspects
        self._suspects_revision: int | None = None
        self._client = client
        self._members = members
        self._feeds = feeds
        self._confirmation = _find_confirmation(feeds)
        # Instance whose changes are applied; empty while there is none.
        self.followed_reader = ""
        # Called when the followed reader fails.
        self.on_failure: abc.Callable[[], None] = lambda: None
        self._is_joining = False

    def suspend_feeds(self) -> None:
        """Suspend all feeds until run() has looked for a reader."""
        self._is_joining = True
        for feed in self._feeds:
            feed.suspend()

    async def run(self) -> None:
        """Follow a reader whenever there is one until cancelled."""
        if self._is_joining:
            with anyio.move_on_after(_JOIN_TIMEOUT_SECONDS):
                await self._join()
            if not self.followed_reader:
                self._stop_following("")
        while True:
            reader = self._members.zone_reader()
            if reader is None or any(
                f.revision is None for f in self._feeds if f.is_needed()
            ):
                self._stop_following("")
                await anyio.sleep(_READER_CHECK_INTERVAL_SECONDS)
                continue
            why = await self._poll(reader)
            if why:
                self._stop_following(why)
                await anyio.sleep(_RETRY_SECONDS)

    async def _join(self) -> None:
        """Fetch the initial state from the zone's reader if there is one.

        Returns without a reader when this instance must read the store itself.
        """
        member_feed = next(
            feed
            for feed in self._feeds
            if presence.PREFIX.startswith(feed.prefix)
        )
        await self._members.registered.wait()
        member_feed.resume()
        while self._members.me.instance not in self._members.all:
            await anyio.sleep(_JOIN_POLL_INTERVAL_SECONDS)
        member_feed.suspend()
        while (reader := self._members.zone_reader()) is not None:
            if not await self._poll(reader):
                return
            # The reader may have just started and still be listing the keys.
            await anyio.sleep(_JOIN_RETRY_INTERVAL_SECONDS)

    def _stop_following(self, why: str) -> None:
        """Stop following and let every feed call the store itself."""
        if self.followed_reader:
            logs.event(
                _LOG,
                "reader_left",
                reader=self.followed_reader,
                why=why or "-",
            )
            self.followed_reader = ""
            if why:
                self.on_failure()
        for feed in self._feeds:
            feed.resume()

    async def _poll(self, reader: presence.Member) -> str:
        """Apply changes from a reader; return the reason of a failure."""
        # The first request doesn't wait, as its response shows whether the
        # reader is current.
        is_following = self.followed_reader == reader.instance
        sent_at_boot = clocks.boot_seconds()
        wait = 0.0
        if is_following and self._knows_fresh_keys(sent_at_boot):
            wait = WAIT_SECONDS
        request = ChangesRequest(
            {f.prefix: f.revision for f in self._feeds if f.is_needed()},
            wait,
            self._limits_revision if is_following else None,
            self._suspects_revision if is_following else None,
        )
        limit = wait + TIMEOUT_MARGIN_SECONDS
        sent_at = time.monotonic()
        try:
            with anyio.fail_after(limit):
                http_response = await self._client.post(
                    f"http://{reader.peer_address}{CHANGES_PATH}",
                    content=msgspec.msgpack.encode(request),
                    timeout=limit,
                )
            http_response.raise_for_status()
            response = decoding.decode_msgpack(
                http_response.content, ChangesResponse
            )
        except (httpx.HTTPError, TimeoutError, ValueError) as exc:
            return str(exc) or type(exc).__name__
        if self._confirmation is not None and (
            response.age_at_arrival is msgspec.UNSET
        ):
            return "the reader does not tell the age of its knowledge"
        is_applied = False
        with containment.contain("changes", reader.instance):
            self._apply_response(response, sent_at, sent_at_boot)
            is_applied = True
        if not is_applied:
            return "the changes could not be applied"
        # After a wait, this process may have been suspended; the next request
        # then doesn't wait.
        if not wait and not self._knows_fresh_keys(clocks.boot_seconds()):
            return "the reader's knowledge is too old"
        if self.followed_reader != reader.instance:
            self.followed_reader = reader.instance
            logs.event(_LOG, "reader_followed", reader=reader.instance)
        return ""

    def _knows_fresh_keys(self, now: float) -> bool:
        return self._confirmation is None or self._confirmation.is_fresh(now)

    def _apply_response(
        self, response: ChangesResponse, sent_at: float, sent_at_boot: float
    ) -> None:
        now = time.monotonic()
        confirmed_at = None
        if response.age_at_arrival is not msgspec.UNSET:
            confirmed_at = sent_at_boot - response.age_at_arrival
        for report in response.limits:
            self._limits.apply_report(report, now, "reader")
        self._limits_revision = response.limits_revision
        suspect_spread.apply_all(self._suspects, response.suspects)
        self._suspects_revision = response.suspects_revision
        for feed in self._feeds:
            page = response.pages.get(feed.prefix)
            if page is None or page.revision < (feed.revision or 0):
                continue
            # Record the outage before the changes, so that entries that
            # expired during it are kept.
            if response.failed_ago is not None and (
                now - response.failed_ago >= sent_at
            ):
                feed.record_outage()
            feed.suspend()
            feed.apply(page, now, confirmed_at)


def create_route(reader: ZoneReader) -> routing.Route:
    """Return the HTTP route from which followers fetch changes."""

    async def serve_changes(req: requests.Request) -> responses.Response:
        try:
            request = decoding.decode_msgpack(await req.body(), ChangesRequest)
        except ValueError as exc:
            logs.event(_LOG, "query_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        response = await reader.wait_for_changes(request)
        if response is None:
            return responses.Response(status_code=503)
        return responses.Response(msgspec.msgpack.encode(response))

    return routing.Route(CHANGES_PATH, serve_changes, methods=["POST"])
