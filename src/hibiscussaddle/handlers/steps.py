"""Open the steps of trainers and serve their pulls."""

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
        parsed = steps.parse_body(req.body, steps.StepSpec).and_then(
            steps.check_spec
        )
        if isinstance(parsed, result.Err):
            return parsed
        spec = parsed.ok_value
        if spec.model not in req.contract.models:
            return exchange.refuse(
                codes.Code.NOT_FOUND,
                f"model {spec.model!r} is not allowed by the contract",
            )
        if spec.reward is not None and not runtime.cfg.scorer_url:
            return exchange.refuse(
                codes.Code.NO_ENDPOINT,
                "no scorer is configured: setting 'scorer_url' is empty",
            )
        opened = await step_forwarding.open_step(
            runtime, req.contract.customer, spec
        )
        if isinstance(opened, result.Err):
            return opened
        body = msgspec.json.encode({"slots": spec.slot_count})
        return result.Ok(exchange.Response(201, body))

    return call


@handlers.handler(exchange.Kind.STEP_PULL)
def create_pull_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return the handler that serves a pull."""

    async def call(req: exchange.Request) -> exchange.Outcome:
        parsed = steps.parse_body(req.body, steps.PullRequest).and_then(
            steps.check_pull
        )
        if isinstance(parsed, result.Err):
            return parsed
        key = steps.StepKey(
            req.contract.customer, req.params["trainer"], req.params["step"]
        )
        response = await step_forwarding.pull_step(
            runtime, key, parsed.ok_value, req.deadline
        )
        if isinstance(response, result.Err):
            return response
        body = msgspec.json.encode(response.ok_value)
        return result.Ok(exchange.Response(200, body))

    return call
