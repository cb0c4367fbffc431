"""HTTP transport that sends an attempt to its endpoint or through a peer."""

from collections import abc
import dataclasses
import logging
import random
import time
import typing

import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.relays import messages
from hibiscussaddle.relays import path_checks
from hibiscussaddle.relays import paths

_LOG = logging.getLogger(__name__)

# Extension of a request: the Endpoint that it is an attempt at. Requests
# without it always go directly.
ENDPOINT: typing.Final = "endpoint"
# Extension of an attempt that must not go through a peer, such as one that
# this instance runs for a peer. It isn't sent to a service that is cut off.
DIRECT_ONLY: typing.Final = "direct_only"
# Extension of an attempt: the name of its kind; see paths.Attempt.
KIND: typing.Final = "attempt_kind"

_MS_PER_SECOND: typing.Final = 1000

# Errors of connections that broke, or that brought nothing in time.
_BROKEN_ERRORS: typing.Final = (
    httpx.NetworkError,
    httpx.RemoteProtocolError,
    httpx.TimeoutException,
)


class PathCutError(httpx.ReadError):
    """Signal an attempt that broke since its service is cut off.

    Its outcome is unknown. If all endpoints of a service end at once, the
    service counts as cut off too, so the endpoint may have ended.
    """

    def __init__(
        self,
        message: str,
        *,
        is_ended_here: bool,
        is_connection_broken: bool = False,
        is_relayed: bool = False,
    ) -> None:
        """Say whether this instance ended it, or its connection broke.

        A relayed one broke at the peer, or between the peer and the endpoint.
        """
        super().__init__(message)
        self.is_ended_here = is_ended_here
        self.is_connection_broken = is_connection_broken
        self.is_relayed = is_relayed


class Relay(typing.Protocol):
    """Send attempts through peers."""

    async def send(
        self, request: httpx.Request, endpoint: endpoints.Endpoint
    ) -> httpx.Response:
        """Return the response of the endpoint as it arrives.

        Raises:
            messages.NotRelayedError: no peer took the attempt.
            httpx.HTTPError: the outcome of the attempt is unknown.
        """


class NoRelay:
    """Take no attempt, for an instance without peers."""

    async def send(
        self, request: httpx.Request, endpoint: endpoints.Endpoint
    ) -> httpx.Response:
        """Raise NotRelayedError."""
        raise messages.NotRelayedError("this instance has no peers")


class _DirectExchange(connections.Exchange):
    """Record what a direct attempt shows of the path to its service."""

    def __init__(
        self,
        path: paths.ServicePath,
        endpoint: endpoints.Endpoint,
        checks: path_checks.PathChecks,
        kind: str,
    ) -> None:
        super().__init__()
        self._checks = checks
        self.attempt = paths.Attempt(
            path, endpoint.id, time.monotonic(), self.end, kind
        )
        checks.begin(self.attempt)

    def begin_read(self) -> None:
        self.attempt.is_reading = True

    def record_bytes(self) -> None:
        self.attempt.is_reading = False
        self.attempt.record_bytes(time.monotonic())

    async def fail(self, exc: httpx.HTTPError) -> None:
        """Raise PathCutError if the service is cut off."""
        attempt = self.attempt
        path = attempt.path
        if not attempt.is_cut and isinstance(exc, _BROKEN_ERRORS):
            path.record_broken(attempt.endpoint_id, time.monotonic())
            await self._checks.settle(path)
        self.close()
        if attempt.is_cut or path.is_cut:
            raise PathCutError(
                f"service {path.service!r} is cut off: "
                f"{str(exc) or type(exc).__name__}",
                is_ended_here=attempt.is_cut,
                is_connection_broken=not attempt.is_cut
                and isinstance(exc, connections.BROKEN_CONNECTION_ERRORS),
            ) from exc

    def close(self) -> None:
        self._checks.end(self.attempt)


class _RelayedStream(httpx.AsyncByteStream):
    """Read a relayed response; raise PathCutError where it breaks off."""

    def __init__(
        self,
        inner: httpx.AsyncByteStream,
        path: paths.ServicePath,
        endpoint: endpoints.Endpoint,
    ) -> None:
        self._inner = inner
        self._path = path
        self._endpoint = endpoint

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        try:
            async for data in self._inner:
                yield data
        except connections.ResponseTooLargeError:
            raise
        except httpx.HTTPError as exc:
            raise _relayed_error(self._path, self._endpoint, exc) from exc

    async def aclose(self) -> None:
        await self._inner.aclose()


def _relayed_error(
    path: paths.ServicePath,
    endpoint: endpoints.Endpoint,
    exc: httpx.HTTPError,
) -> PathCutError:
    """Return the error of a relayed attempt whose outcome is unknown."""
    # Each attempt that fails has a line of its own.
    logs.event(
        _LOG,
        "relay_failed",
        logging.DEBUG,
        service=path.service,
        endpoint=endpoint.id,
    )
    return PathCutError(
        f"relayed attempt at service {path.service!r} broke: "
        f"{str(exc) or type(exc).__name__}",
        is_ended_here=False,
        is_connection_broken=isinstance(
            exc, connections.BROKEN_CONNECTION_ERRORS
        ),
        is_relayed=True,
    )


