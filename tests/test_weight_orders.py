"""Tests of weight orders under faults of store, holder and engines."""

import contextlib
import random
import typing

import anyio
import httpx
import pytest

import builders
from hibiscussaddle import contracts
from hibiscussaddle.controllers import load
from hibiscussaddle.controllers import weights
from hibiscussaddle import endpoints
from hibiscussaddle.platform.standins import store as fake_store
from hibiscussaddle.policy import lease
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle.standins import engine as fake_engine
from hibiscussaddle.standins import weight_store as fake_weights
import loopback

# A holder starts its last order 0.7 s after a renewal; the order arrives
# up to 0.4 s late and is in flight for 0.5 s. The sum is less than the wait
# of the successor, 2 s.
CFG = lease.LeaseConfig(
    ttl=1.5,
    margin=0.3,
    effect_seconds=0.5,
    retry_seconds=0.05,
    claim_interval_seconds=0.1,
)
MAX_DELAY_SECONDS = 0.4


class Zone:
    """Run engines with and without fencing, stores and contenders."""

    def __init__(self) -> None:
        """Create four engines, two of which ignore fencing numbers."""
        self.store = fake_store.Store()
        self.weights = fake_weights.WeightStore()
        self.weights.versions["base"] = 1
        self.engines = [
            fake_engine.Engine(
                fake_engine.EngineConfig(
                    id=f"e{number}", checks_fencing=number < 2
                ),
                version=1,
            )
            for number in range(4)
        ]
        self.contenders: list[weights.WeightOrders] = []
        # Contenders whose store calls hang, like those of a paused process.
        self.paused: set[int] = set()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the servers and two contending instances."""
        serve = loopback.serve
        store_url = await stack.enter_async_context(
            serve(fake_store.create_app(self.store))
        )
        weights_url = await stack.enter_async_context(
            serve(fake_weights.create_app(self.weights))
        )
        registered = []
        for engine in self.engines:
            url = await stack.enter_async_context(
                serve(fake_engine.create_app(engine))
            )
            registered.append(
                endpoints.Endpoint(
                    engine.cfg.id,
                    endpoints.EndpointKind.ENGINE,
                    "zone-a",
                    url,
                    models=("base",),
                )
            )
        runtimes = await stack.enter_async_context(
            loopback.runtimes(
                2,
                store_url=store_url,
                weight_store_url=weights_url,
                store_calls_per_second=1000,
            )
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        for number, runtime in enumerate(runtimes):
            runtime.directory.update(registered)
            contract = builders.contract(fencing_endpoints=("e0", "e1"))
            runtime.contracts.apply(contracts.ContractRecord(contract, 1))
            self.add_contender(number, runtime, store_url, tasks)

    def add_contender(
        self,
        number: int,
        runtime: runtime_lib.Runtime,
        store_url: str,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Add an instance that contends for the lease."""

        async def pause(req: httpx.Request) -> None:
            while number in self.paused and store_url in str(req.url):
                await anyio.sleep(0.01)

        runtime.client.event_hooks = {"request": [pause]}
        orders = weights.create_orders(runtime, CFG)
        assert orders is not None
        self.contenders.append(orders)
        tasks.start_soon(load.run, runtime)
        tasks.start_soon(weights.run_orders, runtime, orders)

    def fencing_numbers(self) -> list[int | None]:
        """Return the fencing number that each contender could use now."""
        return [c.lease.fencing_number(True) for c in self.contenders]

    def check(self) -> None:
        """Check the newest holder's view and every engine's orders."""
        for engine in self.engines:
            used_numbers = [order["fencing"] for order in engine.orders]
            assert used_numbers == sorted(used_numbers), (
                "an old holder's order ran last"
            )
        numbers = [number or 0 for number in self.fencing_numbers()]
        if not any(numbers):
            return
        newest = max(numbers)
        holder = self.contenders[numbers.index(newest)]
        model_rollout = holder.rollouts.get("base")
        for engine in self.engines:
            state = (
                model_rollout.engines.get(engine.cfg.id)
                if model_rollout
                else None
            )
            if state is None or not state.serving or state.version is None:
                continue
            if state.incarnation != engine.incarnation:
                # A restart is only visible in the engine's next report.
                continue
            if not engine.orders or engine.orders[-1]["fencing"] != newest:
                # Orders of the previous holder are only visible in reports.
                continue
            assert engine.version == state.version, "wrong version serves"

    def is_rolled_out(self) -> bool:
        """Return whether every engine has the newest version."""
        newest = self.weights.versions["base"]
        return all(engine.version == newest for engine in self.engines)

    async def wait_for_rollout(self, seconds: float) -> None:
        """Wait until every engine has the newest version."""
        with anyio.fail_after(seconds):
            while not self.is_rolled_out():
                self.check()
                await anyio.sleep(0.01)


