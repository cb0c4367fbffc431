"""Bounded cache of nng sockets to peers."""

import asyncio
import collections
from collections import abc
import contextlib
import dataclasses
import typing

import pynng

from hibiscussaddle import settings

# Enough for all members of a zone; a fleet-wide broadcast uses 64 at a time.
MAX_SOCKETS: typing.Final = 128
_MAX_RECEIVE_BYTES: typing.Final = 1 << 20
_RECONNECT_MIN_MS: typing.Final = 50
_RECONNECT_MAX_MS: typing.Final = 1000
# All peers share one certificate name, since every replacement of an instance
# changes its address.
TLS_SERVER_NAME: typing.Final = "hibiscussaddle-peer"
# nng starts two task threads for each core of the machine by default, and an
# instance has one core.
_THREAD_COUNTS = (
    ("NNG_INIT_NUM_TASK_THREADS", 2),
    ("NNG_INIT_MAX_TASK_THREADS", 2),
    ("NNG_INIT_NUM_EXPIRE_THREADS", 1),
    ("NNG_INIT_MAX_EXPIRE_THREADS", 1),
    ("NNG_INIT_NUM_POLLER_THREADS", 1),
    ("NNG_INIT_MAX_POLLER_THREADS", 1),
    ("NNG_INIT_NUM_RESOLVER_THREADS", 1),
)


def _limit_threads() -> None:
    # Takes effect only before the process opens its first socket.
    for name, count in _THREAD_COUNTS:
        parameter = getattr(pynng.lib, name, None)
        if parameter is not None:
            pynng.lib.nng_init_set_parameter(parameter, count)


_limit_threads()

_T = typing.TypeVar("_T")
# Holds sockets that never connected, since pynng closes a socket that is
# garbage collected. nng once aborted a process that closed many sockets just
# after dialling ("pthread_mutex_lock: Invalid argument" in resolv_worker);
# this could not be reproduced.
_unconnected_sockets: list[pynng.Req0] = []


@dataclasses.dataclass(frozen=True)
class Tls:
    """Hold the PEM texts for TLS between peers."""

    authority: str
    certificate: str
    key: str


@dataclasses.dataclass
class _CachedSocket:
    sock: pynng.Req0
    users: int = 0


async def send(ctx: pynng.Context, frame: bytes, timeout: float) -> None:
    """Send within timeout seconds; if this raises, nothing was sent."""
    _set_timeout(ctx, b"send-timeout", timeout)
    await _close_on_cancel(ctx, _send(ctx, frame))


async def receive(ctx: pynng.Context, timeout: float | None = None) -> bytes:
    """Return the next frame; without a timeout, wait until closed."""
    _set_timeout(ctx, b"recv-timeout", timeout)
    return await _close_on_cancel(ctx, ctx.arecv())


def _set_timeout(
    ctx: pynng.Context, option: bytes, timeout: float | None
) -> None:
    milliseconds = -1 if timeout is None else max(int(timeout * 1000), 1)
    pynng.lib.nng_ctx_set_ms(ctx.context, option, milliseconds)


async def _send(ctx: pynng.Context, frame: bytes) -> None:
    msg = pynng.Message(frame)
    try:
        await ctx.asend_msg(msg)
    except pynng.NNGException:
        # nng leaves an unsent message to its caller to free, which pynng
        # does not do; without this, each failed send leaks its frame.
        msg._mem_freed = False
        raise


async def _close_on_cancel(
    ctx: pynng.Context, operation: abc.Coroutine[typing.Any, typing.Any, _T]
) -> _T:
    # pynng 0.9 swallows cancellations until nng has aborted the operation,
    # while anyio repeats them in each iteration of the event loop, which
    # delayed process exits by up to 11 s. Closing the context ends the
    # operation without cancelling it.
    task = asyncio.ensure_future(operation)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(_consume_exception)
        ctx.close()
        raise


def _consume_exception(task: "asyncio.Task[typing.Any]") -> None:
    if not task.cancelled():
        task.exception()


class SocketCache:
    """Cache one request socket per peer; evict the least recently used."""

    def __init__(self, tls: Tls | None, limit: int = MAX_SOCKETS) -> None:
        """Create a cache of at most limit sockets."""
        self._tls = tls
        self._limit = limit
        self._cached: collections.OrderedDict[str, _CachedSocket] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of open sockets."""
        return len(self._cached)

    def acquire(self, address: str) -> pynng.Req0 | None:
        """Return the socket of a peer; None if all cached ones are in use."""
        cached = self._cached.get(address)
        if cached is None:
            if len(self._cached) >= self._limit and not self._evict():
                return None
            cached = self._cached[address] = _CachedSocket(self._dial(address))
        self._cached.move_to_end(address)
        cached.users += 1
        return cached.sock

    def release(self, address: str) -> None:
        """Release one use of a socket."""
        cached = self._cached.get(address)
        if cached is not None:
            cached.users -= 1

    @contextlib.contextmanager
    def listen(self, address: str) -> abc.Iterator[pynng.Rep0]:
        """Yield a listening socket."""
        with pynng.Rep0(recv_max_size=_MAX_RECEIVE_BYTES) as sock:
            if self._tls is not None:
                sock.tls_config = pynng.TLSConfig(
                    pynng.TLSConfig.MODE_SERVER,
                    own_cert_string=self._tls.certificate,
                    own_key_string=self._tls.key,
                )
            sock.listen(self._url(address))
            yield sock

    def close(self) -> None:
        """Close connected sockets; the others are closed at process exit."""
        while self._cached:
            _, cached = self._cached.popitem()
            if cached.sock.pipes:
                cached.sock.close()
            else:
                _unconnected_sockets.append(cached.sock)

    def _evict(self) -> bool:
        for address, cached in self._cached.items():
            if cached.users == 0:
                del self._cached[address]
                cached.sock.close()
                return True
        return False

    def _dial(self, address: str) -> pynng.Req0:
        sock = pynng.Req0(
            # Disables resending by nng: a request that may have run must not
            # be retried unless its caller decides so.
            resend_time=-1,
            recv_max_size=_MAX_RECEIVE_BYTES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        if self._tls is not None:
            sock.tls_config = pynng.TLSConfig(
                pynng.TLSConfig.MODE_CLIENT,
                server_name=TLS_SERVER_NAME,
                ca_string=self._tls.authority,
            )
        sock.dial(self._url(address), block=False)
        return sock

    def _url(self, address: str) -> str:
        scheme = "tcp" if self._tls is None else "tls+tcp"
        return f"{scheme}://{address}"


def create_socket_cache(cfg: settings.Settings) -> SocketCache:
    """Return a cache that uses TLS if the settings name a CA."""
    if not (cfg.tls_ca and cfg.tls_cert):
        return SocketCache(None)
    texts = []
    for path in (cfg.tls_ca, cfg.tls_cert, cfg.tls_key):
        with open(path, encoding="ascii") as source:
            texts.append(source.read())
    return SocketCache(Tls(*texts))
