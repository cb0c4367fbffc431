"""Messages by which instances ask a holder for permits, and their route."""

from collections import abc
import logging
import typing

import anyio
import httpx
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import decoding
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle import logs
from hibiscussaddle.rate_limits import shares

_LOG = logging.getLogger(__name__)

_PERMITS_PATH: typing.Final = "/v1/permits"
# A live holder responds within milliseconds; the caller's request waits.
_TIMEOUT_SECONDS: typing.Final = 0.1


class PermitRequest(msgspec.Struct, frozen=True):
    """Ask for a permit to send one request to an endpoint."""

    endpoint_id: str
    incarnation: int
    scope: shares.Scope
    # Limit that the sender knows, in requests per second, and the seconds
    # since the endpoint named it.
    rate: float | None
    age: float
    # Longest delay that the sender accepts, in seconds; None only passes the
    # limit on.
    max_delay: float | None = None


class PermitResponse(msgspec.Struct, frozen=True):
    """Grant or deny a permit; all durations are in seconds."""

    # False if the receiver is not the holder of the endpoint.
    is_holder: bool
    is_granted: bool = False
    delay: float = 0.0
    retry_after: float = 0.0
    free_after: float = 0.0
    # Newest limit that the holder knows, and its age.
    rate: float | None = None
    age: float = 0.0


class PermitClient:
    """Ask other instances for permits."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Use a shared HTTP client."""
        self._client = client

    async def ask(
        self, member: member_lib.Member, message: PermitRequest
    ) -> PermitResponse | None:
        """Return the response of a member, None if it doesn't respond."""
        try:
            with anyio.fail_after(_TIMEOUT_SECONDS):
                resp = await self._client.post(
                    f"http://{member.peer_address}{_PERMITS_PATH}",
                    content=msgspec.msgpack.encode(message),
                    timeout=_TIMEOUT_SECONDS,
                )
            resp.raise_for_status()
            return decoding.decode_msgpack(resp.content, PermitResponse)
        except (httpx.HTTPError, TimeoutError, ValueError) as exc:
            logs.event(
                _LOG,
                "permit_unanswered",
                endpoint=message.endpoint_id,
                holder=member.instance,
                scope=message.scope.value,
                why=str(exc) or type(exc).__name__,
            )
            return None


def create_route(
    serve: abc.Callable[[PermitRequest], PermitResponse],
) -> routing.Route:
    """Return the HTTP route over which peers ask for permits."""

    async def serve_permit(req: requests.Request) -> responses.Response:
        try:
            message = decoding.decode_msgpack(await req.body(), PermitRequest)
        except ValueError as exc:
            logs.event(_LOG, "permit_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        return responses.Response(msgspec.msgpack.encode(serve(message)))

    return routing.Route(_PERMITS_PATH, serve_permit, methods=["POST"])
