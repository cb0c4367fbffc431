"""HTTP interface for callers, trainers and the load balancer."""

from collections import abc
import contextlib
import dataclasses
import logging
import math
import re
import secrets
import typing

import anyio
import msgspec
import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle import handlers
from hibiscussaddle import lifecycle
from hibiscussaddle import logs
from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)
DEFAULT_DEADLINE_SECONDS: typing.Final = 600.0
MAX_DEADLINE_SECONDS: typing.Final = 86_400.0
_SERVICE_METHODS: typing.Final = (
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
)
_REQUEST_ID_PATTERN: typing.Final = re.compile(r"[A-Za-z0-9._:@/+-]{1,128}")


def create_app(runtime: runtime_lib.Runtime) -> applications.Starlette:
    """Return the ASGI app of the caller port."""
    chain = filters.create_chain(
        runtime, handlers.create_dispatch_handler(runtime)
    )

    def route(
        path: str, kind: exchange.Kind, methods: abc.Sequence[str]
    ) -> routing.Route:
        app = _RequestApp(runtime, chain, kind)
        return routing.Route(path, app, methods=list(methods))

    async def health(_: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def ready(_: requests.Request) -> responses.Response:
        is_ready = runtime.lifecycle.phase is lifecycle.Phase.READY
        marks = runtime.directory.marks
        if marks.is_marked(runtime.cfg.instance, runtime.incarnation):
            return responses.PlainTextResponse("leaving\n", 503)
        return responses.PlainTextResponse(
            f"{runtime.lifecycle.phase.value}\n", 200 if is_ready else 503
        )

    async def show_metrics(req: requests.Request) -> responses.Response:
        body, headers = runtime.callers.metrics.render(
            runtime.lifecycle.running, req.headers.getlist("accept")
        )
        return responses.Response(body, headers=headers)

    kind = exchange.Kind
    return applications.Starlette(
        routes=[
            route("/v1/chat/completions", kind.MODEL, ["POST"]),
            route(
                "/v1/services/{service}/{path:path}",
                kind.SERVICE,
                _SERVICE_METHODS,
            ),
            route("/v1/tickets", kind.TICKET, ["POST"]),
            route("/v1/steps", kind.STEP_OPEN, ["POST"]),
            route("/v1/steps/{trainer}/{step}/pull", kind.STEP_PULL, ["POST"]),
            routing.Route("/healthz", health),
            routing.Route("/readyz", ready),
            routing.Route("/metrics", show_metrics),
        ]
    )


@dataclasses.dataclass
class _RequestInfo:
    """Hold what the response and the log line need before the body is read."""

    request_id: str
    received_at: float
    log_fields: exchange.LogFields = dataclasses.field(
        default_factory=exchange.LogFields
    )


@dataclasses.dataclass(frozen=True)
class _RequestApp:
    """Serve one kind of request as an ASGI app."""

    runtime: runtime_lib.Runtime
    chain: exchange.Handler
    kind: exchange.Kind

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Count, handle and log one request."""
        instance_lifecycle, kind = self.runtime.lifecycle, self.kind.value
        info = _RequestInfo(secrets.token_hex(8), self.runtime.clock())
        # Counted until the last byte is written, so that a planned stop
        # waits for the request.
        instance_lifecycle.record_start(kind)
        is_complete = False
        try:
            req = await self._read_request(scope, receive, info)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    _cancel_on_disconnect, receive, tasks.cancel_scope
                )
                await self._respond(req, info, send)
                is_complete = True
                tasks.cancel_scope.cancel()
        except _DisconnectedError:
            pass
        finally:
            instance_lifecycle.record_end(kind)
            self._record(info, is_complete)

    async def _respond(
        self,
        req: result.Result[exchange.Request, codes.Refusal],
        info: _RequestInfo,
        send: types.Send,
    ) -> None:
        outcome: exchange.Outcome
        if isinstance(req, result.Err):
            outcome = req
        else:
            try:
                outcome = await self.chain(req.ok_value)
            except Exception as exc:
                _LOG.exception("event=failed request_id=%s", info.request_id)
                outcome = exchange.refuse(
                    codes.Code.INTERNAL, type(exc).__name__
                )
        if isinstance(outcome, result.Err):
            refusal = outcome.err_value
            info.log_fields.code = refusal.code
            await _send_refusal(refusal, info.request_id, send)
            return
        info.log_fields.code = outcome.ok_value.code
        await _send_response(outcome.ok_value, info.request_id, send)

    def _record(self, info: _RequestInfo, is_complete: bool) -> None:
        seconds = self.runtime.clock() - info.received_at
        code = info.log_fields.code.value.number
        self.runtime.callers.metrics.count(self.kind.value, code, seconds)
        logs.event(
            _LOG,
            "request",
            request_id=info.request_id,
            customer=info.log_fields.customer or "-",
            kind=self.kind.value,
            code=code,
            whole=is_complete,
            seconds=seconds,
        )

    async def _read_request(
        self, scope: types.Scope, receive: types.Receive, info: _RequestInfo
    ) -> result.Result[exchange.Request, codes.Refusal]:
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        caller_request_id = headers.get("x-request-id")
        if caller_request_id is not None and not _REQUEST_ID_PATTERN.fullmatch(
            caller_request_id
        ):
            return exchange.refuse(
                codes.Code.BAD_REQUEST,
                f"X-Request-Id does not match {_REQUEST_ID_PATTERN.pattern}",
            )
        info.request_id = caller_request_id or info.request_id
        seconds = _parse_deadline(headers.get("x-deadline-seconds"))
        if seconds is None:
            return exchange.refuse(
                codes.Code.BAD_REQUEST,
                "X-Deadline-Seconds is not a number above 0 and up to "
                f"{MAX_DEADLINE_SECONDS:.0f}",
            )
        with anyio.move_on_after(seconds) as body_scope:
            body = await _read_body(receive, self.runtime.cfg.max_body_bytes)
        if body_scope.cancelled_caught:
            return exchange.refuse(
                codes.Code.BODY_INCOMPLETE,
                f"the body was not complete after {seconds:.3f} s",
            )
        if isinstance(body, result.Err):
            return body
        return result.Ok(
            exchange.Request(
                kind=self.kind,
                request_id=info.request_id,
                method=scope["method"],
                path=scope["path"],
                headers=headers,
                body=body.ok_value,
                received_at=info.received_at,
                deadline=info.received_at + seconds,
                params=scope["path_params"],
                query=scope["query_string"].decode("latin-1"),
                log_fields=info.log_fields,
            )
        )


class _DisconnectedError(Exception):
    """Signal that the caller closed the connection."""


async def _cancel_on_disconnect(
    receive: types.Receive, cancel_scope: anyio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    cancel_scope.cancel()


def _parse_deadline(text: str | None) -> float | None:
    if text is None:
        return DEFAULT_DEADLINE_SECONDS
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_DEADLINE_SECONDS:
        return None
    return seconds


async def _read_body(
    receive: types.Receive, limit: int
) -> result.Result[bytes, codes.Refusal]:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _DisconnectedError
        body += message.get("body", b"")
        if len(body) > limit:
            return exchange.refuse(
                codes.Code.TOO_LARGE, f"body exceeds {limit} bytes"
            )
        if not message.get("more_body", False):
            return result.Ok(bytes(body))


async def _send_response(
    resp: exchange.Response, request_id: str, send: types.Send
) -> None:
    headers = [
        (b"content-type", resp.media_type.encode("latin-1")),
        (b"x-request-id", request_id.encode()),
        (b"x-result-code", str(resp.code.value.number).encode()),
        *((name.encode(), val.encode()) for name, val in resp.headers),
    ]
    if isinstance(resp.body, bytes):
        headers.append((b"content-length", str(len(resp.body)).encode()))
        await _start_response(send, resp.status, headers)
        await send({"type": "http.response.body", "body": resp.body})
        return
    generator = typing.cast(abc.AsyncGenerator[bytes, None], resp.body)
    async with contextlib.aclosing(generator) as chunks:
        await _start_response(send, resp.status, headers)
        async for chunk in chunks:
            await send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
    await send({"type": "http.response.body", "body": b""})


async def _send_refusal(
    refusal: codes.Refusal, request_id: str, send: types.Send
) -> None:
    resp = to_refusal_response(refusal, request_id)
    await _start_response(send, resp.status_code, resp.raw_headers)
    await send({"type": "http.response.body", "body": bytes(resp.body)})


def to_refusal_response(
    refusal: codes.Refusal, request_id: str
) -> responses.Response:
    """Return the JSON response of a refusal."""
    info = refusal.code.value
    headers = {"x-result-code": str(info.number)}
    if request_id:
        headers["x-request-id"] = request_id
    if refusal.retry_after is not None:
        headers["retry-after"] = str(max(1, round(refusal.retry_after)))
    if refusal.code is codes.Code.BODY_INCOMPLETE:
        headers["connection"] = "close"
    return responses.Response(
        msgspec.json.encode(refusal.to_dict()),
        info.http_status,
        headers,
        "application/json",
    )


async def _start_response(
    send: types.Send, status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
