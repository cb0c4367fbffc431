"""Tests of contract replication between instances, also in partitions."""

import contextlib
import typing

import anyio
import httpx
import pytest

import builders
from hibiscussaddle.adapters import peers
from hibiscussaddle import contract_changes
from hibiscussaddle.controllers import contracts as controller
from hibiscussaddle.controllers import membership
from hibiscussaddle import entry
from hibiscussaddle import lifecycle
from hibiscussaddle.platform.standins import store as fake_store
from hibiscussaddle import runtime as runtime_lib
import loopback
import ports

ZONES = ("zone-a", "zone-b")
INSTANCES_PER_ZONE = 4
# The guarantee is 3 s; the margin is for a loaded test machine.
IN_FORCE_TIMEOUT_SECONDS = 3.5


class Fleet:
    """Run instances of two zones with one store in one process."""

    def __init__(self, tasks: anyio.abc.TaskGroup, store_url: str) -> None:
        """Initialize without instances."""
        self.store_url = store_url
        self.instances: dict[str, runtime_lib.Runtime] = {}
        # Zones without links to other zones and to the store.
        self.partitioned_zones: set[str] = set()
        self.highest_revisions: dict[str, int] = {}
        self._tasks = tasks
        self._seed = f"127.0.0.1:{ports.free_ports(1)[0]}"
        self._scopes: dict[str, anyio.CancelScope] = {}

    def start(self, name: str) -> runtime_lib.Runtime:
        """Start one instance; its zone is the first part of its name."""
        zone = name.rsplit("-", 1)[0]
        port = ports.free_ports(1)[0]
        if not self.instances:
            port = int(self._seed.rpartition(":")[2])
        known = [r.peers.address for r in self.instances.values()]
        runtime = entry.create_runtime(
            builders.cfg(
                instance=name,
                zone=zone,
                peer_port=port,
                peers=tuple(known) or (self._seed,),
                store_url=self.store_url,
            )
        )
        # Readiness depends on contracts only: the controllers of endpoint list
        # and marks do not run.
        for hold in ("endpoints", "marks"):
            runtime.lifecycle.release(hold)

        async def check_store_link(req: httpx.Request) -> None:
            if zone in self.partitioned_zones:
                raise httpx.ConnectError(
                    "partitioned from the store", request=req
                )

        async def check_response_link(resp: httpx.Response) -> None:
            # A watch in progress when the link was cut receives no response.
            await check_store_link(resp.request)

        def is_link_up(_: peers.Direction, peer: str) -> bool:
            return (zone in self.partitioned_zones) == (
                self.zone_of(peer) in self.partitioned_zones
            )

        runtime.client.event_hooks = {
            "request": [check_store_link],
            "response": [check_response_link],
        }
        runtime.peers.link_filter = is_link_up
        self.instances[name] = runtime
        self._tasks.start_soon(self._run, name, runtime)
        return runtime

    def zone_of(self, peer: str) -> str:
        """Return the zone of a peer's id or address."""
        for name, runtime in self.instances.items():
            if peer in (name, runtime.peers.address):
                return runtime.cfg.zone
        return ""

    async def _run(self, name: str, runtime: runtime_lib.Runtime) -> None:
        with anyio.CancelScope() as scope:
            self._scopes[name] = scope
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(membership.run, runtime)
                tasks.start_soon(controller.run, runtime)
        await runtime.client.aclose()

    def crash(self, name: str) -> None:
        """Crash one instance, without a planned stop."""
        self._scopes.pop(name).cancel()
        del self.instances[name]
        self.highest_revisions.pop(name)

    def revision(self, name: str) -> int:
        """Return the revision in force, which never decreases."""
        record = self.instances[name].contracts.get("cereza")
        revision = record.revision if record else 0
        assert revision >= self.highest_revisions.get(name, 0), (
            "a contract reverted"
        )
        self.highest_revisions[name] = revision
        return revision

    async def wait_for_revision(
        self, names: typing.Iterable[str], revision: int, seconds: float
    ) -> None:
        """Wait until the revision is in force on the named instances."""
        with anyio.fail_after(seconds):
            while any(self.revision(name) < revision for name in names):
                await anyio.sleep(0.02)

    async def change(self, name: str, expected: int) -> dict[str, typing.Any]:
        """Submit a change to one instance."""
        change = contract_changes.Change(
            builders.contract(priority=expected % 10),
            expected,
            "op",
            "test",
            f"change-{expected}",
        )
        response = await contract_changes.submit(self.instances[name], change)
        return typing.cast(dict[str, typing.Any], response.unwrap())


