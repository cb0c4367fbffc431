"""Read the store once a zone: one instance watches, the others follow it.

Every watch of every instance counts as a call of the store, whose rates grow
more slowly than the fleet. A follower whose reader fails or falls behind
watches the store itself at once.
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

from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import feed as feed_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

CHANGES_PATH: typing.Final = "/v1/changes"
# Longest wait of a follower for changes, and the time after which a silent
# reader is given up beyond that, in seconds. An endpoint that leaves must be
# known after two seconds, also when the reader freezes.
WAIT_SECONDS: typing.Final = 1.0
MARGIN_SECONDS: typing.Final = 0.25
# A reader whose own answer of the store is overdue by this time, in seconds,
# does not speak for it.
OVERDUE_SECONDS: typing.Final = 0.2
# Pause after a reader failed until one is followed again, in seconds: about
# as long as a reader needs to notice and to call the store again.
_RETRY_SECONDS: typing.Final = 1.0
# A new instance that has not found a reader after this time reads the store
# itself, in seconds.
_JOIN_SECONDS: typing.Final = 1.2
# How often it looks for its own key, and asks a reader that is not ready.
_JOIN_STEP_SECONDS: typing.Final = 0.02
_JOIN_RETRY_SECONDS: typing.Final = 0.1
# How often an instance that follows nobody looks for a reader, in seconds.
_LOOK_SECONDS: typing.Final = 0.5


class Query(msgspec.Struct, frozen=True):
    """Ask a reader for what changed after known revisions."""

    # Newest known revision of each prefix; None asks for all its keys.
    after: dict[str, int | None]
    # Longest wait for a change, in seconds.
    wait: float


class Answer(msgspec.Struct, frozen=True):
    """Carry changes to a follower."""

    pages: dict[str, change_log.Page]
    # Seconds since the store failed the reader, None if it never did.
    failed_ago: float | None


class Reader:
    """Pass on what this instance reads of the store."""

    def __init__(self, feeds: abc.Sequence[feed_lib.Feed]) -> None:
        """Share the feeds of this instance."""
        self._feeds = {feed.prefix: feed for feed in feeds}
        self._changed = anyio.Event()
        for feed in feeds:
            feed.on_step = self._note_step

    def _note_step(self, changed: bool) -> None:
        if changed or not self.is_current(time.monotonic()):
            before, self._changed = self._changed, anyio.Event()
            before.set()

    def is_current(self, now: float) -> bool:
        """Tell whether this instance knows the newest state."""
        return not any(
            feed.is_failing() or feed.age(now) > OVERDUE_SECONDS
            for feed in self._feeds.values()
        )

    async def answer(self, query: Query) -> Answer | None:
        """Return changes once there are any; None when not current."""
        until = time.monotonic() + min(query.wait, WAIT_SECONDS)
        while True:
            now = time.monotonic()
            if not self.is_current(now) or not query.after.keys() <= (
                self._feeds.keys()
            ):
                return None
            if self._has_news(query) or now >= until:
                break
            # Looks up at times, since an overdue answer makes no event.
            with anyio.move_on_after(min(until - now, OVERDUE_SECONDS)):
                await self._changed.wait()
        if self._is_behind(query):
            return None
        return self._create_answer(query, time.monotonic())

    def _has_news(self, query: Query) -> bool:
        return not self._is_behind(query) and any(
            after is None or self._feeds[prefix].log.after(after).entries
            for prefix, after in query.after.items()
        )

    def _is_behind(self, query: Query) -> bool:
        """Tell whether the follower knows more than this instance."""
        return any(
            (after or 0) > self._feeds[prefix].log.revision
            for prefix, after in query.after.items()
        )

    def _create_answer(self, query: Query, now: float) -> Answer:
        pages = {
            prefix: self._feeds[prefix].log.after(after)
            for prefix, after in query.after.items()
        }
        failed_at = max(feed.failed_at for feed in self._feeds.values())
        ago = None if failed_at == float("-inf") else now - failed_at
        return Answer(pages, ago)


class Follower:
    """Follow the reader of the own zone while there is a good one."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        members: presence.Members,
        feeds: abc.Sequence[feed_lib.Feed],
    ) -> None:
        """Start with every feed calling the store itself."""
        self._client = client
        self._members = members
        self._feeds = feeds
        # Instance whose changes are taken; empty while there is none.
        self.followed = ""
        # Called when a reader that was followed fails.
        self.on_failure: abc.Callable[[], None] = lambda: None
        self._is_held = False

    def hold(self) -> None:
        """Let no feed call the store before run() has looked for a reader."""
        self._is_held = True
        for feed in self._feeds:
            feed.suspend()

    async def run(self) -> None:
        """Follow until cancelled."""
        if self._is_held:
            with anyio.move_on_after(_JOIN_SECONDS):
                await self._join()
            if not self.followed:
                self._leave("")
        while True:
            reader = self._members.zone_reader()
            if reader is None or any(f.after is None for f in self._feeds):
                self._leave("")
                await anyio.sleep(_LOOK_SECONDS)
                continue
            why = await self._poll(reader)
            if why:
                self._leave(why)
                await anyio.sleep(_RETRY_SECONDS)

    async def _join(self) -> None:
        """Take the first state from the zone's reader if there is one.

        Returns without one when this instance is to read the store itself.
        """
        members = next(
            feed
            for feed in self._feeds
            if presence.PREFIX.startswith(feed.prefix)
        )
        await self._members.registered.wait()
        members.resume()
        while self._members.me.instance not in self._members.all:
            await anyio.sleep(_JOIN_STEP_SECONDS)
        members.suspend()
        while (reader := self._members.zone_reader()) is not None:
            if not await self._poll(reader):
                return
            # It may have started just now, and lists the keys itself.
            await anyio.sleep(_JOIN_RETRY_SECONDS)

    def _leave(self, why: str) -> None:
        """Let every feed call the store itself."""
        if self.followed:
            logs.event(
                _LOG, "reader_left", reader=self.followed, why=why or "-"
            )
            self.followed = ""
            if why:
                self.on_failure()
        for feed in self._feeds:
            feed.resume()

    async def _poll(self, reader: presence.Member) -> str:
        """Take changes from a reader; return why that failed."""
        # The first answer shows whether the reader is current.
        wait = WAIT_SECONDS if self.followed == reader.instance else 0.0
        query = Query({f.prefix: f.after for f in self._feeds}, wait)
        limit = wait + MARGIN_SECONDS
        sent_at = time.monotonic()
        try:
            with anyio.fail_after(limit):
                resp = await self._client.post(
                    f"http://{reader.peer_address}{CHANGES_PATH}",
                    content=msgspec.msgpack.encode(query),
                    timeout=limit,
                )
            resp.raise_for_status()
            answer = msgspec.msgpack.decode(resp.content, type=Answer)
        except (httpx.HTTPError, TimeoutError, ValueError) as exc:
            return str(exc) or type(exc).__name__
        self._take(answer, sent_at)
        if self.followed != reader.instance:
            self.followed = reader.instance
            logs.event(_LOG, "reader_followed", reader=reader.instance)
        return ""

    def _take(self, answer: Answer, sent_at: float) -> None:
        now = time.monotonic()
        for feed in self._feeds:
            page = answer.pages.get(feed.prefix)
            if page is None or page.revision < (feed.after or 0):
                continue
            # The failure comes first: what vanished in an outage is kept.
            if answer.failed_ago is not None and (
                now - answer.failed_ago >= sent_at
            ):
                feed.note_outage()
            feed.suspend()
            feed.apply(page, now)


def create_route(reader: Reader) -> routing.Route:
    """Return the route at which followers ask for changes."""

    async def changes(req: requests.Request) -> responses.Response:
        try:
            query = msgspec.msgpack.decode(await req.body(), type=Query)
        except ValueError as exc:
            logs.event(_LOG, "query_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        answer = await reader.answer(query)
        if answer is None:
            return responses.Response(status_code=503)
        return responses.Response(msgspec.msgpack.encode(answer))

    return routing.Route(CHANGES_PATH, changes, methods=["POST"])
