"""Open steps and answer pulls on this instance."""

import anyio
import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle.policy import cursor
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import step_table
from hibiscussaddle import steps


def open_here(
    runtime: runtime_lib.Runtime, customer: str, spec: steps.StepSpec
) -> result.Result[step_table.StepRun, codes.Refusal]:
    """Open a step on this instance and start making its samples."""
    opened = runtime.steps.open(customer, spec, runtime.clock())
    if isinstance(opened, result.Ok):
        runtime.steps.activate(opened.ok_value)
    return opened


async def pull_here(
    runtime: runtime_lib.Runtime,
    key: steps.StepKey,
    pull: steps.PullBody,
    deadline: float,
) -> result.Result[steps.PullAnswer, codes.Refusal]:
    """Answer a pull from the samples of this instance."""
    run = runtime.steps.get(key)
    if run is None:
        return exchange.refuse(codes.Code.STEP_UNKNOWN, f"step {key.step!r}")
    have = cursor.decode(run.spec.slots, pull.have)
    if have is None:
        return exchange.refuse(
            codes.Code.BAD_REQUEST, "field 'have' is not a bitmap of the step"
        )
    now = runtime.clock()
    reader = cursor.Reader(pull.shard, pull.shards)
    verdict = run.begin(reader, pull, have, now)
    runtime.steps.activate(run)
    runtime.steps.notify()
    if verdict is cursor.Verdict.OLD:
        return _refuse_old(pull)
    until = min(now + pull.wait_seconds, deadline)
    return await _wait(runtime, run, reader, pull, until)


async def _wait(
    runtime: runtime_lib.Runtime,
    run: step_table.StepRun,
    reader: cursor.Reader,
    pull: steps.PullBody,
    until: float,
) -> result.Result[steps.PullAnswer, codes.Refusal]:
    while run.cursor.is_current(reader, pull.pull):
        if runtime.steps.get(run.key) is not run:
            return exchange.refuse(
                codes.Code.STEP_UNKNOWN, f"step {run.key.step!r} was removed"
            )
        record = runtime.contracts.get(run.key.customer)
        if record is None:
            return exchange.refuse(
                codes.Code.NOT_READY, "the customer's contract is unknown"
            )
        changed = run.changed
        left = until - runtime.clock()
        answer = run.answer(
            reader,
            pull,
            runtime.steps.newest(run),
            record.contract.staleness_versions,
            final=left <= 0,
        )
        if answer is not None:
            return result.Ok(answer)
        with anyio.move_on_after(max(0.0, left)):
            await changed.wait()
    return _refuse_old(pull)


def _refuse_old(pull: steps.PullBody) -> result.Err[codes.Refusal]:
    return exchange.refuse(
        codes.Code.PULL_STALE, f"a pull later than {pull.pull} was seen"
    )
