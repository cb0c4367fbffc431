"""Test the log lines and metrics that tell what holds memory."""

import logging
import pathlib
import resource
import sys

import anyio
from anyio import abc as anyio_abc
import httpx
import pytest

from hibiscussaddle.adapters import connections
from hibiscussaddle.batches import model
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import runner
from hibiscussaddle.batches import text_cache
from hibiscussaddle import gateway_components
from hibiscussaddle import gateway_process
from hibiscussaddle import gateway_settings
from hibiscussaddle import process_memory

import batch_builders
import batch_harness

MIB = 1 << 20
RESULT = model.Result("item-1", model.Outcome.COMPLETED, "x" * 5000)
# Seven of these fit into the text cache.
LARGE_CACHED_TEXT = text_cache.CachedText(
    result=model.Result("item-1", model.Outcome.COMPLETED, "x" * MIB)
)


class LastCheckError(Exception):
    """End a loop that otherwise runs until cancelled."""


def _messages(caplog: pytest.LogCaptureFixture, event: str) -> list[str]:
    return [
        record.getMessage()
        for record in caplog.records
        if record.getMessage().startswith(f"event={event} ")
    ]


def _run_growth_log(readings: list[int | None]) -> int:
    """Check each reading; return how often the fields were read."""
    remaining = list(readings)
    field_reads = 0

    def read_fields() -> dict[str, int]:
        nonlocal field_reads
        field_reads += 1
        return {"tasks": 7}

    async def sleep(seconds: float) -> None:
        assert seconds == process_memory.CHECK_INTERVAL_SECONDS
        if not remaining:
            raise LastCheckError

    async def main() -> None:
        growth = process_memory.GrowthLog(
            lambda: remaining.pop(0), read_fields, sleep
        )
        with pytest.raises(LastCheckError):
            await growth.run()

    anyio.run(main)
    return field_reads


