"""Measure how fast a leave mark is in force on every instance.

Run with 'PYTHONPATH=src:tests python -m bench.mark_spread [SIZES...]'. The
instances share one process and one core, so the times are upper bounds for
instances on cores of their own. 'direct' includes the taker's own message to
every member; 'gossip' leaves it out, as when the taker dies after its push.
"""

import functools
import statistics
import sys
import typing

import anyio
import fleet as fleet_lib
import loopback

from hibiscussaddle import leave_marks
from hibiscussaddle.platform.standins import store
from hibiscussaddle.policy import marks
from hibiscussaddle import runtime as runtime_lib

SIZES: typing.Final = (8, 16, 32)
ROUNDS: typing.Final = 10
# Nothing listens at port 1.
NO_STORE: typing.Final = "http://127.0.0.1:1"


async def _direct(taker: runtime_lib.Runtime, left: bool) -> None:
    await leave_marks.change(taker, "engine-1", 7, left)


async def _gossip(taker: runtime_lib.Runtime, left: bool) -> None:
    mark = leave_marks.create(
        taker, "engine-1", 7, left, marks.Source.OPERATOR
    )
    leave_marks.publish(taker, mark)


def _is_known(fleet: fleet_lib.Fleet, wanted: int) -> bool:
    return len(fleet.draining_instances()) == wanted


async def measure(size: int, store_url: str, case: str) -> None:
    """Print the times of some marks in one fleet."""
    send = _direct if case == "direct" else _gossip
    times: list[float] = []
    async with fleet_lib.fleet(size, store_url=store_url) as fleet:
        for number in range(ROUNDS):
            taker = fleet.runtimes[f"entry-{number % size}"]
            left = number % 2 == 0
            wanted = size if left else 0
            is_known = functools.partial(_is_known, fleet, wanted)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, taker, left)
                times.append(await fleet_lib.wait_until(is_known, 30))
    print(
        f"case=mark_spread way={case} size={size} "
        f"store={'down' if store_url == NO_STORE else 'up'} "
        f"rounds={ROUNDS} median_seconds={statistics.median(times):.3f} "
        f"max_seconds={max(times):.3f}",
        flush=True,
    )


async def run(sizes: tuple[int, ...]) -> None:
    """Measure each size with and without the store."""
    fake = store.Store()
    async with loopback.serve(store.create_app(fake)) as url:
        for size in sizes:
            for store_url in (url, NO_STORE):
                for case in ("direct", "gossip"):
                    await measure(size, store_url, case)


def main() -> None:
    """Run the sizes given, or all."""
    sizes = tuple(int(arg) for arg in sys.argv[1:]) or SIZES
    anyio.run(functools.partial(run, sizes))


if __name__ == "__main__":
    main()
