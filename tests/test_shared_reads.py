"""Guard against calls for one batch that each read all of it."""

from collections import abc
import dataclasses
import typing

import anyio
import pytest
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import shared_reads
from hibiscussaddle.callers import memory

import batch_builders
import peer_read_harness

CALLS: typing.Final = 24
BODY_BYTES: typing.Final = 160_000
ITEMS: typing.Final = 40


async def _accept_large_batch(harness: peer_read_harness.ReadHarness) -> None:
    items = (
        batch_builders.item(f"item-{n}", body=bytes([n]) * BODY_BYTES)
        for n in range(ITEMS)
    )
    harness.batch = dataclasses.replace(
        harness.batch, id="large", items=tuple(items)
    )
    await harness.accept()


async def _read_bodies(
    batch_reader: reader.BatchReader,
) -> list[result.Result[bytes, store.StoreError]]:
    found: dict[int, result.Result[bytes, store.StoreError]] = {}

    async def read(number: int) -> None:
        found[number] = await batch_reader.item_body("large", f"item-{number}")

    async with anyio.create_task_group() as tasks:
        for number in range(CALLS):
            tasks.start_soon(read, number)
    return [found[number] for number in range(CALLS)]


def test_bodies_come_one_by_one_from_a_peer() -> None:
    """Fails when the owner encodes a whole large batch for each call.

    24 calls at once for bodies of a batch of 20 MB took the gateway that was
    asked and the owner of the batch over 300 MB.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _accept_large_batch(harness)
        before = harness.calls()
        for number, body in enumerate(await _read_bodies(harness.reader)):
            assert body.unwrap() == bytes([number]) * BODY_BYTES
        assert harness.calls() == before
        assert max(map(len, harness.peer_bodies)) < 2 * BODY_BYTES
        assert harness.reader.cached_bytes() == 0

    peer_read_harness.run_scenario(scenario)


def test_calls_without_a_peer_share_a_scan() -> None:
    """Fails when each call reads all parts of a batch from the store."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _accept_large_batch(harness)
        harness.is_authoritative = False
        account = memory.Account(memory.budget_bytes(128))
        alone = reader.BatchReader(harness.storage, None, account)
        peak = 0

        async def watch() -> None:
            nonlocal peak
            while True:
                peak = max(peak, account.held_bytes)
                await anyio.sleep(0)

        for readers in (alone, harness.reader):
            before = harness.calls()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                bodies = await _read_bodies(readers)
                tasks.cancel_scope.cancel()
            for number, body in enumerate(bodies):
                assert body.unwrap() == bytes([number]) * BODY_BYTES
            # Heads, and the pages of at most two scans.
            pages = ITEMS * BODY_BYTES // 600_000 + 1
            assert harness.calls() - before <= CALLS + 2 * pages
        assert 0 < peak < CALLS * BODY_BYTES + (5 << 20)
        assert account.held_bytes == 0

    peer_read_harness.run_scenario(scenario)


def test_scan_without_room_is_refused() -> None:
    """Fails when a read takes memory that the account doesn't have."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _accept_large_batch(harness)
        account = memory.Account(1 << 20)
        full = reader.BatchReader(harness.storage, None, account)
        for body in await _read_bodies(full):
            assert body.unwrap_err().failure is store.StoreFailure.NO_ROOM
        assert account.held_bytes == 0

    peer_read_harness.run_scenario(scenario)


def test_bodies_of_a_crowd_are_accounted() -> None:
    """Fails when bodies that a peer sent pile up beside the account."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _accept_large_batch(harness)
        account = memory.Account(CALLS * BODY_BYTES // 2)
        peers = harness.reader._peers
        crowded = reader.BatchReader(harness.storage, peers, account)
        bodies = await _read_bodies(crowded)
        refused = sum(isinstance(body, result.Err) for body in bodies)
        assert 0 < refused < CALLS
        assert account.held_bytes == 0

    peer_read_harness.run_scenario(scenario)


def test_unknown_item_of_a_large_batch_is_missing() -> None:
    """Fails when a body that doesn't exist is looked for without end."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _accept_large_batch(harness)
        for _ in range(2):
            body = await harness.reader.item_body("large", "other")
            failure = body.unwrap_err().failure
            assert failure is store.StoreFailure.MISSING
            harness.is_authoritative = False

    peer_read_harness.run_scenario(scenario)


def test_reads_of_results_share_one_request() -> None:
    """Fails when each reader of a batch asks its owner for the same page."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0)
        pages: list[list[str]] = []

        async def read() -> None:
            pages.append(await harness.read(0))

        async with anyio.create_task_group() as tasks:
            for _ in range(CALLS):
                tasks.start_soon(read)
        assert pages == [["item-0"]] * CALLS
        assert len(harness.peer_bodies) <= 2

    peer_read_harness.run_scenario(scenario)


@pytest.mark.parametrize("is_cancelled", [True, False])
def test_call_reads_itself_after_a_failed_read(is_cancelled: bool) -> None:
    """Fails when a caller that leaves ends the calls that share its read."""

    async def main() -> None:
        reads = shared_reads.SharedReads()
        found: list[int] = []
        started = anyio.Event()

        async def fail() -> int:
            started.set()
            await anyio.sleep(0.05)
            raise ValueError

        async def succeed() -> int:
            return 7

        async def call(read: abc.Callable[[], abc.Awaitable[int]]) -> None:
            try:
                found.append(await reads.read("key", read))
            except ValueError:
                found.append(0)

        with anyio.fail_after(5):
            async with anyio.create_task_group() as others:
                async with anyio.create_task_group() as first:
                    first.start_soon(call, fail)
                    await started.wait()
                    others.start_soon(call, succeed)
                    await anyio.sleep(0.01)
                    if is_cancelled:
                        first.cancel_scope.cancel()
        assert found == ([7] if is_cancelled else [0, 7])

    anyio.run(main)


def test_parts_are_kept_while_they_are_wanted() -> None:
    """Fails when shared parts pile up, or one is read for each call."""
    asked: list[list[str]] = []

    async def read(wanted: abc.Collection[str]) -> dict[str, str]:
        asked.append(sorted(wanted))
        await anyio.sleep(0.02)
        return {part: part.upper() for part in wanted}

    async def main() -> None:
        parts: shared_reads.SharedParts[str] = shared_reads.SharedParts()
        found: list[str] = []

        async def call(part: str) -> None:
            found.append(await parts.read("batch", part, read))

        async with anyio.create_task_group() as tasks:
            for part in "aabbc":
                tasks.start_soon(call, part)
        assert sorted(found) == ["A", "A", "B", "B", "C"]
        assert not parts._groups

    anyio.run(main)
    assert len(asked) <= 2
    assert sum(map(len, asked)) == 3
