"""Ask a few other instances whether they reach an endpoint."""

from collections import abc
import dataclasses
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
from hibiscussaddle.endpoint_ends import decision
from hibiscussaddle.endpoint_ends import messages
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

PATH: typing.Final = "/v1/endpoint-checks"
# A live peer answers within milliseconds, after one attempt to connect.
_TIMEOUT_SECONDS: typing.Final = 0.15
# Peers of the own zone and of the others that are asked about one endpoint.
_PEERS_PER_SIDE: typing.Final = 3
# Questions of one instance that run at a time.
_MAX_QUESTIONS: typing.Final = 64
# A peer that failed to answer gets no questions for this long, and one of a
# build without the route for longer.
_BACKOFF_SECONDS: typing.Final = 1.0
_UNSUPPORTED_SECONDS: typing.Final = 60.0


@dataclasses.dataclass(frozen=True)
class Answered:
    """Hold the answer of one peer, which it gave after the given time."""

    is_other_zone: bool
    answer: messages.Answer
    # Monotonic seconds at which the question was sent.
    asked_at: float


class PeerChecks:
    """Ask members of the own zone and of others."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        members: presence.Members,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Use a shared HTTP client."""
        self._client = client
        self._members = members
        self._clock = clock
        self._slots = anyio.Semaphore(_MAX_QUESTIONS)
        # Monotonic seconds until which a peer isn't asked, by address.
        self._backoff_until: dict[str, float] = {}

    def has_other_zones(self) -> bool:
        """Return whether members of other zones are listed."""
        me = self._members.me
        return any(m.zone != me.zone for m in self._members.all.values())

    async def ask(self, lifetime: decision.Lifetime) -> list[Answered]:
        """Return the answers that arrive in time."""
        question = messages.Question(*lifetime)
        body = msgspec.msgpack.encode(question)
        found: list[Answered] = []
        with anyio.move_on_after(_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for member in self._chosen():
                    tasks.start_soon(self._ask_peer, member, body, found)
        return found

    def _chosen(self) -> list[member_lib.Member]:
        """Return the members to ask; readers know the renewals of entries."""
        now = self._clock()
        # Drops the addresses of members that have gone, too.
        self._backoff_until = {
            address: until
            for address, until in self._backoff_until.items()
            if until > now
        }
        me = self._members.me
        by_address = {m.peer_address: m for m in self._members.all.values()}
        ordered = {
            reader.peer_address: reader
            for reader in self._members.zone_readers().values()
            if reader.instance != me.instance and reader.peer_address
        }
        for address in self._members.peer_addresses():
            ordered.setdefault(address, by_address[address])
        usable = [
            member
            for address, member in ordered.items()
            if address not in self._backoff_until and not member.leaving
        ]
        near = [member for member in usable if member.zone == me.zone]
        far = [member for member in usable if member.zone != me.zone]
        return near[:_PEERS_PER_SIDE] + far[:_PEERS_PER_SIDE]

    async def _ask_peer(
        self, member: member_lib.Member, body: bytes, found: list[Answered]
    ) -> None:
        asked_at = self._clock()
        try:
            async with self._slots:
                resp = await self._client.post(
                    f"http://{member.peer_address}{PATH}",
                    content=body,
                    timeout=_TIMEOUT_SECONDS,
                )
            if resp.status_code == httpx.codes.NOT_FOUND:
                self._back_off(
                    member, "the build has no route", _UNSUPPORTED_SECONDS
                )
                return
            resp.raise_for_status()
            answer = decoding.decode_msgpack(resp.content, messages.Answer)
        except (httpx.HTTPError, ValueError) as exc:
            why = str(exc) or type(exc).__name__
            self._back_off(member, why, _BACKOFF_SECONDS)
            return
        found.append(
            Answered(member.zone != self._members.me.zone, answer, asked_at)
        )

    def _back_off(
        self, member: member_lib.Member, why: str, seconds: float
    ) -> None:
        self._backoff_until[member.peer_address] = self._clock() + seconds
        logs.event(
            _LOG, "endpoint_check_failed", peer=member.instance, why=why
        )


def create_route(
    answer: abc.Callable[[messages.Question], abc.Awaitable[messages.Answer]],
) -> routing.Route:
    """Return the route for the questions of peers."""

    async def serve(req: requests.Request) -> responses.Response:
        try:
            question = decoding.decode_msgpack(
                await req.body(), messages.Question
            )
        except ValueError as exc:
            logs.event(_LOG, "query_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        return responses.Response(
            msgspec.msgpack.encode(await answer(question))
        )

    return routing.Route(PATH, serve, methods=["POST"])
