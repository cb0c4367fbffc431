"""Measure how fast a leave mark takes effect on every instance.

Run with 'PYTHONPATH=src:tests python -m bench.mark_spread [SIZES...]'. The
instances share one process and one core, so the times are upper bounds for
instances on separate cores. In the case 'direct', the origin also sends the
mark to every member; in 'gossip' it does not, as if it had crashed after
publishing the mark.
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
# No server listens on port 1.
NO_STORE: typing.Final = "http://127.0.0.1:1"


async def _send_directly(origin: runtime_lib.Runtime, left: bool) -> None:
    await leave_marks.change(origin, "engine-1", 7, left)


async def _publish_by_gossip(origin: runtime_lib.Runtime, left: bool) -> None:
    mark = leave_marks.create(
        origin, "engine-1", 7, left, marks.Source.OPERATOR
    )
    leave_marks.publish(origin, mark)


def _is_spread(fleet: fleet_lib.Fleet, expected_count: int) -> bool:
    return len(fleet.draining_instances()) == expected_count


async def measure(size: int, store_url: str, case: str) -> None:
    """Print the propagation times of several marks in one fleet."""
    send = _send_directly if case == "direct" else _publish_by_gossip
    times: list[float] = []
    async with fleet_lib.fleet(size, store_url=store_url) as fleet:
        for number in range(ROUNDS):
            origin = fleet.runtimes[f"entry-{number % size}"]
            left = number % 2 == 0
            expected_count = size if left else 0
            is_spread = functools.partial(_is_spread, fleet, expected_count)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, origin, left)
                times.append(await fleet_lib.wait_until(is_spread, 30))
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
    """Measure the given sizes, or the default ones."""
    sizes = tuple(int(arg) for arg in sys.argv[1:]) or SIZES
    anyio.run(functools.partial(run, sizes))


if __name__ == "__main__":
    main()
