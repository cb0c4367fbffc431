"""Guard reads that the owner of a batch serves instead of the store."""

from collections import abc
import contextlib
import time
import typing

import anyio
import httpx
from starlette import applications

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import peer_reads
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import storage
from hibiscussaddle.fleet import presence
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle.platform.standins import store as fake_store
from hibiscussaddle.routes import routing_config

import batch_builders
import loopback

OWNER: typing.Final = model.Owner("gateway-1", 1)
MAX_BYTES: typing.Final = 1_000_000


class ReadHarness:
    """Hold the reader of a batch's owner and the one of another instance."""

    def __init__(
        self,
        client: store.StoreClient,
        http: httpx.AsyncClient,
        members: presence.Members,
    ) -> None:
        """Read through one store client, whose calls are counted."""
        self.client = client
        self.storage = storage.BatchStorage(client)
        self.owner = reader.BatchReader(self.storage)
        view = view_lib.create_view()
        view.config = routing_config.RoutingConfig(
            1, (batch_builders.route(),)
        )
        peers = peer_reads.PeerReadClient(http, members, view)
        self.reader = reader.BatchReader(self.storage, peers)
        self.batch = batch_builders.batch(
            *(batch_builders.item(f"item-{n}") for n in range(3))
        )
        self.is_authoritative = True
        self._revision = 0

    async def accept(self) -> None:
        """Store the batch and let the owner run it."""
        accepted = await self.storage.accept(self.batch, OWNER, 1.0)
        self._revision = accepted.unwrap()
        self.owner.record_owned_batch(
            self.batch, (), self.owner_is_authoritative
        )

    def owner_is_authoritative(self) -> bool:
        """Return whether the owner may serve reads of the batch."""
        return self.is_authoritative

    async def log_result(self, number: int, is_known: bool = True) -> None:
        """Append a result; without is_known its owner's cache misses it."""
        item_result = model.Result(
            f"item-{number}", model.Outcome.COMPLETED, "text"
        )
        appended = await self.storage.append(
            self.batch.id, self._revision, number, [item_result], [], False
        )
        appended.unwrap()
        if is_known:
            key = model.log_key(self.batch.id, number)
            entry = storage.LogEntry(key, (item_result,))
            self.owner.record_entry(self.batch.id, entry)

    async def read(self, position: int, wait: float = 0.0) -> list[str]:
        """Return the item ids of results that the other instance reads."""
        page = await self.reader.results(
            self.batch.id, position, wait, MAX_BYTES
        )
        return [item_result.item_id for item_result in page.unwrap().results]

    def calls(self) -> int:
        """Return the number of store calls so far."""
        return sum(self.client.calls.values())


@contextlib.asynccontextmanager
async def read_harness() -> abc.AsyncIterator[ReadHarness]:
    """Yield two instances that share a stand-in store."""
    fake = fake_store.Store()
    app = applications.Starlette()
    me = presence.Member("gateway-2", "zone-a", 1, "127.0.0.1:1")
    async with (
        loopback.serve(fake_store.create_app(fake)) as url,
        loopback.serve(app) as peer,
        httpx.AsyncClient(trust_env=False) as http,
    ):
        members = presence.Members(me)
        address = peer.removeprefix("http://")
        other = presence.Member(OWNER.instance, "zone-b", 1, address)
        members.all = {other.instance: other}
        client = store.create_client(http, url, calls_per_second=1000)
        harness = ReadHarness(client, http, members)
        app.router.routes.append(peer_reads.create_route(harness.owner))
        await harness.accept()
        yield harness


def _run_scenario(
    scenario: abc.Callable[[ReadHarness], abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        async with read_harness() as harness:
            with anyio.fail_after(10):
                await scenario(harness)

    anyio.run(main)


def test_reads_at_other_instances_make_no_store_call() -> None:
    """Fails when every instance reads each batch from the store.

    Trainers and other callers poll a batch at instances of all zones. On
    cereza-hs-grown quiet-1, 50 instances made 1,300 reads and 230 watches
    for 26 batches.
    """

    async def scenario(harness: ReadHarness) -> None:
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

    _run_scenario(scenario)


def test_read_waits_at_the_owner() -> None:
    """Fails when a waiting read returns late or polls."""

    async def scenario(harness: ReadHarness) -> None:
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

    _run_scenario(scenario)


def test_owner_without_authority_serves_no_reads() -> None:
    """Fails when an owner that was replaced hides newer results.

    The owner's machine froze, and its successor has logged results.
    """

    async def scenario(harness: ReadHarness) -> None:
        await harness.log_result(0)
        assert await harness.read(0) == ["item-0"]
        harness.is_authoritative = False
        await harness.log_result(1, is_known=False)
        assert await harness.read(1) == ["item-1"]

    _run_scenario(scenario)


def test_dead_owner_does_not_block_reads() -> None:
    """Fails when reads hang because the owner of their batch is dead."""

    async def scenario(harness: ReadHarness) -> None:
        await harness.log_result(0)
        peers = harness.reader._peers
        assert isinstance(peers, peer_reads.PeerReadClient)
        members = peers._members
        dead = presence.Member(OWNER.instance, "zone-b", 1, "127.0.0.1:9")
        members.all[dead.instance] = dead
        for _ in range(3):
            assert await harness.read(0) == ["item-0"]

    _run_scenario(scenario)


def test_ended_batch_is_read_from_the_store_once() -> None:
    """Fails when reads of an ended batch miss results or each call the store.

    The owner did not receive the response to its last append.
    """

    async def scenario(harness: ReadHarness) -> None:
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

    _run_scenario(scenario)


def test_batch_unknown_to_its_owner_is_read_from_the_store() -> None:
    """Fails when a batch counts as missing because its owner evicted it."""

    async def scenario(harness: ReadHarness) -> None:
        await harness.log_result(0)
        harness.owner._cache.clear()
        assert await harness.read(0) == ["item-0"]
        unknown = await harness.reader.head("none")
        assert unknown.unwrap_err().failure is store.StoreFailure.MISSING

    _run_scenario(scenario)


def test_cache_keeps_the_batches_that_run_here() -> None:
    """Fails when reads of old batches evict those that run here."""

    async def scenario(harness: ReadHarness) -> None:
        for number in range(40):
            batch = batch_builders.batch(id=f"old-{number}")
            (await harness.storage.accept(batch, OWNER, 1.0)).unwrap()
            (await harness.owner.head(batch.id)).unwrap()
        assert harness.batch.id in harness.owner._cache
        assert len(harness.owner._cache) < 40

    _run_scenario(scenario)
