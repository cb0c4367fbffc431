"""ASGI app of the platform's caller interface.

Decodes each call, passes it to the gateway and encodes the response.
"""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio
import httpx
import result

from hibiscussaddle.batches import footprint
from hibiscussaddle.batches import slices
from hibiscussaddle.callers import bodies
from hibiscussaddle.callers import memory
from hibiscussaddle.callers import writing
from hibiscussaddle import codes
from hibiscussaddle.customers import batch_access
from hibiscussaddle.customers import headers as customer_headers
from hibiscussaddle.customers import priority
from hibiscussaddle import decoding
from hibiscussaddle import gateway as gateway_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import batch_wire
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config
from hibiscussaddle.streaming import caller_sink

_LOG = logging.getLogger(__name__)

Scope: typing.TypeAlias = typing.MutableMapping[str, typing.Any]
Receive: typing.TypeAlias = abc.Callable[[], abc.Awaitable[typing.Any]]
Send: typing.TypeAlias = abc.Callable[[typing.Any], abc.Awaitable[None]]

# Applies to calls without a deadline header.
_DEFAULT_TIMEOUT_SECONDS: typing.Final = 30.0
# Upper limit of the time that a read waits for its first result.
_MAX_READ_WAIT_SECONDS: typing.Final = 1.0

_JSON_HEADERS: typing.Final = (("content-type", "application/json"),)


