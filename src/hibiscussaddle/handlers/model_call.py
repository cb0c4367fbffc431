"""Answer a chat completion from a model engine."""

from collections import abc
import contextlib
import dataclasses
import typing

import msgspec
import result

from hibiscussaddle.adapters import engines
from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import generation as generation_lib
from hibiscussaddle import handlers
from hibiscussaddle import runtime as runtime_lib

# An answer that is not streamed is held in memory up to this size.
MAX_TEXT_CHARS: typing.Final = 8 << 20
_DONE: typing.Final = b"data: [DONE]\n\n"
# Fields that only this service sets.
_OWN_FIELDS: typing.Final = frozenset(
    ("request_id", "priority", "resume_tokens", "stream")
)


@handlers.handler(exchange.Kind.MODEL)
def create_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler."""
    client = engines.EngineClient(runtime.client)

    async def call(req: exchange.Request) -> exchange.Outcome:
        parsed = _parse(req)
        if isinstance(parsed, result.Err):
            return parsed
        body, is_stream = parsed.ok_value
        generation = generation_lib.Generation(runtime, client, req, body)
        if is_stream:
            return await _stream(generation, req)
        return await _collect(generation, req, str(body["model"]))

    return call


def _parse(
    req: exchange.Request,
) -> result.Result[tuple[dict[str, typing.Any], bool], codes.Refusal]:
    try:
        body = msgspec.json.decode(req.body)
    except msgspec.DecodeError as exc:
        return exchange.refuse(
            codes.Code.BAD_REQUEST, f"body is not JSON: {exc}"
        )
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        return exchange.refuse(
            codes.Code.BAD_REQUEST, "body needs a JSON object with 'model'"
        )
    is_stream = body.get("stream", False)
    if not isinstance(is_stream, bool):
        return exchange.refuse(
            codes.Code.BAD_REQUEST, "field 'stream' is not true or false"
        )
    limit = body.get("max_tokens", 1)
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 1:
        return exchange.refuse(
            codes.Code.BAD_REQUEST, "field 'max_tokens' is not a number >= 1"
        )
    if body["model"] not in req.contract.models:
        return exchange.refuse(
            codes.Code.NOT_FOUND, f"model {body['model']!r} is not allowed"
        )
    kept = {key: val for key, val in body.items() if key not in _OWN_FIELDS}
    return result.Ok((kept, is_stream))


async def _stream(
    generation: generation_lib.Generation, req: exchange.Request
) -> exchange.Outcome:
    batches = generation.batches()
    # Waits for the first tokens: a refusal before them has its own status,
    # and their version is known for the header.
    try:
        first = await anext(batches, None)
    except generation_lib.Failed as exc:
        return result.Err(exc.refusal)
    version = first[0].version if first else None
    events = _relay(first or [], batches, req)
    # Runs to the first yield, so that closing the answer unread closes the
    # engine's stream as well.
    await anext(events)
    return result.Ok(
        exchange.Response(
            200,
            events,
            headers=(("x-weight-version", _show(version)),),
            media_type="text/event-stream",
        )
    )


async def _relay(
    first: list[engines.Chunk],
    batches: abc.AsyncGenerator[list[engines.Chunk], None],
    req: exchange.Request,
) -> abc.AsyncGenerator[bytes, None]:
    # The next read waits until the caller's connection has taken this
    # batch, so a slow reader slows the engine's stream down.
    shown_id = req.request_id.encode()
    async with contextlib.aclosing(batches):
        yield b""
        if first:
            yield _to_events(first, shown_id)
        try:
            async for batch in batches:
                yield _to_events(batch, shown_id)
        except generation_lib.Failed as exc:
            req.trace.code = exc.refusal.code
            # Some tokens were made, so the work is never "not run".
            refusal = codes.Refusal(
                codes.Code.STREAM_BROKEN, exc.refusal.message
            )
            error = msgspec.json.encode({"error": refusal.to_dict()})
            yield b"data: " + error + b"\n\n"
            return
    yield _DONE


def _to_events(batch: list[engines.Chunk], shown_id: bytes) -> bytes:
    parts = []
    for chunk in batch:
        raw = chunk.raw
        if chunk.request_id:
            # The caller sees one id, whichever engine made the tokens.
            raw = raw.replace(chunk.request_id.encode(), shown_id, 1)
        parts.append(b"data: " + raw + b"\n\n")
    return b"".join(parts)


async def _collect(
    generation: generation_lib.Generation, req: exchange.Request, model: str
) -> exchange.Outcome:
    text: list[str] = []
    size = 0
    batches = generation.batches()
    try:
        async with contextlib.aclosing(batches):
            async for batch in batches:
                text.extend(chunk.text for chunk in batch)
                size += sum(len(chunk.text) for chunk in batch)
                if size > MAX_TEXT_CHARS:
                    return exchange.refuse(
                        codes.Code.STREAM_BROKEN,
                        f"the answer exceeds {MAX_TEXT_CHARS} characters",
                    )
    except generation_lib.Failed as exc:
        return result.Err(exc.refusal)
    answer = {
        "id": req.request_id,
        "object": "chat.completion",
        "model": model,
        "weight_versions": [
            dataclasses.asdict(part) for part in generation.versions
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
    shown = dict.fromkeys(_show(part.version) for part in generation.versions)
    return result.Ok(
        exchange.Response(
            200,
            msgspec.json.encode(answer),
            headers=(("x-weight-version", ",".join(shown)),),
        )
    )


def _show(version: int | None) -> str:
    return "unknown" if version is None else str(version)
