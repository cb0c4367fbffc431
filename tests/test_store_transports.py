"""Test store calls of an instance that is cut off from the store."""

from collections import abc
import contextlib

import anyio
import httpx
import result
from starlette import applications

from hibiscussaddle.adapters import store
from hibiscussaddle.adapters import store_transports
from hibiscussaddle.platform.standins import store as fake_store
from hibiscussaddle.platform import store_wire
import loopback


class CutTransport(store_transports.DirectTransport):
    """Call the store unless a failure is simulated."""

    is_cut = False
    watch_hangs = False
    # Calls time out, as on a link that drops packets.
    drops_packets = False

    async def send(
        self, call: store_wire.Call, timeout: float
    ) -> httpx.Response:
        """Simulate the enabled failure, else call the store."""
        if self.watch_hangs and call.kind == "watch":
            await anyio.sleep_forever()
        if self.drops_packets:
            await anyio.sleep(timeout)
            raise httpx.ReadTimeout("dropped")
        if self.is_cut:
            raise httpx.ConnectError("cut off")
        return await super().send(call, timeout)


class Node:
    """Hold one instance's store client and transports."""

    def __init__(self, http: httpx.AsyncClient, url: str) -> None:
        """Create a node that reaches the store and has no peers."""
        self.peers: list[str] = []
        self.direct = CutTransport(http, url)
        self.transport = store_transports.FailoverTransport(
            self.direct, http, lambda: self.peers
        )
        self.client = store.StoreClient(self.transport, 1.0, 1000)


@contextlib.asynccontextmanager
async def nodes(
    fake: fake_store.Store, count: int
) -> abc.AsyncIterator[list[Node]]:
    """Yield nodes that are peers of each other."""
    async with contextlib.AsyncExitStack() as stack:
        http = await stack.enter_async_context(
            httpx.AsyncClient(trust_env=False)
        )
        url = await stack.enter_async_context(
            loopback.serve(fake_store.create_app(fake))
        )
        found = [Node(http, url) for _ in range(count)]
        addresses = []
        for node in found:
            route = store_transports.create_relay_route(node.transport)
            app = applications.Starlette(routes=[route])
            address = await stack.enter_async_context(loopback.serve(app))
            addresses.append(address.removeprefix("http://"))
        for number, node in enumerate(found):
            node.peers = addresses[:number] + addresses[number + 1 :]
        yield found


def test_lease_is_renewed_through_a_peer() -> None:
    """Fails when an instance loses its lease while a peer has the store.

    Seen on kigali-engrave quiet-1 --seed 165819310338: the owner of two
    batches and of the weight orders was cut off from the store alone. Both
    batches restarted on other instances, which lost a sixth of the day's
    score.
    """
    fake = fake_store.Store()

    async def main() -> None:
        async with nodes(fake, 2) as (node, _):
            lease = (await node.client.grant(5.0)).unwrap()
            node.direct.is_cut = True
            first = await node.client.renew(lease)
            assert first.err_value.failure is store.StoreFailure.DOWN
            (await node.client.renew(lease)).unwrap()
            (await node.client.put("key", 1, 0, lease)).unwrap()
            again = await node.client.put("key", 2, 0, lease)
            assert again.err_value.failure is store.StoreFailure.CONFLICT

    anyio.run(main)


def test_watch_ends_when_another_call_fails() -> None:
    """Fails when a watch hangs on a dead connection until its timeout."""
    fake = fake_store.Store()

    async def main() -> None:
        async with nodes(fake, 2) as (node, _):
            node.direct.watch_hangs = True
            responses: list[result.Result[object, store.StoreError]] = []

            async def watch() -> None:
                responses.append(await node.client.watch("op/", 0, 30.0))

            with anyio.fail_after(5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(watch)
                    await anyio.sleep(0.05)
                    node.direct.is_cut = True
                    await node.client.get("key")
            assert responses[0].err_value.failure is store.StoreFailure.UNKNOWN

    anyio.run(main)


def test_cut_off_peer_is_skipped() -> None:
    """Fails when an instance keeps using a peer that is cut off as well.

    Also fails when such a peer relays a call in turn, which could send calls
    around in a loop.
    """
    fake = fake_store.Store()

    async def main() -> None:
        async with nodes(fake, 3) as found:
            for node in found[:2]:
                node.direct.is_cut = True
                await node.client.get("key")
            outcomes = [await found[0].client.get("key") for _ in range(3)]
            kinds = [outcome.err_value.failure for outcome in outcomes]
            assert store.StoreFailure.MISSING in kinds
            assert fake.calls == {"read": kinds.count(kinds[-1])}

    anyio.run(main)


def test_store_is_called_directly_after_recovery() -> None:
    """Fails when calls are still relayed after the store has recovered."""
    fake = fake_store.Store()

    async def main() -> None:
        async with (
            nodes(fake, 2) as (node, _),
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(node.transport.run)
            node.direct.is_cut = True
            await node.client.get("key")
            assert not node.transport.is_direct
            node.direct.is_cut = False
            with anyio.fail_after(10):
                while not node.transport.is_direct:
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_calls_fail_at_once_without_store_and_peers() -> None:
    """Fails when callers wait for a store that no peer reaches either.

    In incident inc-1827 a zone was cut off. Its instances took 1.2 s for each
    read of a batch and stayed ready, so the zone's trainer lost a step.
    """
    fake = fake_store.Store()

    async def main() -> None:
        async with nodes(fake, 3) as found:
            for node in found:
                node.direct.is_cut = True
                await node.client.get("key")
            node = found[0]
            assert node.transport.is_unreachable
            for _ in range(2):
                await node.client.get("key")
            with anyio.fail_after(0.4):
                for _ in range(200):
                    failed = await node.client.get("key")
                    assert failed.err_value.failure is store.StoreFailure.DOWN

    anyio.run(main)


def test_store_is_reachable_through_a_peer() -> None:
    """Fails when an instance with a working peer is reported unreachable."""
    fake = fake_store.Store()

    async def main() -> None:
        async with nodes(fake, 2) as (node, _):
            assert not node.transport.is_unreachable
            node.direct.is_cut = True
            await node.client.get("key")
            assert node.transport.is_unreachable
            await node.client.get("key")
            assert not node.transport.is_unreachable

    anyio.run(main)


def test_requested_probe_runs_at_once() -> None:
    """Fails when a follower in a cut-off zone stays ready for seconds.

    The zone's reader reports the partition at once, whereas the followers
    renew their own leases only every two seconds.
    """

    async def main() -> None:
        async with nodes(fake_store.Store(), 1) as (node,):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(node.transport.run)
                node.transport.request_probe()
                await anyio.sleep(0.2)
                # A successful probe does not mark the store as failed.
                assert node.transport.is_direct
                node.direct.drops_packets = True
                node.transport.request_probe()
                with anyio.fail_after(0.5):
                    while not node.transport.is_unreachable:
                        await anyio.sleep(0.01)
                node.direct.drops_packets = False
                with anyio.fail_after(2.5):
                    while not node.transport.is_direct:
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(main)
