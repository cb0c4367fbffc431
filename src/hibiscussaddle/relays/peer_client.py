"""Send one attempt at an endpoint through a peer."""

import collections
from collections import abc
import dataclasses
import logging
import random
import time
import typing
import weakref

import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import presence
from hibiscussaddle import logs
from hibiscussaddle.relays import messages
from hibiscussaddle.relays import peer_choice

_LOG = logging.getLogger(__name__)

# A live peer accepts a connection within milliseconds, and the next one has to
# be asked while the caller still waits.
_CONNECT_TIMEOUT_SECONDS: typing.Final = 0.15
# Peers that get no connection to the endpoint, after which it counts as the
# endpoint's fault.
_MAX_NOT_SENT: typing.Final = 2

_HAS_NOT_RUN: typing.Final = "not_run"
_SERVED: typing.Final = "served"
_UNKNOWN: typing.Final = "unknown"


@dataclasses.dataclass
class _Attempt:
    """Hold what is known of one attempt while it is sent."""

    request: httpx.Request
    endpoint: endpoints.Endpoint
    head: messages.Head
    # Monotonic seconds at which it began.
    began_at: float
    # Read timeout of the request in seconds; None without one.
    limit: float | None
    tried: list[str] = dataclasses.field(default_factory=list)
    not_sent: int = 0
    why: str = "no peer may be asked"


class PeerRelay:
    """Send attempts through peers over a shared HTTP client."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        members: presence.Members,
        choice: peer_choice.PeerChoice,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Ask the other members; the clock is in monotonic seconds."""
        # Attempts by outcome since the start.
        self.outcomes: collections.Counter[str] = collections.Counter()
        # Requests to peers since the start.
        self.asked = 0
        self._client = client
        self._members = members
        self._choice = choice
        self._clock = clock

    @property
    def outstanding(self) -> int:
        """Return the number of attempts at peers."""
        return self._choice.outstanding

    async def send(
        self, request: httpx.Request, endpoint: endpoints.Endpoint
    ) -> httpx.Response:
        """Return the endpoint's response, which streams as it arrives.

        Raises:
            NotRelayedError: no peer took the attempt, which has not run.
            httpx.ConnectError: peers got no connection to the endpoint.
            httpx.HTTPError: any other; the attempt may have run.
        """
        attempt = self._begin(request, endpoint)
        for _ in range(peer_choice.MAX_PEERS):
            if self._seconds_left(attempt) == 0:
                attempt.why = "its time is over"
                break
            peer = self._choice.choose(
                self._members.all.values(),
                endpoint,
                attempt.tried,
                self._clock(),
            )
            if peer is None:
                break
            attempt.tried.append(peer.instance)
            resp = await self._ask(attempt, peer)
            if resp is not None:
                return resp
            if attempt.not_sent >= _MAX_NOT_SENT:
                self._record(attempt, _HAS_NOT_RUN)
                raise httpx.ConnectError(
                    f"no connection of {attempt.not_sent} peers to "
                    f"{endpoint.id}",
                    request=request,
                )
        self._record(attempt, _HAS_NOT_RUN)
        raise messages.NotRelayedError(
            f"{len(attempt.tried)} peers took no attempt at {endpoint.id}; "
            f"the last one: {attempt.why}",
            request=request,
        )

    def _begin(
        self, request: httpx.Request, endpoint: endpoints.Endpoint
    ) -> _Attempt:
        timeouts = request.extensions.get("timeout", {})
        target = request.extensions.get("target") or request.url.raw_path
        head = messages.Head(
            self._members.me.instance,
            endpoint.id,
            endpoint.incarnation,
            endpoint.service,
            request.method,
            target,
            tuple(request.headers.raw),
            sends_no_probes=bool(
                request.extensions.get(connections.NO_PROBES)
            ),
        )
        return _Attempt(
            request, endpoint, head, self._clock(), timeouts.get("read")
        )

    def _seconds_left(self, attempt: _Attempt) -> float | None:
        if attempt.limit is None:
            return None
        spent = self._clock() - attempt.began_at
        return max(0.0, attempt.limit - spent)

    async def _ask(
        self, attempt: _Attempt, peer: member_lib.Member
    ) -> httpx.Response | None:
        """Return the endpoint's response, None if the attempt has not run."""
        self.asked += 1
        sent_at = self._clock()
        self._choice.begin(peer)
        try:
            carrier = await self._send(attempt, peer)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            self._choice.end(peer)
            self._choice.record_silence(peer, self._clock())
            attempt.why = str(exc) or type(exc).__name__
            return None
        except httpx.HTTPError as exc:
            self._choice.end(peer)
            if isinstance(exc, httpx.TimeoutException):
                # The endpoint may be slow, rather than the peer.
                self._choice.record_given_up(peer, sent_at, self._clock())
            else:
                self._choice.record_silence(peer, self._clock())
            self._record(attempt, _UNKNOWN, type(exc).__name__)
            raise
        except BaseException:
            self._choice.end(peer)
            self._choice.record_given_up(peer, sent_at, self._clock())
            raise
        decoded = messages.decode_response(carrier)
        if decoded is None:
            self._choice.end(peer)
            await self._handle_refusal(attempt, peer, carrier)
            return None
        self._choice.record_served(
            peer, attempt.endpoint.service, self._clock()
        )
        self._record(attempt, _SERVED)
        stream = _RelayedStream(carrier, peer, self._choice, self._clock)
        return stream.create_response(*decoded)

    async def _handle_refusal(
        self,
        attempt: _Attempt,
        peer: member_lib.Member,
        carrier: httpx.Response,
    ) -> None:
        """Record a refusal; raise if the attempt may have run."""
        await carrier.aclose()
        refusal, retry_after = messages.decode_refusal(carrier)
        attempt.why = refusal.value
        if refusal is messages.Refusal.UNKNOWN:
            self._record(attempt, _UNKNOWN, f"status {carrier.status_code}")
            raise messages.UnknownOutcomeError(
                f"peer {peer.instance} got no response of "
                f"{attempt.endpoint.id}",
                request=attempt.request,
            )
        if refusal is messages.Refusal.NOT_SENT:
            attempt.not_sent += 1
        self._choice.record_refusal(
            peer, attempt.endpoint, refusal, self._clock(), retry_after
        )

    async def _send(
        self, attempt: _Attempt, peer: member_lib.Member
    ) -> httpx.Response:
        """Return the response of a peer, of which only the head was read."""
        spent = self._clock() - attempt.began_at
        seconds_left = self._seconds_left(attempt)
        headers = messages.shorten_deadline(attempt.head.headers, spent)
        head = messages.encode_head(
            messages.Head(
                attempt.head.sender,
                attempt.head.endpoint_id,
                attempt.head.incarnation,
                attempt.head.service,
                attempt.head.method,
                attempt.head.target,
                headers,
                seconds_left,
                attempt.head.sends_no_probes,
            )
        )
        request = self._client.build_request(
            "POST",
            f"http://{peer.peer_address}{messages.PATH}",
            content=_Content(head, attempt.request),
            headers=_length_headers(len(head), attempt.request),
            timeout=httpx.Timeout(
                seconds_left, connect=_CONNECT_TIMEOUT_SECONDS
            ),
            extensions=_extensions(attempt.request),
        )
        return await self._client.send(request, stream=True)

    def _record(
        self, attempt: _Attempt, outcome: str, why: str | None = None
    ) -> None:
        self.outcomes[outcome] += 1
        logs.event(
            _LOG,
            "attempt_relayed",
            request=attempt.head.request_id or "-",
            endpoint=attempt.endpoint.id,
            peer=attempt.tried[-1] if attempt.tried else "-",
            outcome=outcome,
            asked=len(attempt.tried),
            why=why or (attempt.why if outcome == _HAS_NOT_RUN else "-"),
        )


