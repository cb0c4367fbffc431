"""Test generating, scoring and cancelling samples against HTTP fakes."""

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


class Harness:
    """Hold one instance, its fake engines and its fake scorer."""

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
        response = await step_delivery.pull_local_step(
            self.runtime, KEY, body, deadline
        )
        return response.ok_value

    def explain(self) -> str:
        run = self.runtime.steps.runs[KEY]
        return operation.wait_reason(run, run.progress.counts())


@contextlib.asynccontextmanager
async def harness() -> abc.AsyncIterator[Harness]:
    env = Harness()
    async with contextlib.AsyncExitStack() as stack:
        registered = []
        for item in env.engines:
            url = await stack.enter_async_context(
                loopback.serve(fake_engine.create_app(item))
            )
            registered.append(
                endpoints.Endpoint(
                    id=item.cfg.id,
                    kind=endpoints.EndpointKind.ENGINE,
                    zone="zone-a",
                    address=url,
                    models=("base",),
                )
            )
        scorer_url = await stack.enter_async_context(
            loopback.serve(fake_scorer.create_app(env.scorer))
        )
        runtimes = await stack.enter_async_context(
            loopback.runtimes(1, scorer_url=scorer_url)
        )
        env.runtime = runtimes[0]
        env.runtime.directory.update(registered)
        env.runtime.contracts.apply(
            contracts.ContractRecord(builders.contract(), 1)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run, env.runtime)
            yield env
            tasks.cancel_scope.cancel()


async def _wait_until(condition: abc.Callable[[], bool]) -> None:
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.005)


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio, as entry instances do."""
    return "asyncio"


@pytest.mark.anyio
async def test_scorer_outage_delays_scored_samples() -> None:
    """Fails when samples are delivered unscored, or never after an outage."""
    async with harness() as env:
        env.scorer.down = True
        run = env.open(reward="judge")
        await _wait_until(
            lambda: run.scorer_error != "" and run.generated_count == 6
        )
        assert env.explain().startswith("scorer: ")
        response = await env.pull(1, wait=0.05)
        assert response.samples == ()
        assert response.remaining == 6
        env.scorer.down = False
        response = await env.pull(2)
        assert response.samples
        for sample in response.samples:
            assert sample.reward == float(len(sample.text) % 7)


@pytest.mark.anyio
async def test_stale_engines_get_no_work_until_they_update() -> None:
    """Fails when samples start on weights older than the staleness limit."""
    async with harness() as env:
        for item in env.engines:
            env.runtime.steps.record_engine_version(
                item.cfg.id, "base", 1, 1, 0.0
            )
        run = env.open()
        # The trainer is at version 3 and the staleness limit is 1.
        response = await env.pull(1, newest=3, wait=0.2)
        assert response.samples == ()
        await _wait_until(
            lambda: (
                run.blocked_reason is step_table.BlockedReason.ENGINES_STALE
            )
        )
        started = sum(len(item.record) for item in env.engines)
        await env.pull(2, newest=3, wait=0.2)
        assert sum(len(item.record) for item in env.engines) == started
        for item in env.engines:
            item.version = 3
        response = await env.pull(3, newest=3)
        assert response.samples
        assert all(s.versions[0].version == 3 for s in response.samples)


@pytest.mark.anyio
async def test_removed_step_cancels_its_streams() -> None:
    """Fails when engines continue to generate for a removed step."""
    async with harness() as env:
        run = env.open(max_tokens=100_000)

        def generations() -> list[fake_engine.Generation]:
            return [
                gen for item in env.engines for gen in item.record.values()
            ]

        await _wait_until(lambda: len(generations()) == 6)
        env.runtime.steps.remove(run)
        await _wait_until(lambda: all(gen.cancelled for gen in generations()))
        await _wait_until(lambda: not run.cancel_scopes)
        assert sum(item.running for item in env.engines) == 0


@pytest.mark.anyio
async def test_straggler_is_duplicated_within_the_budget() -> None:
    """Fails when one slow engine stalls a step or duplicates exceed 5%."""
    async with harness() as env:
        groups = tuple(({"content": str(n)},) for n in range(40))
        run = env.open(groups=groups, max_tokens=4)
        await _wait_until(lambda: run.generated_count >= 70)
        slow, fast = env.engines
        # The remaining samples of the slow engine would take 80 s each.
        slow.slow_factor = 10_000.0
        run = env.open(step="s2", groups=groups, max_tokens=4)
        await _wait_until(
            lambda: any(not gen.finished for gen in _generations(slow))
        )
        await _wait_until(lambda: run.progress.counts().ready >= 72)
        budget = env.runtime.steps.duplicate_budget
        await _wait_until(lambda: budget.duplicate_tokens > 0)
        assert budget.duplicate_tokens <= 0.05 * budget.kept_tokens
        await _wait_until(
            lambda: any(gen.cancelled for gen in _generations(slow))
        )
        assert not any(gen.cancelled for gen in _generations(fast))


def _generations(engine: fake_engine.Engine) -> list[fake_engine.Generation]:
    return list(engine.record.values())
