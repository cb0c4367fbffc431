"""Measure how fast an accepted contract change is in force everywhere.

Run with 'PYTHONPATH=src:tests python -m bench.contract_spread [SIZES...]'.
The instances share one process and one core, so the times are upper bounds
for instances on cores of their own. They count from the moment the store
has taken the change. 'confirm' includes the accepting instance's message to
every member; 'readers' and 'peers' leave it out, as when that instance dies
right after its change. With 'peers' all other instances have no store, and
hear only what instances tell each other.
"""

from collections import abc
import contextlib
import dataclasses
import functools
import statistics
import sys
import typing

import anyio
import builders
import fleet as fleet_lib
import loopback

from hibiscussaddle import broadcast
from hibiscussaddle import contract_changes
from hibiscussaddle.controllers import contracts as controller
from hibiscussaddle.platform.standins import store
from hibiscussaddle import runtime as runtime_lib

SIZES: typing.Final = (8, 16, 32)
ROUNDS: typing.Final = 10
POLL_SECONDS: typing.Final = 0.002
LIMIT_SECONDS: typing.Final = 30.0
# Members know each other and the readers are chosen by then.
SETTLE_SECONDS: typing.Final = 4.0
# Nothing listens at port 1.
NO_STORE: typing.Final = "http://127.0.0.1:1"


@dataclasses.dataclass(frozen=True)
class Way:
    """Describe how instances hear of a change."""

    name: str
    confirm: bool
    # False when only the accepting instance has the store.
    all_have_store: bool


WAYS: typing.Final = (
    Way("confirm", confirm=True, all_have_store=True),
    Way("confirm_no_store", confirm=True, all_have_store=False),
    Way("readers", confirm=False, all_have_store=True),
    Way("peers", confirm=False, all_have_store=False),
)


async def _no_confirm(*_: object, **__: object) -> broadcast.DeliveryReport:
    return broadcast.DeliveryReport((), ())


@contextlib.contextmanager
def _patched(way: Way) -> abc.Iterator[None]:
    original = broadcast.send
    if not way.confirm:
        broadcast.send = _no_confirm  # type: ignore[assignment]
    try:
        yield
    finally:
        broadcast.send = original


@contextlib.asynccontextmanager
async def _fleet(
    size: int, url: str, way: Way
) -> abc.AsyncIterator[fleet_lib.Fleet]:
    async with anyio.create_task_group() as tasks:
        found = fleet_lib.Fleet(tasks, size)
        for number in range(size):
            has_store = way.all_have_store or number == 0
            runtime = found.start(
                number, store_url=url if has_store else NO_STORE
            )
            tasks.start_soon(controller.run, runtime)
        await fleet_lib.wait_until(
            lambda: set(found.live_counts()) == {size}, 60
        )
        await anyio.sleep(SETTLE_SECONDS)
        yield found
        tasks.cancel_scope.cancel()


async def _change(runtime: runtime_lib.Runtime, expected: int) -> None:
    change = contract_changes.Change(
        builders.contract(priority=expected % 10),
        expected,
        "bench",
        "measurement",
        f"change-{expected}",
    )
    (await contract_changes.submit(runtime, change)).unwrap()


def _missing(fleet: fleet_lib.Fleet, revision: int) -> int:
    missing = 0
    for runtime in fleet.runtimes.values():
        record = runtime.contracts.get("cereza")
        missing += record is None or record.revision < revision
    return missing


async def _until_in_force(
    fake: store.Store, fleet: fleet_lib.Fleet, revision: int
) -> float:
    accepted_at: float | None = None
    with anyio.fail_after(LIMIT_SECONDS):
        while True:
            entry = fake.entries.get("contract/cereza")
            now = anyio.current_time()
            if entry is not None and entry.value["revision"] >= revision:
                accepted_at = accepted_at or now
                if not _missing(fleet, revision):
                    return now - accepted_at
            await anyio.sleep(POLL_SECONDS)


async def measure(size: int, way: Way) -> None:
    """Print the times of some changes in one fleet."""
    fake = store.Store()
    times: list[float] = []
    async with loopback.serve(store.create_app(fake)) as url:
        async with _fleet(size, url, way) as fleet:
            watching = fake.active_watches
            with _patched(way):
                for number in range(ROUNDS):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(
                            _change, fleet.runtimes["entry-0"], number
                        )
                        times.append(
                            await _until_in_force(fake, fleet, number + 1)
                        )
    print(
        f"case=contract_spread way={way.name} size={size} rounds={ROUNDS} "
        f"watches={watching} "
        f"median_seconds={statistics.median(times):.3f} "
        f"max_seconds={max(times):.3f}",
        flush=True,
    )


async def run(sizes: tuple[int, ...]) -> None:
    """Measure each size in each way."""
    for size in sizes:
        for way in WAYS:
            await measure(size, way)


def main() -> None:
    """Run the sizes given, or all."""
    sizes = tuple(int(arg) for arg in sys.argv[1:]) or SIZES
    anyio.run(functools.partial(run, sizes))


if __name__ == "__main__":
    main()
