"""Measure how fast an accepted contract change takes effect everywhere.

Run with 'PYTHONPATH=src:tests python -m bench.contract_spread [SIZES...]'.
The instances share one process and one core, so the times are upper bounds
for instances on separate cores. They start when the store has the change. In
the case 'confirm', the accepting instance also sends the change to every
member; in 'readers' and 'peers' it does not, as if it had crashed right after
the change. With 'peers', only the accepting instance has a store, and the
others receive changes only from their peers.
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
TIMEOUT_SECONDS: typing.Final = 30.0
# Time for membership and the selection of the store readers to settle.
SETTLE_SECONDS: typing.Final = 4.0
# No server listens on port 1.
NO_STORE: typing.Final = "http://127.0.0.1:1"


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Describe how instances receive a change."""

    name: str
    confirm: bool
    # False if only the accepting instance has the store.
    all_have_store: bool


SCENARIOS: typing.Final = (
    Scenario("confirm", confirm=True, all_have_store=True),
    Scenario("confirm_no_store", confirm=True, all_have_store=False),
    Scenario("readers", confirm=False, all_have_store=True),
    Scenario("peers", confirm=False, all_have_store=False),
)


async def _skip_confirm(*_: object, **__: object) -> broadcast.DeliveryReport:
    return broadcast.DeliveryReport((), ())


@contextlib.contextmanager
def _broadcast_patch(scenario: Scenario) -> abc.Iterator[None]:
    original = broadcast.send
    if not scenario.confirm:
        broadcast.send = _skip_confirm  # type: ignore[assignment]
    try:
        yield
    finally:
        broadcast.send = original


@contextlib.asynccontextmanager
async def _fleet(
    size: int, url: str, scenario: Scenario
) -> abc.AsyncIterator[fleet_lib.Fleet]:
    async with anyio.create_task_group() as tasks:
        fleet = fleet_lib.Fleet(tasks, size)
        for number in range(size):
            has_store = scenario.all_have_store or number == 0
            runtime = fleet.start(
                number, store_url=url if has_store else NO_STORE
            )
            tasks.start_soon(controller.run, runtime)
        await fleet_lib.wait_until(
            lambda: set(fleet.live_counts()) == {size}, 60
        )
        await anyio.sleep(SETTLE_SECONDS)
        yield fleet
        tasks.cancel_scope.cancel()


async def _submit_change(runtime: runtime_lib.Runtime, expected: int) -> None:
    change = contract_changes.Change(
        builders.contract(priority=expected % 10),
        expected,
        "bench",
        "measurement",
        f"change-{expected}",
    )
    (await contract_changes.submit(runtime, change)).unwrap()


def _missing_count(fleet: fleet_lib.Fleet, revision: int) -> int:
    missing = 0
    for runtime in fleet.runtimes.values():
        record = runtime.contracts.get("cereza")
        missing += record is None or record.revision < revision
    return missing


async def _wait_until_in_force(
    fake: store.Store, fleet: fleet_lib.Fleet, revision: int
) -> float:
    accepted_at: float | None = None
    with anyio.fail_after(TIMEOUT_SECONDS):
        while True:
            entry = fake.entries.get("contract/cereza")
            now = anyio.current_time()
            if entry is not None and entry.value["revision"] >= revision:
                accepted_at = accepted_at or now
                if not _missing_count(fleet, revision):
                    return now - accepted_at
            await anyio.sleep(POLL_SECONDS)


async def measure(size: int, scenario: Scenario) -> None:
    """Print the propagation times of several changes in one fleet."""
    fake = store.Store()
    times: list[float] = []
    async with loopback.serve(store.create_app(fake)) as url:
        async with _fleet(size, url, scenario) as fleet:
            active_watches = fake.active_watches
            with _broadcast_patch(scenario):
                for number in range(ROUNDS):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(
                            _submit_change, fleet.runtimes["entry-0"], number
                        )
                        times.append(
                            await _wait_until_in_force(fake, fleet, number + 1)
                        )
    print(
        f"case=contract_spread way={scenario.name} size={size} "
        f"rounds={ROUNDS} watches={active_watches} "
        f"median_seconds={statistics.median(times):.3f} "
        f"max_seconds={max(times):.3f}",
        flush=True,
    )


async def run(sizes: tuple[int, ...]) -> None:
    """Measure each size in each scenario."""
    for size in sizes:
        for scenario in SCENARIOS:
            await measure(size, scenario)


def main() -> None:
    """Measure the given sizes, or the default ones."""
    sizes = tuple(int(arg) for arg in sys.argv[1:]) or SIZES
    anyio.run(functools.partial(run, sizes))


if __name__ == "__main__":
    main()
