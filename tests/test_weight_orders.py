"""Guard weight orders against faults of store, holder and engines."""

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
# up to 0.4 s late and is in flight for 0.5 s, in sum less than the
# successor's wait of 2 s.
CFG = lease.LeaseConfig(
    ttl=1.5,
    margin=0.3,
    effect_seconds=0.5,
    retry_seconds=0.05,
    claim_interval_seconds=0.1,
)
MOST_DELAY = 0.4


class Zone:
    """Run engines of both kinds, stores and contenders in one process."""

    def __init__(self) -> None:
        """Start with four engines, two of which ignore numbers."""
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
        # Contenders whose store calls hang, as those of a paused process.
        self.paused: set[int] = set()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Serve everything and let two instances contend."""
        serve = loopback.serve
        store_url = await stack.enter_async_context(
            serve(fake_store.create_app(self.store))
        )
        weights_url = await stack.enter_async_context(
            serve(fake_weights.create_app(self.weights))
        )
        listed = []
        for engine in self.engines:
            url = await stack.enter_async_context(
                serve(fake_engine.create_app(engine))
            )
            listed.append(
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
            runtime.directory.update(listed)
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
        """Let one instance contend for the lease."""

        async def pause(req: httpx.Request) -> None:
            while number in self.paused and store_url in str(req.url):
                await anyio.sleep(0.01)

        runtime.client.event_hooks = {"request": [pause]}
        orders = weights.create_orders(runtime, CFG)
        assert orders is not None
        self.contenders.append(orders)
        tasks.start_soon(load.run, runtime)
        tasks.start_soon(weights.run_orders, runtime, orders)

    def numbers(self) -> list[int | None]:
        """Return the number that each contender could use now."""
        return [c.lease.fencing_number(True) for c in self.contenders]

    def check(self) -> None:
        """Check the newest holder's view and every engine's orders."""
        for engine in self.engines:
            used = [order["fencing"] for order in engine.orders]
            assert used == sorted(used), "an old holder's order ran last"
        numbers = [number or 0 for number in self.numbers()]
        if not any(numbers):
            return
        newest = max(numbers)
        holder = self.contenders[numbers.index(newest)]
        plan = holder.rollouts.get("base")
        for engine in self.engines:
            state = plan.engines.get(engine.cfg.id) if plan else None
            if state is None or not state.serving or state.version is None:
                continue
            if state.incarnation != engine.incarnation:
                # A restart shows in the engine's next report only.
                continue
            if not engine.orders or engine.orders[-1]["fencing"] != newest:
                # What the holder before did shows in reports only.
                continue
            assert engine.version == state.version, "wrong version serves"

    def is_done(self) -> bool:
        """Tell whether every engine has the newest version."""
        newest = self.weights.versions["base"]
        return all(engine.version == newest for engine in self.engines)

    async def wait_done(self, seconds: float) -> None:
        """Wait until the rollout has ended."""
        with anyio.fail_after(seconds):
            while not self.is_done():
                self.check()
                await anyio.sleep(0.01)


def play(job: typing.Callable[[Zone], typing.Awaitable[None]]) -> Zone:
    """Run a zone for a scenario."""
    zone = Zone()

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            await zone.start(stack)
            await job(zone)

    anyio.run(main)
    zone.check()
    return zone


def inject(zone: Zone, rng: random.Random) -> None:
    """Switch one fault, on top of those already on."""
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
        engine.faults.delay_seconds = rng.random() * MOST_DELAY
    else:
        engine.restart()
        engine.version = 1


@pytest.mark.parametrize("seed", range(2))
def test_orders_under_faults_together(seed: int) -> None:
    """Fails when an old holder's order is the last one to run.

    Also fails when an engine serves a version that it does not hold, or
    when the rollout does not end after the faults. Faults overlap: store
    down, slow, answers lost, leases lost, holders paused, swaps that fail,
    are late or lose their answer, and engines that restart.
    """

    async def job(zone: Zone) -> None:
        rng = random.Random(seed)
        await zone.wait_done(10)
        for _ in range(60):
            inject(zone, rng)
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
        await zone.wait_done(30)

    zone = play(job)
    used = {o["fencing"] for e in zone.engines for o in e.orders}
    assert used, "no order was sent"


async def wait_unguarded_order(zone: Zone, number: int | None) -> None:
    """Wait for an order to an engine that ignores numbers; not too early."""
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
    # The wait starts at the claim, a few store calls before.
    assert waited >= CFG.ttl + CFG.effect_seconds - 0.5, "no wait"


def test_paused_holder_is_replaced() -> None:
    """Fails when a paused holder blocks or disturbs its successor.

    The store loses the lease while its holder is paused and an order to
    each engine arrives late, so that old and new orders could cross.
    """

    async def job(zone: Zone) -> None:
        zone.weights.versions["base"] += 1
        await zone.wait_done(10)
        (old,) = [n for n, v in enumerate(zone.numbers()) if v is not None]
        for engine in zone.engines:
            engine.faults.delay_seconds = MOST_DELAY
        zone.paused.add(old)
        zone.weights.versions["base"] += 1
        for lease_id in list(zone.store.leases):
            zone.store.revoke(lease_id)
        with anyio.fail_after(10):
            while zone.numbers()[1 - old] is None:
                zone.check()
                await anyio.sleep(0.01)
        zone.paused.clear()
        for engine in zone.engines:
            engine.faults.delay_seconds = 0.0
        zone.weights.versions["base"] += 1
        await wait_unguarded_order(zone, zone.numbers()[1 - old])
        await zone.wait_done(20)

    zone = play(job)
    for engine in zone.engines:
        used = {order["fencing"] for order in engine.orders}
        assert len(used) >= 2, "the successor sent no order"
