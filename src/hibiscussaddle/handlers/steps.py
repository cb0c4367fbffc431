"""Open steps and answer the pulls of trainers."""

import msgspec
import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle import handlers
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import step_forwarding
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
        if spec.reward is not None and not runtime.cfg.scorer_url:
            return exchange.refuse(
                codes.Code.NO_ENDPOINT, "setting 'scorer_url' is empty"
            )
        opened = await step_forwarding.open_step(
            runtime, req.contract.customer, spec
        )
        if isinstance(opened, result.Err):
            return opened
        body = msgspec.json.encode({"slots": spec.slots})
        return result.Ok(exchange.Response(201, body))

    return call


@handlers.handler(exchange.Kind.STEP_PULL)
def create_pull_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler that answers a pull."""

    async def call(req: exchange.Request) -> exchange.Outcome:
        parsed = steps.parse(req.body, steps.PullBody).and_then(
            steps.check_pull
        )
        if isinstance(parsed, result.Err):
            return parsed
        key = steps.StepKey(
            req.contract.customer, req.params["trainer"], req.params["step"]
        )
        answered = await step_forwarding.pull_step(
            runtime, key, parsed.ok_value, req.deadline
        )
        if isinstance(answered, result.Err):
            return answered
        body = msgspec.json.encode(answered.ok_value)
        return result.Ok(exchange.Response(200, body))

    return call
