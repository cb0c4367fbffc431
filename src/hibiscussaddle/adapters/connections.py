"""HTTP connection pool with constant-time lookup by origin."""

import collections
from collections import abc
import dataclasses
from http import cookiejar
import socket
import ssl
import struct
import time
import typing
import weakref

import httpx

from hibiscussaddle import addresses

MAX_IDLE_PER_ORIGIN: typing.Final = 256
# Linger on, for 0 s: closing a connection resets it, so that the kernel does
# not deliver its unsent bytes after a network partition heals.
_RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
_SOCKET_OPTIONS: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),
)
# Keepalive probes detect a connection that died without a reset within about
# three seconds, so that a waiting call fails without a second request.
_PROBE_OPTIONS: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
IDLE_TIMEOUT_SECONDS: typing.Final = 30.0
# Interval at which connections that are idle for longer are closed. Counted in
# responses, a quiet instance kept the connections of endpoints that had left:
# 10 kB and a file descriptor each.
_PRUNE_INTERVAL_SECONDS: typing.Final = 5.0

# Headers that concern one connection, or that the client sets itself.
HOP_BY_HOP_HEADERS: typing.Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)

# A response above this size is cut off and its connection is reset: a faulty
# server may send bytes without end, and an instance may have 128 MB for all of
# its requests. Values in the store have up to a megabyte, batches a few.
MAX_RESPONSE_BYTES: typing.Final = 8 << 20

# Bound for the bytes of all unfinished responses together. Beyond it, those
# that hold more than an equal part of it are cut off, and the others go on.
# Endpoints that send without end hold at most twice as much.
MAX_HELD_BYTES: typing.Final = 24 << 20
# A faulty endpoint may repeat a response late, where the next one is expected.
# For this long a connection isn't used again for a request ID that it carried,
# since the repeated response would pass for the one to the retry.
REPEAT_WINDOW_SECONDS: typing.Final = 10.0
# Extension of a request without an ID: it gets a new connection, which is
# closed after the response.
SINGLE_USE: typing.Final = "single_use"
# Extension of a request: a function that returns whether the bytes of its
# response are passed on as they arrive, so that no whole response is held.
PASSED_ON: typing.Final = "passed_on"

# Raised when a connection breaks under a request, other than by a timeout.
BROKEN_CONNECTION_ERRORS: typing.Final = (
    httpx.ReadError,
    httpx.WriteError,
    httpx.RemoteProtocolError,
)

# Extension of a request: the Exchange that observes it.
EXCHANGE: typing.Final = "exchange"

_HTTP_VERSIONS: typing.Final = (b"HTTP/1.0", b"HTTP/1.1")
# RFC 9110, section 15: the others are informational or invalid.
_FINAL_STATUSES: typing.Final = range(200, 600)

# Extension of a request whose sender detects a stalled response itself and
# closes the connection then, which resets it. A connection that probes end
# isn't reset: a request that was sent on it into a network partition arrives
# once that heals.
NO_PROBES: typing.Final = "no_probes"

# Scheme, host, port, whether probes are sent, and whether requests have an ID.
# A repeated response to a request without one can't be told apart, so it must
# reach no other request.
_Origin: typing.TypeAlias = tuple[str, str, int | None, bool, bool]


class ResponseTooLargeError(httpx.ReadError):
    """Signal that a response exceeds the size limit."""


class InvalidRequestError(httpx.ConnectError):
    """Signal that the address or a header of a request can't be sent.

    Nothing was sent. Callers handle it like an endpoint that they can't
    connect to.
    """


class Exchange:
    """Observe one request and its response, and end it from outside."""

    def __init__(self) -> None:
        """Start without a connection."""
        # Transport of the connection that carries the request.
        self.transport: httpx.AsyncHTTPTransport | None = None

    def begin_read(self) -> None:
        """Record that bytes of the response are waited for."""

    def record_bytes(self) -> None:
        """Record that bytes of the response arrived."""

    async def fail(self, exc: httpx.HTTPError) -> None:
        """Record that the exchange broke; may raise another error."""

    def close(self) -> None:
        """Record the end of the exchange."""

    async def end(self) -> None:
        """Close the connection, so that the exchange fails."""
        if self.transport is not None:
            await self.transport.aclose()


@dataclasses.dataclass(eq=False)
class _Connection:
    """Hold one connection and the request IDs that it carried."""

    transport: httpx.AsyncHTTPTransport
    # Monotonic seconds of the response to each request ID, oldest first.
    carried_ids: dict[str, float] = dataclasses.field(default_factory=dict)
    released_at: float = 0.0

    def record(self, request_id: str, now: float) -> None:
        """Remember an ID, and forget those outside the window."""
        if not request_id:
            return
        self.carried_ids.pop(request_id, None)
        self.carried_ids[request_id] = now
        for known, at in list(self.carried_ids.items()):
            if now - at < REPEAT_WINDOW_SECONDS:
                break
            del self.carried_ids[known]

    def may_carry(self, request_id: str, now: float) -> bool:
        """Return whether no late response to the ID can still arrive."""
        at = self.carried_ids.get(request_id)
        return at is None or now - at >= REPEAT_WINDOW_SECONDS

    def is_clean(self) -> bool:
        """Return whether the connection is open and no bytes wait on it.

        httpcore takes bytes after a response for the beginning of the next
        one, and its interface doesn't show them.
        """
        pool = self.transport._pool
        states = [
            getattr(getattr(conn, "_connection", None), "_h11_state", None)
            for conn in getattr(pool, "connections", ())
        ]
        return bool(states) and all(
            state is not None and not state.trailing_data[0]
            for state in states
        )


