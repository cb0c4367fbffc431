"""Guard reads of a batch's log that takes several pages."""

from collections import abc
import dataclasses
import time
import typing

import anyio
import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import result
from starlette import responses

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import cached_batch
from hibiscussaddle.batches import model
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import storage

import batch_builders
import peer_read_harness

# Two texts of this size exceed a page.
LONG_TEXT: typing.Final = "x" * 100_000
# Head, keys and names of fields in a response.
OVERHEAD_BYTES: typing.Final = 1_000


@dataclasses.dataclass(frozen=True)
class OldPeerResponse:
    """Have the fields of builds that return all entries at once."""

    head: model.Head
    entries: tuple[storage.LogEntry, ...]
    is_final: bool
    items: dict[str, bytes]


class DirectPeers:
    """Pass encoded responses of an owner's reader to another reader."""

    def __init__(
        self, owner: reader.BatchReader, failures: abc.Container[int] = ()
    ) -> None:
        """Fail the requests of the given numbers, counted from 1."""
        self.bodies: list[bytes] = []
        self._owner = owner
        self._failures = failures
        self._count = 0

    async def fetch(
        self,
        batch_id: str,
        route: str,
        after: str,
        wait: float,
        wants_items: bool,
    ) -> cached_batch.PeerResponse | None:
        """Return the owner's response unless this request fails."""
        self._count += 1
        if self._count in self._failures:
            return None
        response = await self._owner.peer_response(
            batch_id, after, wait, wants_items
        )
        self.bodies.append(msgspec.msgpack.encode(response))
        return msgspec.msgpack.decode(
            self.bodies[-1], type=cached_batch.PeerResponse
        )


class MemoryStorage(storage.BatchStorage):
    """Hold the log of one batch in memory."""

    def __init__(
        self, head: model.Head, entries: abc.Sequence[storage.LogEntry]
    ) -> None:
        """Hold a log whose entries never change."""
        self._head = head
        self._entries = entries

    async def head(
        self, batch_id: str
    ) -> result.Result[model.Head, store.StoreError]:
        """Return the head."""
        return result.Ok(self._head)

    async def log_entries_after(
        self, batch_id: str, last_key: str
    ) -> result.Result[tuple[list[storage.LogEntry], int], store.StoreError]:
        """Return the entries after a key."""
        entries = [entry for entry in self._entries if entry.key > last_key]
        return result.Ok((entries, 1))

    async def watch_log(
        self, batch_id: str, after: int, wait: float
    ) -> result.Result[tuple[list[storage.LogEntry], int], store.StoreError]:
        """Return no changes."""
        return result.Ok(([], after))


async def _log_long_results(harness: peer_read_harness.ReadHarness) -> None:
    for number in range(3):
        await harness.log_result(number, text=LONG_TEXT)


def test_response_to_a_peer_is_limited() -> None:
    """Fails when one response holds a whole log.

    On the grown deployments it had 0.6 to 0.9 MB and did not arrive within
    the timeout when several instances read from one owner.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _log_long_results(harness)
        # A first read that stops at the end of a page would delay a trainer,
        # which reads about twice a second.
        assert await harness.read(0) == ["item-0", "item-1", "item-2"]
        assert len(harness.peer_bodies) == 3
        for body in harness.peer_bodies:
            assert (
                len(body) <= cached_batch.MAX_PEER_PAGE_BYTES + OVERHEAD_BYTES
            )

    peer_read_harness.run_scenario(scenario)


def test_read_gets_a_log_of_several_pages() -> None:
    """Fails when a reader takes a cut response for the whole log.

    The caller would get no result although results were shown elsewhere.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _log_long_results(harness)
        before = harness.calls()
        started = time.monotonic()
        assert await harness.read(2) == ["item-2"]
        assert await harness.read(0) == ["item-0", "item-1", "item-2"]
        assert len(harness.peer_bodies) == 3
        assert harness.calls() == before
        assert time.monotonic() - started < 1.0

    peer_read_harness.run_scenario(scenario)


