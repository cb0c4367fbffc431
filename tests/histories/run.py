"""Execute one run with random faults and check its history."""

import contextlib
import dataclasses
import logging
import typing

import anyio

from hibiscussaddle.operations import steps as operation
from histories import checks
from histories import clients
from histories import faults
from histories import history as history_lib
from histories import world as world_lib

# A run takes about a second; one that does not end is a violation.
RUN_TIMEOUT_SECONDS: typing.Final = 20.0
PUBLISH_INTERVAL_SECONDS: typing.Final = 0.25
# Another process may take a port between its choice and its use.
_MAX_START_ATTEMPTS: typing.Final = 5


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Hold the history of one run and its violations."""

    seed: int
    history: history_lib.History
    violations: list[str]


@dataclasses.dataclass(frozen=True)
class Plan:
    """Configure a run."""

    seed: int
    timeout_seconds: float = RUN_TIMEOUT_SECONDS
    # Names of the faults to inject; random ones if empty.
    faults: tuple[str, ...] = ()


def run(plan: Plan) -> Outcome:
    """Return the outcome of one run."""
    # Servers log the injected faults. asyncio logs the tasks that the run
    # cancelled, but only when they are garbage collected after the run.
    logging.getLogger("asyncio").disabled = True
    logging.disable(logging.CRITICAL)
    try:
        reason = ""
        for _ in range(_MAX_START_ATTEMPTS):
            outcome = anyio.run(_run_once, plan)
            if isinstance(outcome, Outcome):
                return outcome
            reason = outcome
        raise RuntimeError(f"the instances did not start: {reason}")
    finally:
        logging.disable(logging.NOTSET)


async def _run_once(plan: Plan) -> Outcome | str:
    """Return the outcome, or the reason why the instances didn't start."""
    world = world_lib.World(plan.seed)
    try:
        async with world.enter():
            with anyio.move_on_after(plan.timeout_seconds) as limit:
                await _run_workload(world, plan)
            if limit.cancelled_caught:
                text = f"the run did not end: {_describe_state(world)}"
                world.history.errors.append(text)
    except Exception as exc:
        if not world.is_started:
            return "; ".join([_describe(exc), *world.history.errors])
        world.history.errors.append(_describe(exc))
    found = checks.find_violations(world.history, world.ground_truth())
    return Outcome(plan.seed, world.history, found)


def _describe_state(world: world_lib.World) -> str:
    """Return the state of each instance, to find out why a run hangs."""
    parts = [f"trainers_done={world.are_trainers_done}"]
    for instance in world.instances:
        runtime = instance.runtime
        if runtime is None:
            parts.append(
                f"{instance.cfg.instance}=down scope={instance.scope}"
            )
            continue
        running = dict(+runtime.lifecycle.running)
        waits = [
            operation.wait_reason(found, found.progress.counts())
            for found in runtime.steps.runs.values()
        ]
        parts.append(
            f"{instance.cfg.instance}={runtime.lifecycle.phase.value} "
            f"running={running} steps={waits}"
        )
    return "; ".join(parts)


def _describe(exc: BaseException) -> str:
    if isinstance(exc, BaseExceptionGroup):
        return "; ".join(_describe(item) for item in exc.exceptions)
    return repr(exc)


async def _run_workload(world: world_lib.World, plan: Plan) -> None:
    names = plan.faults or faults.random_faults(world)
    async with anyio.create_task_group() as background:
        background.start_soon(_publish_versions, world)
        async with anyio.create_task_group() as callers:
            for name in ("c1", "c2"):
                callers.start_soon(clients.run_caller, world, name)
            for name in ("b1", "b2"):
                callers.start_soon(clients.run_booking_client, world, name)
            async with anyio.create_task_group() as trainers:
                trainers.start_soon(faults.inject, world, names)
                for name in ("t1", "t2"):
                    trainers.start_soon(clients.run_trainer, world, name, 2)
            world.are_trainers_done = True
        background.cancel_scope.cancel()


async def _publish_versions(world: world_lib.World) -> None:
    """Publish versions and swap the weights of one engine at a time."""
    while True:
        await anyio.sleep(
            PUBLISH_INTERVAL_SECONDS * world.rng.uniform(0.5, 1.5)
        )
        world.published_version += 1
        for engine in world.engines:
            with contextlib.suppress(RuntimeError):
                await engine.swap(world.published_version)
