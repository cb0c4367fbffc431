"""Measure how processor time and memory grow with the size of the state.

Run with 'python -m bench.slopes [CASE]'. One key=value line per size gives the
processor time of one operation and the memory of one item; docs/CAPACITY.md
multiplies them by the target's counts.
"""

from collections import abc
import dataclasses
import gc
import random
import sys
import time
import tracemalloc
import typing

from hibiscussaddle import contract_cache
from hibiscussaddle import contracts
from hibiscussaddle import dispatcher
from hibiscussaddle import endpoints
from hibiscussaddle import members
from hibiscussaddle import placement
from hibiscussaddle.policy import facts
from hibiscussaddle.policy import shares
from hibiscussaddle.policy import tickets
from hibiscussaddle.policy import versions
from hibiscussaddle import step_table
from hibiscussaddle import steps

SECRET: typing.Final = "secret-for-measurements"
# The fastest round counts, which reduces noise from other processes.
ROUNDS: typing.Final = 3


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Store the result of one case at one size."""

    name: str
    size: int
    # Memory of the complete state at this size.
    held_bytes: int
    # Processor time of one operation.
    seconds: float

    def line(self) -> str:
        """Return the key=value line."""
        per_item = self.held_bytes / self.size
        return (
            f"case={self.name} size={self.size} "
            f"bytes={self.held_bytes} bytes_per_item={per_item:.0f} "
            f"us_per_operation={self.seconds * 1e6:.2f}"
        )


_State = typing.TypeVar("_State")


def _measure(
    name: str,
    size: int,
    build: abc.Callable[[], _State],
    operate: abc.Callable[[_State, int], object],
    count: int,
) -> Measurement:
    gc.collect()
    tracemalloc.start()
    state = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for number in range(count):
            operate(state, number)
        best = min(best, (time.process_time() - started) / count)
    return Measurement(name, size, held, best)


def measure_tickets(size: int) -> Measurement:
    """Issue, start and finish a call with a ledger of `size` calls."""
    rng = random.Random(1)

    def run_call(ledger: tickets.Ledger, now: float) -> None:
        text = ledger.issue("cereza", now, rng)
        ticket = ledger.parse(text).unwrap()
        ledger.start(ticket, now)
        kept = tickets.KeptResult(200, b"x" * 200, "application/json")
        ledger.finish(ticket, kept, now)

    def build() -> tickets.Ledger:
        ledger = tickets.Ledger("entry-1", 1, SECRET)
        for _ in range(size):
            run_call(ledger, 0.0)
        return ledger

    return _measure(
        "tickets", size, build, lambda ledger, _: run_call(ledger, 1.0), 200
    )


def _member_fact(number: int, version: int) -> facts.Fact:
    name = f"entry-{number}"
    value = dataclasses.asdict(
        members.Member(
            name, f"zone-{number % 8}", "region-1", "127.0.0.1:9000", version
        )
    )
    value["state"] = "alive"
    return facts.Fact("member", name, version, name, value)


def measure_facts(size: int) -> Measurement:
    """Replace one fact and compare digests in a table of `size` facts."""

    def build() -> facts.FactTable:
        table = facts.FactTable()
        for number in range(size):
            table.put(_member_fact(number, 1))
        return table

    def exchange(table: facts.FactTable, number: int) -> None:
        table.put(_member_fact(number % size, number + 2))
        digest = table.digest(facts.Scope.GLOBAL)
        table.differing_buckets(facts.Scope.GLOBAL, digest)

    return _measure("facts", size, build, exchange, 1000)


def _contract() -> contracts.Contract:
    return contracts.Contract("cereza", "0" * 64, share=1.0, models=("base",))


def measure_placement(size: int) -> Measurement:
    """Place a request on one of `size` engines and release it."""

    def build() -> dispatcher.Dispatcher:
        cache = contract_cache.ContractCache()
        cache.apply(contracts.ContractRecord(_contract(), 1))
        directory = endpoints.Directory()
        directory.update(
            endpoints.Endpoint(
                f"engine-{n}",
                endpoints.EndpointKind.ENGINE,
                f"zone-{n % 8}",
                f"http://127.0.0.1:{n}",
                models=("base",),
            )
            for n in range(size)
        )
        return dispatcher.Dispatcher(
            "entry-1",
            "zone-0",
            directory,
            cache,
            time.monotonic,
            random.Random(1),
        )

    contract = _contract()

    def place(owner: dispatcher.Dispatcher, _: int) -> None:
        work = placement.Work(
            placement.WorkKind.CHAT,
            contract,
            "base",
            time.monotonic() + 60.0,
            max_tokens=200.0,
        )
        placed = owner.try_place(work)
        assert placed is not None
        placed.record_tokens(200)
        placed.record_success()
        owner.release(placed)

    return _measure("placement", size, build, place, 300)


def measure_shares(size: int) -> Measurement:
    """Compute one instance's allocation among `size` instances."""
    rng = random.Random(1)

    def build() -> dict[str, shares.Demand]:
        return {
            f"entry-{n}": shares.Demand(
                0.0, {f"customer-{c}": rng.randrange(10) for c in range(11)}
            )
            for n in range(size)
        }

    guarantees = {f"customer-{c}": 1 / 11 for c in range(11)}

    def allocate(demands: dict[str, shares.Demand], _: int) -> None:
        shares.own_share(950.0, guarantees, demands, "entry-0")

    return _measure("shares", size, build, allocate, 50)


def measure_step(size: int) -> Measurement:
    """Create a step of `size` samples and respond to a pull of 64."""

    def build() -> step_table.StepRun:
        spec = steps.StepSpec(
            "trainer",
            "step",
            "base",
            tuple(
                ({"role": "user", "content": f"prompt {n}"},)
                for n in range(size // 8)
            ),
            8,
        )
        table = step_table.StepTable()
        run = table.open("cereza", spec, 0.0).unwrap()
        table.activate(run)
        for _ in range(size):
            slot = run.progress.next_slot()
            assert slot is not None
            attempt = run.progress.start(slot, 0.0)
            sample = steps.Sample(
                "trainer",
                "step",
                attempt.slot // 8,
                attempt.slot % 8,
                "x" * 800,
                200,
                (versions.VersionRange(1, 0, 199),),
            )
            run.accept_sample(attempt, sample, 0.0)
        return run

    def pull(run: step_table.StepRun, number: int) -> None:
        body = steps.PullRequest(number + 1, "", 1, 64)
        reader = step_table.cursor_lib.Reader()
        have = run.cursor.received
        run.begin_pull(reader, body, have, 0.0)
        run.create_response(reader, body, 1, 1, is_final=True)

    return _measure("step", size, build, pull, 100)


CASES: typing.Final[
    dict[str, tuple[abc.Callable[[int], Measurement], tuple[int, ...]]]
] = {
    "tickets": (measure_tickets, (1000, 10_000, 50_000)),
    "facts": (measure_facts, (100, 1000, 5000)),
    "placement": (measure_placement, (12, 120, 950)),
    "shares": (measure_shares, (8, 24, 88)),
    "step": (measure_step, (256, 1024, 4096)),
}


def main(names: abc.Sequence[str]) -> None:
    """Print the measurements of the named cases, or of all."""
    for name in names or tuple(CASES):
        measure, sizes = CASES[name]
        for size in sizes:
            print(measure(size).line(), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
