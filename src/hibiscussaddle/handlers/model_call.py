"""Serve a chat completion from a model engine."""

from collections import abc
import contextlib
import dataclasses
import typing

import msgspec
import result

from hibiscussaddle.adapters import engines
from hibiscussaddle import codes
from hibiscussaddle import decoding
from hibiscussaddle import exchange
from hibiscussaddle import generation as generation_lib
from hibiscussaddle import handlers
from hibiscussaddle import runtime as runtime_lib

# Limit for responses that are not streamed, which are held in memory.
MAX_TEXT_CHARS: typing.Final = 8 << 20
_DONE_EVENT: typing.Final = b"data: [DONE]\n\n"
# Fields that only this service may set.
_RESERVED_FIELDS: typing.Final = frozenset(
    ("request_id", "priority", "resume_tokens", "stream")
)


@handlers.handler(exchange.Kind.MODEL)
def create_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler of chat completions."""
    client = engines.EngineClient(runtime.client)

    async def call(req: exchange.Request) -> exchange.Outcome:
        parsed = _parse_request(req)
        if isinstance(parsed, result.Err):
            return parsed
        body, is_stream = parsed.ok_value
        generation = generation_lib.Generation(runtime, client, req, body)
        if is_stream:
            return await _stream_response(generation, req)
        return await _collect_response(generation, req, str(body["model"]))

    return call


def _parse_request(
    req: exchange.Request,
) -> result.Result[tuple[dict[str, typing.Any], bool], codes.Refusal]:
    try:
        body = decoding.decode_json(req.body)
    except msgspec.DecodeError as exc:
        return exchange.refuse(
            codes.Code.BAD_REQUEST, f"body is not JSON: {exc}"
        )
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        return exchange.refuse(
            codes.Code.BAD_REQUEST,
            "body is not a JSON object with a string field 'model'",
        )
    is_stream = body.get("stream", False)
    if not isinstance(is_stream, bool):
        return exchange.refuse(
            codes.Code.BAD_REQUEST, "field 'stream' is not true or false"
        )
    limit = body.get("max_tokens", 1)
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
        return exchange.refuse(
            codes.Code.BAD_REQUEST, "field 'max_tokens' is not an integer >= 1"
        )
    if body["model"] not in req.contract.models:
        return exchange.refuse(
            codes.Code.NOT_FOUND,
            f"model {body['model']!r} is not allowed by the contract",
        )
    forwarded = {
        key: val for key, val in body.items() if key not in _RESERVED_FIELDS
    }
    return result.Ok((forwarded, is_stream))


async def _stream_response(
    generation: generation_lib.Generation, req: exchange.Request
) -> exchange.Outcome:
    batches = generation.chunk_batches()
    # Wait for the first tokens: a refusal before them gets its own status, and
    # the header needs their weight version.
    try:
        first = await anext(batches, None)
    except generation_lib.GenerationError as exc:
        return result.Err(exc.refusal)
    version = first[0].version if first else None
    events = _relay_events(first or [], batches, req)
    # Run to the first yield, so that closing an unread response also closes
    # the stream of the engine.
    await anext(events)
    return result.Ok(
        exchange.Response(
            200,
            events,
            headers=(("x-weight-version", _version_label(version)),),
            media_type="text/event-stream",
        )
    )


async def _relay_events(
    first: list[engines.Chunk],
    batches: abc.AsyncGenerator[list[engines.Chunk], None],
    req: exchange.Request,
) -> abc.AsyncGenerator[bytes, None]:
    # The next read waits until the caller's connection has accepted this
    # batch, so that a slow reader applies backpressure to the engine.
    caller_id = req.request_id.encode()
    async with contextlib.aclosing(batches):
        yield b""
        if first:
            yield _to_events(first, caller_id)
        try:
            async for batch in batches:
                yield _to_events(batch, caller_id)
        except generation_lib.GenerationError as exc:
            req.log_fields.code = exc.refusal.code
            # Tokens were generated, so the outcome is never "not run".
            refusal = codes.Refusal(
                codes.Code.STREAM_BROKEN, exc.refusal.message
            )
            error = msgspec.json.encode({"error": refusal.to_dict()})
            yield b"data: " + error + b"\n\n"
            return
    yield _DONE_EVENT


def _to_events(batch: list[engines.Chunk], caller_id: bytes) -> bytes:
    events = []
    for chunk in batch:
        raw = chunk.raw
        if chunk.request_id:
            # The caller sees one id, whichever engine generated the tokens.
            raw = raw.replace(chunk.request_id.encode(), caller_id, 1)
        events.append(b"data: " + raw + b"\n\n")
    return b"".join(events)


async def _collect_response(
    generation: generation_lib.Generation, req: exchange.Request, model: str
) -> exchange.Outcome:
    text: list[str] = []
    size = 0
    batches = generation.chunk_batches()
    try:
        async with contextlib.aclosing(batches):
            async for batch in batches:
                text.extend(chunk.text for chunk in batch)
                size += sum(len(chunk.text) for chunk in batch)
                if size > MAX_TEXT_CHARS:
                    return exchange.refuse(
                        codes.Code.STREAM_BROKEN,
                        f"the response exceeds {MAX_TEXT_CHARS} characters",
                    )
    except generation_lib.GenerationError as exc:
        return result.Err(exc.refusal)
    completion = {
        "id": req.request_id,
        "object": "chat.completion",
        "model": model,
        "weight_versions": [
            dataclasses.asdict(version_range)
            for version_range in generation.versions
        ],
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "".join(text)},
                "finish_reason": "stop",
            }
        ],
        "usage": {"completion_tokens": generation.tokens},
    }
    labels = dict.fromkeys(
        _version_label(version_range.version)
        for version_range in generation.versions
    )
    return result.Ok(
        exchange.Response(
            200,
            msgspec.json.encode(completion),
            headers=(("x-weight-version", ",".join(labels)),),
        )
    )


def _version_label(version: int | None) -> str:
    return "unknown" if version is None else str(version)
