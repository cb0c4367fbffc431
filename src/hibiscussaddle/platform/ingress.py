"""ASGI app of the platform's caller interface.

Decodes each call, hands it to the gateway and encodes the answer.
"""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio
import httpx
import result

from hibiscussaddle import codes
from hibiscussaddle import gateway as gateway_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import batch_wire
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import routing_config

_LOG = logging.getLogger(__name__)

Scope: typing.TypeAlias = typing.MutableMapping[str, typing.Any]
Receive: typing.TypeAlias = abc.Callable[[], abc.Awaitable[typing.Any]]
Send: typing.TypeAlias = abc.Callable[[typing.Any], abc.Awaitable[None]]

# Time allowed to callers that name none, in seconds.
_DEFAULT_PATIENCE: typing.Final = 30.0
# Longest wait of a read for its first result, in seconds.
_LONGEST_WAIT: typing.Final = 1.0

_JSON: typing.Final = (("content-type", "application/json"),)


@dataclasses.dataclass(frozen=True)
class _Call:
    """Hold one HTTP call as it arrived."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_at: float

    def header(self, name: str) -> str:
        """Return a header's value, empty when it is absent."""
        return next((v for n, v in self.headers if n == name), "")


@dataclasses.dataclass(frozen=True)
class _Reply:
    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    # Name of the route, or of the batch call, for the metrics.
    route: str = "-"


Handler: typing.TypeAlias = abc.Callable[
    [gateway_lib.Gateway, _Call], abc.Awaitable[_Reply]
]
# Handlers of the batch calls, by method and path prefix.
_HANDLERS: typing.Final[dict[tuple[str, str], Handler]] = {}


def _handler(method: str, prefix: str) -> abc.Callable[[Handler], Handler]:
    def register(handler: Handler) -> Handler:
        _HANDLERS[method, prefix] = handler
        return handler

    return register


class Ingress:
    """Serve the calls of callers and trainers."""

    def __init__(self, gateway: gateway_lib.Gateway) -> None:
        """Serve with the gateway's decisions."""
        self._gateway = gateway

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        arrived_at = time.monotonic()
        limit = self._gateway.limits.max_body_bytes
        body = await _read_body(receive, limit)
        if body is None:
            return
        call = _to_call(scope, body, arrived_at)
        if len(body) > limit:
            refusal = codes.Refusal(
                codes.Code.TOO_LARGE, f"the body exceeds {limit} bytes"
            )
            await _send_reply(send, _refused(refusal, call), self._closes)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_gone, receive, tasks.cancel_scope)
            reply = await self._answer(call)
            self._gateway.on_answer(
                reply.route, reply.status, time.monotonic() - arrived_at
            )
            await _send_reply(send, reply, self._closes)
            tasks.cancel_scope.cancel()

    @property
    def _closes(self) -> bool:
        return self._gateway.stopping

    async def _answer(self, call: _Call) -> _Reply:
        try:
            with self._gateway.count_request():
                return await self._dispatch(call)
        except Exception:
            _LOG.exception(
                "event=request_crashed request=%s",
                call.header(endpoint_wire.REQUEST_ID),
            )
            refusal = codes.Refusal(
                codes.Code.INTERNAL, "an unexpected error; see the log"
            )
            return _refused(refusal, call)

    async def _dispatch(self, call: _Call) -> _Reply:
        for (method, prefix), handler in _HANDLERS.items():
            if call.method == method and call.path.startswith(prefix):
                reply = await handler(self._gateway, call)
                return dataclasses.replace(reply, route=f"{method} {prefix}")
        found = self._gateway.find_route(call.header("host"), call.path)
        if isinstance(found, result.Err):
            return _refused(found.err_value, call)
        route = found.ok_value
        answer = _forward
        if route.kind is routing_config.RouteKind.BATCH:
            answer = _submit
        reply = await answer(self._gateway, route, call)
        return dataclasses.replace(reply, route=route.name)


async def _forward(
    gateway: gateway_lib.Gateway, route: routing_config.Route, call: _Call
) -> _Reply:
    target = f"{call.path}?{call.query}" if call.query else call.path
    req = forward.CallerRequest(
        id=call.header(endpoint_wire.REQUEST_ID),
        method=call.method,
        target=target,
        host=call.header("host"),
        headers=call.headers,
        body=call.body,
        timeout=_patience(call),
        arrived_at=call.arrived_at,
    )
    answer = await gateway.forward(req, route)
    if isinstance(answer, codes.Refusal):
        return _refused(answer, call)
    return _Reply(answer.status, answer.body, answer.headers)


