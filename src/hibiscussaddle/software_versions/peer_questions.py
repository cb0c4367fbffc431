"""Ask other instances which software version began a stream."""

from collections import abc
import contextlib
import logging
import time
import typing

import anyio
import httpx
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import decoding
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import logs
from hibiscussaddle.software_versions import begun_streams

_LOG = logging.getLogger(__name__)

_PATH: typing.Final = "/v1/streams/origins"
# A live peer responds within milliseconds, and the caller waits meanwhile.
TIMEOUT_SECONDS: typing.Final = 0.15
# Limit of the peers that are asked about one stream.
_MAX_PEERS: typing.Final = 64
# Peers of the own zone, and of the others, that are asked whether they know a
# newer plan. The instances of one zone read the plans through one of them.
_PLAN_PEERS_PER_SIDE: typing.Final = 3
# Questions of one instance that run at a time, since a server that ends breaks
# many streams at once.
_MAX_QUESTIONS: typing.Final = 256
# A peer that failed to respond gets no questions for this long.
_BACKOFF_SECONDS: typing.Final = 1.0


class Question(msgspec.Struct, frozen=True):
    """Ask for the origin of a stream."""

    service: str
    # See begun_streams.digest().
    id_digest: bytes


class Answer(msgspec.Struct, frozen=True):
    """Say what an instance knows of a stream."""

    # Revision of the newest plan of the service that it knows, or 0.
    plan_revision: decoding.Count
    # Empty if the instance doesn't know the stream.
    service: str = ""
    version: str = ""

    @property
    def origin(self) -> begun_streams.Origin | None:
        """Return the origin of the stream, None if it isn't known."""
        if not self.service:
            return None
        return begun_streams.Origin(self.service, self.version)


class PeerQuestions:
    """Ask the peers that may have begun a stream."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        members: presence_lib.Members,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Use a shared HTTP client."""
        self._client = client
        self._members = members
        self._clock = clock
        self._slots = anyio.Semaphore(_MAX_QUESTIONS)
        # Monotonic seconds until which a peer gets no questions, by address.
        self._backoff_until: dict[str, float] = {}

    async def ask(self, question: Question, asks_many: bool) -> Answer:
        """Return the first answer that names an origin.

        Without one, return an answer with the newest revision that any peer
        knows. A few peers suffice to detect that the own plan is outdated.
        """
        found: list[Answer] = []
        with anyio.move_on_after(TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:

                async def ask_peer(address: str) -> None:
                    answer = await self._post(address, question)
                    if answer is None:
                        return
                    found.append(answer)
                    if answer.origin is not None:
                        tasks.cancel_scope.cancel()

                for address in self._candidates(asks_many):
                    tasks.start_soon(ask_peer, address)
        known = [answer for answer in found if answer.origin is not None]
        if known:
            return known[0]
        newest = max((answer.plan_revision for answer in found), default=0)
        return Answer(newest)

    async def newest_revision(self, question: Question) -> int | None:
        """Return the newest revision of a plan that any peer knows.

        It is None if any peer doesn't answer, or if there is none. Of a large
        fleet a part is asked, half of it in other zones. A peer that failed
        before is asked as well, since many questions at once may have been
        too many for it.
        """
        revisions: list[int] = []
        asked = self._spread_candidates()
        with anyio.move_on_after(TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:

                async def ask_peer(address: str) -> None:
                    answer = await self._post(address, question)
                    if answer is None:
                        tasks.cancel_scope.cancel()
                    else:
                        revisions.append(answer.plan_revision)

                for address in asked:
                    tasks.start_soon(ask_peer, address)
        if len(revisions) < len(asked):
            return None
        return max(revisions, default=None)

    def _spread_candidates(self) -> list[str]:
        """Return the addresses of all peers, or of a part of many."""
        me = self._members.me
        sides: tuple[list[str], list[str]] = ([], [])
        zones = {
            member.peer_address: member.zone
            for member in self._members.all.values()
        }
        for address in self._members.peer_addresses():
            sides[zones[address] != me.zone].append(address)
        near, far = sides
        near_count = max(_MAX_PEERS // 2, _MAX_PEERS - len(far))
        chosen = near[:near_count]
        return chosen + far[: _MAX_PEERS - len(chosen)]

    def _candidates(self, asks_many: bool) -> list[str]:
        """Return the addresses of the peers to ask, own zone first."""
        now = self._clock()
        # Drops the addresses of members that have gone, too.
        self._backoff_until = {
            address: until
            for address, until in self._backoff_until.items()
            if until > now
        }
        me = self._members.me
        near = {
            member.peer_address
            for member in self._members.all.values()
            if member.zone == me.zone
        }
        addresses = [
            address
            for address in self._members.peer_addresses()
            if address not in self._backoff_until
        ]
        if asks_many:
            return addresses[:_MAX_PEERS]
        sides = (
            [address for address in addresses if address in near],
            [address for address in addresses if address not in near],
        )
        return [
            address
            for side in sides
            for address in side[:_PLAN_PEERS_PER_SIDE]
        ]

    async def _post(self, address: str, question: Question) -> Answer | None:
        try:
            async with self._slots:
                with self._back_off_if_cancelled(address):
                    resp = await self._client.post(
                        f"http://{address}{_PATH}",
                        content=msgspec.msgpack.encode(question),
                        timeout=TIMEOUT_SECONDS,
                    )
            resp.raise_for_status()
            return decoding.decode_msgpack(resp.content, Answer)
        except (httpx.HTTPError, ValueError) as exc:
            self._back_off(address, str(exc) or type(exc).__name__)
            return None

    @contextlib.contextmanager
    def _back_off_if_cancelled(self, address: str) -> abc.Iterator[None]:
        """Count a question that is cancelled at its time limit as failed."""
        started = self._clock()
        try:
            yield
        except anyio.get_cancelled_exc_class():
            if self._clock() - started >= TIMEOUT_SECONDS / 2:
                self._back_off(address, "no answer in time")
            raise

    def _back_off(self, address: str, why: str) -> None:
        self._backoff_until[address] = self._clock() + _BACKOFF_SECONDS
        logs.event(_LOG, "stream_question_failed", peer=address, why=why)


def create_route(
    answer: abc.Callable[[Question], Answer],
) -> routing.Route:
    """Return the route for the questions of peers."""

    async def serve(req: requests.Request) -> responses.Response:
        try:
            question = decoding.decode_msgpack(await req.body(), Question)
        except ValueError as exc:
            logs.event(_LOG, "query_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        return responses.Response(msgspec.msgpack.encode(answer(question)))

    return routing.Route(_PATH, serve, methods=["POST"])
