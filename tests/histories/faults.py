"""Random faults; each is over before the run ends."""

from collections import abc
import typing

import anyio
import httpx

import builders
from hibiscussaddle.standins import faults as fake_faults
from histories import world as world_lib

Fault: typing.TypeAlias = abc.Callable[[world_lib.World], abc.Awaitable[None]]

FAULTS: typing.Final[dict[str, Fault]] = {}


def register(name: str) -> abc.Callable[[Fault], Fault]:
    """Return a decorator that registers a fault under a name."""

    def add(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return add


def random_faults(world: world_lib.World) -> tuple[str, ...]:
    """Return the names of two to five random faults."""
    count = world.rng.randint(2, 5)
    return tuple(world.rng.choices(sorted(FAULTS), k=count))


async def inject(world: world_lib.World, names: tuple[str, ...]) -> None:
    """Inject faults at random times, some of them concurrently."""
    async with anyio.create_task_group() as tasks:
        for name in names:
            await anyio.sleep(world.rng.uniform(0.0, 0.15))
            world.history.faults.append(name)
            tasks.start_soon(FAULTS[name], world)


def _random_pause(world: world_lib.World) -> float:
    return world.rng.uniform(0.05, 0.3)


@register("instance_crash")
async def crash_instance(world: world_lib.World) -> None:
    """Cancel every task of an instance, then start a new incarnation."""
    instance = world.rng.choice(world.instances)
    if instance.scope is None or instance.is_stopping:
        return
    scope = instance.scope
    scope.cancel()
    # Another fault may have started the next incarnation already.
    while instance.scope is scope:
        await anyio.sleep(0.005)
    await anyio.sleep(_random_pause(world))
    world.start(instance)


@register("instance_stop")
async def stop_instance(world: world_lib.World) -> None:
    """Stop an instance as planned, then start a new incarnation."""
    instance = world.rng.choice(world.instances)
    runtime = instance.runtime
    if runtime is None or instance.is_stopping:
        return
    instance.is_stopping = True
    scope = instance.scope
    runtime.lifecycle.request_stop()
    while instance.scope is scope:
        await anyio.sleep(0.005)
    instance.is_stopping = False
    world.start(instance)


@register("instance_cut_off")
async def cut_off_instance(world: world_lib.World) -> None:
    """Cut the links between an instance and its peers."""
    instance = world.rng.choice(world.instances)
    runtime = instance.runtime
    if runtime is None:
        return
    runtime.peers.link_filter = lambda *_: False
    # Can outlast a connection attempt, so that other instances serve the
    # steps of a partitioned owner.
    await anyio.sleep(world.rng.uniform(0.2, 1.5))
    runtime.peers.link_filter = None


@register("engine_crash")
async def crash_engine(world: world_lib.World) -> None:
    """Break the streams of an engine, which restarts immediately."""
    engine = world.rng.choice(world.engines)
    engine.crash_after_tokens = world.rng.randint(1, 40)


@register("swap_partway")
async def fail_swap(world: world_lib.World) -> None:
    """Fail a weight swap, so that the engine serves unknown weights."""
    engine = world.rng.choice(world.engines)
    engine.fail_swaps = 1
    await engine.swap(world.published_version)
    await anyio.sleep(_random_pause(world))
    await engine.swap(world.published_version)


@register("engine_slow")
async def slow_engine(world: world_lib.World) -> None:
    """Slow an engine down for a while."""
    engine = world.rng.choice(world.engines)
    engine.slow_factor = 10.0
    await anyio.sleep(_random_pause(world))
    engine.slow_factor = 1.0


@register("engine_refuses")
async def refuse_work(world: world_lib.World) -> None:
    """Let an engine refuse new work for a while."""
    engine = world.rng.choice(world.engines)
    engine.refuse_work = True
    await anyio.sleep(_random_pause(world))
    engine.refuse_work = False


async def _change_contract(world: world_lib.World) -> None:
    """Change the contract without altering limits that the checks use."""
    contract = builders.contract(
        staleness_versions=world.staleness_bound,
        short_wait_seconds=world.rng.uniform(1.0, 3.0),
    )
    instance = world.rng.choice(world.instances)
    base = f"http://127.0.0.1:{instance.cfg.operator_port}/v1/contracts/cereza"
    headers = {"authorization": f"Bearer {builders.SECRET}"}
    try:
        found = await world.client.get(base, headers=headers)
        body = {
            "contract": contract.to_dict(),
            "expected_revision": found.json()["revision"],
            "who": "checker",
            "reason": "history",
        }
        await world.client.put(base, json=body, headers=headers, timeout=1.0)
    except (httpx.HTTPError, ValueError, KeyError):
        return


@register("store_answer_lost")
async def lose_store_response(world: world_lib.World) -> None:
    """Lose the response to a contract change."""
    world.store.faults.lose_answers = 1
    await _change_contract(world)
    world.store.faults.lose_answers = 0


@register("store_down")
async def stop_store(world: world_lib.World) -> None:
    """Take the store down for a while."""
    await _take_down(world, world.store.faults)


@register("scorer_down")
async def stop_scorer(world: world_lib.World) -> None:
    """Take the scoring service down for a while."""
    await _take_down(world, world.scorer)


async def _take_down(world: world_lib.World, fake: fake_faults.Faults) -> None:
    fake.down = True
    await anyio.sleep(_random_pause(world))
    fake.down = False


@register("answers_delayed")
async def delay_responses(world: world_lib.World) -> None:
    """Delay the responses of a service, an engine or the scorer."""
    fakes = [
        world.scorer,
        *(item.faults for item in world.engines),
        *(item.faults for item in world.services),
    ]
    fake = world.rng.choice(fakes)
    fake.delay_seconds = world.rng.uniform(0.02, 0.2)
    await anyio.sleep(_random_pause(world))
    fake.delay_seconds = 0.0


@register("service_answer_lost")
async def lose_service_response(world: world_lib.World) -> None:
    """Lose the responses to calls that a service executed."""
    world.rng.choice(world.services).faults.lose_answers = 2
