"""Run attempts of other instances at endpoints that they don't reach."""

import collections
from collections import abc
import contextlib
import dataclasses
import logging
import time
import typing

import anyio
import httpx
from starlette import routing
from starlette import types

from hibiscussaddle.adapters import connections
from hibiscussaddle.callers import bodies
from hibiscussaddle.callers import memory
from hibiscussaddle.callers import writing
from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import gateway_settings
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.relays import admission as admission_lib
from hibiscussaddle.relays import messages
from hibiscussaddle.relays import transport

_LOG = logging.getLogger(__name__)

_BODY_HOLDER: typing.Final = "relayed_bodies"
# Bodies of callers, some of which are longer in an encoding of our own.
MAX_BODY_BYTES: typing.Final = 64 << 20
# A reachable endpoint accepts a connection within milliseconds.
_CONNECT_TIMEOUT_SECONDS: typing.Final = 0.25
# Longest silence of an endpoint in an attempt without a time limit. Its sender
# gives up much earlier, unless it vanished without closing the connection.
_MAX_SILENCE_SECONDS: typing.Final = 60.0

_SERVED: typing.Final = "served"
_BROKEN: typing.Final = "broken"
_GIVEN_UP: typing.Final = "given_up"


class _DisconnectedError(Exception):
    """Signal that the sender has closed the connection."""


class _RefusedError(Exception):
    """Signal that an attempt gets no response of its endpoint."""

    def __init__(
        self,
        refusal: messages.Refusal,
        why: str = "-",
        retry_after: float | None = None,
    ) -> None:
        super().__init__(refusal.value)
        self.refusal = refusal
        self.why = why
        self.retry_after = retry_after


@dataclasses.dataclass(frozen=True)
class _Attempt:
    """Hold an attempt as it arrived."""

    head: messages.Head
    endpoint: endpoints.Endpoint
    body: bodies.Body
    # Monotonic seconds.
    arrived_at: float


