"""Answer a chat completion from a model engine."""

from collections import abc
import json
import typing

import result

from hibiscussaddle.adapters import engines
from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle import exchange
from hibiscussaddle import handlers
from hibiscussaddle import runtime as runtime_lib

_DONE = b"data: [DONE]\n\n"


@handlers.handler(exchange.Kind.MODEL)
def create_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler."""
    client = engines.EngineClient(runtime.client)

    async def call(req: exchange.Request) -> exchange.Outcome:
        try:
            body = json.loads(req.body)
            model = str(body["model"])
        except (ValueError, KeyError, TypeError):
            return exchange.refuse(
                codes.Code.BAD_REQUEST, "body needs JSON with field 'model'"
            )
        if model not in req.contract.models:
            return exchange.refuse(
                codes.Code.NOT_FOUND, f"model {model!r} is not allowed"
            )
        found = runtime.directory.engines(model)
        if not found:
            return exchange.refuse(
                codes.Code.NO_ENDPOINT, f"model {model!r} has no endpoint"
            )
        endpoint = runtime.rng.choice(found)
        body["request_id"] = req.request_id
        body["priority"] = req.contract.priority
        timeout = max(0.001, req.deadline - runtime.clock())
        chunks = client.stream(endpoint, body, timeout)
        if body.get("stream"):
            return result.Ok(
                exchange.Response(
                    200,
                    _relay(chunks, client, endpoint, req.request_id),
                    media_type="text/event-stream",
                )
            )
        return await _collect(chunks, body, req.request_id)

    return call


async def _relay(
    chunks: abc.AsyncIterator[engines.Chunk],
    client: engines.EngineClient,
    endpoint: endpoints.Endpoint,
    request_id: str,
) -> abc.AsyncIterator[bytes]:
    try:
        async for chunk in chunks:
            yield f"data: {chunk.raw}\n\n".encode()
    except (engines.StreamBroken, engines.NotRun) as exc:
        refusal = codes.Refusal(codes.Code.STREAM_BROKEN, str(exc))
        error = {"error": refusal.to_dict()}
        yield f"data: {json.dumps(error)}\n\n".encode()
        return
    yield _DONE


async def _collect(
    chunks: abc.AsyncIterator[engines.Chunk],
    body: dict[str, typing.Any],
    request_id: str,
) -> exchange.Outcome:
    text: list[str] = []
    versions: set[int | None] = set()
    try:
        async for chunk in chunks:
            text.append(chunk.text)
            versions.add(chunk.version)
    except engines.NotRun as exc:
        return exchange.refuse(codes.Code.ENDPOINT_REFUSED, str(exc))
    except engines.StreamBroken as exc:
        return exchange.refuse(codes.Code.STREAM_BROKEN, str(exc))
    answer = {
        "id": request_id,
        "object": "chat.completion",
        "model": body["model"],
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "".join(text)},
                "finish_reason": "stop",
            }
        ],
    }
    shown = ",".join(str(version) for version in versions)
    return result.Ok(
        exchange.Response(
            200,
            json.dumps(answer).encode(),
            headers=(("x-weight-version", shown),),
        )
    )
