"""Shares of the engines: max-min water-filling over the told demand."""

from collections import abc
import dataclasses
import typing

# Facts older than this come from dead or unreachable instances.
MAX_AGE_SECONDS: typing.Final = 5.0
_EPSILON = 1e-9


@dataclasses.dataclass(frozen=True)
class Demand:
    """Hold the slots that one instance could use, by customer.

    The summary of another zone has the same form.
    """

    taken_at: float
    slots: abc.Mapping[str, float]
    instances: int = 1


def water_fill(
    capacity: float,
    demands: abc.Mapping[str, float],
    weights: abc.Mapping[str, float],
) -> dict[str, float]:
    """Share capacity so that the smallest weighted allocation is largest.

    No one gets more than its demand. The result depends only on the
    arguments: names are visited in a fixed order.
    """
    given = {name: 0.0 for name in sorted(demands)}
    open_names = [
        name
        for name in given
        if demands[name] > 0 and weights.get(name, 0.0) > 0
    ]
    left = max(0.0, capacity)
    while open_names and left > _EPSILON:
        total = sum(weights[name] for name in open_names)
        level = left / total
        met = [
            name
            for name in open_names
            if demands[name] <= weights[name] * level
        ]
        if not met:
            for name in open_names:
                given[name] = weights[name] * level
            break
        for name in met:
            given[name] = demands[name]
            left -= demands[name]
        open_names = [name for name in open_names if name not in met]
    return given


def allocate(
    capacity: float,
    guarantees: abc.Mapping[str, float],
    demands: abc.Mapping[str, float],
) -> dict[str, float]:
    """Return the slots of each customer.

    Guarantees are parts of capacity; when they exceed it in sum they
    shrink in proportion. What a customer does not demand is lent to the
    others, in proportion to their guarantees.
    """
    total = sum(guarantees.get(name, 0.0) for name in sorted(demands))
    scale = capacity / max(1.0, total)
    first = {
        name: min(demands[name], guarantees.get(name, 0.0) * scale)
        for name in sorted(demands)
    }
    left = capacity - sum(first.values())
    # A customer without a guarantee still takes part in what is lent.
    weights = {name: guarantees.get(name, 0.0) or 0.01 for name in demands}
    wanted = {name: demands[name] - first[name] for name in demands}
    lent = water_fill(left, wanted, weights)
    return {name: first[name] + lent[name] for name in first}


@dataclasses.dataclass(frozen=True)
class OwnShare:
    """Hold the slots that one instance may use."""

    slots: abc.Mapping[str, float]
    # Part of the slots that no one demanded; all customers share it.
    spare_slots: float


def own_share(
    capacity: float,
    guarantees: abc.Mapping[str, float],
    demands: abc.Mapping[str, Demand],
    instance: str,
) -> OwnShare:
    """Return the share of one instance.

    A customer's slots are split over its instances in proportion to their
    demand, so that their backlogs end at the same time. The shares of all
    instances that hold the same facts sum up to the capacity, so that work
    beyond the told demand can start without exceeding it.
    """
    totals: dict[str, float] = {}
    for name in sorted(demands):
        for customer, slots in demands[name].slots.items():
            totals[customer] = totals.get(customer, 0.0) + max(0.0, slots)
    allocation = allocate(capacity, guarantees, totals)
    own: dict[str, float] = {}
    for customer, slots in allocation.items():
        mine = max(0.0, demands[instance].slots.get(customer, 0.0))
        total = totals[customer]
        own[customer] = slots * mine / total if total > 0 else 0.0
    count = sum(demand.instances for demand in demands.values())
    left = max(0.0, capacity - sum(allocation.values()))
    return OwnShare(own, left / count)
