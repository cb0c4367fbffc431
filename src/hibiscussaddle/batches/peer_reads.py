"""Ask the instance that runs a batch for its results.

Reads arrive at any instance. One that asked the store for each of them made
a third of the fleet's calls, while the owner of the batch knows the answer.
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

from hibiscussaddle.batches import reader as reader_lib
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

_PATH: typing.Final = "/v1/batches/reads"
# A peer that lives answers in milliseconds beyond the wait that it is asked
# for; after this time the store is read, in seconds.
_TIMEOUT_SECONDS: typing.Final = 0.3
# A peer that did not answer is not asked for this long, in seconds.
_AVOID_SECONDS: typing.Final = 1.0
# Longest wait that a peer is asked for, in seconds; a peer that is lost
# meanwhile must not hold a reader for long.
_LONGEST_WAIT: typing.Final = 0.5
# Members asked for a batch whose route is unknown.
_MAX_ASKED: typing.Final = 4


class Query(msgspec.Struct, frozen=True):
    """Ask for what is not known of a batch."""

    batch_id: str
    # Key of the newest known log entry.
    after: str
    # Longest wait for another one, in seconds.
    wait: float
    wants_items: bool


class PeerReads:
    """Ask the members that run the batches of a route."""

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
        # Monotonic seconds until which a peer is not asked.
        self._avoided: dict[str, float] = {}

    async def ask(
        self,
        batch_id: str,
        route: str,
        after: str,
        wait: float,
        wants_items: bool,
    ) -> reader_lib.PeerAnswer | None:
        """Return what the batch's runner says; None when nobody knows."""
        wait = min(wait, _LONGEST_WAIT)
        query = Query(batch_id, after, wait, wants_items)
        for member in self._candidates(route):
            answer = await self._post(member, query)
            if answer is not None:
                return answer
        return None

    def _candidates(self, route: str) -> list[presence_lib.Member]:
        """Return the members that may run a batch, each once."""
        names = (route,) if route else self._view.batch_routes()
        now = self._clock()
        found: dict[str, presence_lib.Member] = {}
        for name in names:
            member = self._members.route_owner(name)
            if member is None or not member.peer_address:
                continue
            if member.instance == self._members.me.instance:
                continue
            if self._avoided.get(member.instance, 0.0) <= now:
                found[member.instance] = member
        return list(found.values())[:_MAX_ASKED]

    async def _post(
        self, member: presence_lib.Member, query: Query
    ) -> reader_lib.PeerAnswer | None:
        limit = query.wait + _TIMEOUT_SECONDS
        try:
            with anyio.fail_after(limit):
                resp = await self._client.post(
                    f"http://{member.peer_address}{_PATH}",
                    content=msgspec.msgpack.encode(query),
                    timeout=limit,
                )
            if resp.status_code == httpx.codes.NOT_FOUND:
                return None
            resp.raise_for_status()
            return msgspec.msgpack.decode(
                resp.content, type=reader_lib.PeerAnswer
            )
        except (httpx.HTTPError, TimeoutError, ValueError) as exc:
            self._avoided[member.instance] = self._clock() + _AVOID_SECONDS
            logs.event(
                _LOG,
                "peer_read_failed",
                batch=query.batch_id,
                member=member.instance,
                why=str(exc) or type(exc).__name__,
            )
            return None


def create_route(reader: reader_lib.BatchReader) -> routing.Route:
    """Return the route at which peers read this instance's batches."""

    async def read(req: requests.Request) -> responses.Response:
        try:
            query = msgspec.msgpack.decode(await req.body(), type=Query)
        except ValueError as exc:
            logs.event(_LOG, "query_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        answer = await reader.answer_peer(
            query.batch_id,
            query.after,
            min(query.wait, _LONGEST_WAIT),
            query.wants_items,
        )
        if answer is None:
            return responses.Response(status_code=404)
        return responses.Response(msgspec.msgpack.encode(answer))

    return routing.Route(_PATH, read, methods=["POST"])
