"""Open nng sockets to peers and keep a bounded number of them."""

import asyncio
import collections
from collections import abc
import contextlib
import dataclasses
import typing

import pynng

from hibiscussaddle import settings

# A whole zone's members fit, and a fleet-wide broadcast runs 64 at a time.
MAX_SOCKETS: typing.Final = 128
_MAX_RECEIVE_BYTES: typing.Final = 1 << 20
_RECONNECT_MIN_MS: typing.Final = 50
_RECONNECT_MAX_MS: typing.Final = 1000
# Addresses change with every replacement, so certificates carry one name
# for all peers.
TLS_NAME: typing.Final = "hibiscussaddle-peer"
# The default is two task threads for each core of the machine, and an
# instance has one core.
_THREADS = (
    ("NNG_INIT_NUM_TASK_THREADS", 2),
    ("NNG_INIT_MAX_TASK_THREADS", 2),
    ("NNG_INIT_NUM_EXPIRE_THREADS", 1),
    ("NNG_INIT_MAX_EXPIRE_THREADS", 1),
    ("NNG_INIT_NUM_POLLER_THREADS", 1),
    ("NNG_INIT_MAX_POLLER_THREADS", 1),
    ("NNG_INIT_NUM_RESOLVER_THREADS", 1),
)


def _limit_threads() -> None:
    # Has an effect only before the first socket of the process.
    for name, count in _THREADS:
        parameter = getattr(pynng.lib, name, None)
        if parameter is not None:
            pynng.lib.nng_init_set_parameter(parameter, count)


_limit_threads()

_T = typing.TypeVar("_T")
# nng aborted a process that closed many sockets just after their dial
# ("pthread_mutex_lock: Invalid argument" in resolv_worker); seen once and
# not reproduced. Kept here, since pynng closes a socket that is collected.
_unconnected: list[pynng.Req0] = []


@dataclasses.dataclass(frozen=True)
class Tls:
    """Hold the PEM texts of TLS between peers."""

    authority: str
    certificate: str
    key: str


@dataclasses.dataclass
class _Link:
    sock: pynng.Req0
    users: int = 0


async def send(ctx: pynng.Context, frame: bytes, timeout: float) -> None:
    """Send within timeout seconds; a frame that raises was not sent."""
    _set_timeout(ctx, b"send-timeout", timeout)
    await _until_closed(ctx, _send(ctx, frame))


async def receive(ctx: pynng.Context, timeout: float | None = None) -> bytes:
    """Return the next frame; without a timeout wait until closed."""
    _set_timeout(ctx, b"recv-timeout", timeout)
    return await _until_closed(ctx, ctx.arecv())


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
        # nng leaves an unsent message to its caller, and pynng forgets it:
        # each failed send would leak its frame.
        msg._mem_freed = False
        raise


async def _until_closed(
    ctx: pynng.Context, operation: abc.Coroutine[typing.Any, typing.Any, _T]
) -> _T:
    # pynng 0.9 swallows cancellations until nng has aborted the operation,
    # while anyio repeats them in every turn of the loop: exits took up to
    # 11 s. Closing the context ends the operation without cancelling it.
    task = asyncio.ensure_future(operation)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(_forget_outcome)
        ctx.close()
        raise


def _forget_outcome(task: "asyncio.Task[typing.Any]") -> None:
    if not task.cancelled():
        task.exception()


class SocketCache:
    """Cache one request socket for each peer, least recently used last."""

    def __init__(self, tls: Tls | None, limit: int = MAX_SOCKETS) -> None:
        """Hold at most limit sockets."""
        self._tls = tls
        self._limit = limit
        self._links: collections.OrderedDict[str, _Link] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of open sockets."""
        return len(self._links)

    def acquire(self, address: str) -> pynng.Req0 | None:
        """Return the socket of a peer; None when all others are in use."""
        link = self._links.get(address)
        if link is None:
            if len(self._links) >= self._limit and not self._evict():
                return None
            link = self._links[address] = _Link(self._dial(address))
        self._links.move_to_end(address)
        link.users += 1
        return link.sock

    def release(self, address: str) -> None:
        """End one use of a socket."""
        link = self._links.get(address)
        if link is not None:
            link.users -= 1

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
        """Close the connected sockets; the others end with the process."""
        while self._links:
            _, link = self._links.popitem()
            if link.sock.pipes:
                link.sock.close()
            else:
                _unconnected.append(link.sock)

    def _evict(self) -> bool:
        for address, link in self._links.items():
            if link.users == 0:
                del self._links[address]
                link.sock.close()
                return True
        return False

    def _dial(self, address: str) -> pynng.Req0:
        sock = pynng.Req0(
            # Never resent by nng: a request that may have run must not run
            # again without the caller's decision.
            resend_time=-1,
            recv_max_size=_MAX_RECEIVE_BYTES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        if self._tls is not None:
            sock.tls_config = pynng.TLSConfig(
                pynng.TLSConfig.MODE_CLIENT,
                server_name=TLS_NAME,
                ca_string=self._tls.authority,
            )
        sock.dial(self._url(address), block=False)
        return sock

    def _url(self, address: str) -> str:
        scheme = "tcp" if self._tls is None else "tls+tcp"
        return f"{scheme}://{address}"


def create_socket_cache(cfg: settings.Settings) -> SocketCache:
    """Return a cache with TLS when the settings name an authority."""
    if not (cfg.tls_ca and cfg.tls_cert):
        return SocketCache(None)
    texts = []
    for path in (cfg.tls_ca, cfg.tls_cert, cfg.tls_key):
        with open(path, encoding="ascii") as source:
            texts.append(source.read())
    return SocketCache(Tls(*texts))
