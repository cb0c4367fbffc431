"""Guard against one input whose unexpected error ends the process."""

import importlib
import time
import typing

import anyio
import pytest

from hibiscussaddle.adapters import connections
from hibiscussaddle.batches import events
from hibiscussaddle.batches import owners
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runner as runner_lib
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import waiting_items
from hibiscussaddle import containment
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import presence
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import gateway_components
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.rate_limits import limiter as limiter_lib

import batch_builders
import batch_harness
import limit_builders
import owner_harness
import platform_builders
import raw_server

_BATCHES: typing.Final = "hibiscussaddle.batches"


class UnexpectedError(Exception):
    """Stand for an error that no handler expects."""


@pytest.fixture(name="odd_key")
def make_odd_key(monkeypatch: pytest.MonkeyPatch) -> str:
    """Return a key whose entry raises an unexpected error."""
    odd_key = "servers/odd"
    decode = endpoint_wire.decode_endpoint

    def fail(key: str, data: bytes) -> typing.Any:
        if key == odd_key:
            raise UnexpectedError
        return decode(key, data)

    monkeypatch.setattr(endpoint_wire, "decode_endpoint", fail)
    return odd_key


def test_entry_with_an_unexpected_error_hides_only_itself(
    odd_key: str,
) -> None:
    """Fails when an error in one entry ends the feed and the process."""
    entries = (
        platform_builders.endpoint_entry("odd"),
        platform_builders.endpoint_entry("i-1"),
    )
    assert entries[0].key == odd_key
    before = logs.EVENTS["input_failed"]
    view = view_lib.create_view()
    changes = change_log.ChangeLog(gateway_components.endpoint_content)
    changes.apply(change_log.Page(entries, 8, is_listing=True))
    view.apply_endpoint_listing(list(entries))
    assert [ep.id for ep in view.directory.all()] == ["i-1"]
    assert logs.EVENTS["input_failed"] == before + 2


def test_member_with_an_unexpected_error_hides_only_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when an error in one member's key ends the process."""
    members = presence.Members(presence.Member("me", "zone-a", 1))
    monkeypatch.setattr(presence.decoding, "decode_json", lambda *_: 1 / 0)
    entry = platform_builders.endpoint_entry("i-1")
    odd = presence.store.StoreEntry(presence.PREFIX + "x", entry.data, 7)
    members.apply_listing([odd])
    assert not members.all


def test_item_with_an_unexpected_error_is_tried_again_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when an error of one run ends the owner of its batch."""
    monkeypatch.setattr(limiter_lib.Limiter, "observe", lambda *_, **__: 1 / 0)
    ends: list[runs.RunEnd] = []

    async def main() -> float:
        client = connections.create_client()
        response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        started = time.monotonic()
        async with raw_server.serve(response) as url:
            runner = runs.ItemRunner(
                client, placement.Placement(), limit_builders.limiter()
            )
            batch = batch_builders.batch()
            progress = runs.Progress(batch.items[0], events.Transcript())
            endpoint = batch_builders.engine("e-1", address=url)
            with anyio.fail_after(5):
                ends.append(await runner.run(progress, batch, endpoint))
        await client.aclose()
        return time.monotonic() - started

    # Without a pause the item would use up the processor.
    assert anyio.run(main) > 0.5
    assert ends == [runs.RunEnd.BROKEN]


def test_cancellation_is_not_contained() -> None:
    """Fails when a task that handles an input can't be cancelled."""
    reached: list[str] = []

    async def main() -> None:
        with anyio.move_on_after(0.05):
            with containment.contain("item", "i-1"):
                await anyio.sleep_forever()
            reached.append("after")

    anyio.run(main)
    assert not reached


def _fail(*_: typing.Any, **__: typing.Any) -> typing.Any:
    raise UnexpectedError


@pytest.mark.parametrize(
    "part",
    [
        "competition.Competition.record_length",
        "scores.BatchScores.score",
        "engine_choice.EngineChoice.choose",
        "limits.ItemLimits.accepts_versions",
    ],
)
def test_error_of_one_item_ends_no_other(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fails when one item's error ends the owner, and then its successor.

    The statistics of a completed item raised OverflowError, at each start of
    each owner again.
    """
    module, cls, name = part.split(".")
    target = getattr(importlib.import_module(f"{_BATCHES}.{module}"), cls)
    original = getattr(target, name)
    calls = 0

    def fail_once(*args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise UnexpectedError
        return original(*args, **kwargs)

    monkeypatch.setattr(target, name, fail_once)
    batch = batch_builders.batch(
        *(batch_builders.item(f"item-{n}") for n in range(3))
    )

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch)
            owned = runner_lib.BatchRunner(
                harness.dependencies(batch_harness.FakeItemRunner()),
                batch,
                record,
            )
            with anyio.fail_after(5):
                await owned.run()
            assert owned.stop_reason == "complete"
            results = await harness.logged_results(batch.id)
            assert len(results) == 3

    anyio.run(main)


@pytest.mark.parametrize(
    "part",
    [
        "runner.BatchRunner.__init__",
        "runner.BatchRunner.run",
        "runner.BatchRunner._watch_ownership",
        "run_checks.RunChecks.run",
    ],
)
def test_error_of_one_batch_ends_no_other(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fails when a batch whose runner fails ends its owner."""
    module, cls, name = part.split(".")
    target = getattr(importlib.import_module(f"{_BATCHES}.{module}"), cls)
    original = getattr(target, name)
    failed: list[str] = []

    def fail_odd(self: typing.Any, *args: typing.Any) -> typing.Any:
        if name == "__init__":
            batch = args[1]
        else:
            batch = getattr(self, "batch", None) or self._batch
        if batch.id == "odd":
            failed.append(batch.id)
            raise UnexpectedError
        return original(self, *args)

    monkeypatch.setattr(target, name, fail_odd)
    # Tests last no longer than a second attempt.
    monkeypatch.setattr(owners, "_FAILED_BATCH_DELAY_SECONDS", 0.2)

    async def main() -> None:
        async with owner_harness.owned_batches(True) as (owned, batches):
            owned.members.route_owner = lambda _: None
            for batch_id in ("odd", "other"):
                batch = batch_builders.batch(id=batch_id)
                (
                    await owned.accept(owner_harness.submission(batch), 1.0)
                ).unwrap()
            with anyio.fail_after(5):
                while not (
                    await batches.log_entries_after("other", "")
                ).unwrap()[0]:
                    await anyio.sleep(0.02)
                # The batch is tried again, as the error may have passed.
                while len(failed) < 2:
                    await anyio.sleep(0.02)

    anyio.run(main)


def test_error_of_one_waiting_item_reaches_only_that_item() -> None:
    """Fails when the choice for one item ends the queue of all batches."""
    engines = placement.Placement()
    items = waiting_items.WaitingItems(engines)
    engine = batch_builders.engine("engine-1")
    found: list[object] = []

    async def wait(name: str, choose: typing.Any) -> None:
        rank = batch_builders.rank(0.0, name, 0)
        try:
            found.append(
                await items.wait_for_engine(
                    lambda _: rank, name, choose, lambda: False
                )
            )
        except UnexpectedError:
            found.append(name)

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(items.run)
            async with anyio.create_task_group() as waiting:
                waiting.start_soon(wait, "odd", _fail)
                waiting.start_soon(wait, "other", lambda **_: engine)
            tasks.cancel_scope.cancel()

    with_timeout(main)
    assert found == ["odd", engine]


def with_timeout(main: typing.Any) -> None:
    """Run a test that hangs when it fails."""

    async def limited() -> None:
        with anyio.fail_after(5):
            await main()

    anyio.run(limited)
