"""Open steps and serve pulls on this instance."""

import anyio
import result

from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle.policy import cursor
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import step_table
from hibiscussaddle import steps


def open_local_step(
    runtime: runtime_lib.Runtime, customer: str, spec: steps.StepSpec
) -> result.Result[step_table.StepRun, codes.Refusal]:
    """Open a step on this instance and start generating its samples."""
    opened = runtime.steps.open(customer, spec, runtime.clock())
    if isinstance(opened, result.Ok):
        runtime.steps.activate(opened.ok_value)
    return opened


async def pull_local_step(
    runtime: runtime_lib.Runtime,
    key: steps.StepKey,
    pull: steps.PullRequest,
    deadline: float,
) -> result.Result[steps.PullResponse, codes.Refusal]:
    """Serve a pull from the samples of this instance."""
    run = runtime.steps.get(key)
    if run is None:
        return exchange.refuse(
            codes.Code.STEP_UNKNOWN, f"step {key.step!r} is not open"
        )
    have = cursor.decode(run.spec.slot_count, pull.have)
    if have is None:
        return exchange.refuse(
            codes.Code.BAD_REQUEST, "field 'have' is not a bitmap of the step"
        )
    now = runtime.clock()
    reader = cursor.Reader(pull.shard, pull.shards)
    verdict = run.begin_pull(reader, pull, have, now)
    runtime.steps.activate(run)
    runtime.steps.notify()
    if verdict is cursor.Verdict.OLD:
        return _refuse_outdated(pull)
    until = min(now + pull.wait_seconds, deadline)
    return await _wait_for_samples(runtime, run, reader, pull, until)


async def _wait_for_samples(
    runtime: runtime_lib.Runtime,
    run: step_table.StepRun,
    reader: cursor.Reader,
    pull: steps.PullRequest,
    until: float,
) -> result.Result[steps.PullResponse, codes.Refusal]:
    while run.cursor.is_current(reader, pull.pull):
        if runtime.steps.get(run.key) is not run:
            return exchange.refuse(
                codes.Code.STEP_UNKNOWN, f"step {run.key.step!r} was removed"
            )
        record = runtime.contracts.get(run.key.customer)
        if record is None:
            return exchange.refuse(
                codes.Code.NOT_READY,
                f"the contract of customer {run.key.customer!r} is unknown",
            )
        changed = run.changed
        remaining = until - runtime.clock()
        response = run.create_response(
            reader,
            pull,
            runtime.steps.newest_version(run),
            record.contract.staleness_versions,
            is_final=remaining <= 0,
        )
        if response is not None:
            return result.Ok(response)
        with anyio.move_on_after(max(0.0, remaining)):
            await changed.wait()
    return _refuse_outdated(pull)


def _refuse_outdated(pull: steps.PullRequest) -> result.Err[codes.Refusal]:
    return exchange.refuse(
        codes.Code.PULL_STALE,
        f"a pull with a higher number than {pull.pull} was received",
    )
