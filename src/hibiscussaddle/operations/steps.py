"""Report the open steps and what their trainers wait for."""

import dataclasses
import typing

import result
from starlette import requests

from hibiscussaddle import codes
from hibiscussaddle import operations
from hibiscussaddle.policy import groups
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import step_table
from hibiscussaddle import steps


@operations.operation("GET", "/v1/steps")
async def list_steps(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Outcome:
    """Return the steps that are open on this instance."""
    summaries = [
        step_summary(runtime, run) for run in runtime.steps.runs.values()
    ]
    return result.Ok({"steps": summaries})


@operations.operation("GET", "/v1/steps/{customer}/{trainer}/{step}")
async def show_step(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Outcome:
    """Return one step with its counts and the engines' versions."""
    key = steps.StepKey(**req.path_params)
    run = runtime.steps.get(key)
    if run is None:
        return result.Err(
            codes.Refusal(
                codes.Code.STEP_UNKNOWN,
                f"step {key.step!r} of trainer {key.trainer!r} is not open on "
                f"instance {runtime.cfg.instance!r}",
            )
        )
    engine_versions = {
        ep.id: _engine_version(runtime, ep.id)
        for ep in runtime.directory.engines(run.spec.model)
    }
    return result.Ok(
        {
            **step_summary(runtime, run),
            "model": run.spec.model,
            "groups": len(run.spec.groups),
            "samples_per_group": run.spec.samples_per_group,
            "reward": run.spec.reward,
            "newest_version": runtime.steps.newest_version(run),
            "engine_versions": engine_versions,
            "scorer_error": run.scorer_error,
            "samples_made": run.generated_count,
            "made_again": run.regenerated_counts,
            "held_bytes": run.spec_bytes + run.sample_bytes,
        }
    )


def _engine_version(
    runtime: runtime_lib.Runtime, endpoint_id: str
) -> int | None:
    engine = runtime.steps.engines.get(endpoint_id)
    return engine.version if engine else None


def step_summary(
    runtime: runtime_lib.Runtime, run: step_table.StepRun
) -> dict[str, typing.Any]:
    """Return the state of a step as one row."""
    counts = run.progress.counts()
    pulled_at = run.pulled_at
    return {
        "customer": run.key.customer,
        "trainer": run.key.trainer,
        "step": run.key.step,
        **dataclasses.asdict(counts),
        "last_pull_seconds": None
        if pulled_at is None
        else round(runtime.clock() - pulled_at, 1),
        "waits_for": wait_reason(run, counts),
    }


def wait_reason(run: step_table.StepRun, counts: groups.Counts) -> str:
    """Return what the trainer of a step waits for."""
    if counts.received == run.spec.slot_count:
        return "nothing: the trainer has every sample"
    if not run.is_active:
        return f"owner: {step_table.BlockedReason.NOT_OWNER.value}"
    if counts.ready:
        return "trainer: samples are ready for its next pull"
    if run.scorer_error:
        return f"scorer: {run.scorer_error}"
    if run.blocked_reason is not step_table.BlockedReason.NOT_BLOCKED:
        return f"engines: {run.blocked_reason.value}"
    if counts.running:
        return "engines: samples are being generated"
    if counts.finished:
        return "scorer: finished groups are being scored"
    return "engines: samples are about to start"