def test_read_waits_after_the_last_page() -> None:
    """Fails when a read returns at the end of the known log without a wait.

    Requests for further pages don't wait at the owner; the one after the last
    page must.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0, text=LONG_TEXT)
        await harness.log_result(1, text=LONG_TEXT)
        seen: list[list[str]] = []

        async def read() -> None:
            seen.append(await harness.read(2, wait=2.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.sleep(0.3)
            # Two pages and one request that waits.
            assert len(harness.peer_bodies) == 2
            await harness.log_result(2, text=LONG_TEXT)
        assert seen == [["item-2"]]
        assert len(harness.peer_bodies) == 3

    peer_read_harness.run_scenario(scenario)


def test_entry_above_the_limit_is_sent_alone() -> None:
    """Fails when an entry above the limit stops the reader's progress."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0)
        await harness.log_result(1, text="x" * 600_000)
        await harness.log_result(2)
        before = harness.calls()
        assert await harness.read(2) == ["item-2"]
        assert len(harness.peer_bodies) == 3
        assert harness.calls() == before

    peer_read_harness.run_scenario(scenario)


def test_only_the_last_page_is_final() -> None:
    """Fails when a reader stops before the last results of an ended batch."""

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0, text=LONG_TEXT)
        await harness.log_result(1, text=LONG_TEXT)
        (await harness.storage.end(harness.batch.id)).unwrap()
        harness.owner.record_end(harness.batch.id)
        # Reads the head of the batch with the first page.
        (await harness.reader.head(harness.batch.id)).unwrap()
        assert not harness.reader._cache[harness.batch.id].is_complete
        assert await harness.read(0) == ["item-0", "item-1"]
        assert await harness.read(2, wait=1.0) == []
        flags = [
            (response.is_final, response.has_more)
            for response in (
                msgspec.msgpack.decode(body, type=cached_batch.PeerResponse)
                for body in harness.peer_bodies
            )
        ]
        assert flags == [(False, True), (True, False)]

    peer_read_harness.run_scenario(scenario)