async def _submit(
    gateway: gateway_lib.Gateway, route: routing_config.Route, call: _Call
) -> _Reply:
    if call.method != "POST":
        refusal = codes.Refusal(
            codes.Code.BAD_REQUEST, "a batch is submitted with POST"
        )
        return _refused(refusal, call)
    batch_id = call.header(endpoint_wire.REQUEST_ID)
    try:
        batch = batch_wire.decode_batch(
            batch_id, route.name, route.host, call.body, time.time()
        )
    except ValueError as exc:
        refusal = codes.Refusal(codes.Code.BAD_REQUEST, str(exc))
        return _refused(refusal, call)
    refused = await gateway.submit(batch, _patience(call))
    if refused is not None:
        return _refused(refused, call)
    return _Reply(202, b"{}", _JSON)


@_handler("GET", batch_wire.RESULTS_PATH)
async def _read_results(gateway: gateway_lib.Gateway, call: _Call) -> _Reply:
    batch_id = call.path.removeprefix(batch_wire.RESULTS_PATH)
    try:
        position = batch_wire.decode_position(call.query)
        wait_ms = float(call.header(batch_wire.WAIT) or 0)
    except ValueError as exc:
        refusal = codes.Refusal(codes.Code.BAD_REQUEST, str(exc))
        return _refused(refusal, call)
    wait = min(wait_ms / 1000, _LONGEST_WAIT)
    found = await gateway.reader.results(
        batch_id, position, wait, batch_wire.MAX_PAGE_BYTES
    )
    if isinstance(found, result.Err):
        refused = gateway.read_refusal(found.err_value, batch_id)
        return _refused(refused, call)
    body = batch_wire.encode_page(found.ok_value, position)
    return _Reply(200, body, _JSON)


@_handler("GET", batch_wire.ITEMS_PATH)
async def _read_item(gateway: gateway_lib.Gateway, call: _Call) -> _Reply:
    batch_id = call.path.removeprefix(batch_wire.ITEMS_PATH)
    try:
        item_id = batch_wire.decode_item_id(call.query)
    except ValueError as exc:
        refusal = codes.Refusal(codes.Code.BAD_REQUEST, str(exc))
        return _refused(refusal, call)
    found = await gateway.reader.item_body(batch_id, item_id)
    if isinstance(found, result.Err):
        refused = gateway.read_refusal(found.err_value, batch_id)
        return _refused(refused, call)
    return _Reply(200, found.ok_value)


@_handler("DELETE", batch_wire.RESULTS_PATH)
async def _end_batch(gateway: gateway_lib.Gateway, call: _Call) -> _Reply:
    batch_id = call.path.removeprefix(batch_wire.RESULTS_PATH)
    refused = await gateway.end_batch(batch_id)
    if refused is not None:
        return _refused(refused, call)
    return _Reply(200, b"{}", _JSON)


def _refused(refusal: codes.Refusal, call: _Call) -> _Reply:
    info = refusal.code.value
    headers = [("content-type", "text/plain; charset=utf-8")]
    request_id = call.header(endpoint_wire.REQUEST_ID)
    if request_id:
        headers.append((endpoint_wire.REQUEST_ID, request_id))
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
    return _Reply(info.http_status, text.encode(), tuple(headers))


def _patience(call: _Call) -> float:
    raw = call.header(endpoint_wire.DEADLINE)
    try:
        return float(raw) / 1000 if raw else _DEFAULT_PATIENCE
    except ValueError:
        logs.event(
            _LOG,
            "deadline_malformed",
            request=call.header(endpoint_wire.REQUEST_ID),
            value=raw,
        )
        return _DEFAULT_PATIENCE


def _to_call(scope: Scope, body: bytes, arrived_at: float) -> _Call:
    path, _, query = scope["raw_path"].decode("latin-1").partition("?")
    query = query or scope["query_string"].decode("latin-1")
    headers = tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    return _Call(scope["method"], path, query, headers, body, arrived_at)


async def _read_body(receive: Receive, limit: int) -> bytes | None:
    """Return the body, cut above the limit; None when the caller left."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if not message.get("more_body") or len(body) > limit:
            return bytes(body)


async def _cancel_when_gone(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    """Cancel the work for a caller that closed its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def _send_reply(send: Send, reply: _Reply, closes: bool) -> None:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in reply.headers
    ]
    headers.append((b"content-length", str(len(reply.body)).encode()))
    if closes:
        headers.append((b"connection", b"close"))
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": reply.body})


def create_ready_app(gateway: gateway_lib.Gateway) -> typing.Any:
    """Return the app of the readiness check."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        why = gateway.why_not_ready()
        status = httpx.codes.SERVICE_UNAVAILABLE if why else httpx.codes.OK
        reply = _Reply(status, f"{why or 'ready'}\n".encode())
        await _send_reply(send, reply, False)

    return app
