"""Ways to the store: directly, or through a peer that reaches it.

Some instances may be cut off from the store while their peers are not. A
peer passes calls on unchanged, so a lease or a batch is kept through it.
"""

from collections import abc
import logging
import time
import typing

import anyio
import httpx
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import logs
from hibiscussaddle.platform import store_wire

_LOG = logging.getLogger(__name__)

RELAY_PATH: typing.Final = "/v1/store"
# How often the direct way is tried while peers are used, in seconds.
_PROBE_SECONDS: typing.Final = 1.0
# A store that answers at all answers within this time, in seconds; sixty
# times its usual answer is 0.24 s.
_PROBE_TIMEOUT: typing.Final = 0.6
# The same when a peer says that it lost the store: the answer decides whether
# callers go elsewhere, and a slow store answers in 0.24 s.
_SUSPECT_TIMEOUT: typing.Final = 0.35
# Calls through peers that fail in a row until there is no way to the store:
# one bad peer must not count as none.
_LOST_FAILURES: typing.Final = 2
# How often a call through a peer is tried while there is no way, in
# seconds. All other calls fail at once, so that callers go elsewhere.
_RELAY_RETRY_SECONDS: typing.Final = 0.5
# A peer gives up before the caller does, so that its answer still arrives,
# in seconds.
_RELAY_MARGIN: typing.Final = 0.05

# Statuses with which the store turns an instance away.
_TURNED_AWAY: typing.Final = (
    httpx.codes.SERVICE_UNAVAILABLE,
    httpx.codes.TOO_MANY_REQUESTS,
)


