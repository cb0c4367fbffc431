"""Guard reads from the store at instances that don't run the batch."""

from collections import abc
import contextlib

import anyio
import httpx

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import storage
from hibiscussaddle.platform.standins import store as fake_store

import batch_builders
import loopback

OWNER = model.Owner("gateway-1", 1)
MAX_BYTES = 1_000_000


class ReadHarness:
    """Hold a batch of three items, its owner's storage and a reader."""

    def __init__(
        self, fake: fake_store.Store, client: store.StoreClient
    ) -> None:
        """Read through the client with which the owner writes."""
        self.fake = fake
        self.client = client
        self.storage = storage.BatchStorage(client)
        self.reader = reader.BatchReader(self.storage)
        self.batch = batch_builders.batch(
            *(batch_builders.item(f"item-{n}") for n in range(3))
        )
        self._revision = 0

    async def accept(self) -> None:
        """Store the batch."""
        accepted = await self.storage.accept(self.batch, OWNER, 1.0)
        self._revision = accepted.unwrap()

    async def log_result(self, number: int) -> None:
        """Append the result of an item to the log."""
        item_result = model.Result(
            f"item-{number}", model.Outcome.COMPLETED, "text"
        )
        appended = await self.storage.append(
            self.batch.id, self._revision, number, [item_result], [], False
        )
        appended.unwrap()

    async def read(self, position: int, wait: float) -> list[str]:
        """Return the item ids of the results from a position on."""
        page = await self.reader.results(
            self.batch.id, position, wait, MAX_BYTES
        )
        return [item_result.item_id for item_result in page.unwrap().results]


@contextlib.asynccontextmanager
async def read_harness() -> abc.AsyncIterator[ReadHarness]:
    """Yield a harness with an accepted batch."""
    fake = fake_store.Store()
    async with (
        loopback.serve(fake_store.create_app(fake)) as url,
        httpx.AsyncClient(trust_env=False) as http,
    ):
        client = store.create_client(http, url, calls_per_second=1000)
        harness = ReadHarness(fake, client)
        await harness.accept()
        yield harness


def test_read_waits_for_a_result_with_one_call() -> None:
    """Fails when a read scans the log again before it waits.

    Trainers read twice a second; with two calls a read they made a fifth of
    all store calls on cereza-hs-grown quiet-1.
    """

    async def main() -> None:
        async with read_harness() as harness:
            assert await harness.read(0, 0.0) == []
            before = sum(harness.client.calls.values())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.log_result, 0)
                assert await harness.read(0, 1.0) == ["item-0"]
            assert sum(harness.client.calls.values()) - before == 2
            await harness.log_result(1)
            assert await harness.read(0, 0.0) == ["item-0"]
            assert await harness.read(1, 0.0) == ["item-1"]

    anyio.run(main)


def test_results_of_a_compacted_history_are_found() -> None:
    """Fails when a read misses a result that the store's history dropped."""

    async def main() -> None:
        async with read_harness() as harness:
            assert await harness.read(0, 0.0) == []
            await harness.log_result(0)
            await harness.log_result(1)
            harness.fake.compact_history()
            assert await harness.read(0, 0.0) == ["item-0", "item-1"]

    anyio.run(main)


def test_result_missed_by_a_watch_is_read_later() -> None:
    """Fails when a result stays hidden after one response without it.

    While the store compacts its history, its watches return no changes for a
    second.
    """

    async def main() -> None:
        async with read_harness() as harness:
            assert await harness.read(0, 0.0) == []
            await harness.log_result(0)
            changes, harness.fake.changes = harness.fake.changes, []
            assert await harness.read(0, 0.0) == []
            harness.fake.changes = changes
            assert await harness.read(0, 0.0) == ["item-0"]

    anyio.run(main)
