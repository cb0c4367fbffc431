"""Guard the instances that read the store through a peer of their zone."""

from collections import abc
import contextlib
import time

import anyio
import httpx
import msgspec
from starlette import applications

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import feed
from hibiscussaddle.fleet import feed_sharing
from hibiscussaddle.fleet import presence
from hibiscussaddle import gateway_components
from hibiscussaddle.platform.standins import store as fake_store

import loopback

PREFIX = "op/"


class Instance:
    """Hold the feed of one instance and what it saw."""

    def __init__(self, client: store.StoreClient) -> None:
        """Follow one prefix."""
        self.seen: dict[str, bytes | None] = {}
        self.client = client
        self.outages = 0
        self.feed = feed.Feed(
            client, PREFIX, self.take, self.take, 0.3, on_failure=self.fail
        )

    def take(self, entries: list[store.StoreEntry]) -> None:
        """Remember what keys hold."""
        self.seen.update({entry.key: entry.data for entry in entries})

    def fail(self) -> None:
        """Count a failure of the store."""
        self.outages += 1

    @property
    def calls(self) -> int:
        """Return how often the instance called the store."""
        return sum(self.client.calls.values())


class World:
    """Hold a reader and its follower in one zone."""

    def __init__(self, fake: fake_store.Store) -> None:
        """Share a fake store."""
        self.fake = fake
        self.reader: Instance
        self.follower: Instance

    def write(self, name: str, data: bytes) -> None:
        """Change a key."""
        self.fake.write(PREFIX + name, data)

    async def until_seen(self, name: str, data: bytes, limit: float) -> None:
        """Wait until the follower knows a key."""
        with anyio.fail_after(limit):
            while self.follower.seen.get(PREFIX + name) != data:
                await anyio.sleep(0.01)

    async def until_followed(self, instance: bool = True) -> None:
        """Wait until the follower makes no calls, or makes them again."""
        with anyio.fail_after(5):
            while True:
                before = self.follower.calls
                await anyio.sleep(0.5)
                if (self.follower.calls == before) is instance:
                    return


@contextlib.asynccontextmanager
async def zone() -> abc.AsyncIterator[tuple[World, anyio.abc.TaskGroup]]:
    """Yield a reader and a follower that run."""
    fake = fake_store.Store()
    fake.write(PREFIX + "first", b"1")
    world = World(fake)
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        url = await enter(loopback.serve(fake_store.create_app(fake)))
        http = await enter(httpx.AsyncClient(trust_env=False))
        world.reader, world.follower = (
            Instance(store.create_client(http, url, 2.0, 1000.0))
            for _ in range(2)
        )
        reader = feed_sharing.ZoneReader([world.reader.feed])
        route = feed_sharing.create_route(reader)
        peer = await enter(
            loopback.serve(applications.Starlette(routes=[route]))
        )
        me = presence.Member("follower", "zone-a", 1, "here:1")
        members = presence.Members(me)
        other = presence.Member(
            "reader", "zone-a", 1, peer.removeprefix("http://")
        )
        members.zone_reader = lambda: other  # type: ignore[method-assign]
        follower = feed_sharing.Follower(http, members, [world.follower.feed])
        tasks = await enter(anyio.create_task_group())
        for loop in (
            world.reader.feed.run,
            world.follower.feed.run,
            follower.run,
        ):
            tasks.start_soon(loop)
        await world.until_seen("first", b"1", 2)
        await world.until_followed()
        yield world, tasks
        tasks.cancel_scope.cancel()


def test_follower_learns_changes_without_calls() -> None:
    """Fails when every instance watches the store itself.

    Pattern: 50 instances before 26 endpoints (cereza-hs-grown quiet-1) made
    8,764 calls of the store in 49 s, a quarter of the day's worth.
    """

    async def main() -> None:
        async with zone() as (world, _):
            before = world.follower.calls
            for number in range(5):
                data = b"%d" % number
                world.write("key", data)
                await world.until_seen("key", data, 0.5)
            assert world.follower.calls == before

    anyio.run(main)


def test_follower_reads_itself_when_its_reader_is_cut_off() -> None:
    """Fails when a reader without the store keeps its zone in the past."""

    async def main() -> None:
        async with zone() as (world, _):
            _cut_off(world.reader)
            await world.until_followed(False)
            world.write("key", b"new")
            await world.until_seen("key", b"new", 1.0)

    anyio.run(main)


def _cut_off(instance: Instance) -> None:
    """Let an instance's calls of the store fail from now on."""
    instance.feed._client = store.create_client(
        httpx.AsyncClient(trust_env=False), "http://127.0.0.1:1", 0.2, 1000.0
    )


def test_follower_lists_when_it_reads_itself_again() -> None:
    """Fails when a change is missed that watches did not hear.

    While the store drops its history, watches hear nothing for a second and
    are then cut. On cereza-hs scale-1 --seed 415411250592 an instance left its
    reader just then, and its own watch showed a new configuration 3.9 s late.
    """

    async def main() -> None:
        async with zone() as (world, _):
            _cut_off(world.reader)
            world.write("key", b"new")
            world.fake.changes.clear()
            await world.until_seen("key", b"new", 1.5)

    anyio.run(main)


