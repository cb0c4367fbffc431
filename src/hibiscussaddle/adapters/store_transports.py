"""Transports of store calls: direct, or relayed by a peer.

A network partition can cut off some instances from the store but not their
peers. A peer relays calls unchanged, so that an instance that is cut off keeps
its leases and batches.
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

from hibiscussaddle import decoding
from hibiscussaddle import logs
from hibiscussaddle.platform import store_wire

_LOG = logging.getLogger(__name__)

RELAY_PATH: typing.Final = "/v1/store"
# Interval of direct probes while calls are relayed.
_PROBE_INTERVAL_SECONDS: typing.Final = 1.0
# A store that is sixty times slower than usual responds in 0.24 s.
_PROBE_TIMEOUT_SECONDS: typing.Final = 0.6
# Shorter after a peer reports that it lost the store: the outcome decides
# whether callers are sent to other instances, and a slow store responds in
# 0.24 s.
_REQUESTED_PROBE_TIMEOUT_SECONDS: typing.Final = 0.35
# Consecutive relayed calls that fail before the store counts as unreachable:
# one faulty peer is not enough.
_MAX_RELAY_FAILURES: typing.Final = 2
# Interval at which one call is relayed while the store is unreachable. All
# other calls fail at once, so that callers try other instances.
_RELAY_RETRY_INTERVAL_SECONDS: typing.Final = 0.5
# The relaying peer times out before its caller, so that its response still
# arrives.
_RELAY_MARGIN_SECONDS: typing.Final = 0.05

# Statuses with which the store rejects a call without running it.
_REJECTED_STATUSES: typing.Final = (
    httpx.codes.SERVICE_UNAVAILABLE,
    httpx.codes.TOO_MANY_REQUESTS,
)


class Transport(typing.Protocol):
    """Send calls to the store."""

    async def send(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Return the store's response; raise httpx errors without one."""