def run_scenario(
    job: typing.Callable[[Fleet], typing.Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> fake_store.Store:
    """Run a scenario on a fleet in which all members are known."""
    monkeypatch.setattr(controller, "MEMBERS_WAIT_SECONDS", 1.0)
    store = fake_store.Store()

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            url = await stack.enter_async_context(
                loopback.serve(fake_store.create_app(store))
            )
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            fleet = Fleet(tasks, url)
            for zone in ZONES:
                for number in range(INSTANCES_PER_ZONE):
                    fleet.start(f"{zone}-{number}")
            count = len(fleet.instances)
            with anyio.fail_after(20):
                while any(
                    len(r.members.live()) < count
                    or r.lifecycle.phase is not lifecycle.Phase.READY
                    for r in fleet.instances.values()
                ):
                    await anyio.sleep(0.05)
            await job(fleet)

    anyio.run(main)
    return store


def test_change_is_in_force_on_every_instance(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 'contract set' omitting or misreporting an instance.

    Also guards against more than two store watches per zone, and against
    a change in the store that is not broadcast and remains unknown.
    """

    async def job(fleet: Fleet) -> None:
        names = set(fleet.instances)
        response = await fleet.change("zone-a-1", 0)
        assert set(response["in_force"]) == names
        assert response["unreached"] == []
        assert {fleet.revision(name) for name in names} == {1}
        with anyio.fail_after(10):
            while sum(map(controller.is_reader, fleet.instances.values())) > 4:
                await anyio.sleep(0.05)
        # An instance that crashes after accepting a change sends no Confirm.
        with monkeypatch.context() as patch:
            patch.setattr(
                "hibiscussaddle.broadcast.send", lambda *_: fail_broadcast()
            )
            with pytest.raises(ConnectionError):
                await fleet.change("zone-a-1", 1)
        await fleet.wait_for_revision(
            names - {"zone-a-1"}, 2, IN_FORCE_TIMEOUT_SECONDS
        )
        with anyio.fail_after(10):
            while store_watches() > 4:
                await anyio.sleep(0.05)

    async def fail_broadcast() -> None:
        raise ConnectionError("the accepting instance crashed")

    def store_watches() -> int:
        return stores[0].active_watches

    stores: list[fake_store.Store] = []
    original = fake_store.create_app

    def create_recorded_app(store: fake_store.Store) -> typing.Any:
        stores.append(store)
        return original(store)

    monkeypatch.setattr(fake_store, "create_app", create_recorded_app)
    run_scenario(job, monkeypatch)


def test_partitioned_zone_retains_its_contract_and_catches_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a partitioned zone that stops, reverts or falls behind.

    An instance that restarts in the partitioned zone loads the highest
    revision of its peers. Without peers it does not become ready.
    """

    async def job(fleet: Fleet) -> None:
        await fleet.change("zone-a-0", 0)
        partitioned = [n for n in fleet.instances if n.startswith("zone-b")]
        fleet.partitioned_zones.add("zone-b")
        response = await fleet.change("zone-a-0", 1)
        assert response["unreached"] == partitioned
        assert {fleet.revision(name) for name in partitioned} == {1}
        fleet.crash("zone-b-0")
        restarted = fleet.start("zone-b-0")
        await fleet.wait_for_revision(["zone-b-0"], 1, 10)
        with anyio.fail_after(10):
            while restarted.lifecycle.phase is not lifecycle.Phase.READY:
                await anyio.sleep(0.02)
        age = restarted.contracts.age()
        assert age is not None and age > 0
        fleet.partitioned_zones.discard("zone-b")
        await fleet.wait_for_revision(partitioned, 2, 10)
        fleet.partitioned_zones.add("zone-c")
        isolated = fleet.start("zone-c-0")
        await anyio.sleep(4)
        assert isolated.lifecycle.phase is lifecycle.Phase.STARTING
        fleet.partitioned_zones.discard("zone-c")
        await fleet.wait_for_revision(["zone-c-0"], 2, 10)

    run_scenario(job, monkeypatch)
