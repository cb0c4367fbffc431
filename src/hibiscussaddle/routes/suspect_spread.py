"""Tell the other instances under which requests endpoints ended.

The readers of the zones get each piece of evidence at once, and pass it on to
their followers with the changes of the store.
"""

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
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle import logs
from hibiscussaddle.routes import suspects

_LOG = logging.getLogger(__name__)

_PATH: typing.Final = "/v1/suspects"
# A live reader responds within milliseconds.
_TIMEOUT_SECONDS: typing.Final = 0.2
# Pieces of evidence that wait to be sent. A crash of an endpoint yields one
# for each request that this instance had there.
_MAX_WAITING: typing.Final = 1024


class SuspectSpreader:
    """Send the evidence of this instance to the readers of all zones."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        members: presence.Members,
        known: suspects.Suspects,
    ) -> None:
        """Send the evidence that is found from now on."""
        self._client = client
        self._members = members
        self._waiting: list[suspects.Evidence] = []
        self._wake = anyio.Event()
        known.on_evidence = self._enqueue

    def _enqueue(self, evidence: suspects.Evidence) -> None:
        if len(self._waiting) < _MAX_WAITING:
            self._waiting.append(evidence)
        self._wake.set()

    async def run(self) -> None:
        """Send evidence until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            evidence, self._waiting = self._waiting, []
            body = msgspec.msgpack.encode(evidence)
            async with anyio.create_task_group() as tasks:
                for reader in self._members.zone_readers().values():
                    if reader.instance != self._members.me.instance:
                        tasks.start_soon(self._send, reader, body)

    async def _send(self, reader: member_lib.Member, body: bytes) -> None:
        try:
            with anyio.fail_after(_TIMEOUT_SECONDS):
                resp = await self._client.post(
                    f"http://{reader.peer_address}{_PATH}",
                    content=body,
                    timeout=_TIMEOUT_SECONDS,
                )
            resp.raise_for_status()
        except (httpx.HTTPError, TimeoutError) as exc:
            logs.event(
                _LOG,
                "suspects_not_sent",
                reader=reader.instance,
                why=str(exc) or type(exc).__name__,
            )


def create_route(known: suspects.Suspects) -> routing.Route:
    """Return the HTTP route that receives evidence from peers."""

    async def receive(req: requests.Request) -> responses.Response:
        try:
            found = decoding.decode_msgpack(
                await req.body(), list[suspects.Evidence]
            )
        except ValueError as exc:
            logs.event(_LOG, "suspects_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        apply_all(known, found)
        return responses.Response(status_code=204)

    return routing.Route(_PATH, receive, methods=["POST"])


def apply_all(
    known: suspects.Suspects, found: typing.Iterable[suspects.Evidence]
) -> None:
    """Apply the evidence of another instance and log new marks."""
    now = time.monotonic()
    for evidence in found:
        if known.receive(evidence, now):
            logs.event(
                _LOG,
                "request_marked",
                logging.WARNING,
                fingerprint=evidence.fingerprint.hex(),
                source="peer",
            )