def _cut(response: responses.Response) -> responses.Response:
    return responses.Response(response.body[: len(response.body) // 2])


def _reset(response: responses.Response) -> responses.Response:
    """Return a response whose connection is closed before its end."""
    size = {"content-length": str(len(response.body))}
    return responses.Response(
        response.body[: len(response.body) // 2], 200, size
    )


def _fail(response: responses.Response) -> responses.Response:
    return responses.Response(status_code=500)


def _lose_authority(response: responses.Response) -> responses.Response:
    return responses.Response(status_code=404)


@pytest.mark.parametrize("change", [_cut, _reset, _fail, _lose_authority])
def test_failure_of_a_page_keeps_the_pages_before(
    change: abc.Callable[[responses.Response], responses.Response],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when a failed page discards results or hides the others.

    The store must be read from the last known entry on, not from the start.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _log_long_results(harness)
        harness.change_response = lambda number, response: (
            response if number == 1 else change(response)
        )
        scans: list[str] = []
        scan = harness.storage.log_entries_after

        async def record_scan(batch_id: str, last_key: str) -> typing.Any:
            scans.append(last_key)
            return await scan(batch_id, last_key)

        monkeypatch.setattr(harness.storage, "log_entries_after", record_scan)
        assert await harness.read(2) == ["item-2"]
        assert scans == [model.log_key(harness.batch.id, 0)]
        assert len(harness.peer_bodies) == 2
        assert await harness.read(0) == ["item-0", "item-1", "item-2"]

    peer_read_harness.run_scenario(scenario)


def test_peer_without_progress_is_not_asked_again() -> None:
    """Fails when a peer that never returns its further entries blocks reads.

    The reader would repeat the same request without a pause. It also fails
    when the reader takes such a response for the last one.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await harness.log_result(0)

        def withhold(
            number: int, response: responses.Response
        ) -> responses.Response:
            head = model.create_head(harness.batch)
            empty = cached_batch.PeerResponse(
                head, (), True, {}, has_more=True
            )
            return responses.Response(msgspec.msgpack.encode(empty))

        harness.change_response = withhold
        assert await harness.read(0) == ["item-0"]
        assert not harness.reader._cache[harness.batch.id].is_complete

    peer_read_harness.run_scenario(scenario)


def test_build_without_pages_reads_pages() -> None:
    """Fails when an instance of the build before loses results of a page.

    Both builds run during a rolling restart. That build ignores has_more and
    requests more unless a response is final.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _log_long_results(harness)
        entries: list[storage.LogEntry] = []
        finals: list[bool] = []
        while not (finals and finals[-1]):
            query = {
                "batch_id": harness.batch.id,
                "after": entries[-1].key if entries else "",
                "wait": 0.0,
                "wants_items": False,
            }
            resp = await harness.http.post(
                f"{harness.peer_url}/v1/batches/reads",
                content=msgspec.msgpack.encode(query),
            )
            response = msgspec.msgpack.decode(
                resp.content, type=OldPeerResponse
            )
            assert response.entries
            entries += response.entries
            finals.append(response.is_final)
        assert finals == [False, False, True]
        assert [entry.key for entry in entries] == [
            model.log_key(harness.batch.id, number) for number in range(3)
        ]

    peer_read_harness.run_scenario(scenario)


def test_response_of_a_build_without_pages_is_read() -> None:
    """Fails when the response of the build before is refused or repeated.

    That build returns all entries, without has_more.
    """

    async def scenario(harness: peer_read_harness.ReadHarness) -> None:
        await _log_long_results(harness)
        cached = harness.owner._cache[harness.batch.id]
        entries, _ = cached.entries_after("", peer_read_harness.MAX_BYTES)
        old = OldPeerResponse(cached.head, entries, True, {})
        body = msgspec.msgpack.encode(old)
        harness.change_response = lambda number, response: responses.Response(
            body
        )
        before = harness.calls()
        assert await harness.read(2) == ["item-2"]
        assert harness.reader._cache[harness.batch.id].is_final
        assert len(harness.peer_bodies) == 1
        assert harness.calls() == before

    peer_read_harness.run_scenario(scenario)


@hypothesis.given(
    sizes=strategies.lists(
        strategies.lists(strategies.integers(0, 150_000), max_size=3),
        max_size=8,
    ),
    failures=strategies.sets(strategies.integers(1, 8)),
    is_ended=strategies.booleans(),
    first=strategies.integers(0, 24),
)
@hypothesis.example([[100_000]] * 8, set(), False, 0)
@hypothesis.example([[100_000]] * 8, set(), False, 7)
def test_pages_hold_the_results_in_order(
    sizes: list[list[int]], failures: set[int], is_ended: bool, first: int
) -> None:
    """Fails when a split of the log loses, repeats or reorders results."""
    entries = []
    item_results: list[model.Result] = []
    for number, texts in enumerate(sizes):
        added = tuple(
            model.Result(
                f"item-{len(item_results) + index}",
                model.Outcome.COMPLETED,
                "x" * size,
            )
            for index, size in enumerate(texts)
        )
        item_results += added
        key = model.log_key("batch-1", number)
        entries.append(storage.LogEntry(key, added))
    # One item has no result unless the batch has ended.
    batch = batch_builders.batch(
        *(
            batch_builders.item(f"item-{n}")
            for n in range(len(item_results) + 1)
        )
    )
    batch_storage = MemoryStorage(model.create_head(batch), entries)
    owner = reader.BatchReader(batch_storage)
    owner.record_owned_batch(batch, entries, lambda: True)
    if is_ended:
        owner.record_end(batch.id)
    peers = DirectPeers(owner, failures)
    other = reader.BatchReader(batch_storage, peers)
    seen: list[model.Result] = []

    async def main() -> None:
        if first < len(item_results):
            page = await other.results(
                batch.id, first, 0.0, peer_read_harness.MAX_BYTES
            )
            assert page.unwrap().results[0] == item_results[first]
        while len(seen) < len(item_results):
            page = await other.results(
                batch.id, len(seen), 0.0, peer_read_harness.MAX_BYTES
            )
            assert page.unwrap().results
            seen.extend(page.unwrap().results)
        page = await other.results(
            batch.id, len(seen), 0.0, peer_read_harness.MAX_BYTES
        )
        assert not page.unwrap().results

    anyio.run(main)
    assert seen == item_results
    for body in peers.bodies:
        response = msgspec.msgpack.decode(body, type=cached_batch.PeerResponse)
        size = sum(
            len(model.encode_results(list(entry.results)))
            for entry in response.entries
        )
        assert (
            size <= cached_batch.MAX_PEER_PAGE_BYTES
            or len(response.entries) == 1
        )
        assert not (response.is_final and response.has_more)
        if response.is_final and response.entries:
            assert response.entries[-1] == entries[-1]
