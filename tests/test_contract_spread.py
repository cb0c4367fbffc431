"""Guard the spread of contracts over instances and through partitions."""

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
PER_ZONE = 4
# The promise is 3 s; a test under load gets a little more.
IN_FORCE_SECONDS = 3.5


class Fleet:
    """Run instances of two zones with one store in one process."""

    def __init__(self, tasks: anyio.abc.TaskGroup, store_url: str) -> None:
        """Start empty."""
        self.store_url = store_url
        self.instances: dict[str, runtime_lib.Runtime] = {}
        # Zones without a link to other zones and to the store.
        self.cut: set[str] = set()
        self.highest: dict[str, int] = {}
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
        # Readiness by contracts alone: no list and no marks run here.
        for hold in ("endpoints", "marks"):
            runtime.lifecycle.release(hold)

        async def reach_store(req: httpx.Request) -> None:
            if zone in self.cut:
                raise httpx.ConnectError("cut off", request=req)

        async def hear_store(resp: httpx.Response) -> None:
            # A watch that waited when the link was cut hears nothing.
            await reach_store(resp.request)

        def passes(_: peers.Direction, peer: str) -> bool:
            return (zone in self.cut) == (self.zone_of(peer) in self.cut)

        runtime.client.event_hooks = {
            "request": [reach_store],
            "response": [hear_store],
        }
        runtime.peers.link_filter = passes
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
        """End one instance without a stop."""
        self._scopes.pop(name).cancel()
        del self.instances[name]
        self.highest.pop(name)

    def revision(self, name: str) -> int:
        """Return the revision in force, which never decreases."""
        record = self.instances[name].contracts.get("cereza")
        revision = record.revision if record else 0
        assert revision >= self.highest.get(name, 0), "a contract reverted"
        self.highest[name] = revision
        return revision

    async def wait(
        self, names: typing.Iterable[str], revision: int, seconds: float
    ) -> None:
        """Wait until the revision is in force on the named instances."""
        with anyio.fail_after(seconds):
            while any(self.revision(name) < revision for name in names):
                await anyio.sleep(0.02)

    async def change(self, name: str, expected: int) -> dict[str, typing.Any]:
        """Accept a change through one instance."""
        change = contract_changes.Change(
            builders.contract(priority=expected % 10),
            expected,
            "op",
            "test",
            f"change-{expected}",
        )
        answer = await contract_changes.submit(self.instances[name], change)
        return typing.cast(dict[str, typing.Any], answer.unwrap())


def play(
    job: typing.Callable[[Fleet], typing.Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> fake_store.Store:
    """Run a scenario on a fleet whose members know each other."""
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
                for number in range(PER_ZONE):
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
    """Fails when 'contract set' leaves out or misnames an instance.

    Also fails when more than two instances a zone watch the store, or
    when a change that was written past every instance stays unknown.
    """

    async def job(fleet: Fleet) -> None:
        names = set(fleet.instances)
        answer = await fleet.change("zone-a-1", 0)
        assert set(answer["in_force"]) == names
        assert answer["unreached"] == []
        assert {fleet.revision(name) for name in names} == {1}
        with anyio.fail_after(10):
            while sum(map(controller.is_reader, fleet.instances.values())) > 4:
                await anyio.sleep(0.05)
        # An entry that accepts a change and dies sends no Confirm.
        with monkeypatch.context() as patch:
            patch.setattr("hibiscussaddle.broadcast.send", lambda *_: dead())
            with pytest.raises(ConnectionError):
                await fleet.change("zone-a-1", 1)
        await fleet.wait(names - {"zone-a-1"}, 2, IN_FORCE_SECONDS)
        with anyio.fail_after(10):
            while store_watches() > 4:
                await anyio.sleep(0.05)

    async def dead() -> None:
        raise ConnectionError("the accepting instance died")

    def store_watches() -> int:
        return stores[0].active_watches

    stores: list[fake_store.Store] = []
    original = fake_store.create_app

    def keep(store: fake_store.Store) -> typing.Any:
        stores.append(store)
        return original(store)

    monkeypatch.setattr(fake_store, "create_app", keep)
    play(job, monkeypatch)


def test_partitioned_zone_keeps_its_contract_and_catches_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when a cut-off zone stops, reverts or misses the change.

    An instance restarts in the cut-off zone: it takes the highest
    revision of its peers. Without peers it stays not ready.
    """

    async def job(fleet: Fleet) -> None:
        await fleet.change("zone-a-0", 0)
        inside = [n for n in fleet.instances if n.startswith("zone-b")]
        fleet.cut.add("zone-b")
        answer = await fleet.change("zone-a-0", 1)
        assert answer["unreached"] == inside
        assert {fleet.revision(name) for name in inside} == {1}
        fleet.crash("zone-b-0")
        restarted = fleet.start("zone-b-0")
        await fleet.wait(["zone-b-0"], 1, 10)
        with anyio.fail_after(10):
            while restarted.lifecycle.phase is not lifecycle.Phase.READY:
                await anyio.sleep(0.02)
        age = restarted.contracts.age()
        assert age is not None and age > 0
        fleet.cut.discard("zone-b")
        await fleet.wait(inside, 2, 10)
        fleet.cut.add("zone-c")
        alone = fleet.start("zone-c-0")
        await anyio.sleep(4)
        assert alone.lifecycle.phase is lifecycle.Phase.STARTING
        fleet.cut.discard("zone-c")
        await fleet.wait(["zone-c-0"], 2, 10)

    play(job, monkeypatch)