class OriginTransport(httpx.AsyncBaseTransport):
    """Send each request over an idle connection to its origin.

    The pool of httpx searches all its connections and waiting requests for
    every request, which takes a third of the processor time under load. Here
    each httpx transport holds a single connection, and the most recently
    used one is reused first.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float] = time.monotonic,
        id_header: str = "",
        max_held_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        """Create an empty pool.

        A response echoes the header that identifies its request. Without a
        name no response is checked.
        """
        self._clock = clock
        self._id_header = id_header
        self._idle: dict[_Origin, collections.deque[_Connection]]
        self._idle = collections.defaultdict(collections.deque)
        # httpx needs an SSL context for plain connections too. This one has
        # no trusted certificates, since loading them takes 40 ms.
        self._plain_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._tls_context: ssl.SSLContext | None = None
        self._pruned_at = clock()
        self._open_responses = 0
        # Bytes received of all unfinished responses.
        self.held_bytes = 0
        # Called with the bytes after each change.
        self.on_held: abc.Callable[[int], None] = lambda _: None
        self._max_held_bytes = max_held_bytes

    def open_response(self) -> None:
        """Count a response whose bytes are held until it is closed."""
        self._open_responses += 1

    def hold(self, count: int, total: int) -> bool:
        """Add bytes of a response, which then holds the total.

        Return whether it may go on.
        """
        self.held_bytes += count
        self.on_held(self.held_bytes)
        return total <= MAX_RESPONSE_BYTES and (
            self.held_bytes <= self._max_held_bytes
            or total <= self._max_held_bytes / self._open_responses
        )

    def close_response(self, total: int) -> None:
        """Release the bytes of a response."""
        self._open_responses -= 1
        self.held_bytes -= total
        self.on_held(self.held_bytes)

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections to all origins."""
        return sum(map(len, self._idle.values()))

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request; closing the response releases its connection."""
        url = request.url
        request_id = request.headers.get(self._id_header, "")
        is_probed = not request.extensions.get(NO_PROBES)
        origin = (url.scheme, url.host, url.port, is_probed, bool(request_id))
        is_single_use = bool(request.extensions.get(SINGLE_USE))
        conn = None
        if not is_single_use:
            conn = self._take_idle(origin, request_id)
        if conn is None:
            conn = _Connection(self._create_transport(url.scheme, is_probed))
        exchange: Exchange | None = request.extensions.get(EXCHANGE)
        if exchange is not None:
            exchange.transport = conn.transport
        try:
            resp = await conn.transport.handle_async_request(request)
            _check_status_line(resp)
        except BaseException:
            await conn.transport.aclose()
            raise
        conn.record(request_id, self._clock())
        # After the response to another request, the one to this request is
        # still to come.
        is_expected = (
            not request_id or resp.headers.get(self._id_header) == request_id
        )
        resp.stream = _ResponseStream(
            resp, self, origin, conn, is_expected and not is_single_use
        )
        resp.stream.exchange = exchange
        is_passed_on = request.extensions.get(PASSED_ON)
        if is_passed_on is not None:
            resp.stream.is_passed_on = is_passed_on(resp)
        return resp

    def _take_idle(
        self, origin: _Origin, request_id: str
    ) -> _Connection | None:
        """Return the newest idle connection that may carry the request."""
        idle = self._idle[origin]
        now = self._clock()
        for index in reversed(range(len(idle))):
            conn = idle[index]
            if conn.may_carry(request_id, now):
                del idle[index]
                return conn
        return None

    def _ssl_context(self, scheme: str) -> ssl.SSLContext:
        if scheme != "https":
            return self._plain_context
        if self._tls_context is None:
            self._tls_context = ssl.create_default_context()
        return self._tls_context

    def _create_transport(
        self, scheme: str, is_probed: bool
    ) -> httpx.AsyncHTTPTransport:
        limits = httpx.Limits(
            max_connections=1,
            max_keepalive_connections=1,
            keepalive_expiry=IDLE_TIMEOUT_SECONDS,
        )
        return httpx.AsyncHTTPTransport(
            verify=self._ssl_context(scheme),
            limits=limits,
            socket_options=(
                (*_SOCKET_OPTIONS, *_PROBE_OPTIONS)
                if is_probed
                else _SOCKET_OPTIONS
            ),
        )

    async def release(
        self, origin: _Origin, conn: _Connection, is_reusable: bool
    ) -> None:
        """Return a connection to the pool, or close it."""
        now = self._clock()
        idle = self._idle[origin]
        if (
            not is_reusable
            or len(idle) >= MAX_IDLE_PER_ORIGIN
            or not conn.is_clean()
        ):
            await conn.transport.aclose()
        else:
            conn.released_at = now
            idle.append(conn)
        if now - self._pruned_at >= _PRUNE_INTERVAL_SECONDS:
            self._pruned_at = now
            await self._prune(now - IDLE_TIMEOUT_SECONDS)

    async def _prune(self, before: float) -> None:
        for origin, idle in list(self._idle.items()):
            while idle and idle[0].released_at < before:
                await idle.popleft().transport.aclose()
            if not idle:
                self._idle.pop(origin, None)

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._prune(float("inf"))


def _check_status_line(resp: httpx.Response) -> None:
    """Raise RemoteProtocolError unless a response is a final one of HTTP/1.

    The parser of httpx accepts each status of three digits from 100 on, and
    each version of two digits.
    """
    version = resp.extensions.get("http_version")
    if version not in _HTTP_VERSIONS:
        raise httpx.RemoteProtocolError(f"response of version {version!r}")
    if resp.status_code not in _FINAL_STATUSES:
        raise httpx.RemoteProtocolError(
            f"status {resp.status_code} is not of a final response"
        )


class _ResponseStream(httpx.AsyncByteStream):
    """Read a response and release its connection exactly once."""

    def __init__(
        self,
        resp: httpx.Response,
        pool: OriginTransport,
        origin: _Origin,
        conn: _Connection,
        is_reusable: bool,
    ) -> None:
        assert isinstance(resp.stream, httpx.AsyncByteStream)
        self._inner = resp.stream
        self._resp = weakref.ref(resp)
        self._pool = pool
        self._origin = origin
        self._conn: _Connection | None = conn
        self._is_reusable = is_reusable
        self._size = 0
        self.is_passed_on = False
        self.exchange: Exchange | None = None
        pool.open_response()

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        exchange = self.exchange
        if exchange is not None:
            exchange.begin_read()
        try:
            async for data in self._inner:
                self._hold(data)
                if exchange is not None:
                    exchange.record_bytes()
                yield data
                if exchange is not None:
                    exchange.begin_read()
                if self.is_passed_on:
                    self._pool.hold(-self._size, 0)
                    self._size = 0
        except ResponseTooLargeError:
            raise
        except httpx.HTTPError as exc:
            if exchange is not None:
                await exchange.fail(exc)
            raise

    def _hold(self, data: bytes) -> None:
        self._size += len(data)
        if not self._pool.hold(len(data), self._size):
            _, host, port, *_ = self._origin
            raise ResponseTooLargeError(
                f"response from {host}:{port} is cut off after "
                f"{self._size} bytes; all responses hold "
                f"{self._pool.held_bytes} bytes"
            )

    async def aclose(self) -> None:
        conn, self._conn = self._conn, None
        resp = self._resp()
        if resp is not None:
            # The client wraps the stream in one that refers to the response.
            # That cycle kept the bodies of the request and the response until
            # the next garbage collection: up to 23 calls of 1.2 MB each.
            resp.stream = self
        if self.exchange is not None:
            self.exchange.close()
        try:
            await self._inner.aclose()
        finally:
            if conn is not None:
                self._pool.close_response(self._size)
                await self._pool.release(self._origin, conn, self._is_reusable)


class Client(httpx.AsyncClient):
    """Send requests that don't depend on one another.

    It keeps no cookies, which would pass from one caller to another, and
    raises only HTTP errors, also for requests that can't be built.
    """

    def __init__(self, **options: typing.Any) -> None:
        """Set the options of the base class."""
        super().__init__(**options)
        self.cookies.jar.set_policy(
            cookiejar.DefaultCookiePolicy(allowed_domains=())
        )

    def build_request(
        self, method: str, url: httpx.URL | str, **options: typing.Any
    ) -> httpx.Request:
        """Return a request; raise InvalidRequestError if it is invalid."""
        try:
            request = super().build_request(method, url, **options)
            # The same conversion and check take place while connecting, where
            # their errors reach the caller in exception groups.
            request.url.host.encode("idna")
            if request.url.port is not None:
                addresses.check_port(request.url.port)
            return request
        except (httpx.InvalidURL, ValueError) as exc:
            raise InvalidRequestError(f"{url}: {exc}") from exc


def create_client(
    pool: httpx.AsyncBaseTransport | None = None,
) -> httpx.AsyncClient:
    """Return an HTTP client without default headers, on a new pool if None.

    Endpoints receive the caller's headers; an Accept-Encoding header added
    by the client would change the bytes of their responses.
    """
    client = Client(transport=pool or OriginTransport(), trust_env=False)
    client.headers.clear()
    return client
