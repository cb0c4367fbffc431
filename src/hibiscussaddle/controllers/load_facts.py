"""Tell the zone this instance's load and demand, and hear the others'."""

from collections import abc
import dataclasses
import time
import typing

import anyio
import msgspec

from hibiscussaddle import controllers
from hibiscussaddle.policy import facts
from hibiscussaddle.policy import routing
from hibiscussaddle.policy import shares
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import shared_facts

TELL_SECONDS: typing.Final = 1.0
LOAD: typing.Final = "load"
DEMAND: typing.Final = "demand"
ZONE_LOAD: typing.Final = "zone_load"


@dataclasses.dataclass(frozen=True)
class ZoneLoad:
    """Sum up the load and demand of one zone for the other zones."""

    instances: int
    # Outstanding requests by endpoint.
    load: dict[str, int]
    # Slots by model and customer.
    demand: dict[str, dict[str, float]]


@controllers.controller("load_facts")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Publish the facts every second, with jitter."""
    while True:
        await anyio.sleep(TELL_SECONDS * (0.8 + 0.4 * runtime.rng.random()))
        tell(runtime)


def tell(runtime: runtime_lib.Runtime) -> None:
    """Publish own facts, and the zone's summary if it is this one's turn."""
    dispatcher = runtime.dispatcher
    _publish(runtime, LOAD, dispatcher.load_tracker.own_loads())
    _publish(runtime, DEMAND, dispatcher.publish_demands())
    zone = runtime.cfg.zone
    members = [m.id for m in runtime.members.live() if m.zone == zone]
    if members and members[0] == runtime.cfg.instance:
        summary = _sum_up(runtime, members)
        _publish(runtime, ZONE_LOAD, msgspec.to_builtins(summary), zone)


def _publish(
    runtime: runtime_lib.Runtime, kind: str, value: object, key: str = ""
) -> None:
    own = runtime.cfg.instance
    # Versions must increase over a restart, too.
    version = time.time_ns() // 1_000_000
    runtime.facts.publish(facts.Fact(kind, key or own, version, own, value))


def _sum_up(runtime: runtime_lib.Runtime, members: list[str]) -> ZoneLoad:
    load: dict[str, int] = {}
    demand: dict[str, dict[str, float]] = {}
    for member in members:
        told_load = runtime.facts.get(LOAD, member)
        told_demand = runtime.facts.get(DEMAND, member)
        if told_load is not None:
            for endpoint_id, count in told_load.value.items():
                load[endpoint_id] = load.get(endpoint_id, 0) + count
        if told_demand is not None:
            for model, slots in told_demand.value.items():
                sums = demand.setdefault(model, {})
                for customer, count in slots.items():
                    sums[customer] = sums.get(customer, 0.0) + count
    return ZoneLoad(len(members), load, demand)


@shared_facts.applies(LOAD)
def apply_load(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Take a peer's load into account."""
    if fact.key != runtime.cfg.instance:
        _hear_load(runtime, fact.key, fact.value)


@shared_facts.applies(DEMAND)
def apply_demand(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Take a peer's demand into account."""
    if fact.key != runtime.cfg.instance:
        _hear_demand(runtime, fact.key, fact.value, 1)


@shared_facts.applies(ZONE_LOAD)
def apply_zone(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Take the load and demand of another zone into account."""
    if fact.key == runtime.cfg.zone:
        return
    told = msgspec.convert(fact.value, ZoneLoad)
    # Zones and instances may have the same name.
    name = f"zone {fact.key}"
    _hear_load(runtime, name, told.load)
    _hear_demand(runtime, name, told.demand, told.instances)


def _hear_load(
    runtime: runtime_lib.Runtime, name: str, load: abc.Mapping[str, int]
) -> None:
    # The receiver's clock: the fact took about a second, and wall clocks
    # of instances differ.
    heard = routing.PeerLoad(runtime.clock(), load)
    runtime.dispatcher.load_tracker.apply_peer_load(name, heard)


def _hear_demand(
    runtime: runtime_lib.Runtime,
    name: str,
    demand: abc.Mapping[str, abc.Mapping[str, float]],
    instances: int,
) -> None:
    for model, slots in demand.items():
        heard = shares.Demand(runtime.clock(), slots, instances)
        runtime.dispatcher.apply_peer_demand(name, model, heard)