def run_scenario(job: typing.Callable[[Zone], typing.Awaitable[None]]) -> Zone:
    """Run a scenario in a zone and check the result."""
    zone = Zone()

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            await zone.start(stack)
            await job(zone)

    anyio.run(main)
    zone.check()
    return zone


def inject_fault(zone: Zone, rng: random.Random) -> None:
    """Switch one random fault, in addition to the active ones."""
    engine = rng.choice(zone.engines)
    faults = zone.store.faults
    kind = rng.randrange(9)
    if kind == 0:
        faults.down = not faults.down
    elif kind == 1:
        faults.lose_answers = rng.choice((1, 2))
    elif kind == 2:
        faults.delay_seconds = rng.choice((0.0, 0.2))
    elif kind == 3:
        zone.paused ^= {rng.randrange(2)}
    elif kind == 4:
        for lease_id in list(zone.store.leases):
            zone.store.revoke(lease_id)
    elif kind == 5:
        engine.fail_swaps = 1
    elif kind == 6:
        engine.faults.lose_answers = 1
    elif kind == 7:
        engine.faults.delay_seconds = rng.random() * MAX_DELAY_SECONDS
    else:
        engine.restart()
        engine.version = 1


@pytest.mark.parametrize("seed", range(2))
def test_old_holder_never_sends_the_last_order_under_faults(seed: int) -> None:
    """Guards against an old holder's order that runs last.

    Also guards against an engine considered to serve a version that it has
    not loaded, and against a rollout that does not complete after the
    faults. Faults overlap: the store is down, slow or loses responses,
    leases are lost, holders are paused, swaps fail, are late or lose their
    response, and engines restart.
    """

    async def job(zone: Zone) -> None:
        rng = random.Random(seed)
        await zone.wait_for_rollout(10)
        for _ in range(60):
            inject_fault(zone, rng)
            if rng.random() < 0.3:
                zone.weights.versions["base"] += 1
            for _ in range(6):
                zone.check()
                await anyio.sleep(0.01)
        zone.paused.clear()
        zone.store.faults.__init__()  # type: ignore[misc]
        for engine in zone.engines:
            engine.fail_swaps = 0
            engine.faults.__init__()  # type: ignore[misc]
        zone.weights.versions["base"] += 1
        await zone.wait_for_rollout(30)

    zone = run_scenario(job)
    used_numbers = {o["fencing"] for e in zone.engines for o in e.orders}
    assert used_numbers, "no order was sent"


async def wait_for_unguarded_order(zone: Zone, number: int | None) -> None:
    """Wait for an order to an engine without fencing; check the delay."""
    started = anyio.current_time()
    unguarded = [e for e in zone.engines if not e.cfg.checks_fencing]
    with anyio.fail_after(10):
        while not any(
            order["fencing"] == number
            for engine in unguarded
            for order in engine.orders
        ):
            zone.check()
            await anyio.sleep(0.01)
    waited = anyio.current_time() - started
    # The wait starts at the claim, a few store calls earlier.
    assert waited >= CFG.ttl + CFG.effect_seconds - 0.5, (
        "the successor did not wait"
    )


def test_paused_holder_is_replaced() -> None:
    """Guards against a paused holder that blocks or disturbs its successor.

    The store loses the lease while its holder is paused and an order to
    each engine arrives late, so that old and new orders could overlap.
    """

    async def job(zone: Zone) -> None:
        zone.weights.versions["base"] += 1
        await zone.wait_for_rollout(10)
        (old_holder,) = [
            n for n, v in enumerate(zone.fencing_numbers()) if v is not None
        ]
        for engine in zone.engines:
            engine.faults.delay_seconds = MAX_DELAY_SECONDS
        zone.paused.add(old_holder)
        zone.weights.versions["base"] += 1
        for lease_id in list(zone.store.leases):
            zone.store.revoke(lease_id)
        with anyio.fail_after(10):
            while zone.fencing_numbers()[1 - old_holder] is None:
                zone.check()
                await anyio.sleep(0.01)
        zone.paused.clear()
        for engine in zone.engines:
            engine.faults.delay_seconds = 0.0
        zone.weights.versions["base"] += 1
        await wait_for_unguarded_order(
            zone, zone.fencing_numbers()[1 - old_holder]
        )
        await zone.wait_for_rollout(20)

    zone = run_scenario(job)
    for engine in zone.engines:
        used_numbers = {order["fencing"] for order in engine.orders}
        assert len(used_numbers) >= 2, "the successor sent no order"
