"""Client of plain services that tells refused work from lost answers."""

from collections import abc
import dataclasses
import enum
import typing

import anyio
import httpx
import result

from hibiscussaddle import endpoints

CONNECT_SECONDS: typing.Final = 2.0
# An answer above this size is not held in memory.
MAX_RESPONSE_BYTES: typing.Final = 8 << 20
# A back end sets this header on work that it refused before it started.
NOT_STARTED_HEADER: typing.Final = "x-work-not-started"
DEADLINE_HEADER: typing.Final = "x-deadline-seconds"


class FailureKind(enum.Enum):
    """Tell what a missing answer says about the work."""

    NOT_RUN = "not_run"
    TIMEOUT = "timeout"
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class Failure:
    """Describe a call without an answer."""

    kind: FailureKind
    detail: str


@dataclasses.dataclass(frozen=True)
class Call:
    """Describe one call of a plain service."""

    method: str
    # Absolute path, percent-encoded, with the query.
    target: str
    headers: abc.Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Response:
    """Hold the answer of a plain service."""

    status: int
    body: bytes
    media_type: str


# No byte of the request has left when one of these is raised. A pooled
# connection that proves stale fails later, when bytes may have arrived.
_NOT_SENT_ERRORS: typing.Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class ServiceClient:
    """Call plain services."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Use a shared HTTP client."""
        self._client = client

    async def call(
        self, endpoint: endpoints.Endpoint, call: Call, seconds: float
    ) -> result.Result[Response, Failure]:
        """Return the answer within the given seconds; sent once."""
        timeout = httpx.Timeout(
            seconds,
            connect=min(seconds, CONNECT_SECONDS),
            pool=min(seconds, CONNECT_SECONDS),
        )
        headers = {**call.headers, DEADLINE_HEADER: f"{seconds:.3f}"}
        request = self._client.stream(
            call.method,
            endpoint.address + call.target,
            content=call.body,
            headers=headers,
            timeout=timeout,
        )
        try:
            with anyio.fail_after(seconds):
                async with request as resp:
                    return await _read(endpoint, resp)
        except _NOT_SENT_ERRORS as exc:
            return _fail(FailureKind.NOT_RUN, endpoint, exc)
        except (httpx.TimeoutException, TimeoutError) as exc:
            return _fail(FailureKind.TIMEOUT, endpoint, exc)
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            return _fail(FailureKind.LOST, endpoint, exc)


async def _read(
    endpoint: endpoints.Endpoint, resp: httpx.Response
) -> result.Result[Response, Failure]:
    if resp.headers.get(NOT_STARTED_HEADER):
        detail = f"endpoint {endpoint.id} refused with {resp.status_code}"
        return result.Err(Failure(FailureKind.NOT_RUN, detail))
    body = bytearray()
    async for part in resp.aiter_bytes():
        body += part
        if len(body) > MAX_RESPONSE_BYTES:
            detail = f"answer exceeds {MAX_RESPONSE_BYTES} bytes"
            return result.Err(Failure(FailureKind.LOST, detail))
    media_type = resp.headers.get("content-type", "application/json")
    return result.Ok(Response(resp.status_code, bytes(body), media_type))


def _fail(
    kind: FailureKind, endpoint: endpoints.Endpoint, exc: Exception
) -> result.Err[Failure]:
    why = str(exc) or type(exc).__name__
    return result.Err(Failure(kind, f"endpoint {endpoint.id}: {why}"))