def test_growth_is_logged_once_a_step(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Fails when a step has no line, or memory below the peak has one."""
    caplog.set_level(logging.INFO)
    step = process_memory.GROWTH_STEP_BYTES
    start = 40 * MIB
    field_reads = _run_growth_log(
        [
            start,
            start + step - 1,
            start + step,
            start + step,
            start,
            start + step,
            None,
            start + 2 * step - 1,
            start + 4 * step,
            start + 2 * step,
        ]
    )
    assert _messages(caplog, "memory_grown") == [
        f"event=memory_grown rss_mb={mb} tasks=7" for mb in (40, 48, 72)
    ]
    # Other checks must not pay for the sums over all texts.
    assert field_reads == 3


def test_lines_are_bounded_by_the_memory_limit(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Fails when memory that grows slowly or swings writes more lines."""
    caplog.set_level(logging.INFO)
    limit = 128 * MIB
    readings: list[int | None] = []
    for resident in range(0, limit + 1, MIB // 4):
        readings += [resident, resident // 2]
    _run_growth_log(readings)
    lines = _messages(caplog, "memory_grown")
    assert len(lines) == limit // process_memory.GROWTH_STEP_BYTES


def test_second_column_is_the_resident_memory(tmp_path: pathlib.Path) -> None:
    """Fails when another column, as the virtual size, is read."""
    path = tmp_path / "statm"
    path.write_text("900 20 3 4 0 5 0\n")
    resident = process_memory.ResidentMemory(str(path))
    assert resident.read_bytes() == 20 * resource.getpagesize()


def test_resident_memory_is_read_in_bytes() -> None:
    """Fails when pages are taken for bytes."""
    resident = process_memory.ResidentMemory().read_bytes()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    assert resident is not None
    # The peak includes the imports; the kernel updates both in batches.
    assert peak / 4 < resident < peak * 1.25


@pytest.mark.parametrize("content", [None, "", "12", "12 many 3"])
def test_unreadable_memory_is_logged_once(
    content: str | None,
    tmp_path: pathlib.Path,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Fails when unknown memory is taken for zero or floods the log."""
    path = tmp_path / "statm"
    if content is not None:
        path.write_text(content)
    resident = process_memory.ResidentMemory(str(path))
    assert [resident.read_bytes() for _ in range(3)] == [None] * 3
    assert len(_messages(caplog, "memory_unknown")) == 1
    assert caplog.records[0].levelno == logging.WARNING


def _create_components() -> gateway_components.Components:
    return gateway_components.create_components(
        gateway_settings.GatewaySettings(
            instance="gateway-1", zone="zone-a", store_address="127.0.0.1:1"
        )
    )


async def _scrape(components: gateway_components.Components) -> dict[str, str]:
    """Return the values of the metrics without labels by name."""
    app = gateway_process.create_metrics_app(components)
    async with httpx.AsyncClient(
        transport=httpx.ASGITransport(app), base_url="http://gateway"
    ) as client:
        resp = await client.get("/metrics")
    lines = [line.split() for line in resp.text.splitlines()]
    return {line[0]: line[1] for line in lines if len(line) == 2}


def test_metrics_tell_what_holds_memory() -> None:
    """Fails when a gauge is missing or not connected to its component."""

    async def main() -> None:
        components = _create_components()
        before = await _scrape(components)
        batch = batch_builders.batch(batch_builders.item(body=b"x" * 9000))
        components.gateway.batch_reader.record_owned_batch(
            batch, [], lambda: True
        )
        after = await _scrape(components)
        await components.client.aclose()
        prefix = "hibiscussaddle_"
        assert float(before[f"{prefix}memory_bytes"]) > MIB
        assert before[f"{prefix}cached_text_bytes"] == "0"
        assert float(after[f"{prefix}cached_text_bytes"]) >= 9000
        assert before[f"{prefix}running_text_bytes"] == "0"
        assert before[f"{prefix}idle_connections"] == "0"
        assert float(before[f"{prefix}tasks"]) >= 1

    anyio.run(main)


def test_metrics_tell_what_callers_hold() -> None:
    """Fails when holds or closed connections are missing in the metrics."""

    async def main() -> None:
        components = _create_components()
        hold = components.account.open("bodies")
        hold.resize(9000)
        components.account.open("responses").resize(1 << 50)
        components.caller_connections.closed["idle"] += 2
        app = gateway_process.create_metrics_app(components)
        async with httpx.AsyncClient(
            transport=httpx.ASGITransport(app), base_url="http://gateway"
        ) as client:
            text = (await client.get("/metrics")).text
        await components.client.aclose()
        prefix = "hibiscussaddle_"
        for line in (
            'caller_bytes{holder="bodies"} 9000',
            'caller_refusals_total{holder="responses",reason="refused"} 1',
            'connections_open{port="callers"} 0',
            'connections_closed_total{port="callers",reason="idle"} 2',
        ):
            assert prefix + line in text

    anyio.run(main)


def test_unknown_memory_is_not_zero_in_the_metrics(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when the metrics report memory that could not be read as 0."""
    monkeypatch.setattr(
        process_memory.ResidentMemory, "read_bytes", lambda _: None
    )

    async def main() -> None:
        components = _create_components()
        values = await _scrape(components)
        await components.client.aclose()
        assert values["hibiscussaddle_memory_bytes"] == "nan"

    anyio.run(main)


def test_instance_logs_its_memory(caplog: pytest.LogCaptureFixture) -> None:
    """Fails when an instance does not run the loop or a field is missing."""
    caplog.set_level(logging.INFO)

    async def main() -> None:
        components = _create_components()
        assert components.memory_growth.run in components.background_loops
        with anyio.move_on_after(0):
            await components.memory_growth.run()
        await components.client.aclose()

    anyio.run(main)
    [line] = _messages(caplog, "memory_grown")
    names = [pair.partition("=")[0] for pair in line.split()]
    assert names == [
        "event",
        "rss_mb",
        "cached_text_kb",
        "running_text_kb",
        "idle_connections",
        "held_response_kb",
        "tasks",
        "batches_owned",
        "requests_running",
    ]


def test_text_cache_counts_results_and_checkpoints() -> None:
    """Fails when the memory of one kind of cached text is missing."""
    cache = text_cache.TextCache()
    assert cache.cached_bytes() == 0
    cache.put("item-1", text_cache.CachedText(result=RESULT))
    result_bytes = cache.cached_bytes()
    assert result_bytes >= 5000
    checkpoint = batch_builders.transcript(16).to_checkpoint("item-2")
    cache.put("item-2", text_cache.CachedText(checkpoint))
    # Each event is a string of its own.
    assert cache.cached_bytes() >= result_bytes + 16 * sys.getsizeof("")
    cache.pop("item-1")
    cache.pop("item-2")
    assert cache.cached_bytes() == 0


def test_text_cache_is_limited_in_bytes() -> None:
    """Fails when texts far longer than usual fill the memory."""
    cache = text_cache.TextCache()
    for number in range(20):
        # The second put replaces the first, whose size no longer counts.
        for _ in range(2):
            cache.put(f"item-{number}", LARGE_CACHED_TEXT)
        assert cache.cached_bytes() <= 8 * MIB
    assert cache.pop("item-12") == text_cache.CachedText()
    for number in range(13, 20):
        assert cache.pop(f"item-{number}") == LARGE_CACHED_TEXT
    assert cache.cached_bytes() == 0


def test_read_cache_counts_results_and_bodies() -> None:
    """Fails when the memory of cached results or bodies is missing."""
    batch = batch_builders.batch(batch_builders.item(body=b"x" * 9000))
    batch_reader = reader.BatchReader(None)  # type: ignore[arg-type]
    batch_reader.record_owned_batch(batch, [], lambda: True)
    body_bytes = batch_reader.cached_bytes()
    assert body_bytes >= 9000
    key = model.log_key(batch.id, 0)
    batch_reader.record_entry(
        batch.id, reader.storage.LogEntry(key, (RESULT,))
    )
    assert batch_reader.cached_bytes() >= body_bytes + 5000


def test_runner_counts_texts_until_they_are_logged() -> None:
    """Fails when texts that wait for the store are missing.

    While the store is out of reach, the results of the append that is retried
    are in neither the pending results nor the log.
    """
    batch = batch_builders.batch()
    checkpoint = batch_builders.transcript(16).to_checkpoint("item-1")

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch)
            owned = runner.BatchRunner(
                harness.dependencies(batch_harness.FakeItemRunner()),
                batch,
                record,
                (),
                [checkpoint],
            )
            assert owned.held_bytes() >= 16 * sys.getsizeof("")
            append = harness.storage.append
            append_started = anyio.Event()
            may_append = anyio.Event()

            async def append_late(*args: object) -> object:
                append_started.set()
                await may_append.wait()
                return await append(*args)

            harness.storage.append = append_late
            with anyio.fail_after(5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(owned.run)
                    await append_started.wait()
                    assert owned.held_bytes() >= sys.getsizeof("text 1" * 20)
                    may_append.set()
            assert owned.held_bytes() == 0
            assert harness.reader.cached_bytes() > 0

    anyio.run(main)


def test_idle_connections_are_counted() -> None:
    """Fails when the count misses idle connections or includes busy ones."""
    response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"

    async def respond(stream: anyio_abc.SocketStream) -> None:
        async with stream:
            async for _ in stream:
                await stream.send(response)

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio_abc.SocketAttribute.local_port)
        pool = connections.OriginTransport()
        client = connections.create_client(pool)
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, respond)
                url = f"http://127.0.0.1:{port}"
                async with client.stream("GET", url) as resp:
                    assert pool.idle_count == 0
                    await client.get(url)
                    assert pool.idle_count == 1
                    await resp.aread()
                assert pool.idle_count == 2
                # The connection of an abandoned response is closed.
                async with client.stream("GET", url):
                    assert pool.idle_count == 1
                assert pool.idle_count == 1
                await client.aclose()
                assert pool.idle_count == 0
                tasks.cancel_scope.cancel()

    anyio.run(main)
