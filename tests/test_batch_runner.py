"""Guard the batch runner: resumed texts, versions and fenced appends."""

import time
import typing

import anyio
import httpx
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import engine_choice
from hibiscussaddle.batches import limits
from hibiscussaddle.batches import model
from hibiscussaddle.batches import runner
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import text_cache
from hibiscussaddle.platform.standins import store as fake_store
from hibiscussaddle.routes import routing_config

import batch_builders
import batch_harness
import loopback


def test_text_of_the_previous_owner_is_resumed() -> None:
    """Fails when a takeover generates stored texts again.

    On kigali-engrave trouble-3 all processes were killed in the middle of two
    steps. Their longest items restarted from the prompt, and both steps and
    the following ones were late.
    """
    batch = batch_builders.batch()
    checkpoint = batch_builders.transcript(16).to_checkpoint("item-1")

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch)
            items = batch_harness.FakeItemRunner()
            owned = runner.BatchRunner(
                harness.dependencies(items), batch, record, (), [checkpoint]
            )
            with anyio.fail_after(5):
                await owned.run()
            assert items.started_after == [("item-1", 16)]
            results = await harness.logged_results(batch.id)
            assert results[0].text.count("text") == 20

    anyio.run(main)


def test_text_of_older_weights_is_not_resumed() -> None:
    """Fails when a result has a version below the batch's minimum."""
    batch = batch_builders.batch(min_version=2)
    checkpoint = batch_builders.transcript(16, (1, 2)).to_checkpoint("item-1")

    async def main() -> None:
        async with batch_harness.harness() as harness:
            engine = batch_builders.engine(
                "engine-1", weight_versions=(("base", 2),)
            )
            harness.view.directory.put(engine)
            record = await harness.accept(batch)
            items = batch_harness.FakeItemRunner(versions=(2,))
            owned = runner.BatchRunner(
                harness.dependencies(items), batch, record, (), [checkpoint]
            )
            with anyio.fail_after(5):
                await owned.run()
            assert items.started_after == [("item-1", None)]
            assert (await harness.logged_results(batch.id))[0].versions == (2,)

    anyio.run(main)


def test_previous_owner_appends_nothing_after_a_takeover() -> None:
    """Fails when a paused owner appends results beside its successor."""
    batch = batch_builders.batch()

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch)
            successor = model.Owner("gateway-2", 2)
            takeover = await harness.storage.take_over(record, successor)
            assert isinstance(takeover, result.Ok)
            owned = runner.BatchRunner(
                harness.dependencies(batch_harness.FakeItemRunner()),
                batch,
                record,
            )
            with anyio.fail_after(5):
                await owned.run()
            assert owned.stop_reason in ("ownership_lost", "owner_changed")
            assert await harness.logged_results(batch.id) == []

    anyio.run(main)


def test_append_without_a_response_is_logged_once() -> None:
    """Fails when a lost response of the store duplicates a result."""
    fake = fake_store.Store()
    batch = batch_builders.batch()

    async def main() -> None:
        async with (
            loopback.serve(fake_store.create_app(fake)) as url,
            httpx.AsyncClient(trust_env=False) as http,
        ):
            client = store.create_client(http, url, calls_per_second=1000)
            harness = batch_harness.Harness(client)
            record = await harness.accept(batch)
            fake.faults.lose_answers = 1
            owned = runner.BatchRunner(
                harness.dependencies(batch_harness.FakeItemRunner()),
                batch,
                record,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.waiting_items.run)
                with anyio.fail_after(10):
                    await owned.run()
                tasks.cancel_scope.cancel()
            assert owned.stop_reason == "complete"
            results = await harness.logged_results(batch.id)
            assert [entry.item_id for entry in results] == ["item-1"]

    anyio.run(main)


def test_item_is_abandoned_after_its_attempts() -> None:
    """Fails when a failing item runs forever or is abandoned too early."""
    batch = batch_builders.batch()

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch)
            failed = runs.RunEnd.FAILED
            items = batch_harness.FakeItemRunner(ends=[failed, failed, failed])
            owned = runner.BatchRunner(
                harness.dependencies(items), batch, record
            )
            with anyio.fail_after(5):
                await owned.run()
            assert len(items.started_after) == 3
            outcome = (await harness.logged_results(batch.id))[0].outcome
            assert outcome is model.Outcome.DEAD

    anyio.run(main)


def test_next_batch_resumes_the_texts_of_an_ended_batch() -> None:
    """Fails when a resubmitted item restarts from its prompt."""

    class HangingItemRunner(batch_harness.FakeItemRunner):
        async def run(
            self, progress: runs.Progress, batch: model.Batch, _: object
        ) -> runs.RunEnd:
            progress.transcript = batch_builders.transcript(7)
            self.reached.set()
            await anyio.sleep_forever()
            return runs.RunEnd.BROKEN

        reached: anyio.Event

    first = batch_builders.batch()
    second = batch_builders.batch(id="batch-2", step=2)

    async def main() -> None:
        async with batch_harness.harness() as harness:
            items = HangingItemRunner()
            items.reached = anyio.Event()
            record = await harness.accept(first)
            owned = runner.BatchRunner(
                harness.dependencies(items), first, record
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owned.run)
                await items.reached.wait()
                (await harness.storage.end(first.id)).unwrap()
            assert owned.stop_reason == "owner_removed"
            record = await harness.accept(second)
            second_items = batch_harness.FakeItemRunner()
            owned = runner.BatchRunner(
                harness.dependencies(second_items), second, record
            )
            with anyio.fail_after(5):
                await owned.run()
            assert second_items.started_after == [("item-1", 7)]

    anyio.run(main)


