"""Read the results of a batch from the instance that runs it.

Reads arrive at any instance. Reading from the store each time made up a
third of the fleet's store calls, although the owner knows the results.
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
from starlette import types

from hibiscussaddle.batches import cached_batch
from hibiscussaddle.batches import reader as reader_lib
from hibiscussaddle.callers import memory
from hibiscussaddle import decoding
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

_PATH: typing.Final = "/v1/batches/reads"
_HOLDER: typing.Final = "peer_responses"
# A live peer responds within milliseconds after the requested wait; after this
# additional time the store is read instead.
_TIMEOUT_SECONDS: typing.Final = 0.3
# A peer that failed to respond receives no reads for this long.
_BACKOFF_SECONDS: typing.Final = 1.0
# Longest wait at a peer; a peer that dies meanwhile must not block a reader
# for long.
_MAX_WAIT_SECONDS: typing.Final = 0.5
# Limit of the members to query for a batch whose route is unknown.
_MAX_MEMBERS: typing.Final = 4


class Query(msgspec.Struct, frozen=True):
    """Request the first log entries of a batch after a known one."""

    batch_id: str
    # Key of the newest known log entry.
    after: str
    # Longest wait for a newer one, in seconds.
    wait: decoding.Amount
    wants_items: bool
    # Item whose body is wanted; builds before want all.
    item_id: str = ""


class _AccountedResponse(responses.Response):
    """Hold the bytes of a response until it is sent."""

    def __init__(self, content: bytes, hold: memory.Hold) -> None:
        """Release the hold once the response is sent or given up."""
        super().__init__(content)
        self._hold = hold

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send the response."""
        try:
            await super().__call__(scope, receive, send)
        finally:
            self._hold.close()


class PeerReadClient:
    """Read batches from the members that run the batches of a route."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        members: presence_lib.Members,
        view: view_lib.View,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Use a shared HTTP client."""
        self._client = client
        self._members = members
        self._view = view
        self._clock = clock
        # Monotonic seconds until which a peer receives no reads.
        self._backoff_until: dict[str, float] = {}

    async def fetch(
        self,
        batch_id: str,
        route: str,
        after: str,
        wait: float,
        wants_items: bool,
        item_id: str = "",
    ) -> cached_batch.PeerResponse | None:
        """Return the owner's response, None if no peer is authoritative."""
        wait = min(wait, _MAX_WAIT_SECONDS)
        query = Query(batch_id, after, wait, wants_items, item_id)
        for member in self._candidates(route):
            response = await self._post(member, query)
            if response is not None:
                return response
        return None

    def _candidates(self, route: str) -> list[presence_lib.Member]:
        """Return the members that may run a batch, without duplicates."""
        routes = (route,) if route else self._view.batch_routes()
        now = self._clock()
        members: dict[str, presence_lib.Member] = {}
        for route_name in routes:
            member = self._members.route_owner(route_name)
            if member is None or not member.peer_address:
                continue
            if member.instance == self._members.me.instance:
                continue
            if self._backoff_until.get(member.instance, 0.0) <= now:
                members[member.instance] = member
        return list(members.values())[:_MAX_MEMBERS]

    async def _post(
        self, member: presence_lib.Member, query: Query
    ) -> cached_batch.PeerResponse | None:
        timeout = query.wait + _TIMEOUT_SECONDS
        try:
            with anyio.fail_after(timeout):
                resp = await self._client.post(
                    f"http://{member.peer_address}{_PATH}",
                    content=msgspec.msgpack.encode(query),
                    timeout=timeout,
                )
            if resp.status_code == httpx.codes.NOT_FOUND:
                return None
            resp.raise_for_status()
            return decoding.decode_msgpack(
                resp.content, cached_batch.PeerResponse
            )
        except (httpx.HTTPError, TimeoutError, ValueError) as exc:
            self._backoff_until[member.instance] = (
                self._clock() + _BACKOFF_SECONDS
            )
            logs.event(
                _LOG,
                "peer_read_failed",
                batch=query.batch_id,
                member=member.instance,
                why=str(exc) or type(exc).__name__,
            )
            return None


def create_route(
    reader: reader_lib.BatchReader, account: memory.Account | None = None
) -> routing.Route:
    """Return the route for peers' reads of this instance's batches.

    A response that the account has no room for is refused; the peer reads the
    store then.
    """
    response_account = account or memory.Account()

    async def read(req: requests.Request) -> responses.Response:
        try:
            query = decoding.decode_msgpack(await req.body(), Query)
        except ValueError as exc:
            logs.event(_LOG, "query_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        response = await reader.peer_response(
            query.batch_id,
            query.after,
            min(query.wait, _MAX_WAIT_SECONDS),
            query.wants_items,
            query.item_id,
        )
        if response is None:
            return responses.Response(status_code=404)
        hold = response_account.open(_HOLDER)
        # Encoded and decoded; the entries and bodies exist anyway.
        size = cached_batch.MAX_PEER_PAGE_BYTES + sum(
            map(len, response.items.values())
        )
        if not hold.resize(size):
            hold.close()
            return responses.Response(status_code=503)
        return _AccountedResponse(msgspec.msgpack.encode(response), hold)

    return routing.Route(_PATH, read, methods=["POST"])
