"""Open steps and answer the pulls of trainers."""

import msgspec
import result

from hibiscussaddle.adapters import engines
from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import handlers
from hibiscussaddle.policy import cursor
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import steps


@handlers.handler(exchange.Kind.STEP_OPEN)
def create_open_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler that opens a step."""

    async def call(req: exchange.Request) -> exchange.Outcome:
        parsed = steps.parse(req.body, steps.StepSpec).and_then(steps.check)
        if isinstance(parsed, result.Err):
            return parsed
        spec = parsed.ok_value
        if spec.model not in req.contract.models:
            return exchange.refuse(
                codes.Code.NOT_FOUND, f"model {spec.model!r} is not allowed"
            )
        current = runtime.steps.setdefault(spec.name, spec)
        if current != spec:
            return exchange.refuse(
                codes.Code.STEP_CONFLICT, f"step {spec.step!r} differs"
            )
        body = msgspec.json.encode({"slots": spec.slots})
        return result.Ok(exchange.Response(201, body))

    return call


@handlers.handler(exchange.Kind.STEP_PULL)
def create_pull_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler that answers a pull."""
    client = engines.EngineClient(runtime.client)

    async def call(req: exchange.Request) -> exchange.Outcome:
        spec = runtime.steps.get((req.params["trainer"], req.params["step"]))
        if spec is None:
            return exchange.refuse(
                codes.Code.STEP_UNKNOWN, f"step {req.params['step']!r}"
            )
        parsed = steps.parse(req.body, steps.PullBody)
        if isinstance(parsed, result.Err):
            return parsed
        pull = parsed.ok_value
        have = cursor.decode(spec.slots, pull.have)
        if have is None:
            return exchange.refuse(
                codes.Code.BAD_REQUEST, "field 'have' is not a bitmap"
            )
        samples: list[steps.Sample] = []
        owed = have.missing()
        for slot in owed[: pull.max_samples]:
            made = await _make(runtime, client, spec, slot)
            if made is not None:
                samples.append(made)
        answer = steps.PullAnswer(
            pull.pull, tuple(samples), len(owed) - len(samples)
        )
        return result.Ok(exchange.Response(200, msgspec.json.encode(answer)))

    return call


async def _make(
    runtime: runtime_lib.Runtime,
    client: engines.EngineClient,
    spec: steps.StepSpec,
    slot: int,
) -> steps.Sample | None:
    group, index = divmod(slot, spec.samples_per_group)
    found = runtime.directory.engines(spec.model)
    if not found:
        return None
    endpoint = runtime.rng.choice(found)
    body = {
        "model": spec.model,
        "messages": spec.groups[group],
        "max_tokens": spec.max_tokens,
        "request_id": f"{spec.trainer}/{spec.step}/{slot}",
    }
    text: list[str] = []
    ranges: list[steps.VersionRange] = []
    tokens = 0
    try:
        async for chunk in client.stream(endpoint, body, 60.0):
            if chunk.version is None:
                return None
            text.append(chunk.text)
            tokens += chunk.tokens
            ranges = _extend(ranges, chunk)
    except (engines.NotRun, engines.StreamBroken):
        return None
    return steps.Sample(
        spec.trainer,
        spec.step,
        group,
        index,
        "".join(text),
        tokens,
        tuple(ranges),
    )


def _extend(
    ranges: list[steps.VersionRange], chunk: engines.Chunk
) -> list[steps.VersionRange]:
    assert chunk.version is not None
    last = chunk.first_token + chunk.tokens - 1
    if ranges and ranges[-1].version == chunk.version:
        first = ranges[-1].first_token
        return [
            *ranges[:-1],
            steps.VersionRange(chunk.version, first, last),
        ]
    return [
        *ranges,
        steps.VersionRange(chunk.version, chunk.first_token, last),
    ]