class _Content:
    """Send a head and the body of a request, which may be sent again."""

    def __init__(self, head: bytes, request: httpx.Request) -> None:
        self._head = head
        self._request = request

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        body = self._request.stream
        assert isinstance(body, abc.AsyncIterable)
        head: bytes | None = self._head
        async for piece in body:
            if head is not None:
                # A small request takes one packet.
                piece, head = head + piece, None
            yield piece
        if head is not None:
            yield head


def _length_headers(
    head_bytes: int, request: httpx.Request
) -> list[tuple[bytes, bytes]]:
    """Return the headers that frame the request to a peer."""
    length = request.headers.get("content-length")
    if length is None and "transfer-encoding" in request.headers:
        return []
    return [(b"content-length", b"%d" % (head_bytes + int(length or 0)))]


def _extensions(request: httpx.Request) -> dict[str, typing.Any]:
    """Return the extensions of the request that carries another one."""
    extensions: dict[str, typing.Any] = {}
    if connections.NO_PROBES in request.extensions:
        extensions[connections.NO_PROBES] = request.extensions[
            connections.NO_PROBES
        ]
    is_passed_on = request.extensions.get(connections.PASSED_ON)
    if is_passed_on is not None:

        def is_carrier_passed_on(carrier: httpx.Response) -> bool:
            decoded = messages.decode_response(carrier)
            if decoded is None:
                return False
            status, headers = decoded
            return bool(is_passed_on(httpx.Response(status, headers=headers)))

        extensions[connections.PASSED_ON] = is_carrier_passed_on
    return extensions


class _RelayedStream(httpx.AsyncByteStream):
    """Read the body of an endpoint's response from that of a peer."""

    def __init__(
        self,
        carrier: httpx.Response,
        peer: member_lib.Member,
        choice: peer_choice.PeerChoice,
        clock: abc.Callable[[], float],
    ) -> None:
        self._carrier = carrier
        self._peer = peer
        self._choice = choice
        self._clock = clock
        self._heard_at = clock()
        self._is_complete = False
        self._is_closed = False
        self._resp: weakref.ref[httpx.Response] | None = None

    def create_response(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> httpx.Response:
        """Return the response of the endpoint."""
        resp = httpx.Response(
            status,
            headers=headers,
            stream=self,
            extensions={
                "http_version": self._carrier.extensions["http_version"]
            },
        )
        self._resp = weakref.ref(resp)
        return resp

    async def __aiter__(self) -> abc.AsyncIterator[bytes]:
        async for data in self._carrier.aiter_raw():
            self._heard_at = self._clock()
            self._choice.record_data(self._peer, self._heard_at)
            yield data
        self._is_complete = True

    async def aclose(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._choice.end(self._peer)
        if not self._is_complete:
            self._choice.record_given_up(
                self._peer, self._heard_at, self._clock()
            )
        resp = self._resp() if self._resp is not None else None
        if resp is not None:
            # Ends the cycle of the response and the stream around this one
            # that the client adds.
            resp.stream = self
        await self._carrier.aclose()


def create_relay(
    client: httpx.AsyncClient,
    members: presence.Members,
    rng: random.Random,
) -> PeerRelay:
    """Return the relay of an instance over its shared HTTP client."""
    choice = peer_choice.PeerChoice(members.me.instance, rng)
    return PeerRelay(client, members, choice)