def test_reader_that_is_behind_does_not_take_a_follower_back() -> None:
    """Fails when an instance returns to an older state with its reader."""

    async def main() -> None:
        async with zone() as (world, _):
            reader = feed_sharing.ZoneReader([world.reader.feed])
            newest = world.reader.feed.log.revision
            query = feed_sharing.ChangesRequest({PREFIX: newest + 5}, 0.0)
            assert await reader.fetch_changes(query) is None

    anyio.run(main)


def test_outage_of_the_reader_is_passed_on() -> None:
    """Fails when a follower gives up endpoints that lapsed in an outage."""

    async def main() -> None:
        async with zone() as (world, _):
            reader = feed_sharing.ZoneReader([world.reader.feed])
            world.reader.feed.last_failure_at = time.monotonic() - 0.5
            world.reader.feed.last_success_at = time.monotonic()
            query = feed_sharing.ChangesRequest({PREFIX: None}, 0.0)
            answer = await reader.fetch_changes(query)
            assert answer is not None and answer.failed_ago is not None
            assert 0.4 < answer.failed_ago < 1.5

    anyio.run(main)


def test_leaving_endpoint_is_known_in_time_despite_a_frozen_reader() -> None:
    """Fails when a frozen reader delays news beyond the bound of 2 s."""
    silent = feed_sharing.WAIT_SECONDS + feed_sharing.TIMEOUT_MARGIN_SECONDS
    # The follower then calls the store, which takes some time as well.
    assert silent + 0.15 < 2.0


def test_leaving_endpoint_is_known_in_time_despite_a_readers_lost_watch() -> (
    None
):
    """Fails when a reader's silent connection delays news beyond 2 s."""
    overdue = (
        gateway_components.ENDPOINT_PAUSE_SECONDS
        + gateway_components.ENDPOINT_WAIT_SECONDS
        + feed_sharing.OVERDUE_SECONDS
    )
    # The reader looks up that often, then the follower calls the store.
    assert overdue + feed_sharing.OVERDUE_SECONDS + 0.15 < 2.0


class Starting:
    """Hold an instance that starts beside a reader of its zone."""

    def __init__(
        self, client: store.StoreClient, http: httpx.AsyncClient
    ) -> None:
        """Register under a lease and hold every feed."""
        me = presence.Member("a-new", "zone-a", 1, "here:1")
        self.members = presence.Members(me)
        self.client = client
        self.presence = presence.Presence(client, self.members)
        self.config: list[store.StoreEntry] = []
        self.feeds = (
            feed.Feed(
                client, PREFIX, self.config.extend, self.config.extend, 0.3
            ),
            feed.Feed(
                client,
                presence.PREFIX,
                self.members.apply_listing,
                self.members.apply_changes,
                0.3,
            ),
        )
        self.follower = feed_sharing.Follower(http, self.members, self.feeds)
        self.follower.suspend_feeds()


@contextlib.asynccontextmanager
async def starting(
    reader_status: int = 0,
) -> abc.AsyncIterator[tuple[Starting, fake_store.Store]]:
    """Yield a starting instance; its reader answers with a status, if any."""
    fake = fake_store.Store()
    fake.write(PREFIX + "first", b"1")
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        url = await enter(loopback.serve(fake_store.create_app(fake)))
        http = await enter(httpx.AsyncClient(trust_env=False))
        reader = Starting(store.create_client(http, url, 2.0, 1000.0), http)
        for followed in reader.feeds:
            followed.resume()
        route = feed_sharing.create_route(
            feed_sharing.ZoneReader(reader.feeds)
        )
        app = applications.Starlette(routes=[route] * (not reader_status))
        peer = await enter(loopback.serve(app))
        other = presence.Member(
            "reader", "zone-a", 1, peer.removeprefix("http://")
        )
        fake.write(
            presence.PREFIX + other.instance, msgspec.json.encode(other)
        )
        found = Starting(store.create_client(http, url, 2.0, 1000.0), http)
        found.members.zone_reader = lambda: (  # type: ignore[method-assign]
            found.members.all.get(other.instance)
        )
        tasks = await enter(anyio.create_task_group())
        for loop in (
            *(followed.run for followed in reader.feeds),
            *(followed.run for followed in found.feeds),
            found.presence.run,
            found.follower.run,
        ):
            tasks.start_soon(loop)
        yield found, fake
        tasks.cancel_scope.cancel()


def test_new_instance_takes_the_first_state_from_its_reader() -> None:
    """Fails when every instance that starts lists and watches the store.

    Pattern: 165 instances start within a third of a second. Each listed
    three prefixes and watched them until it found its reader.
    """

    async def main() -> None:
        async with starting() as (found, _):
            with anyio.fail_after(5):
                while not found.config:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.3)
            calls = found.client.calls
            # A lease, its key and one listing of the members.
            assert calls["lease"] + calls["write"] == 2
            assert calls["read"] + calls["watch"] <= 2

    anyio.run(main)


def test_new_instance_without_a_good_reader_reads_the_store() -> None:
    """Fails when an instance stays without a configuration.

    Pattern: the reader is lost, or started just now and is cut off.
    """

    async def main() -> None:
        async with starting(reader_status=404) as (found, fake):
            started = time.monotonic()
            with anyio.fail_after(5):
                while not found.config:
                    await anyio.sleep(0.01)
            assert time.monotonic() - started < 2.0
            fake.write(PREFIX + "second", b"2")
            with anyio.fail_after(2):
                while len(found.config) < 2:
                    await anyio.sleep(0.01)

    anyio.run(main)