def test_result_of_an_earlier_batch_is_reused() -> None:
    """Fails when a resubmitted item with a complete text runs again.

    Seeds 35 and 130 of the histories: an instance crashed on a batch with an
    item that an earlier batch had completed.
    """
    batch = batch_builders.batch()
    text = model.Result("item-1", model.Outcome.COMPLETED, "text", (1,))

    async def main() -> None:
        async with batch_harness.harness() as harness:
            harness.text_cache.put(
                "item-1", text_cache.CachedText(result=text)
            )
            record = await harness.accept(batch)
            items = batch_harness.FakeItemRunner()
            owned = runner.BatchRunner(
                harness.dependencies(items), batch, record
            )
            with anyio.fail_after(5):
                await owned.run()
            assert items.started_after == []
            assert await harness.logged_results(batch.id) == [text]

    anyio.run(main)


def test_run_on_a_silent_engine_is_requeued() -> None:
    """Fails when a run stays on a silent connection without an alternative.

    On cereza-hs trouble-3 four of six engines went silent and the others had
    no capacity, so that the runs kept waiting on them.
    """
    batch = batch_builders.batch()

    class SilentItemRunner(batch_harness.FakeItemRunner):
        async def run(
            self, progress: runs.Progress, _: model.Batch, endpoint: object
        ) -> runs.RunEnd:
            self.started_after.append((progress.item.id, None))
            progress.endpoint = typing.cast(typing.Any, endpoint)
            progress.started_at = time.monotonic()
            progress.last_event_at = None
            with anyio.CancelScope() as progress.cancel_scope:
                await anyio.sleep_forever()
            progress.cancel_scope = None
            return runs.RunEnd.BROKEN

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch)
            items = SilentItemRunner()
            owned = runner.BatchRunner(
                harness.dependencies(items), batch, record
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owned.run)
                with anyio.fail_after(10):
                    while len(items.started_after) < 2:
                        await anyio.sleep(0.05)
                tasks.cancel_scope.cancel()

    anyio.run(main)


def test_owner_without_the_store_starts_no_run() -> None:
    """Fails when an owner that can't see its batch's end starts runs.

    On kigali-engrave fresh-4d1e an item reached an engine 4.8 s after the
    acknowledged end of its batch, from an owner partitioned from the store.
    """
    fake = fake_store.Store()
    batch = batch_builders.batch()

    async def main() -> None:
        async with (
            loopback.serve(fake_store.create_app(fake)) as url,
            httpx.AsyncClient(trust_env=False) as http,
        ):
            client = store.create_client(http, url, calls_per_second=1000)
            harness = batch_harness.Harness(client)
            harness.view.directory.remove("engine-1")
            record = await harness.accept(batch)
            items = batch_harness.FakeItemRunner()
            owned = runner.BatchRunner(
                harness.dependencies(items), batch, record
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.waiting_items.run)
                tasks.start_soon(owned.run)
                fake.faults.down = True
                await anyio.sleep(4.0)
                harness.view.directory.put(batch_builders.engine("engine-1"))
                await anyio.sleep(0.3)
                assert items.started_after == []
                fake.faults.down = False
                with anyio.fail_after(10):
                    while not items.started_after:
                        await anyio.sleep(0.05)
                tasks.cancel_scope.cancel()

    anyio.run(main)


def test_owner_makes_few_store_calls() -> None:
    """Fails when an owner reads its record although its writes confirm it.

    A step appends results several times a second for four seconds; watching
    the owner record as well cost six calls a step.
    """
    batch = batch_builders.batch(
        *(batch_builders.item(f"item-{n}") for n in range(12))
    )

    class SlowItemRunner(batch_harness.FakeItemRunner):
        async def run(
            self, progress: runs.Progress, _: model.Batch, endpoint: object
        ) -> runs.RunEnd:
            await anyio.sleep(0.5)
            return await super().run(progress, _, endpoint)

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch)
            before = sum(harness.client.calls.values())
            items = SlowItemRunner()
            owned = runner.BatchRunner(
                harness.dependencies(items), batch, record
            )
            with anyio.fail_after(10):
                await owned.run()
            calls = sum(harness.client.calls.values()) - before
            # Three rounds of four runs, each appended by one or two writes.
            assert calls <= 6

    anyio.run(main)


def test_priority_of_the_workspace_goes_before_that_of_the_route() -> None:
    """Fails when a customer's priority doesn't order its waiting items."""

    async def main() -> None:
        async with batch_harness.harness() as harness:
            batch = batch_builders.batch(workspace="registar")
            dependencies = harness.dependencies(batch_harness.FakeItemRunner())
            choice = engine_choice.EngineChoice(
                dependencies.view,
                dependencies.engines,
                dependencies.limiter,
                batch,
            )
            item_limits = limits.ItemLimits(
                batch, choice.route, choice.workspace
            )
            route = batch_builders.route(priority=4)
            harness.view.config = routing_config.RoutingConfig(1, (route,))
            assert item_limits.priority() == 4
            workspace = routing_config.Workspace(
                "registar", frozenset(), priority=1
            )
            harness.view.config = routing_config.RoutingConfig(
                2, (route,), workspaces=(workspace,)
            )
            assert item_limits.priority() == 1

    anyio.run(main)
