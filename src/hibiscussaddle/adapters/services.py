"""Client of plain services: endpoints that are not model engines.

It distinguishes calls that did not run from those with an unknown outcome.
"""

from collections import abc
import dataclasses
import enum
import logging
import typing

import anyio
import httpx
import result

from hibiscussaddle import endpoints
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS: typing.Final = 2.0
# A response above this size is rejected, to limit memory.
MAX_RESPONSE_BYTES: typing.Final = 8 << 20
# Set by an endpoint on the response to a request that it did not start.
NOT_STARTED_HEADER: typing.Final = "x-work-not-started"
DEADLINE_SECONDS_HEADER: typing.Final = "x-deadline-seconds"


class FailureKind(enum.Enum):
    """List the reasons why a call has no response."""

    # The call had no effect.
    NOT_RUN = "not_run"
    # The call may have run.
    TIMEOUT = "timeout"
    # The call may have run; its response is incomplete or above the limit.
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class Failure:
    """Describe a call without a response."""

    kind: FailureKind
    detail: str


@dataclasses.dataclass(frozen=True)
class Call:
    """Describe one call to a plain service."""

    method: str
    # Percent-encoded absolute path with the query string.
    target: str
    headers: abc.Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Response:
    """Hold the response of a plain service."""

    status: int
    body: bytes
    media_type: str


# Raised before any byte of the request is sent. A stale pooled connection
# fails later with another error, when bytes may have been delivered.
_NOT_SENT_ERRORS: typing.Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class ServiceClient:
    """Call plain services."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Create a client over a shared HTTP client."""
        self._client = client

    async def call(
        self, endpoint: endpoints.Endpoint, call: Call, timeout: float
    ) -> result.Result[Response, Failure]:
        """Send the call once; return its response within timeout seconds."""
        phase_timeouts = httpx.Timeout(
            timeout,
            connect=min(timeout, CONNECT_TIMEOUT_SECONDS),
            pool=min(timeout, CONNECT_TIMEOUT_SECONDS),
        )
        headers = {**call.headers, DEADLINE_SECONDS_HEADER: f"{timeout:.3f}"}
        request = self._client.stream(
            call.method,
            endpoint.address + call.target,
            content=call.body,
            headers=headers,
            timeout=phase_timeouts,
        )
        try:
            with anyio.fail_after(timeout):
                async with request as resp:
                    return await _read_response(endpoint, resp)
        except _NOT_SENT_ERRORS as exc:
            return _failure(FailureKind.NOT_RUN, endpoint, exc)
        except (httpx.TimeoutException, TimeoutError) as exc:
            return _failure(FailureKind.TIMEOUT, endpoint, exc)
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            return _failure(FailureKind.LOST, endpoint, exc)


async def _read_response(
    endpoint: endpoints.Endpoint, resp: httpx.Response
) -> result.Result[Response, Failure]:
    if resp.headers.get(NOT_STARTED_HEADER):
        detail = (
            f"endpoint {endpoint.id} refused with status {resp.status_code}"
        )
        return result.Err(Failure(FailureKind.NOT_RUN, detail))
    body = bytearray()
    async for data in resp.aiter_bytes():
        body += data
        if len(body) > MAX_RESPONSE_BYTES:
            detail = f"response exceeds {MAX_RESPONSE_BYTES} bytes"
            return result.Err(Failure(FailureKind.LOST, detail))
    media_type = resp.headers.get("content-type", "application/json")
    return result.Ok(Response(resp.status_code, bytes(body), media_type))


def _failure(
    kind: FailureKind, endpoint: endpoints.Endpoint, exc: Exception
) -> result.Err[Failure]:
    # The text of an exception may contain bytes that the endpoint sent, which
    # are logged but not passed on to callers.
    logs.event(
        _LOG,
        "service_call_failed",
        endpoint=endpoint.id,
        kind=kind.value,
        why=str(exc) or type(exc).__name__,
    )
    reason = type(exc).__name__
    return result.Err(Failure(kind, f"endpoint {endpoint.id}: {reason}"))