class Transport(typing.Protocol):
    """Carry one call to the store."""

    async def send(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Return the store's answer; raise httpx errors without one."""


class DirectTransport:
    """Call the store over HTTP."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Use a shared HTTP client."""
        self._client = client
        self._url = url.rstrip("/")

    async def send(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Return the store's answer; raise httpx errors without one."""
        try:
            with anyio.fail_after(timeout):
                return await self._client.request(
                    call.method,
                    self._url + call.path,
                    params=call.params,
                    json=call.json,
                    timeout=timeout,
                )
        except TimeoutError as exc:
            raise httpx.ReadTimeout(f"no answer in {timeout} s") from exc


class RelayedCall(msgspec.Struct, frozen=True):
    """Carry a call of the store to a peer; the timeout is in seconds."""

    kind: str
    method: str
    path: str
    params: dict[str, str | int] | None
    json: typing.Any
    timeout: float


class FailoverTransport:
    """Call the store directly, or through peers while that fails."""

    def __init__(
        self,
        direct: DirectTransport,
        client: httpx.AsyncClient,
        peers: abc.Callable[[], abc.Sequence[str]],
    ) -> None:
        """Take the addresses of peers, nearest first."""
        self._direct = direct
        self._client = client
        self._peers = peers
        self._peer_number = 0
        # Calls through peers that failed since the last that succeeded;
        # None until one was made.
        self._relay_failures: int | None = None
        self._relay_at = 0.0
        # The newest peer that answered said that it has no store either.
        self._peers_lost = False
        # Monotonic seconds of the first failure of this outage.
        self._failed_at = 0.0
        # Called when the store answers directly again.
        self.on_recover: abc.Callable[[], None] = lambda: None
        self._failed = anyio.Event()
        # Set while run() has something to find out.
        self._wake = anyio.Event()
        self._watches: set[anyio.CancelScope] = set()

    @property
    def is_direct(self) -> bool:
        """Tell whether the store answers this instance."""
        return not self._failed.is_set()

    @property
    def is_unreachable(self) -> bool:
        """Tell whether no way to the store is known to work."""
        return self._failed.is_set() and self._relay_failures != 0

    def outage_seconds(self) -> float:
        """Return how long the store has failed everybody, 0 if it has not.

        An instance that reaches no peer is cut off itself; others may reach
        the store.
        """
        if not self.is_unreachable or not self._peers_lost:
            return 0.0
        return time.monotonic() - self._failed_at

    async def send(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Return the store's answer; raise httpx errors without one."""
        if not self._failed.is_set() or not self._peers():
            return await self.send_direct(call, timeout)
        now = time.monotonic()
        if (self._relay_failures or 0) >= _LOST_FAILURES:
            if now - self._relay_at < _RELAY_RETRY_SECONDS:
                raise httpx.ConnectError("no way to the store is known")
        self._relay_at = now
        return await self._relay(call, timeout)

    async def send_direct(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Call the store without a peer."""
        try:
            resp = await self._send_or_cancel(call, timeout)
        except httpx.HTTPError as exc:
            self._fail(str(exc) or type(exc).__name__)
            raise
        if resp.status_code in _TURNED_AWAY:
            self._fail(f"status {resp.status_code}")
        elif self._failed.is_set():
            self._recover()
        return resp

    async def _send_or_cancel(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """End a watch as soon as another call finds the store gone."""
        if call.kind != "watch":
            return await self._direct.send(call, timeout)
        scope = anyio.CancelScope()
        self._watches.add(scope)
        try:
            with scope:
                return await self._direct.send(call, timeout)
        finally:
            self._watches.discard(scope)
        raise httpx.ReadTimeout("the store stopped answering")

    async def _relay(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        peers = self._peers()
        peer = peers[self._peer_number % len(peers)]
        relayed = RelayedCall(
            call.kind,
            call.method,
            call.path,
            dict(call.params) if call.params else None,
            call.json,
            timeout - _RELAY_MARGIN,
        )
        try:
            with anyio.fail_after(timeout):
                resp = await self._client.post(
                    f"http://{peer}{RELAY_PATH}",
                    content=msgspec.msgpack.encode(relayed),
                    timeout=timeout,
                )
        except TimeoutError as exc:
            self._pass_over()
            raise httpx.ReadTimeout(f"no answer from peer {peer}") from exc
        except httpx.HTTPError:
            self._pass_over()
            raise
        self._peers_lost = resp.status_code in _TURNED_AWAY
        if self._peers_lost or resp.is_server_error:
            self._pass_over()
        else:
            self._relay_failures = 0
        return resp

    def _pass_over(self) -> None:
        """Take the next peer for the next call."""
        self._peer_number += 1
        self._relay_failures = (self._relay_failures or 0) + 1

    def request_probe(self) -> None:
        """Find out now whether the store answers directly."""
        self._wake.set()

    async def run(self) -> None:
        """Find out when the store answers directly again, or no more."""
        while True:
            await self._wake.wait()
            if self._failed.is_set():
                await anyio.sleep(_PROBE_SECONDS)
                await self._probe(_PROBE_TIMEOUT)
            else:
                self._wake = anyio.Event()
                await self._probe(_SUSPECT_TIMEOUT)

    async def _probe(self, timeout: float) -> None:
        probe = store_wire.scan("probe/", "", stale=True)
        try:
            await self.send_direct(probe, timeout)
        except httpx.HTTPError as exc:
            logs.event(_LOG, "store_probe_failed", logging.DEBUG, why=exc)

    def _fail(self, why: str) -> None:
        if not self._failed.is_set():
            logs.event(_LOG, "store_unreachable", logging.WARNING, why=why)
            self._failed.set()
            self._wake.set()
            self._failed_at = time.monotonic()
            self._peers_lost = False
        for scope in list(self._watches):
            scope.cancel()

    def _recover(self) -> None:
        logs.event(_LOG, "store_reachable")
        self._relay_failures = None
        self._failed = anyio.Event()
        self._wake = anyio.Event()
        self.on_recover()


def create_relay_route(path: FailoverTransport) -> routing.Route:
    """Return the route at which peers ask for calls of the store."""

    async def relay(req: requests.Request) -> responses.Response:
        try:
            asked = msgspec.msgpack.decode(await req.body(), type=RelayedCall)
        except ValueError as exc:
            logs.event(_LOG, "relay_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        if not path.is_direct:
            # Nothing was sent, so nothing was done.
            return responses.Response(status_code=503)
        call = store_wire.Call(
            asked.kind, asked.method, asked.path, asked.params, asked.json
        )
        try:
            resp = await path.send_direct(call, asked.timeout)
        except httpx.HTTPError as exc:
            logs.event(_LOG, "relay_failed", call=asked.kind, why=exc)
            return responses.Response(status_code=504)
        return responses.Response(resp.content, resp.status_code)

    return routing.Route(RELAY_PATH, relay, methods=["POST"])
