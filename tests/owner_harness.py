"""Run the batches that one instance owns against a stand-in store."""

from collections import abc
import contextlib
import typing

import anyio
import httpx

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import footprint
from hibiscussaddle.batches import handoff
from hibiscussaddle.batches import model
from hibiscussaddle.batches import owners
from hibiscussaddle.batches import parts
from hibiscussaddle.batches import room
from hibiscussaddle.batches import slices
from hibiscussaddle.batches import storage
from hibiscussaddle.callers import memory
from hibiscussaddle.fleet import presence
from hibiscussaddle.platform.standins import store as fake_store

import batch_harness
import loopback

OTHER: typing.Final = presence.Member("gateway-9", "zone-a", 9, "peer:1")
ME: typing.Final = presence.Member("gateway-1", "zone-a", 1, "peer:2")


class FakeHandoff:
    """Replace the client that sends batches to peers."""

    def __init__(self, accepts: bool) -> None:
        """Accept all messages or none."""
        self.accepts = accepts
        self.sent = 0
        self.asked = 0

    async def send(self, *_: object) -> bool:
        """Return whether the peer accepts a batch."""
        self.sent += 1
        return self.accepts

    async def ensure_running(self, *_: object) -> bool:
        """Return whether the peer runs a batch."""
        return self.accepts

    async def ask_to_adopt(self, *_: object) -> bool:
        """Return whether the peer has room for a batch."""
        self.asked += 1
        return self.accepts


def submission(
    batch: model.Batch, account: memory.Account | None = None
) -> owners.Submission:
    """Return a new batch with the memory that it takes."""
    values = slices.run_at_once(parts.encode(batch))
    size = footprint.batch_bytes(sum(map(len, values)), len(batch.items))
    hold = room.BatchRoom(account or memory.Account()).accept(size)
    assert hold is not None
    return owners.Submission(batch, values, hold)


@contextlib.asynccontextmanager
async def owned_batches(
    accepts: bool,
    items: batch_harness.FakeItemRunner | None = None,
    account: memory.Account | None = None,
) -> abc.AsyncIterator[tuple[owners.OwnedBatches, storage.BatchStorage]]:
    """Yield the batches of gateway-1, whose peer gateway-9 is alive."""
    fake = fake_store.Store()
    async with (
        loopback.serve(fake_store.create_app(fake)) as url,
        httpx.AsyncClient(trust_env=False) as http,
        anyio.create_task_group() as tasks,
    ):
        client = store.create_client(http, url, calls_per_second=1000)
        harness = batch_harness.Harness(client)
        members = presence.Members(ME)
        members.all = {member.instance: member for member in (ME, OTHER)}
        members.route_owner = lambda _: OTHER
        owned = owners.OwnedBatches(
            harness.dependencies(items or batch_harness.FakeItemRunner()),
            members,
            typing.cast(handoff.HandoffClient, FakeHandoff(accepts)),
            room.BatchRoom(account or memory.Account()),
        )
        tasks.start_soon(owned.run)
        tasks.start_soon(harness.waiting_items.run)
        await anyio.wait_all_tasks_blocked()
        yield owned, harness.storage
        tasks.cancel_scope.cancel()
