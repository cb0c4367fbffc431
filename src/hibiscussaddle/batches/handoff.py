"""Hand accepted batches to the instance that runs a route's batches.

One instance runs all batches of a route, so that its connections to the
engines and its observations of their speed are reused in every step. Any
other instance that accepts a batch hands it off.
"""

import logging
import typing

import anyio
import httpx
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.batches import model
from hibiscussaddle.batches import storage
from hibiscussaddle import decoding
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

_BATCHES_PATH: typing.Final = "/v1/batches"
_REMINDERS_PATH: typing.Final = "/v1/batches/reminders"
_ADOPTIONS_PATH: typing.Final = "/v1/batches/adoptions"
_ENDS_PATH: typing.Final = "/v1/batches/ends"
# A live peer responds within milliseconds; after this time the instance that
# accepted a batch runs it itself.
_TIMEOUT_SECONDS: typing.Final = 0.3


class HandoffMessage(msgspec.Struct, frozen=True):
    """Ask the receiver to run a batch that it owns."""

    batch_id: str
    owner: model.Owner
    revision: int
    # None if the receiver already owns the batch and only has to run it.
    batch: model.Batch | None = None
    # See OwnerRecord.
    footprint: decoding.WholeAmount = 0

    def record(self) -> storage.OwnerRecord:
        """Return the owner record."""
        return storage.OwnerRecord(
            self.batch_id,
            self.owner,
            self.revision,
            self.footprint,
            is_current=False,
        )


class EndMessage(msgspec.Struct, frozen=True):
    """Notify an owner that its batch has ended."""

    batch_id: str


class Receiver(typing.Protocol):
    """Receive batches from peers."""

    def accept_handoff(
        self, batch: model.Batch, record: storage.OwnerRecord
    ) -> bool:
        """Run a batch; return whether it runs here."""

    def ensure_running(self, record: storage.OwnerRecord) -> bool:
        """Run an owned batch if needed; return whether it runs here."""

    def adopt(self, record: storage.OwnerRecord) -> bool:
        """Take over a batch that a peer has no room for.

        Returns whether there is room for it here.
        """

    def record_end(self, batch_id: str) -> None:
        """Stop a batch after the store has acknowledged its end."""


class HandoffClient:
    """Send batches to peers."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Use a shared HTTP client."""
        self._client = client

    async def send(
        self,
        member: presence_lib.Member,
        batch: model.Batch,
        record: storage.OwnerRecord,
    ) -> bool:
        """Send a batch; return whether the member runs it from now on."""
        message = HandoffMessage(
            batch.id,
            record.owner,
            record.revision,
            batch,
            record.footprint,
        )
        reason = await self._post(member, _BATCHES_PATH, message)
        logs.event(
            _LOG,
            "batch_handed_off",
            batch=batch.id,
            member=member.instance,
            why=reason or "-",
        )
        return not reason

    async def ensure_running(
        self, member: presence_lib.Member, record: storage.OwnerRecord
    ) -> bool:
        """Ask an owner to run its batch; return whether it does."""
        message = _reference(record)
        reason = await self._post(member, _REMINDERS_PATH, message)
        if reason:
            logs.event(
                _LOG,
                "reminder_failed",
                batch=record.batch_id,
                member=member.instance,
                why=reason,
            )
        return not reason

    async def ask_to_adopt(
        self, member: presence_lib.Member, record: storage.OwnerRecord
    ) -> bool:
        """Ask a member to take over a batch; return whether it will."""
        reason = await self._post(member, _ADOPTIONS_PATH, _reference(record))
        logs.event(
            _LOG,
            "adoption_asked",
            batch=record.batch_id,
            member=member.instance,
            why=reason or "-",
        )
        return not reason

    async def notify_end(
        self, member: presence_lib.Member, batch_id: str
    ) -> None:
        """Notify an owner that its batch ended, before its next write."""
        reason = await self._post(member, _ENDS_PATH, EndMessage(batch_id))
        if reason:
            logs.event(
                _LOG,
                "end_not_told",
                batch=batch_id,
                member=member.instance,
                why=reason,
            )

    async def _post(
        self, member: presence_lib.Member, path: str, message: msgspec.Struct
    ) -> str:
        """Send a message; return why it failed, empty if it was accepted."""
        try:
            with anyio.fail_after(_TIMEOUT_SECONDS):
                resp = await self._client.post(
                    f"http://{member.peer_address}{path}",
                    content=msgspec.msgpack.encode(message),
                    timeout=_TIMEOUT_SECONDS,
                )
        except (httpx.HTTPError, TimeoutError) as exc:
            return str(exc) or type(exc).__name__
        if resp.status_code == httpx.codes.ACCEPTED:
            return ""
        return f"status {resp.status_code}"


def _reference(record: storage.OwnerRecord) -> HandoffMessage:
    return HandoffMessage(
        record.batch_id,
        record.owner,
        record.revision,
        footprint=record.footprint,
    )


def create_routes(receiver: Receiver) -> list[routing.Route]:
    """Return the routes that receive batches from peers."""

    async def receive(req: requests.Request) -> responses.Response:
        try:
            message = decoding.decode_msgpack(await req.body(), HandoffMessage)
        except ValueError as exc:
            logs.event(_LOG, "handoff_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        record = message.record()
        if req.url.path == _ADOPTIONS_PATH:
            accepted = receiver.adopt(record)
        elif message.batch is None:
            accepted = receiver.ensure_running(record)
        else:
            accepted = receiver.accept_handoff(message.batch, record)
        return responses.Response(status_code=202 if accepted else 409)

    async def end(req: requests.Request) -> responses.Response:
        try:
            message = decoding.decode_msgpack(await req.body(), EndMessage)
        except ValueError as exc:
            logs.event(_LOG, "handoff_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        receiver.record_end(message.batch_id)
        return responses.Response(status_code=202)

    return [
        *(
            routing.Route(path, receive, methods=["POST"])
            for path in (_BATCHES_PATH, _REMINDERS_PATH, _ADOPTIONS_PATH)
        ),
        routing.Route(_ENDS_PATH, end, methods=["POST"]),
    ]
