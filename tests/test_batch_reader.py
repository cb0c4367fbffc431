"""Guard reads from the store at instances that don't run the batch."""

from collections import abc
import contextlib
import typing

import anyio
import httpx
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import storage
from hibiscussaddle.platform.standins import store as fake_store

import batch_builders
import loopback

OWNER = model.Owner("gateway-1", 1)
MAX_BYTES = 1_000_000
MIB = 1 << 20
MAX_CACHED_BYTES = 20 * MIB
# Two of these fit into the read cache.
LARGE_TEXT = "x" * (9 * MIB)


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


class MemoryStorage:
    """Hold batches in memory and count the reads of their heads."""

    def __init__(self) -> None:
        """Start without batches."""
        self.entries: dict[str, list[storage.LogEntry]] = {}
        self.bodies: dict[str, bytes] = {}
        self.heads_read: list[str] = []
        # Set while a watch waits, and to end its wait.
        self.watch_started = anyio.Event()
        self.may_return = anyio.Event()

    def log_text(self, batch_id: str, text: str) -> None:
        """Append an entry with one result."""
        entries = self.entries.setdefault(batch_id, [])
        key = model.log_key(batch_id, len(entries))
        item_result = model.Result(
            f"item-{len(entries)}", model.Outcome.COMPLETED, text
        )
        entries.append(storage.LogEntry(key, (item_result,)))

    async def head(
        self, batch_id: str
    ) -> result.Result[model.Head, store.StoreError]:
        """Return the head of a batch that never completes."""
        self.heads_read.append(batch_id)
        return result.Ok(model.Head(1000, 0.0))

    async def records(
        self, batch_id: str
    ) -> abc.AsyncGenerator[
        result.Result[model.Batch, store.StoreError], None
    ]:
        """Yield a batch of one item."""
        item = batch_builders.item(body=self.bodies[batch_id])
        yield result.Ok(batch_builders.batch(item, id=batch_id))

    async def log_entries_after(
        self, batch_id: str, key: str
    ) -> result.Result[tuple[list[storage.LogEntry], int], store.StoreError]:
        """Return the entries after a key."""
        entries = self.entries.get(batch_id, [])
        return result.Ok(([e for e in entries if e.key > key], len(entries)))

    async def watch_log(
        self, batch_id: str, revision: int, wait: float
    ) -> result.Result[tuple[list[storage.LogEntry], int], store.StoreError]:
        """Return the entries after a revision, waiting until told to."""
        if wait:
            self.watch_started.set()
            await self.may_return.wait()
        entries = self.entries.get(batch_id, [])
        return result.Ok((entries[revision:], len(entries)))


def memory_reader() -> tuple[MemoryStorage, reader.BatchReader]:
    """Return a storage in memory and a reader of it."""
    memory = MemoryStorage()
    return memory, reader.BatchReader(
        typing.cast(storage.BatchStorage, memory)
    )


async def read_count(
    batch_reader: reader.BatchReader, batch_id: str, wait: float = 0.0
) -> int:
    """Return the number of results that a read of a batch returns."""
    page = await batch_reader.results(batch_id, 0, wait, 1000 * MIB)
    return len(page.unwrap().results)


def test_read_cache_is_limited_in_bytes() -> None:
    """Fails when a few large batches that are read fill the memory.

    The least recently used ones are evicted and read again when needed.
    """

    async def main() -> None:
        memory, batch_reader = memory_reader()
        for batch_id in "abcd":
            memory.log_text(batch_id, LARGE_TEXT)
            assert await read_count(batch_reader, batch_id) == 1
            assert await read_count(batch_reader, "a") == 1
            assert batch_reader.cached_bytes() <= MAX_CACHED_BYTES
        assert batch_reader.cached_bytes() >= 2 * len(LARGE_TEXT)
        assert memory.heads_read == list("abcd")
        assert await read_count(batch_reader, "b") == 1
        assert memory.heads_read == list("abcdb")

    anyio.run(main)


