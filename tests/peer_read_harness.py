"""Run two readers of one batch against a stand-in store."""

from collections import abc
import contextlib
import typing

import anyio
import httpx
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

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


ResponseChange: typing.TypeAlias = abc.Callable[
    [int, responses.Response], responses.Response
]


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
        self.http = http
        # Base URL of the owner, set once it is served.
        self.peer_url = ""
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
        # Bodies of the owner's responses, in order.
        self.peer_bodies: list[bytes] = []
        # Returns what is sent for the owner's response of a number from 1 on.
        self.change_response: ResponseChange = lambda number, response: (
            response
        )
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

    async def log_result(
        self, number: int, is_known: bool = True, text: str = "text"
    ) -> None:
        """Append a result; without is_known its owner's cache misses it."""
        item_result = model.Result(
            f"item-{number}", model.Outcome.COMPLETED, text
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
        harness.peer_url = peer
        app.router.routes.append(_create_recording_route(harness))
        await harness.accept()
        yield harness


def _create_recording_route(harness: ReadHarness) -> routing.Route:
    route = peer_reads.create_route(harness.owner)

    async def read(req: requests.Request) -> responses.Response:
        response = await route.endpoint(req)
        harness.peer_bodies.append(response.body)
        return harness.change_response(len(harness.peer_bodies), response)

    return routing.Route(route.path, read, methods=["POST"])


def run_scenario(
    scenario: abc.Callable[[ReadHarness], abc.Awaitable[None]],
) -> None:
    async def main() -> None:
        async with read_harness() as harness:
            with anyio.fail_after(10):
                await scenario(harness)

    anyio.run(main)
