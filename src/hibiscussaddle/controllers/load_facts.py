"""Exchange load and demand with the other instances and zones."""

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

PUBLISH_INTERVAL_SECONDS: typing.Final = 1.0
LOAD_KIND: typing.Final = "load"
DEMAND_KIND: typing.Final = "demand"
ZONE_LOAD_KIND: typing.Final = "zone_load"


@dataclasses.dataclass(frozen=True)
class ZoneLoad:
    """Summarize the load and demand of one zone for the other zones."""

    instances: int
    # Outstanding requests by endpoint.
    load: dict[str, int]
    # Slots by model and customer.
    demand: dict[str, dict[str, float]]


@controllers.controller("load_facts")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Publish the facts every second, with jitter."""
    while True:
        await anyio.sleep(
            PUBLISH_INTERVAL_SECONDS * (0.8 + 0.4 * runtime.rng.random())
        )
        publish_facts(runtime)


def publish_facts(runtime: runtime_lib.Runtime) -> None:
    """Publish the load and demand of this instance.

    The first live member of a zone also publishes the summary of the zone.
    """
    dispatcher = runtime.dispatcher
    _publish(runtime, LOAD_KIND, dispatcher.load_tracker.own_loads())
    _publish(runtime, DEMAND_KIND, dispatcher.publish_demands())
    zone = runtime.cfg.zone
    members = [m.id for m in runtime.members.live() if m.zone == zone]
    if members and members[0] == runtime.cfg.instance:
        summary = _create_summary(runtime, members)
        _publish(runtime, ZONE_LOAD_KIND, msgspec.to_builtins(summary), zone)


def _publish(
    runtime: runtime_lib.Runtime, kind: str, value: object, key: str = ""
) -> None:
    own = runtime.cfg.instance
    # Versions must also increase across a restart.
    version = time.time_ns() // 1_000_000
    runtime.facts.publish(facts.Fact(kind, key or own, version, own, value))


def _create_summary(
    runtime: runtime_lib.Runtime, members: list[str]
) -> ZoneLoad:
    load: dict[str, int] = {}
    demand: dict[str, dict[str, float]] = {}
    for member in members:
        load_fact = runtime.facts.get(LOAD_KIND, member)
        demand_fact = runtime.facts.get(DEMAND_KIND, member)
        if load_fact is not None:
            for endpoint_id, count in load_fact.value.items():
                load[endpoint_id] = load.get(endpoint_id, 0) + count
        if demand_fact is not None:
            for model, slots in demand_fact.value.items():
                sums = demand.setdefault(model, {})
                for customer, count in slots.items():
                    sums[customer] = sums.get(customer, 0.0) + count
    return ZoneLoad(len(members), load, demand)


@shared_facts.applies(LOAD_KIND)
def apply_load(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Apply the load of a peer."""
    if fact.key != runtime.cfg.instance:
        _apply_peer_load(runtime, fact.key, fact.value)


@shared_facts.applies(DEMAND_KIND)
def apply_demand(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Apply the demand of a peer."""
    if fact.key != runtime.cfg.instance:
        _apply_peer_demand(runtime, fact.key, fact.value, 1)


@shared_facts.applies(ZONE_LOAD_KIND)
def apply_zone_load(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Apply the load and demand of another zone."""
    if fact.key == runtime.cfg.zone:
        return
    zone_load = msgspec.convert(fact.value, ZoneLoad)
    # Zones and instances may have the same name.
    name = f"zone {fact.key}"
    _apply_peer_load(runtime, name, zone_load.load)
    _apply_peer_demand(runtime, name, zone_load.demand, zone_load.instances)


def _apply_peer_load(
    runtime: runtime_lib.Runtime, name: str, load: abc.Mapping[str, int]
) -> None:
    # Timestamped with the clock of the receiver, since wall clocks of
    # instances differ; the fact arrives about a second late.
    received = routing.PeerLoad(runtime.clock(), load)
    runtime.dispatcher.load_tracker.apply_peer_load(name, received)


def _apply_peer_demand(
    runtime: runtime_lib.Runtime,
    name: str,
    demand: abc.Mapping[str, abc.Mapping[str, float]],
    instances: int,
) -> None:
    for model, slots in demand.items():
        received = shares.Demand(runtime.clock(), slots, instances)
        runtime.dispatcher.apply_peer_demand(name, model, received)
