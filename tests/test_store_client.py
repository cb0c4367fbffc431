"""Test the client of the key-value store."""

import random

import anyio
import httpx
import hypothesis
from hypothesis import strategies

from hibiscussaddle.adapters import store
from hibiscussaddle.adapters import store_watch
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle.platform.standins import store as fake_store
import loopback


@hypothesis.given(
    strategies.floats(0.5, 50),
    strategies.lists(strategies.floats(0, 0.5), min_size=1, max_size=60),
)
def test_budget_limits_calls_in_every_window(
    rate: float, intervals: list[float]
) -> None:
    """Fails when the calls in a window exceed the burst plus the rate."""
    now = 0.0
    budget = store.CallBudget(rate, lambda: now)
    sent_at = []
    for interval in intervals:
        now += interval
        wait = budget.reserve(2.0)
        if wait is not None:
            assert 0 <= wait <= 2.0
            sent_at.append(now + wait)
    burst = max(1.0, rate * 2)
    for first, start in enumerate(sent_at):
        for last in range(first, len(sent_at)):
            count = last - first + 1
            assert count <= burst + rate * (sent_at[last] - start) + 1 + 1e-6


def test_backoff_grows_up_to_its_maximum() -> None:
    """Fails when waits lack jitter, do not grow or exceed the maximum."""
    backoff = store.Backoff(
        random.Random(1), initial_seconds=0.2, max_seconds=1.0
    )
    waits = [backoff.next() for _ in range(20)]
    assert 0.1 <= waits[0] <= 0.2
    assert all(0.5 <= wait <= 1.0 for wait in waits[5:])
    assert len(set(waits)) == len(waits)
    backoff.reset()
    assert backoff.next() <= 0.2


def test_subscribers_share_a_watch_that_misses_no_change() -> None:
    """Fails when a change between scan and watch is missed.

    Also fails when two subscribers of a process open two watches.
    """
    fake = fake_store.Store()
    seen: dict[str, int] = {}

    def handle(entries: list[store.StoreEntry]) -> None:
        seen.update({entry.key: entry.value for entry in entries})

    async def write() -> None:
        for number in range(1, 31):
            for key in ("contract/a", "mark/b"):
                current = fake.entries.get(key)
                fake.put(key, number, current.revision if current else 0, None)
            await anyio.sleep(random.random() * 0.004)

    async def main() -> None:
        async with (
            loopback.serve(fake_store.create_app(fake)) as url,
            httpx.AsyncClient(trust_env=False) as http,
            anyio.create_task_group() as tasks,
        ):
            client = store.create_client(http, url, calls_per_second=1000)
            watch = store_watch.StoreWatch(client)
            watch.subscribe("contract/", handle)
            watch.subscribe("mark/", handle)
            tasks.start_soon(write)
            with anyio.fail_after(10):
                while seen != {"contract/a": 30, "mark/b": 30}:
                    (await watch.poll()).unwrap()
            assert client.calls["read"] == 2
            assert client.calls["watch"] == fake.calls["watch"]
            fake.faults.down = True
            failed = await watch.poll()
            assert failed.err_value.failure is store.StoreFailure.UNAVAILABLE

    anyio.run(main)
    assert fake.max_active_watches == 1


def test_exhausted_budget_sends_no_call() -> None:
    """Fails when a client sends more calls than its budget allows."""
    fake = fake_store.Store()

    async def main() -> None:
        async with (
            loopback.serve(fake_store.create_app(fake)) as url,
            httpx.AsyncClient(trust_env=False) as http,
        ):
            client = store.create_client(http, url, 0.05, calls_per_second=1)
            responses = [await client.get("none") for _ in range(10)]
            failures = [response.err_value.failure for response in responses]
            assert failures.count(store.StoreFailure.MISSING) == 2
            assert failures.count(store.StoreFailure.UNAVAILABLE) == 8
            assert client.calls == {"read": 2, "held_back": 8}

    anyio.run(main)
    assert fake.calls == {"read": 2}


def test_malformed_response_has_unknown_outcome() -> None:
    """Fails when a malformed response raises instead of an UNKNOWN error."""
    bodies = ["<html>", "[]", '{"revision": 1', "null"]

    async def main() -> None:
        for status in (200, 409):
            for body in bodies:
                transport = httpx.MockTransport(
                    lambda _, s=status, b=body: httpx.Response(s, text=b)
                )
                async with httpx.AsyncClient(transport=transport) as http:
                    client = store.create_client(http, "http://store")
                    response = await client.put("key", 1, 0)
                    assert response.err_value.failure is (
                        store.StoreFailure.UNKNOWN
                    )

    anyio.run(main)


def test_malformed_fence_is_not_overwritten() -> None:
    """Fails when a fence that cannot be decoded counts as absent.

    A new fence would repeat fencing numbers that are already in use.
    """
    fake = fake_store.Store()
    fake.put("fence/weights/zone-a", {"number": "seven"}, 0, None)

    async def main() -> None:
        async with (
            loopback.serve(fake_store.create_app(fake)) as url,
            httpx.AsyncClient(trust_env=False) as http,
        ):
            client = store.create_client(http, url, calls_per_second=1000)
            lease = duty_lease.DutyLease(client, "zone-a", "name")
            with anyio.move_on_after(1):
                await lease.run()
            assert lease.fencing_number(guarded=True) is None

    anyio.run(main)
    assert fake.entries["fence/weights/zone-a"].value == {"number": "seven"}
    assert "lease/weights/zone-a" in fake.entries
