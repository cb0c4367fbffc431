"""Run one history and check it."""

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

# A whole run takes about a second; one that cannot end is a violation.
LIMIT_SECONDS: typing.Final = 20.0
PUBLISH_SECONDS: typing.Final = 0.25
# Another process may take a port between its choice and its use.
_STARTS: typing.Final = 5


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Hold the history of one run and what was wrong with it."""

    seed: int
    history: history_lib.History
    violations: list[str]


@dataclasses.dataclass(frozen=True)
class Plan:
    """Set what a run does besides its seed."""

    seed: int
    limit_seconds: float = LIMIT_SECONDS
    # Names of faults to inject; random ones when empty.
    faults: tuple[str, ...] = ()


def run(plan: Plan) -> Outcome:
    """Return the outcome of one run."""
    # Servers log the faults that this run injects, asyncio the tasks that
    # it cancelled; the latter only when they are collected, after the run.
    logging.getLogger("asyncio").disabled = True
    logging.disable(logging.CRITICAL)
    try:
        why = ""
        for _ in range(_STARTS):
            outcome = anyio.run(play, plan)
            if isinstance(outcome, Outcome):
                return outcome
            why = outcome
        raise RuntimeError(f"the instances did not start: {why}")
    finally:
        logging.disable(logging.NOTSET)


async def play(plan: Plan) -> Outcome | str:
    """Return the outcome of a run, or why its instances did not start."""
    world = world_lib.World(plan.seed)
    try:
        async with world.enter():
            with anyio.move_on_after(plan.limit_seconds) as limit:
                await _work(world, plan)
            if limit.cancelled_caught:
                text = f"the run did not end: {_describe_state(world)}"
                world.history.errors.append(text)
    except Exception as exc:
        if not world.started:
            return "; ".join([_describe(exc), *world.history.errors])
        world.history.errors.append(_describe(exc))
    found = checks.find_violations(world.history, world.record())
    return Outcome(plan.seed, world.history, found)


def _describe_state(world: world_lib.World) -> str:
    """Tell which part still works, for the search for the cause."""
    parts = [f"trained={world.trained}"]
    for item in world.instances:
        runtime = item.runtime
        if runtime is None:
            parts.append(f"{item.cfg.instance}=down scope={item.scope}")
            continue
        running = dict(+runtime.lifecycle.running)
        waits = [
            operation.explain(found, found.progress.counts())
            for found in runtime.steps.runs.values()
        ]
        parts.append(
            f"{item.cfg.instance}={runtime.lifecycle.phase.value} "
            f"running={running} steps={waits}"
        )
    return "; ".join(parts)


def _describe(exc: BaseException) -> str:
    if isinstance(exc, BaseExceptionGroup):
        return "; ".join(_describe(item) for item in exc.exceptions)
    return repr(exc)


async def _work(world: world_lib.World, plan: Plan) -> None:
    names = plan.faults or faults.choose(world)
    async with anyio.create_task_group() as background:
        background.start_soon(_publish, world)
        async with anyio.create_task_group() as callers:
            for name in ("c1", "c2"):
                callers.start_soon(clients.run_caller, world, name)
            for name in ("b1", "b2"):
                callers.start_soon(clients.run_booker, world, name)
            async with anyio.create_task_group() as trainers:
                trainers.start_soon(faults.inject, world, names)
                for name in ("t1", "t2"):
                    trainers.start_soon(clients.run_trainer, world, name, 2)
            world.trained = True
        background.cancel_scope.cancel()


async def _publish(world: world_lib.World) -> None:
    """Publish versions and swap one engine after another."""
    while True:
        await anyio.sleep(PUBLISH_SECONDS * world.rng.uniform(0.5, 1.5))
        world.published += 1
        for item in world.engines:
            with contextlib.suppress(RuntimeError):
                await item.swap(world.published)