def test_batches_that_grow_in_the_cache_are_limited() -> None:
    """Fails when the limit applies only when a batch is first read."""

    async def main() -> None:
        memory, batch_reader = memory_reader()
        for batch_id in "abc":
            memory.log_text(batch_id, "text")
            assert await read_count(batch_reader, batch_id) == 1
        for batch_id in "abc":
            memory.log_text(batch_id, LARGE_TEXT)
            page = await batch_reader.results(batch_id, 1, 0.0, MAX_BYTES)
            assert len(page.unwrap().results) == 1
            assert batch_reader.cached_bytes() <= MAX_CACHED_BYTES
        assert memory.heads_read == list("abc")

    anyio.run(main)


def test_item_bodies_count_as_cached() -> None:
    """Fails when the bodies of items that are read exceed the limit."""

    async def main() -> None:
        memory, batch_reader = memory_reader()
        for batch_id in "abc":
            memory.bodies[batch_id] = LARGE_TEXT.encode()
            body = await batch_reader.item_body(batch_id, "item-1")
            assert len(body.unwrap()) == len(LARGE_TEXT)
            assert batch_reader.cached_bytes() <= MAX_CACHED_BYTES

    anyio.run(main)


def test_newest_batch_stays_above_the_limit() -> None:
    """Fails when each read of a very large batch reads all of it again."""

    async def main() -> None:
        memory, batch_reader = memory_reader()
        memory.log_text("small", "text")
        assert await read_count(batch_reader, "small") == 1
        for number in range(1, 5):
            memory.log_text("large", LARGE_TEXT)
            page = await batch_reader.results(
                "large", number - 1, 0.0, MAX_BYTES
            )
            assert len(page.unwrap().results) == 1
        assert memory.heads_read == ["small", "large"]
        assert batch_reader.cached_bytes() < 4 * len(LARGE_TEXT) + 1000

    anyio.run(main)


def test_read_of_an_evicted_batch_returns_its_results() -> None:
    """Fails when a read fails because its batch is evicted meanwhile."""

    async def main() -> None:
        memory, batch_reader = memory_reader()
        assert await read_count(batch_reader, "waiting") == 0
        counts: list[int] = []

        async def read_waiting() -> None:
            counts.append(await read_count(batch_reader, "waiting", 5.0))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_waiting)
                await memory.watch_started.wait()
                for batch_id in "abc":
                    memory.log_text(batch_id, LARGE_TEXT)
                    assert await read_count(batch_reader, batch_id) == 1
                cached = batch_reader.cached_bytes()
                memory.log_text("waiting", LARGE_TEXT)
                memory.may_return.set()
        assert counts == [1]
        assert batch_reader.cached_bytes() == cached <= MAX_CACHED_BYTES
        assert await read_count(batch_reader, "waiting") == 1
        assert memory.heads_read == ["waiting", *"abc", "waiting"]

    anyio.run(main)


def test_batches_that_run_here_stay_until_they_stop() -> None:
    """Fails when a running batch is evicted, or a stopped one never is."""

    async def main() -> None:
        memory, batch_reader = memory_reader()
        for batch_id in "abc":
            memory.log_text(batch_id, LARGE_TEXT)
            batch_reader.record_owned_batch(
                batch_builders.batch(id=batch_id),
                memory.entries[batch_id],
                authoritative,
            )
        assert batch_reader.cached_bytes() >= 3 * len(LARGE_TEXT)
        for batch_id in "abc":
            batch_reader.record_owner_stopped(batch_id, authoritative)
        assert batch_reader.cached_bytes() <= MAX_CACHED_BYTES
        await read_count(batch_reader, "c")
        assert memory.heads_read == []

    anyio.run(main)


def test_read_by_a_peer_counts_as_use() -> None:
    """Fails when a batch that only peers read is evicted before others."""

    async def main() -> None:
        memory, batch_reader = memory_reader()
        for batch_id in "ab":
            memory.log_text(batch_id, LARGE_TEXT)
            assert await read_count(batch_reader, batch_id) == 1
        await batch_reader.peer_response("a", "", 0.0, False)
        memory.log_text("c", LARGE_TEXT)
        assert await read_count(batch_reader, "c") == 1
        assert await read_count(batch_reader, "a") == 1
        assert memory.heads_read == list("abc")

    anyio.run(main)


def authoritative() -> bool:
    """Tell that the owner knows all results."""
    return True
