"""HTTP interface for callers, trainers and the load balancer."""

import json
import secrets
import typing

import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import filters
from hibiscussaddle import handlers
from hibiscussaddle import lifecycle
from hibiscussaddle import runtime as runtime_lib

DEFAULT_DEADLINE_SECONDS: typing.Final = 600.0
_METHODS: typing.Final = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


def create_app(runtime: runtime_lib.Runtime) -> applications.Starlette:
    """Return the ASGI app of the caller port."""
    chain = filters.create_chain(runtime, handlers.create_dispatch(runtime))

    def route(
        path: str, kind: exchange.Kind, methods: list[str]
    ) -> routing.Route:
        async def endpoint(http_req: requests.Request) -> responses.Response:
            parsed = await _read(http_req, kind, runtime)
            if isinstance(parsed, result.Err):
                return to_refusal_response(parsed.err_value, "")
            req = parsed.ok_value
            outcome = await chain(req)
            return _to_response(outcome, req.request_id)

        return routing.Route(path, endpoint, methods=methods)

    async def health(_: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def ready(_: requests.Request) -> responses.Response:
        is_ready = runtime.lifecycle.phase is lifecycle.Phase.READY
        marks = runtime.directory.marks
        if marks.holds(runtime.cfg.instance, runtime.incarnation):
            return responses.PlainTextResponse("leaving\n", 503)
        return responses.PlainTextResponse(
            f"{runtime.lifecycle.phase.value}\n", 200 if is_ready else 503
        )

    kind = exchange.Kind
    return applications.Starlette(
        routes=[
            route("/v1/chat/completions", kind.MODEL, ["POST"]),
            route(
                "/v1/services/{service}/{path:path}", kind.SERVICE, _METHODS
            ),
            route("/v1/tickets", kind.TICKET, ["POST"]),
            route("/v1/steps", kind.STEP_OPEN, ["POST"]),
            route("/v1/steps/{trainer}/{step}/pull", kind.STEP_PULL, ["POST"]),
            routing.Route("/healthz", health),
            routing.Route("/readyz", ready),
        ]
    )


async def _read(
    http_req: requests.Request,
    kind: exchange.Kind,
    runtime: runtime_lib.Runtime,
) -> result.Result[exchange.Request, codes.Refusal]:
    now = runtime.clock()
    body = bytearray()
    async for part in http_req.stream():
        body += part
        if len(body) > runtime.cfg.max_body_bytes:
            return exchange.refuse(
                codes.Code.TOO_LARGE,
                f"body exceeds {runtime.cfg.max_body_bytes} bytes",
            )
    allowed = http_req.headers.get("x-deadline-seconds")
    try:
        seconds = float(allowed) if allowed else DEFAULT_DEADLINE_SECONDS
    except ValueError:
        return exchange.refuse(
            codes.Code.BAD_REQUEST, "X-Deadline-Seconds is not a number"
        )
    request_id = http_req.headers.get("x-request-id") or secrets.token_hex(8)
    return result.Ok(
        exchange.Request(
            kind=kind,
            request_id=request_id,
            method=http_req.method,
            path=http_req.url.path,
            headers=http_req.headers,
            body=bytes(body),
            received_at=now,
            deadline=now + seconds,
            params=http_req.path_params,
        )
    )


def _to_response(
    outcome: exchange.Outcome, request_id: str
) -> responses.Response:
    if isinstance(outcome, result.Err):
        return to_refusal_response(outcome.err_value, request_id)
    resp = outcome.ok_value
    headers = dict(resp.headers)
    headers["x-request-id"] = request_id
    headers["x-result-code"] = str(resp.code.value.number)
    if isinstance(resp.body, bytes):
        return responses.Response(
            resp.body, resp.status, headers, resp.media_type
        )
    return responses.StreamingResponse(
        resp.body, resp.status, headers, resp.media_type
    )


def to_refusal_response(
    refusal: codes.Refusal, request_id: str
) -> responses.Response:
    """Return the JSON answer of a refusal."""
    info = refusal.code.value
    headers = {"x-result-code": str(info.number)}
    if request_id:
        headers["x-request-id"] = request_id
    if refusal.retry_after is not None:
        headers["retry-after"] = str(max(1, round(refusal.retry_after)))
    return responses.Response(
        json.dumps(refusal.to_dict()).encode(),
        info.http_status,
        headers,
        "application/json",
    )
