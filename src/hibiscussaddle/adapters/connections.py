"""Kept connections to endpoints, found without searching."""

import collections
from collections import abc
import socket
import ssl
import struct
import time
import typing

import httpx

MAX_IDLE_PER_ORIGIN: typing.Final = 256
# An abandoned connection is reset, so that the system does not deliver its
# bytes once a network partition heals.
_RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
# Probes find connections that went silent without a reset within about
# three seconds, so that a waiting call need not be repeated to find out.
_SOCKET_OPTIONS: typing.Final = (
    (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)
IDLE_SECONDS: typing.Final = 30.0
# Answers between two looks for connections that stayed idle too long.
_PRUNE_ANSWERS: typing.Final = 1000

# An answer above this size is cut, and its connection reset: a server in
# trouble may send bytes without end, and an instance has 200 MB for all its
# requests. Values of the store have a megabyte, batches a few.
MAX_RESPONSE_BYTES: typing.Final = 8 << 20

_Origin: typing.TypeAlias = tuple[str, str, int | None]


class ResponseTooLargeError(httpx.ReadError):
    """Tell that a server sends more than any answer has."""


class OriginTransport(httpx.AsyncBaseTransport):
    """Send each request over one of its origin's idle connections.

    The pool of httpx searches all its connections and waiting requests for
    every request, which took a third of the processor time under load. Here
    each transport of httpx holds one connection, and the one used last is
    taken first.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._idle: dict[
            _Origin, collections.deque[tuple[float, httpx.AsyncHTTPTransport]]
        ] = collections.defaultdict(collections.deque)
        # Connections without TLS need a context as well, but no trusted
        # certificates, which take 40 ms to load.
        self._plain = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._tls: ssl.SSLContext | None = None
        self._answers = 0

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send the request; its connection is idle again after the answer."""
        url = request.url
        origin = (url.scheme, url.host, url.port)
        idle = self._idle[origin]
        transport = idle.pop()[1] if idle else self._create(url.scheme)
        try:
            resp = await transport.handle_async_request(request)
        except BaseException:
            await transport.aclose()
            raise
        assert isinstance(resp.stream, httpx.AsyncByteStream)
        resp.stream = _Stream(resp.stream, self, origin, transport)
        return resp

    def _context(self, scheme: str) -> ssl.SSLContext:
        if scheme != "https":
            return self._plain
        if self._tls is None:
            self._tls = ssl.create_default_context()
        return self._tls

    def _create(self, scheme: str) -> httpx.AsyncHTTPTransport:
        limits = httpx.Limits(
            max_connections=1,
            max_keepalive_connections=1,
            keepalive_expiry=IDLE_SECONDS,
        )
        return httpx.AsyncHTTPTransport(
            verify=self._context(scheme),
            limits=limits,
            socket_options=_SOCKET_OPTIONS,
        )

    async def give_back(
        self, origin: _Origin, transport: httpx.AsyncHTTPTransport
    ) -> None:
        """Keep a connection for the next request of its origin."""
        idle = self._idle[origin]
        if len(idle) >= MAX_IDLE_PER_ORIGIN:
            await transport.aclose()
        else:
            idle.append((time.monotonic(), transport))
        self._answers += 1
        if self._answers % _PRUNE_ANSWERS == 0:
            await self._prune(time.monotonic() - IDLE_SECONDS)

    async def _prune(self, before: float) -> None:
        for origin, idle in list(self._idle.items()):
            while idle and idle[0][0] < before:
                await idle.popleft()[1].aclose()
            if not idle:
                self._idle.pop(origin, None)

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._prune(float("inf"))


class _Stream(httpx.AsyncByteStream):
    """Read an answer and give its connection back once."""

    def __init__(
        self,
        inner: httpx.AsyncByteStream,
        pool: OriginTransport,
        origin: _Origin,
        transport: httpx.AsyncHTTPTransport,
    ) -> None:
        self._inner = inner
        self._pool = pool
        self._origin = origin
        self._transport: httpx.AsyncHTTPTransport | None = transport

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        size = 0
        async for part in self._inner:
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                host, port = self._origin[1:]
                raise ResponseTooLargeError(
                    f"{host}:{port} sent over {MAX_RESPONSE_BYTES} bytes"
                )
            yield part

    async def aclose(self) -> None:
        transport, self._transport = self._transport, None
        try:
            await self._inner.aclose()
        finally:
            if transport is not None:
                await self._pool.give_back(self._origin, transport)


def create_client() -> httpx.AsyncClient:
    """Return an HTTP client that adds no headers of its own.

    Endpoints get the headers of the caller; an Accept-Encoding of ours
    would change the bytes of their answers.
    """
    client = httpx.AsyncClient(transport=OriginTransport(), trust_env=False)
    client.headers.clear()
    return client