class DirectTransport:
    """Call the store over HTTP."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Create a transport over a shared HTTP client."""
        self._client = client
        self._url = url.rstrip("/")

    async def send(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Return the store's response; raise httpx errors without one."""
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
            raise httpx.ReadTimeout(
                f"no response from the store within {timeout} s"
            ) from exc


class RelayedCall(msgspec.Struct, frozen=True):
    """Describe a store call that a peer relays; timeout in seconds."""

    kind: str
    method: str
    path: str
    params: dict[str, str | int] | None
    json: typing.Any
    timeout: float


class FailoverTransport:
    """Call the store directly, or through peers while it is unreachable."""

    def __init__(
        self,
        direct: DirectTransport,
        client: httpx.AsyncClient,
        peers: abc.Callable[[], abc.Sequence[str]],
    ) -> None:
        """Create a transport; peers returns addresses, nearest first."""
        self._direct = direct
        self._client = client
        self._peers = peers
        self._peer_index = 0
        # Relayed calls that failed since the last success; None before the
        # first relayed call of an outage.
        self._relay_failures: int | None = None
        self._relayed_at = 0.0
        # The last peer that responded cannot reach the store either.
        self._is_peer_cut_off = False
        # Monotonic time of the first failed direct call of this outage.
        self._failed_at = 0.0
        # Called when the store responds directly again.
        self.on_recover: abc.Callable[[], None] = lambda: None
        self._direct_failed = anyio.Event()
        # Set while run() has to probe the store.
        self._probe_needed = anyio.Event()
        self._watches: set[anyio.CancelScope] = set()

    @property
    def is_direct(self) -> bool:
        """Return whether the store responds to this instance."""
        return not self._direct_failed.is_set()

    @property
    def is_unreachable(self) -> bool:
        """Return whether neither the store nor a relaying peer responds."""
        return self._direct_failed.is_set() and self._relay_failures != 0

    def outage_seconds(self) -> float:
        """Return the duration of an outage that a peer has confirmed, else 0.

        An instance that reaches no peer may be cut off itself while others
        still reach the store.
        """
        if not self.is_unreachable or not self._is_peer_cut_off:
            return 0.0
        return time.monotonic() - self._failed_at

    async def send(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Return the store's response; raise httpx errors without one."""
        if not self._direct_failed.is_set() or not self._peers():
            return await self.send_direct(call, timeout)
        now = time.monotonic()
        if (self._relay_failures or 0) >= _MAX_RELAY_FAILURES:
            if now - self._relayed_at < _RELAY_RETRY_INTERVAL_SECONDS:
                raise httpx.ConnectError(
                    "neither the store nor a peer is reachable"
                )
        self._relayed_at = now
        return await self._relay(call, timeout)

    async def send_direct(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Call the store without a relay."""
        try:
            resp = await self._send_cancellable(call, timeout)
        except httpx.HTTPError as exc:
            self._mark_failed(str(exc) or type(exc).__name__)
            raise
        if resp.status_code in _REJECTED_STATUSES:
            self._mark_failed(f"status {resp.status_code}")
        elif self._direct_failed.is_set():
            self._mark_recovered()
        return resp

    async def _send_cancellable(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Cancel a watch as soon as another call fails to reach the store."""
        if call.kind != "watch":
            return await self._direct.send(call, timeout)
        scope = anyio.CancelScope()
        self._watches.add(scope)
        try:
            with scope:
                return await self._direct.send(call, timeout)
        finally:
            self._watches.discard(scope)
        # Reached only if the scope was cancelled.
        raise httpx.ReadTimeout("another call found the store unreachable")

    async def _relay(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        peers = self._peers()
        peer = peers[self._peer_index % len(peers)]
        relayed = RelayedCall(
            call.kind,
            call.method,
            call.path,
            dict(call.params) if call.params else None,
            call.json,
            timeout - _RELAY_MARGIN_SECONDS,
        )
        try:
            with anyio.fail_after(timeout):
                resp = await self._client.post(
                    f"http://{peer}{RELAY_PATH}",
                    content=msgspec.msgpack.encode(relayed),
                    timeout=timeout,
                )
        except TimeoutError as exc:
            self._record_relay_failure()
            raise httpx.ReadTimeout(f"no response from peer {peer}") from exc
        except httpx.HTTPError:
            self._record_relay_failure()
            raise
        self._is_peer_cut_off = resp.status_code in _REJECTED_STATUSES
        if self._is_peer_cut_off or resp.is_server_error:
            self._record_relay_failure()
        else:
            self._relay_failures = 0
        return resp

    def _record_relay_failure(self) -> None:
        """Count a failed relay and select another peer for the next call."""
        self._peer_index += 1
        self._relay_failures = (self._relay_failures or 0) + 1

    def request_probe(self) -> None:
        """Request an immediate probe of the direct connection."""
        self._probe_needed.set()

    async def run(self) -> None:
        """Probe the store during outages and after request_probe()."""
        while True:
            await self._probe_needed.wait()
            if self._direct_failed.is_set():
                await anyio.sleep(_PROBE_INTERVAL_SECONDS)
                await self._probe(_PROBE_TIMEOUT_SECONDS)
            else:
                self._probe_needed = anyio.Event()
                await self._probe(_REQUESTED_PROBE_TIMEOUT_SECONDS)

    async def _probe(self, timeout: float) -> None:
        probe = store_wire.scan("probe/", "", stale=True)
        try:
            await self.send_direct(probe, timeout)
        except httpx.HTTPError as exc:
            logs.event(_LOG, "store_probe_failed", logging.DEBUG, why=exc)

    def _mark_failed(self, why: str) -> None:
        if not self._direct_failed.is_set():
            logs.event(_LOG, "store_unreachable", logging.WARNING, why=why)
            self._direct_failed.set()
            self._probe_needed.set()
            self._failed_at = time.monotonic()
            self._is_peer_cut_off = False
        for scope in list(self._watches):
            scope.cancel()

    def _mark_recovered(self) -> None:
        logs.event(_LOG, "store_reachable")
        self._relay_failures = None
        self._direct_failed = anyio.Event()
        self._probe_needed = anyio.Event()
        self.on_recover()


def create_relay_route(transport: FailoverTransport) -> routing.Route:
    """Return the HTTP route at which peers request relayed calls."""

    async def relay(req: requests.Request) -> responses.Response:
        try:
            relayed = decoding.decode_msgpack(await req.body(), RelayedCall)
        except ValueError as exc:
            logs.event(_LOG, "relay_malformed", logging.WARNING, why=exc)
            return responses.Response(status_code=400)
        if not transport.is_direct:
            # The call is not sent, so it has no effect.
            return responses.Response(status_code=503)
        call = store_wire.Call(
            relayed.kind,
            relayed.method,
            relayed.path,
            relayed.params,
            relayed.json,
        )
        try:
            resp = await transport.send_direct(call, relayed.timeout)
        except httpx.HTTPError as exc:
            # The call may have taken effect.
            logs.event(_LOG, "relay_failed", call=relayed.kind, why=exc)
            return responses.Response(status_code=504)
        return responses.Response(resp.content, resp.status_code)

    return routing.Route(RELAY_PATH, relay, methods=["POST"])
