"""Run several entry instances in one process, with network partitions."""

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
    """Start, partition and restart instances."""

    def __init__(self, tasks: anyio.abc.TaskGroup, size: int) -> None:
        """Reserve ports for a number of instances."""
        self.ports = ports.free_ports(size)
        self.runtimes: dict[str, runtime_lib.Runtime] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self._tasks = tasks
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._stopped: dict[str, anyio.Event] = {}

    def start(
        self, number: int, **overrides: typing.Any
    ) -> runtime_lib.Runtime:
        """Start an instance; even numbers are in zone-a."""
        name = f"entry-{number}"
        cfg = builders.cfg(
            instance=name,
            zone="zone-b" if number % 2 else "zone-a",
            peer_port=self.ports[number],
            peers=tuple(f"127.0.0.1:{port}" for port in self.ports),
            **overrides,
        )
        runtime = entry.create_runtime(cfg)
        runtime.directory.put(ENGINE)
        runtime.peers.link_filter = self._link_filter(name)
        self.runtimes[name] = runtime
        self._scopes[name] = anyio.CancelScope()
        self._stopped[name] = anyio.Event()
        self._tasks.start_soon(self._run, runtime)
        return runtime

    def _link_filter(self, name: str) -> peers.LinkFilter:
        addresses = {
            f"127.0.0.1:{port}": f"entry-{number}"
            for number, port in enumerate(self.ports)
        }

        def is_link_up(_: peers.Direction, peer: str) -> bool:
            return (name, addresses.get(peer, peer)) not in self.cut_links

        return is_link_up

    async def _run(self, runtime: runtime_lib.Runtime) -> None:
        name = runtime.cfg.instance
        with self._scopes[name]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(membership.run, runtime)
                tasks.start_soon(marks.run, runtime)
        await runtime.client.aclose()
        self._stopped[name].set()

    async def stop(self, number: int) -> None:
        """Crash an instance, without a planned stop."""
        name = f"entry-{number}"
        self._scopes[name].cancel()
        await self._stopped[name].wait()
        del self.runtimes[name]

    def cut_links_between(
        self, group: abc.Iterable[int], other_group: abc.Iterable[int]
    ) -> None:
        """Cut every link between two groups of instances."""
        for a in group:
            for b in other_group:
                self.cut_links |= {
                    (f"entry-{a}", f"entry-{b}"),
                    (f"entry-{b}", f"entry-{a}"),
                }

    def live_counts(self) -> list[int]:
        """Return the number of live members known to each instance."""
        return [len(r.members.live()) for r in self.runtimes.values()]

    def draining_instances(self) -> list[str]:
        """Return the instances that send no new requests to the engine."""
        return sorted(
            name
            for name, runtime in self.runtimes.items()
            if not runtime.directory.engines("base")
        )


@contextlib.asynccontextmanager
async def fleet(
    size: int, **overrides: typing.Any
) -> abc.AsyncIterator[Fleet]:
    """Start instances and wait until each knows all others."""
    async with anyio.create_task_group() as tasks:
        found = Fleet(tasks, size)
        for number in range(size):
            found.start(number, **overrides)
        await wait_until(lambda: set(found.live_counts()) == {size}, 20)
        yield found
        tasks.cancel_scope.cancel()


async def wait_until(
    condition: abc.Callable[[], bool], timeout: float
) -> float:
    """Wait until a condition is met; return the elapsed seconds."""
    started = anyio.current_time()
    while not condition():
        elapsed = anyio.current_time() - started
        assert elapsed < timeout, f"condition not met within {timeout} s"
        await anyio.sleep(0.02)
    return anyio.current_time() - started
