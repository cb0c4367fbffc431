"""Guard making, scoring and cancelling samples on fakes over HTTP."""

from collections import abc
import contextlib
import typing

import anyio
import pytest

import builders
from hibiscussaddle import contracts
from hibiscussaddle.controllers import steps as controller
from hibiscussaddle import endpoints
from hibiscussaddle.operations import steps as operation
from hibiscussaddle.policy import cursor
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle.standins import engine as fake_engine
from hibiscussaddle.standins import faults
from hibiscussaddle.standins import scorer as fake_scorer
from hibiscussaddle import step_delivery
from hibiscussaddle import step_table
from hibiscussaddle import steps
import loopback

KEY = steps.StepKey("cereza", "t1", "s1")


class World:
    """Hold one instance, its engines and its scorer."""

    def __init__(self) -> None:
        self.engines = [
            fake_engine.Engine(fake_engine.EngineConfig(id=f"engine-{n}"), 1)
            for n in range(2)
        ]
        self.scorer = faults.Faults()
        self.runtime: runtime_lib.Runtime

    def open(self, **changes: typing.Any) -> step_table.StepRun:
        values: dict[str, typing.Any] = {
            "trainer": "t1",
            "step": "s1",
            "model": "base",
            "groups": tuple(({"content": str(n)},) for n in range(3)),
            "samples_per_group": 2,
        }
        spec = steps.StepSpec(**{**values, **changes})
        return step_delivery.open_local_step(
            self.runtime, "cereza", spec
        ).ok_value

    async def pull(
        self, number: int, newest: int = 1, wait: float = 5.0
    ) -> steps.PullResponse:
        have = cursor.Bitmap(6).encode()
        body = steps.PullRequest(number, have, newest, wait_seconds=wait)
        deadline = self.runtime.clock() + 60.0
        answer = await step_delivery.pull_local_step(
            self.runtime, KEY, body, deadline
        )
        return answer.ok_value

    def explain(self) -> str:
        run = self.runtime.steps.runs[KEY]
        return operation.explain(run, run.progress.counts())


@contextlib.asynccontextmanager
async def world() -> abc.AsyncIterator[World]:
    made = World()
    async with contextlib.AsyncExitStack() as stack:
        listed = []
        for item in made.engines:
            url = await stack.enter_async_context(
                loopback.serve(fake_engine.create_app(item))
            )
            listed.append(
                endpoints.Endpoint(
                    id=item.cfg.id,
                    kind=endpoints.EndpointKind.ENGINE,
                    zone="zone-a",
                    address=url,
                    models=("base",),
                )
            )
        scorer_url = await stack.enter_async_context(
            loopback.serve(fake_scorer.create_app(made.scorer))
        )
        found = await stack.enter_async_context(
            loopback.runtimes(1, scorer_url=scorer_url)
        )
        made.runtime = found[0]
        made.runtime.directory.update(listed)
        made.runtime.contracts.apply(
            contracts.ContractRecord(builders.contract(), 1)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run, made.runtime)
            yield made
            tasks.cancel_scope.cancel()


async def _until(condition: abc.Callable[[], bool]) -> None:
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.005)


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio, as entry instances do."""
    return "asyncio"


@pytest.mark.anyio
async def test_scorer_down_delays_and_never_falsifies() -> None:
    """Fails when samples leave without reward or never after an outage."""
    async with world() as made:
        made.scorer.down = True
        run = made.open(reward="judge")
        await _until(
            lambda: run.scorer_error != "" and run.generated_count == 6
        )
        assert made.explain().startswith("scorer: ")
        answer = await made.pull(1, wait=0.05)
        assert answer.samples == ()
        assert answer.remaining == 6
        made.scorer.down = False
        answer = await made.pull(2)
        assert answer.samples
        for sample in answer.samples:
            assert sample.reward == float(len(sample.text) % 7)


@pytest.mark.anyio
async def test_old_engines_get_no_work_until_they_swap() -> None:
    """Fails when samples start on weights already older than the bound."""
    async with world() as made:
        for item in made.engines:
            made.runtime.steps.record_engine_version(
                item.cfg.id, "base", 1, 1, 0.0
            )
        run = made.open()
        # The trainer is at version 3 and the bound is 1.
        answer = await made.pull(1, newest=3, wait=0.2)
        assert answer.samples == ()
        await _until(
            lambda: (
                run.blocked_reason is step_table.BlockedReason.ENGINES_STALE
            )
        )
        started = sum(len(item.record) for item in made.engines)
        await made.pull(2, newest=3, wait=0.2)
        assert sum(len(item.record) for item in made.engines) == started
        for item in made.engines:
            item.version = 3
        answer = await made.pull(3, newest=3)
        assert answer.samples
        assert all(s.versions[0].version == 3 for s in answer.samples)


@pytest.mark.anyio
async def test_removed_step_cancels_its_streams() -> None:
    """Fails when engines go on with work that nobody needs."""
    async with world() as made:
        run = made.open(max_tokens=100_000)

        def generations() -> list[fake_engine.Generation]:
            return [
                gen for item in made.engines for gen in item.record.values()
            ]

        await _until(lambda: len(generations()) == 6)
        made.runtime.steps.remove(run)
        await _until(lambda: all(gen.cancelled for gen in generations()))
        await _until(lambda: not run.cancel_scopes)
        assert sum(item.running for item in made.engines) == 0


@pytest.mark.anyio
async def test_straggler_is_duplicated_within_the_budget() -> None:
    """Fails when one slow engine holds a step or duplicates exceed 5%."""
    async with world() as made:
        groups = tuple(({"content": str(n)},) for n in range(40))
        run = made.open(groups=groups, max_tokens=4)
        await _until(lambda: run.generated_count >= 70)
        slow, fast = made.engines
        # The rest of the slow engine's samples would take 80 s each.
        slow.slow_factor = 10_000.0
        run = made.open(step="s2", groups=groups, max_tokens=4)
        await _until(lambda: any(not gen.finished for gen in _all(slow)))
        await _until(lambda: run.progress.counts().ready >= 72)
        budget = made.runtime.steps.duplicate_budget
        await _until(lambda: budget.duplicate_tokens > 0)
        assert budget.duplicate_tokens <= 0.05 * budget.kept_tokens
        await _until(lambda: any(gen.cancelled for gen in _all(slow)))
        assert not any(gen.cancelled for gen in _all(fast))


def _all(engine: fake_engine.Engine) -> list[fake_engine.Generation]:
    return list(engine.record.values())