class RelayTransport(httpx.AsyncBaseTransport):
    """Send attempts at services that are cut off through peers."""

    def __init__(
        self,
        direct: httpx.AsyncBaseTransport,
        known: paths.Paths,
        checks: path_checks.PathChecks,
        relay: Relay,
    ) -> None:
        """Send all else directly."""
        self._direct = direct
        self._paths = known
        self._checks = checks
        self._relay = relay

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request."""
        endpoint = request.extensions.get(ENDPOINT)
        if endpoint is None:
            return await self._direct.handle_async_request(request)
        began_at = time.monotonic()
        path = self._paths.path(endpoint.service)
        if self._checks.is_checking(path):
            # Sent now, an attempt that runs only once might be lost.
            await self._checks.settle(path)
            began_at = _spend(request, began_at)
        if path.is_cut:
            try:
                return await self._send_relayed(
                    request, endpoint, path, began_at
                )
            except messages.NotRelayedError:
                if path.is_confirmed:
                    raise
                # Peers that are cut off at the same moment may all be wrong.
                began_at = _spend(request, began_at)
        kind = request.extensions.get(KIND, "")
        exchange = _DirectExchange(path, endpoint, self._checks, kind)
        request.extensions[connections.EXCHANGE] = exchange
        try:
            resp = await self._direct.handle_async_request(request)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            exchange.close()
            path.record_unconnected(endpoint.id, time.monotonic())
            await self._checks.settle(path)
            if not path.is_cut:
                raise
        except httpx.HTTPError as exc:
            await exchange.fail(exc)
            raise
        except BaseException:
            exchange.close()
            raise
        else:
            exchange.record_bytes()
            return resp
        del request.extensions[connections.EXCHANGE]
        # The attempt has not run.
        return await self._send_relayed(request, endpoint, path, began_at)

    async def _send_relayed(
        self,
        request: httpx.Request,
        endpoint: endpoints.Endpoint,
        path: paths.ServicePath,
        began_at: float,
    ) -> httpx.Response:
        """Send an attempt through a peer, with the time that is left."""
        now = time.monotonic()
        if path.is_unreached(now) or request.extensions.get(DIRECT_ONLY):
            raise messages.NotRelayedError(
                f"service {path.service!r} is cut off"
            )
        _spend(request, began_at)
        try:
            resp = await self._relay.send(request, endpoint)
        except messages.NotRelayedError:
            path.record_not_relayed(
                endpoint.id,
                time.monotonic(),
                self._checks.endpoint_count(path),
            )
            raise
        except (httpx.ConnectError, httpx.ConnectTimeout):
            # Peers got no connection to the endpoint either.
            raise
        except httpx.HTTPError as exc:
            raise _relayed_error(path, endpoint, exc) from exc
        path.record_relayed()
        assert isinstance(resp.stream, httpx.AsyncByteStream)
        resp.stream = _RelayedStream(resp.stream, path, endpoint)
        return resp

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._direct.aclose()


@dataclasses.dataclass(frozen=True)
class RelayParts:
    """Hold what sends attempts, and what is known of their paths."""

    paths: paths.Paths
    checks: path_checks.PathChecks
    transport: RelayTransport


def create_parts(
    direct: httpx.AsyncBaseTransport,
    find_endpoints: abc.Callable[[str], abc.Sequence[endpoints.Endpoint]],
    relay: Relay,
    rng: random.Random,
) -> RelayParts:
    """Create and connect the transport for attempts.

    find_endpoints() returns the endpoints that are listed for a service.
    """
    known = paths.Paths()
    checks = path_checks.PathChecks(known, find_endpoints, rng)
    return RelayParts(
        known, checks, RelayTransport(direct, known, checks, relay)
    )


def _spend(request: httpx.Request, since: float) -> float:
    """Subtract the seconds since then from a request's limits; return now."""
    now = time.monotonic()
    _reduce_time(request, now - since)
    return now


def _reduce_time(request: httpx.Request, seconds: float) -> None:
    """Subtract the seconds since the request was built from its limits."""
    name = endpoint_wire.DEADLINE_MS_HEADER
    value = request.headers.get(name)
    spent_ms = int(seconds * _MS_PER_SECOND)
    if value is not None and spent_ms > 0 and value.isdecimal():
        request.headers[name] = str(max(1, int(value) - spent_ms))
    timeouts = dict(request.extensions.get("timeout", {}))
    if timeouts.get("read") is not None:
        timeouts["read"] = max(0.0, timeouts["read"] - seconds)
        request.extensions["timeout"] = timeouts
