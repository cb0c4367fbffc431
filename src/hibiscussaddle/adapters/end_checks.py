"""Check whether an endpoint has ended after its connection broke."""

import errno
import time
import typing

import anyio
import httpx

from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations

# The kernel of a reachable machine refuses a connection within a round trip.
_CONNECT_TIMEOUT_SECONDS: typing.Final = 0.05
# Raised when a connection breaks under a request, other than by a timeout.
BROKEN_CONNECTION_ERRORS: typing.Final = (
    httpx.ReadError,
    httpx.WriteError,
    httpx.RemoteProtocolError,
)
# Requests whose connections broke together share one check.
_SHARED_SECONDS: typing.Final = 0.3


class _Check:
    """Hold the newest check of one endpoint."""

    def __init__(self) -> None:
        self.lock = anyio.Lock()
        self.checked_at = float("-inf")
        self.has_ended = False


class EndChecker:
    """Distinguish endpoints that ended from broken connections."""

    def __init__(self) -> None:
        """Start without any check."""
        self._checks = observations.Observations(_Check)

    async def has_ended(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether nothing listens at the endpoint's address now.

        An endpoint that can't be reached, or that has started again, doesn't
        count as ended.
        """
        check = self._checks.for_endpoint(endpoint)
        async with check.lock:
            if time.monotonic() - check.checked_at >= _SHARED_SECONDS:
                check.has_ended = await _refuses_connections(endpoint.address)
                check.checked_at = time.monotonic()
            return check.has_ended


async def _refuses_connections(address: str) -> bool:
    url = httpx.URL(address)
    try:
        with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(url.host, url.port or 80)
    except TimeoutError:
        return False
    except OSError as exc:
        return _is_refusal(exc)
    await stream.aclose()
    return False


def _is_refusal(exc: BaseException | None) -> bool:
    """Return whether the kernel refused the connection.

    anyio raises an error without a number and names the first one as cause.
    """
    if isinstance(exc, BaseExceptionGroup):
        return any(map(_is_refusal, exc.exceptions))
    if isinstance(exc, OSError) and exc.errno == errno.ECONNREFUSED:
        return True
    return exc is not None and _is_refusal(exc.__cause__)