class _Request:
    """Receive the request of a sender."""

    def __init__(self, receive: types.Receive) -> None:
        self._receive = receive
        self._is_complete = False
        # Bytes that were received together with the head.
        self._rest = b""

    async def receive(self) -> bodies.Message:
        """Return the next part of the body."""
        if self._rest or self._is_complete:
            rest, self._rest = self._rest, b""
            return {
                "type": "http.request",
                "body": rest,
                "more_body": not self._is_complete,
            }
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise _DisconnectedError
        self._is_complete = not message.get("more_body")
        return message

    async def read_head(self) -> messages.Head:
        """Return the head, before the body has arrived."""
        data = bytearray()
        while True:
            message = await self.receive()
            data += message.get("body", b"")
            try:
                found = messages.split_head(data)
            except ValueError as exc:
                raise _RefusedError(
                    messages.Refusal.REJECTED, str(exc)
                ) from exc
            if found is not None:
                head, self._rest = found
                return head
            if self._is_complete:
                raise _RefusedError(
                    messages.Refusal.REJECTED, "the head is incomplete"
                )

    async def discard(self) -> None:
        """Receive the rest: senders read no response before they sent all."""
        self._rest = b""
        while not self._is_complete:
            await self.receive()

    async def wait_closed(self) -> None:
        """Wait until the sender closes the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass


class RelayService:
    """Serve the attempts of others as an ASGI app."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        view: view_lib.View,
        limiter: limiter_lib.Limiter,
        account: memory.Account,
        admission: admission_lib.Admission,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Send attempts over a shared client, but never through a peer."""
        # Attempts by outcome since the start.
        self.outcomes: collections.Counter[str] = collections.Counter()
        # Returns whether this instance doesn't reach a service either.
        self.is_cut: abc.Callable[[str], bool] = lambda _: False
        # Returns whether this instance takes no more attempts.
        self.is_stopping: abc.Callable[[], bool] = lambda: False
        self._client = client
        self._view = view
        self._limiter = limiter
        self._account = account
        self._admission = admission
        self._clock = clock
        self._scopes: set[anyio.CancelScope] = set()

    @property
    def running(self) -> int:
        """Return the number of attempts that run for others."""
        return self._admission.running

    def end_attempts(self) -> None:
        """End every running attempt; its outcome is unknown to its sender."""
        for scope in self._scopes:
            scope.cancel()

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve one attempt."""
        arrived_at = self._clock()
        request = _Request(receive)
        head: messages.Head | None = None
        try:
            try:
                head = await request.read_head()
                await self._serve(head, arrived_at, request, scope, send)
            except _RefusedError as exc:
                self._record_refusal(head, exc)
                await request.discard()
                await _send_refusal(send, exc)
        except _DisconnectedError:
            self._record_end(head, _GIVEN_UP, arrived_at)

    async def _serve(
        self,
        head: messages.Head,
        arrived_at: float,
        request: _Request,
        scope: types.Scope,
        send: types.Send,
    ) -> None:
        """Run an attempt and return what the endpoint responds."""
        endpoint = self._find_endpoint(head)
        retry_after = self._admission.admit(head.sender, self._clock())
        if retry_after is not None:
            raise _RefusedError(
                messages.Refusal.BUSY, "too many attempts", retry_after
            )
        try:
            with contextlib.closing(self._account.open(_BODY_HOLDER)) as hold:
                body = await _read_body(request, hold, scope)
                attempt = _Attempt(head, endpoint, body, arrived_at)
                await self._run(attempt, request, scope, send)
        finally:
            self._admission.release(head.sender, self._clock() - arrived_at)

    def _find_endpoint(self, head: messages.Head) -> endpoints.Endpoint:
        """Return the endpoint; raise _RefusedError if it gets no attempt."""
        if self.is_stopping():
            raise _RefusedError(messages.Refusal.STOPPING)
        if self.is_cut(head.service):
            raise _RefusedError(messages.Refusal.CUT_OFF)
        endpoint = self._view.directory.get(head.endpoint_id)
        if endpoint is None or endpoint.incarnation != head.incarnation:
            raise _RefusedError(
                messages.Refusal.UNLISTED,
                f"incarnation {endpoint.incarnation}" if endpoint else "-",
            )
        if self._view.directory.is_draining(endpoint):
            raise _RefusedError(messages.Refusal.LEAVING)
        return endpoint

    async def _run(
        self,
        attempt: _Attempt,
        request: _Request,
        scope: types.Scope,
        send: types.Send,
    ) -> None:
        """Send an attempt and pass its response on until either side ends."""
        passage = _Passage(send, scope, self._account)
        seconds_left = self._seconds_left(attempt)
        if seconds_left == 0:
            raise _RefusedError(messages.Refusal.EXPIRED)
        refused: _RefusedError | None = _RefusedError(
            messages.Refusal.UNKNOWN, "its time is over"
        )
        is_closed = False
        with anyio.move_on_after(seconds_left) as limit:
            self._scopes.add(limit)
            try:
                async with anyio.create_task_group() as tasks:

                    async def watch() -> None:
                        nonlocal is_closed
                        await request.wait_closed()
                        if passage.is_complete:
                            # The server ends each request in this way.
                            return
                        is_closed = True
                        tasks.cancel_scope.cancel()

                    tasks.start_soon(watch)
                    refused = await self._pass_on(
                        attempt, seconds_left, passage
                    )
                    tasks.cancel_scope.cancel()
            finally:
                self._scopes.discard(limit)
        if is_closed:
            raise _DisconnectedError
        if refused is not None and passage.status is None:
            raise refused
        # Without its last chunk the response breaks off at the sender too.
        outcome = _BROKEN if refused is not None else _SERVED
        self._record_end(
            attempt.head,
            outcome,
            attempt.arrived_at,
            status=passage.status or 0,
            why=refused.why if refused is not None else "-",
        )

    async def _pass_on(
        self,
        attempt: _Attempt,
        seconds_left: float | None,
        passage: "_Passage",
    ) -> _RefusedError | None:
        """Pass a response on; return why it is missing or not complete."""
        try:
            resp = await self._client.send(
                self._build_request(attempt, seconds_left), stream=True
            )
        except messages.NotRelayedError as exc:
            return _RefusedError(messages.Refusal.CUT_OFF, _reason(exc))
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return _RefusedError(messages.Refusal.NOT_SENT, _reason(exc))
        except httpx.HTTPError as exc:
            return _RefusedError(messages.Refusal.UNKNOWN, _reason(exc))
        try:
            self._observe(attempt, resp)
            await passage.pass_on(resp)
        except httpx.HTTPError as exc:
            return _RefusedError(messages.Refusal.UNKNOWN, _reason(exc))
        finally:
            await resp.aclose()
        if not passage.is_complete:
            return _RefusedError(
                messages.Refusal.UNKNOWN, "its memory was needed"
            )
        return None

    def _build_request(
        self, attempt: _Attempt, seconds_left: float | None
    ) -> httpx.Request:
        head, body = attempt.head, attempt.body
        spent = self._clock() - attempt.arrived_at
        extensions: dict[str, typing.Any] = {
            "target": head.target,
            connections.PASSED_ON: lambda _: True,
            transport.ENDPOINT: attempt.endpoint,
            transport.DIRECT_ONLY: True,
        }
        if head.sends_no_probes:
            extensions[connections.NO_PROBES] = True
        connect = _CONNECT_TIMEOUT_SECONDS
        if seconds_left is not None:
            connect = min(connect, seconds_left)
        return self._client.build_request(
            head.method,
            attempt.endpoint.address,
            content=(
                bytes(body)
                if len(body) <= bodies.PIECE_BYTES
                else bodies.Pieces(body)
            ),
            headers=messages.shorten_deadline(head.headers, spent),
            timeout=httpx.Timeout(
                seconds_left or _MAX_SILENCE_SECONDS, connect=connect
            ),
            extensions=extensions,
        )

    def _seconds_left(self, attempt: _Attempt) -> float | None:
        if attempt.head.seconds_left is None:
            return None
        spent = self._clock() - attempt.arrived_at
        return max(0.0, attempt.head.seconds_left - spent)

    def _observe(self, attempt: _Attempt, resp: httpx.Response) -> None:
        """Record what the response says of the endpoint, if it is its own."""
        request_id = attempt.head.request_id
        echoed = resp.headers.get(endpoint_wire.REQUEST_ID_HEADER)
        if echoed in (None, request_id):
            self._limiter.observe(attempt.endpoint, resp, request_id)

    def _record_end(
        self,
        head: messages.Head | None,
        outcome: str,
        arrived_at: float,
        status: int = 0,
        why: str = "-",
    ) -> None:
        self.outcomes[outcome] += 1
        if head is None:
            return
        logs.event(
            _LOG,
            "relayed_attempt_served",
            request=head.request_id or "-",
            endpoint=head.endpoint_id,
            sender=head.sender,
            outcome=outcome,
            seconds=self._clock() - arrived_at,
            status=status,
            why=why,
        )

    def _record_refusal(
        self, head: messages.Head | None, exc: _RefusedError
    ) -> None:
        self.outcomes[exc.refusal.value] += 1
        logs.event(
            _LOG,
            "relayed_attempt_refused",
            request=(head.request_id if head else "") or "-",
            endpoint=head.endpoint_id if head else "-",
            sender=head.sender if head else "-",
            refusal=exc.refusal.value,
            why=exc.why,
        )


