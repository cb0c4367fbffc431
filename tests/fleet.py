"""Run several entry instances in one process, with links to cut."""

from collections import abc
import contextlib
import typing

import anyio
import builders
import ports

from hibiscussaddle.adapters import peers
from hibiscussaddle.controllers import marks
from hibiscussaddle.controllers import membership
from hibiscussaddle import endpoints
from hibiscussaddle import entry
from hibiscussaddle import runtime as runtime_lib

ENGINE = endpoints.Endpoint(
    "engine-1",
    endpoints.EndpointKind.ENGINE,
    "zone-a",
    "http://127.0.0.1:1",
    incarnation=7,
    models=("base",),
)


class Fleet:
    """Start, cut off and restart instances."""

    def __init__(self, tasks: anyio.abc.TaskGroup, size: int) -> None:
        """Reserve ports for a number of instances."""
        self.ports = ports.free_ports(size)
        self.runtimes: dict[str, runtime_lib.Runtime] = {}
        self.cut: set[tuple[str, str]] = set()
        self._tasks = tasks
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._ended: dict[str, anyio.Event] = {}

    def start(self, number: int, **more: typing.Any) -> runtime_lib.Runtime:
        """Start an instance; even numbers are in zone-a."""
        name = f"entry-{number}"
        cfg = builders.cfg(
            instance=name,
            zone="zone-b" if number % 2 else "zone-a",
            peer_port=self.ports[number],
            peers=tuple(f"127.0.0.1:{port}" for port in self.ports),
            **more,
        )
        runtime = entry.create_runtime(cfg)
        runtime.directory.put(ENGINE)
        runtime.peers.link_filter = self._filter(name)
        self.runtimes[name] = runtime
        self._scopes[name] = anyio.CancelScope()
        self._ended[name] = anyio.Event()
        self._tasks.start_soon(self._run, runtime)
        return runtime

    def _filter(self, name: str) -> peers.LinkFilter:
        addresses = {
            f"127.0.0.1:{port}": f"entry-{number}"
            for number, port in enumerate(self.ports)
        }

        def passes(_: peers.Direction, peer: str) -> bool:
            return (name, addresses.get(peer, peer)) not in self.cut

        return passes

    async def _run(self, runtime: runtime_lib.Runtime) -> None:
        name = runtime.cfg.instance
        with self._scopes[name]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(membership.run, runtime)
                tasks.start_soon(marks.run, runtime)
        await runtime.client.aclose()
        self._ended[name].set()

    async def stop(self, number: int) -> None:
        """End an instance without a planned stop."""
        name = f"entry-{number}"
        self._scopes[name].cancel()
        await self._ended[name].wait()
        del self.runtimes[name]

    def separate(self, one: abc.Iterable[int], two: abc.Iterable[int]) -> None:
        """Cut every link between two groups."""
        for a in one:
            for b in two:
                self.cut |= {
                    (f"entry-{a}", f"entry-{b}"),
                    (f"entry-{b}", f"entry-{a}"),
                }

    def live_counts(self) -> list[int]:
        """Return how many members each instance takes for live."""
        return [len(r.members.live()) for r in self.runtimes.values()]

    def marked(self) -> list[str]:
        """Return the instances that give the engine no new work."""
        return sorted(
            name
            for name, runtime in self.runtimes.items()
            if not runtime.directory.engines("base")
        )


@contextlib.asynccontextmanager
async def fleet(size: int, **more: typing.Any) -> abc.AsyncIterator[Fleet]:
    """Start instances and wait until all know each other."""
    async with anyio.create_task_group() as tasks:
        found = Fleet(tasks, size)
        for number in range(size):
            found.start(number, **more)
        await until(lambda: set(found.live_counts()) == {size}, 20)
        yield found
        tasks.cancel_scope.cancel()


async def until(condition: abc.Callable[[], bool], seconds: float) -> float:
    """Wait until a condition holds; return the seconds it took."""
    started = anyio.current_time()
    while not condition():
        taken = anyio.current_time() - started
        assert taken < seconds, f"not within {seconds} s"
        await anyio.sleep(0.02)
    return anyio.current_time() - started
