"""Guard reads that the owner of a batch serves instead of the store."""

import dataclasses
import time

import anyio

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import peer_reads
from hibiscussaddle.fleet import presence

import batch_builders
import peer_read_harness


def test_reads_at_other_instances_make_no_store_call() -> None:
    """Fails when every instance reads each batch from the store.

    Trainers and other callers poll a batch at instances of all zones. On
    cereza-hs-grown quiet-1, 50 instances made 1,300 reads and 230 watches
    for 26 batches.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0)
        before = harness.calls()
        assert await harness.read(0) == ["item-0"]
        await harness.log_result(1)
        for _ in range(5):
            assert await harness.read(1) == ["item-1"]
        body = await harness.reader.item_body(harness.batch.id, "item-2")
        assert body.unwrap() == b"prompt"
        # Only the second append calls the store.
        assert harness.calls() - before == 1

    peer_read_harness.run_scenario(scenario)


def test_peers_tell_whose_batch_it_is() -> None:
    """Fails when another workspace reads a batch through a peer.

    Which workspace owns a batch must be known without a store call, too.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        harness.batch = dataclasses.replace(
            harness.batch, id="batch-2", workspace="registar"
        )
        await harness.accept()
        before = harness.calls()
        for workspace in ("portal", "registar", "portal"):
            is_own = workspace == "registar"
            body = await harness.reader.item_body(
                "batch-2", "item-2", workspace
            )
            assert body.is_ok() is is_own
            page = await harness.reader.results(
                "batch-2", 0, 0.0, peer_read_harness.MAX_BYTES, workspace
            )
            assert page.is_ok() is is_own
        assert harness.calls() == before

    peer_read_harness.run_scenario(scenario)


def test_read_waits_at_the_owner() -> None:
    """Fails when a waiting read returns late or polls."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        seen: list[tuple[list[str], float]] = []

        async def read() -> None:
            started = time.monotonic()
            ids = await harness.read(0, wait=2.0)
            seen.append((ids, time.monotonic() - started))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.sleep(0.7)
            await harness.log_result(0)
        assert seen[0][0] == ["item-0"]
        assert 0.6 < seen[0][1] < 1.2

    peer_read_harness.run_scenario(scenario)


def test_owner_without_authority_serves_no_reads() -> None:
    """Fails when an owner that was replaced hides newer results.

    The owner's machine froze, and its successor has logged results.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0)
        assert await harness.read(0) == ["item-0"]
        harness.is_authoritative = False
        await harness.log_result(1, is_known=False)
        assert await harness.read(1) == ["item-1"]

    peer_read_harness.run_scenario(scenario)


def test_dead_owner_does_not_block_reads() -> None:
    """Fails when reads hang because the owner of their batch is dead."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0)
        peers = harness.reader._peers
        assert isinstance(peers, peer_reads.PeerReadClient)
        members = peers._members
        dead = presence.Member(
            peer_read_harness.OWNER.instance, "zone-b", 1, "127.0.0.1:9"
        )
        members.all[dead.instance] = dead
        for _ in range(3):
            assert await harness.read(0) == ["item-0"]

    peer_read_harness.run_scenario(scenario)


def test_ended_batch_is_read_from_the_store_once() -> None:
    """Fails when reads of an ended batch miss results or each call the store.

    The owner did not receive the response to its last append.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0)
        await harness.log_result(1, is_known=False)
        (await harness.storage.end(harness.batch.id)).unwrap()
        harness.owner.record_owner_stopped(
            harness.batch.id, harness.owner_is_authoritative
        )
        harness.owner.record_end(harness.batch.id)
        before = harness.calls()
        for _ in range(4):
            assert await harness.read(0, 0.2) == ["item-0", "item-1"]
            assert await harness.read(2, 0.2) == []
        assert harness.calls() - before == 1

    peer_read_harness.run_scenario(scenario)


def test_batch_unknown_to_its_owner_is_read_from_the_store() -> None:
    """Fails when a batch counts as missing because its owner evicted it."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0)
        harness.owner._cache.clear()
        assert await harness.read(0) == ["item-0"]
        unknown = await harness.reader.head("none")
        assert unknown.unwrap_err().failure is store.StoreFailure.MISSING

    peer_read_harness.run_scenario(scenario)


def test_cache_keeps_the_batches_that_run_here() -> None:
    """Fails when reads of old batches evict those that run here."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        for number in range(40):
            batch = batch_builders.batch(id=f"old-{number}")
            (
                await harness.storage.accept(
                    batch, peer_read_harness.OWNER, 1.0
                )
            ).unwrap()
            (await harness.owner.head(batch.id)).unwrap()
        assert harness.batch.id in harness.owner._cache
        assert len(harness.owner._cache) < 40

    peer_read_harness.run_scenario(scenario)