@dataclasses.dataclass(frozen=True)
class _Call:
    """Represent one HTTP call as received."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    # Monotonic time.
    arrived_at: float
    body: bodies.Body = b""
    # Accounts the body until the response is known.
    hold: memory.Hold | None = None
    # Takes the response to a call on a route of streams.
    sink: caller_sink.CallerSink | caller_sink.BufferingSink | None = None

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string if it is absent."""
        return next((v for n, v in self.headers if n == name), "")

    @property
    def authorization(self) -> tuple[str, ...]:
        """Return the values of all Authorization headers."""
        return tuple(v for n, v in self.headers if n == "authorization")

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the headers."""
        return bool(self.header("transfer-encoding")) or self.header(
            "content-length"
        ) not in ("", "0")


@dataclasses.dataclass(frozen=True)
class _Response:
    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    # Route name, or method and prefix of a batch call, for the metrics.
    route: str = "-"
    # Monotonic time of the first event of a stream, which is written already.
    first_event_at: float | None = None
    is_written: bool = False


_ACCEPTED: typing.Final = _Response(202, b"{}", _JSON_HEADERS)


Handler: typing.TypeAlias = abc.Callable[
    [gateway_lib.Gateway, _Call], abc.Awaitable[_Response]
]
# Handlers of batch calls, by method and path prefix.
_HANDLERS: typing.Final[dict[tuple[str, str], Handler]] = {}


def _handles(method: str, prefix: str) -> abc.Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS[method, prefix] = handler
        return handler

    return register


class Ingress:
    """Serve HTTP calls of callers and trainers."""

    def __init__(
        self,
        gateway: gateway_lib.Gateway,
        account: memory.Account | None = None,
    ) -> None:
        """Create an app that passes calls; None bounds no bytes."""
        self._gateway = gateway
        self._account = account or memory.Account()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        hold = self._account.open(bodies.HOLDER)
        try:
            await self._handle(scope, receive, send, hold)
        finally:
            hold.close()

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send, hold: memory.Hold
    ) -> None:
        arrived_at = time.monotonic()
        limit = self._gateway.limits.max_body_bytes
        call = _to_call(scope, arrived_at)
        timeout = _timeout_seconds(call)
        if call.has_body:
            early = self._early_refusal(call)
            if early is not None:
                route, refusal = early
                response = _refusal_response(refusal, call)
                self._gateway.on_response(
                    route.name, response.status, time.monotonic() - arrived_at
                )
                await _send_response(send, response, closes_connection=True)
                return
        # Nobody waits for the response after the deadline, and a caller that
        # was cut off without a reset would keep its request forever.
        with anyio.move_on_after(timeout) as body_scope:
            body = await bodies.read(
                receive, hold, bodies.announced_bytes(scope), limit
            )
        if body_scope.cancelled_caught:
            # The bytes are gone, while writing the response may take long.
            hold.close()
            refusal = codes.Refusal(
                codes.Code.BODY_INCOMPLETE,
                f"the body was not complete after {timeout:.3f} s",
            )
            response = _refusal_response(refusal, call)
            await _send_response(send, response, closes_connection=True)
            return
        if body is None:
            return
        if isinstance(body, codes.Refusal):
            hold.close()
            response = _refusal_response(body, call)
            await _send_response(send, response, closes_connection=True)
            return
        sink: caller_sink.CallerSink | caller_sink.BufferingSink
        if scope.get("http_version") == "1.1" and call.method != "HEAD":
            sink = caller_sink.CallerSink(
                send, scope, self._account, lambda: self._closes_connection
            )
        else:
            sink = caller_sink.BufferingSink(scope, self._account)
        call = dataclasses.replace(call, body=body, hold=hold, sink=sink)
        # The response is written without the body in memory.
        del body
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _cancel_on_disconnect, receive, tasks.cancel_scope
            )
            response = await self._respond(call)
            ended_at = response.first_event_at or time.monotonic()
            self._gateway.on_response(
                response.route, response.status, ended_at - arrived_at
            )
            call = dataclasses.replace(call, body=b"")
            hold.close()
            if response.is_written:
                # Without its last chunk the response is broken, and the
                # server closes the connection.
                tasks.cancel_scope.cancel()
                return
            with writing.account_response(
                self._account, scope, len(response.body)
            ) as written:
                await _send_response(
                    send, response, self._closes_connection, written
                )
            tasks.cancel_scope.cancel()

    def _early_refusal(
        self, call: _Call
    ) -> tuple[routing_config.Route, codes.Refusal] | None:
        """Return the route and the refusal of a caller without a valid key.

        The keys are checked again once the body is complete, with the
        configuration that is in force then.
        """
        if not self._gateway.needs_keys or _batch_handler(call) is not None:
            return None
        found = self._gateway.find_route(call.header("host"), call.path)
        if isinstance(found, result.Err):
            return None
        route = found.ok_value
        identity = self._gateway.identify(route, call.authorization)
        if isinstance(identity, result.Ok):
            return None
        return route, identity.err_value

    @property
    def _closes_connection(self) -> bool:
        return self._gateway.is_stopping

    async def _respond(self, call: _Call) -> _Response:
        try:
            with self._gateway.track_request():
                return await self._dispatch(call)
        except Exception:
            _LOG.exception(
                "event=request_crashed request=%s",
                call.header(endpoint_wire.REQUEST_ID_HEADER),
            )
            if (
                isinstance(call.sink, caller_sink.CallerSink)
                and call.sink.status is not None
            ):
                return _written(call.sink)
            refusal = codes.Refusal(
                codes.Code.INTERNAL,
                "unexpected error; see the log of the instance",
            )
            return _refusal_response(refusal, call)

    async def _dispatch(self, call: _Call) -> _Response:
        found_handler = _batch_handler(call)
        if found_handler is not None:
            name, handler = found_handler
            response = await handler(self._gateway, call)
            return dataclasses.replace(response, route=name)
        found = self._gateway.find_route(call.header("host"), call.path)
        if isinstance(found, result.Err):
            return _refusal_response(found.err_value, call)
        route = found.ok_value
        identity = self._gateway.identify(route, call.authorization)
        if isinstance(identity, result.Err):
            response = _refusal_response(identity.err_value, call)
            return dataclasses.replace(response, route=route.name)
        if self._gateway.needs_keys:
            headers = customer_headers.forwarded(call.headers)
            call = dataclasses.replace(call, headers=headers)
        handle = _forward
        if route.kind is routing_config.RouteKind.BATCH:
            handle = _submit
        response = await handle(self._gateway, route, identity.ok_value, call)
        return dataclasses.replace(response, route=route.name)


def _batch_handler(call: _Call) -> tuple[str, Handler] | None:
    """Return the name and the handler of a batch call, None for others."""
    for (method, prefix), handler in _HANDLERS.items():
        if call.method == method and call.path.startswith(prefix):
            return f"{method} {prefix}", handler
    return None


async def _forward(
    gateway: gateway_lib.Gateway,
    route: routing_config.Route,
    workspace: routing_config.Workspace | None,
    call: _Call,
) -> _Response:
    target = f"{call.path}?{call.query}" if call.query else call.path
    req = request_state.CallerRequest(
        id=call.header(endpoint_wire.REQUEST_ID_HEADER),
        method=call.method,
        target=target,
        host=call.header("host"),
        headers=call.headers,
        body=call.body,
        timeout=_timeout_seconds(call),
        arrived_at=call.arrived_at,
        workspace=workspace.name if workspace else "",
        priority=priority.effective_priority(workspace, route),
    )
    if route.kind is routing_config.RouteKind.STREAM and call.sink:
        return await _stream(gateway, route, req, call, call.sink)
    return _forwarded(await gateway.forward(req, route), call)


async def _stream(
    gateway: gateway_lib.Gateway,
    route: routing_config.Route,
    req: request_state.CallerRequest,
    call: _Call,
    sink: caller_sink.CallerSink | caller_sink.BufferingSink,
) -> _Response:
    # The account may end the stream, also before its first event.
    stream = request_state.StreamResult(None)
    with sink.accounted():
        stream = await gateway.forward_stream(req, route, sink)
    if stream.response is not None:
        return _forwarded(stream.response, call)
    if isinstance(sink, caller_sink.CallerSink):
        return _written(sink)
    if not stream.is_complete or sink.status is None:
        refusal = codes.Refusal(
            codes.Code.STREAM_BROKEN, "the stream ended before its end"
        )
        return _refusal_response(refusal, call)
    return _Response(sink.status, bytes(sink.body), sink.headers)


def _forwarded(response: request_state.Response, call: _Call) -> _Response:
    if isinstance(response, codes.Refusal):
        return _refusal_response(response, call)
    return _Response(response.status, response.body, response.headers)


def _written(sink: caller_sink.CallerSink) -> _Response:
    """Return what is recorded of a stream that the caller has got."""
    return _Response(
        sink.status or httpx.codes.OK,
        first_event_at=sink.started_at,
        is_written=True,
    )


async def _submit(
    gateway: gateway_lib.Gateway,
    route: routing_config.Route,
    workspace: routing_config.Workspace | None,
    call: _Call,
) -> _Response:
    if call.method != "POST":
        refusal = codes.Refusal(
            codes.Code.BAD_REQUEST,
            f"a batch is submitted with POST, not {call.method}",
        )
        return _refusal_response(refusal, call)
    batch_id = call.header(endpoint_wire.REQUEST_ID_HEADER)
    name = workspace.name if workspace else ""
    if call.hold is not None and not call.hold.resize(
        footprint.decoding_bytes(call.body)
    ):
        _release_body(call)
        full = await gateway.refuse_batch(batch_id, name, bodies.memory_full())
        return _refusal_response(full, call) if full else _ACCEPTED
    try:
        batch = await slices.run(
            batch_wire.decode_batch_in_slices(
                batch_id, route.name, route.host, call.body, time.time()
            )
        )
    except ValueError as exc:
        refusal = codes.Refusal(codes.Code.BAD_REQUEST, str(exc))
        return _refusal_response(refusal, call)
    size = _release_body(call)
    if size and call.hold is not None:
        call.hold.force(footprint.WRITING_COPIES * size)
    if gateway.needs_keys:
        batch = batch_access.assign(batch, name)
    submit_refusal = await gateway.submit(batch, _timeout_seconds(call))
    if submit_refusal is not None:
        return _refusal_response(submit_refusal, call)
    return _ACCEPTED


def _release_body(call: _Call) -> int:
    """Release a long body, which others still refer to; return its bytes.

    Short bodies stay as they are, for which this returns 0.
    """
    if not isinstance(call.body, bytearray):
        return 0
    size = len(call.body)
    call.body.clear()
    if call.hold is not None:
        call.hold.force(0)
    return size


@_handles("GET", batch_wire.RESULTS_PATH)
async def _read_results(
    gateway: gateway_lib.Gateway, call: _Call
) -> _Response:
    batch_id = call.path.removeprefix(batch_wire.RESULTS_PATH)
    try:
        position = batch_wire.decode_position(call.query)
        wait_ms = decoding.parse_amount(
            call.header(batch_wire.WAIT_HEADER) or "0"
        )
    except ValueError as exc:
        refusal = codes.Refusal(codes.Code.BAD_REQUEST, str(exc))
        return _refusal_response(refusal, call)
    identity = await gateway.identify_for_batch(batch_id, call.authorization)
    if isinstance(identity, result.Err):
        return _refusal_response(identity.err_value, call)
    wait = min(wait_ms / 1000, _MAX_READ_WAIT_SECONDS)
    found = await gateway.batch_reader.results(
        batch_id,
        position,
        wait,
        batch_wire.MAX_PAGE_TEXT_BYTES,
        identity.ok_value,
    )
    if isinstance(found, result.Err):
        refusal = gateway.read_refusal(found.err_value, batch_id)
        return _refusal_response(refusal, call)
    body = batch_wire.encode_page(found.ok_value, position)
    return _Response(200, body, _JSON_HEADERS)


@_handles("GET", batch_wire.ITEMS_PATH)
async def _read_item(gateway: gateway_lib.Gateway, call: _Call) -> _Response:
    batch_id = call.path.removeprefix(batch_wire.ITEMS_PATH)
    try:
        item_id = batch_wire.decode_item_id(call.query)
    except ValueError as exc:
        refusal = codes.Refusal(codes.Code.BAD_REQUEST, str(exc))
        return _refusal_response(refusal, call)
    identity = await gateway.identify_for_batch(batch_id, call.authorization)
    if isinstance(identity, result.Err):
        return _refusal_response(identity.err_value, call)
    found = await gateway.batch_reader.item_body(
        batch_id, item_id, identity.ok_value
    )
    if isinstance(found, result.Err):
        refusal = gateway.read_refusal(found.err_value, batch_id)
        return _refusal_response(refusal, call)
    return _Response(200, found.ok_value)


@_handles("DELETE", batch_wire.RESULTS_PATH)
async def _end_batch(gateway: gateway_lib.Gateway, call: _Call) -> _Response:
    batch_id = call.path.removeprefix(batch_wire.RESULTS_PATH)
    identity = await gateway.identify_for_batch(batch_id, call.authorization)
    if isinstance(identity, result.Err):
        return _refusal_response(identity.err_value, call)
    refusal = await gateway.end_batch(batch_id, identity.ok_value)
    if refusal is not None:
        return _refusal_response(refusal, call)
    return _Response(200, b"{}", _JSON_HEADERS)


def _refusal_response(refusal: codes.Refusal, call: _Call) -> _Response:
    info = refusal.code.value
    headers = [("content-type", "text/plain; charset=utf-8")]
    request_id = call.header(endpoint_wire.REQUEST_ID_HEADER)
    if request_id:
        headers.append((endpoint_wire.REQUEST_ID_HEADER, request_id))
    if refusal.retry_after is not None:
        headers.append(("retry-after", f"{refusal.retry_after:.2f}"))
    logs.event(
        _LOG,
        "request_refused",
        request=request_id or "-",
        method=call.method,
        path=call.path,
        code=info.number,
        name=info.name,
        ran=info.ran,
        seconds=time.monotonic() - call.arrived_at,
        why=refusal.message,
    )
    text = f"{info.number} {info.name}: {refusal.message}\n"
    return _Response(info.http_status, text.encode(), tuple(headers))


def _timeout_seconds(call: _Call) -> float:
    raw = call.header(endpoint_wire.DEADLINE_MS_HEADER)
    if not raw:
        return _DEFAULT_TIMEOUT_SECONDS
    try:
        return decoding.parse_amount(raw) / 1000
    except ValueError as exc:
        logs.event(
            _LOG,
            "deadline_malformed",
            request=call.header(endpoint_wire.REQUEST_ID_HEADER),
            why=exc,
        )
    return _DEFAULT_TIMEOUT_SECONDS


def _to_call(scope: Scope, arrived_at: float) -> _Call:
    # Accepts servers that include the query string in raw_path.
    path, _, query = scope["raw_path"].decode("latin-1").partition("?")
    query = query or scope["query_string"].decode("latin-1")
    headers = tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    return _Call(scope["method"], path, query, headers, arrived_at)


async def _cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    """Cancel the request of a caller that closed its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _send_response(
    send: Send,
    response: _Response,
    closes_connection: bool,
    written: abc.Callable[[int], None] = lambda _: None,
) -> None:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
    ]
    headers.append((b"content-length", str(len(response.body)).encode()))
    if closes_connection:
        headers.append((b"connection", b"close"))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    if len(response.body) > bodies.PIECE_BYTES:
        # The server copies what the caller doesn't take at once.
        for piece in bodies.pieces(response.body):
            await send(
                {
                    "type": "http.response.body",
                    "body": piece,
                    "more_body": True,
                }
            )
            written(len(piece))
        await send({"type": "http.response.body"})
        return
    await send({"type": "http.response.body", "body": response.body})


def create_ready_app(gateway: gateway_lib.Gateway) -> typing.Any:
    """Return the ASGI app of the readiness check."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        why = gateway.not_ready_reason()
        status = httpx.codes.SERVICE_UNAVAILABLE if why else httpx.codes.OK
        response = _Response(status, f"{why or 'ready'}\n".encode())
        await _send_response(send, response, False)

    return app
