"""Guard reads of batch results at instances that don't run the batch."""

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


class World:
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
        found = model.Result(f"item-{number}", model.Outcome.COMPLETED, "text")
        done = await self.storage.append(
            self.batch.id, self._revision, number, [found], [], False
        )
        done.unwrap()

    async def read(self, position: int, wait: float) -> list[str]:
        """Return the item ids of the results from a position on."""
        page = await self.reader.results(
            self.batch.id, position, wait, MAX_BYTES
        )
        return [found.item_id for found in page.unwrap().results]


@contextlib.asynccontextmanager
async def world() -> abc.AsyncIterator[World]:
    """Yield an accepted batch."""
    fake = fake_store.Store()
    async with (
        loopback.serve(fake_store.create_app(fake)) as url,
        httpx.AsyncClient(trust_env=False) as http,
    ):
        client = store.create_client(http, url, calls_per_second=1000)
        found = World(fake, client)
        await found.accept()
        yield found


def test_read_waits_for_a_result_with_one_call() -> None:
    """Fails when a read scans the log again before it waits.

    Trainers read twice a second; with two calls a read they made a fifth of
    all store calls on cereza-hs-grown quiet-1.
    """

    async def main() -> None:
        async with world() as found:
            assert await found.read(0, 0.0) == []
            before = sum(found.client.calls.values())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(found.log_result, 0)
                assert await found.read(0, 1.0) == ["item-0"]
            assert sum(found.client.calls.values()) - before == 2
            await found.log_result(1)
            assert await found.read(0, 0.0) == ["item-0"]
            assert await found.read(1, 0.0) == ["item-1"]

    anyio.run(main)


def test_results_of_a_compacted_history_are_found() -> None:
    """Fails when a read misses a result that the store's history dropped."""

    async def main() -> None:
        async with world() as found:
            assert await found.read(0, 0.0) == []
            await found.log_result(0)
            await found.log_result(1)
            found.fake.compact_history()
            assert await found.read(0, 0.0) == ["item-0", "item-1"]

    anyio.run(main)


def test_result_missed_by_a_watch_is_read_later() -> None:
    """Fails when a result stays hidden after one response without it.

    While the store compacts its history, its watches return no changes for a
    second.
    """

    async def main() -> None:
        async with world() as found:
            assert await found.read(0, 0.0) == []
            await found.log_result(0)
            changes, found.fake.changes = found.fake.changes, []
            assert await found.read(0, 0.0) == []
            found.fake.changes = changes
            assert await found.read(0, 0.0) == ["item-0"]

    anyio.run(main)