class _Passage:
    """Write the response of an endpoint to the sender as it arrives."""

    def __init__(
        self, send: types.Send, scope: types.Scope, account: memory.Account
    ) -> None:
        # Status of the response once its head is written.
        self.status: int | None = None
        # Whether the response has ended; its last chunk may be unsent.
        self.is_complete = False
        self._send = send
        self._scope = scope
        self._account = account

    async def pass_on(self, resp: httpx.Response) -> None:
        """Write a response; raise httpx errors if it breaks off.

        send() returns once the connection has room, so that a slow sender
        slows the endpoint down, and nothing piles up here.
        """
        with writing.hold_response(self._account, self._scope) as hold:
            self.status = resp.status_code
            await self._send(
                {
                    "type": "http.response.start",
                    "status": httpx.codes.OK,
                    "headers": messages.encode_response_headers(resp),
                }
            )
            async for data in resp.aiter_raw():
                hold.force(len(data))
                await self._send(
                    {
                        "type": "http.response.body",
                        "body": data,
                        "more_body": True,
                    }
                )
                hold.moved_bytes += len(data)
                hold.force(0)
            self.is_complete = True
            await self._send({"type": "http.response.body", "body": b""})


async def _read_body(
    request: _Request, hold: memory.Hold, scope: types.Scope
) -> bodies.Body:
    """Return the body of an attempt; raise _RefusedError without room."""
    body = await bodies.read(
        request.receive, hold, bodies.announced_bytes(scope), MAX_BODY_BYTES
    )
    if isinstance(body, codes.Refusal):
        is_busy = body.code is codes.Code.MEMORY_FULL
        raise _RefusedError(
            messages.Refusal.BUSY if is_busy else messages.Refusal.REJECTED,
            body.message,
            body.retry_after,
        )
    # The request raises when the sender closes the connection.
    assert body is not None
    return body


async def _send_refusal(send: types.Send, exc: _RefusedError) -> None:
    status, headers = messages.encode_refusal(exc.refusal, exc.retry_after)
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b""})


def _reason(exc: Exception) -> str:
    return str(exc) or type(exc).__name__


def create_service(
    cfg: gateway_settings.GatewaySettings,
    client: httpx.AsyncClient,
    view: view_lib.View,
    limiter: limiter_lib.Limiter,
    account: memory.Account,
) -> RelayService:
    """Return the service of an instance with the bound of its capacity."""
    limit = admission_lib.bound(
        cfg.cpu_share * cfg.cpu_cores, account.budget, cfg.file_descriptors
    )
    return RelayService(
        client, view, limiter, account, admission_lib.Admission(limit)
    )


def create_route(service: RelayService) -> routing.Route:
    """Return the route at which peers send their attempts."""
    return routing.Route(messages.PATH, service, methods=["POST"])
