"""Shares of the engines: max-min water-filling over reported demand."""

from collections import abc
import dataclasses
import typing

# Facts older than this are from dead or unreachable instances.
MAX_AGE_SECONDS: typing.Final = 5.0
# Smaller remainders are rounding errors.
_EPSILON_SLOTS: typing.Final = 1e-9
# Weight of a customer without a guarantee among those who borrow unused slots.
_UNGUARANTEED_WEIGHT: typing.Final = 0.01


@dataclasses.dataclass(frozen=True)
class Demand:
    """Hold the slots that one instance demands, by customer.

    The summary of another zone has the same type.
    """

    taken_at: float
    slots: abc.Mapping[str, float]
    instances: int = 1


def water_fill(
    capacity: float,
    demands: abc.Mapping[str, float],
    weights: abc.Mapping[str, float],
) -> dict[str, float]:
    """Return max-min fair allocations of the capacity, by name.

    The smallest weighted allocation is as large as possible, and none exceeds
    its demand. The result depends only on the arguments, since names are
    visited in a fixed order.
    """
    allocated = {name: 0.0 for name in sorted(demands)}
    unmet_names = [
        name
        for name in allocated
        if demands[name] > 0 and weights.get(name, 0.0) > 0
    ]
    remaining = max(0.0, capacity)
    while unmet_names and remaining > _EPSILON_SLOTS:
        total = sum(weights[name] for name in unmet_names)
        # A tiny total must not make the quotient overflow, so that the weights
        # are divided first.
        shares = {
            name: remaining * (weights[name] / total) for name in unmet_names
        }
        met_names = [
            name for name in unmet_names if demands[name] <= shares[name]
        ]
        if not met_names:
            allocated.update(shares)
            break
        for name in met_names:
            allocated[name] = demands[name]
            remaining -= demands[name]
        unmet_names = [name for name in unmet_names if name not in met_names]
    return allocated


def allocate(
    capacity: float,
    guarantees: abc.Mapping[str, float],
    demands: abc.Mapping[str, float],
) -> dict[str, float]:
    """Return the slots of each customer.

    Guarantees are fractions of the capacity; when their sum exceeds it, they
    shrink in proportion. Slots that a customer does not demand are lent to
    the others, in proportion to their guarantees.
    """
    total = sum(guarantees.get(name, 0.0) for name in sorted(demands))
    scale = capacity / max(1.0, total)
    guaranteed = {
        name: min(demands[name], guarantees.get(name, 0.0) * scale)
        for name in sorted(demands)
    }
    remaining = capacity - sum(guaranteed.values())
    # A customer without a guarantee may still borrow unused slots.
    weights = {
        name: guarantees.get(name, 0.0) or _UNGUARANTEED_WEIGHT
        for name in demands
    }
    unmet = {name: demands[name] - guaranteed[name] for name in demands}
    lent = water_fill(remaining, unmet, weights)
    return {name: guaranteed[name] + lent[name] for name in guaranteed}


@dataclasses.dataclass(frozen=True)
class OwnShare:
    """Hold the slots that one instance may use, by customer."""

    slots: abc.Mapping[str, float]
    # This instance's equal share of the slots that no customer demanded; work
    # of any customer may use them.
    spare_slots: float


def own_share(
    capacity: float,
    guarantees: abc.Mapping[str, float],
    demands: abc.Mapping[str, Demand],
    instance: str,
) -> OwnShare:
    """Return the share of one instance.

    A customer's slots are divided among its instances in proportion to their
    demand, so that their backlogs end at the same time. The shares of all
    instances that hold the same facts add up to the capacity, so that work
    beyond the reported demand can start without exceeding it.
    """
    totals: dict[str, float] = {}
    for name in sorted(demands):
        for customer, slots in demands[name].slots.items():
            totals[customer] = totals.get(customer, 0.0) + max(0.0, slots)
    allocation = allocate(capacity, guarantees, totals)
    own: dict[str, float] = {}
    for customer, slots in allocation.items():
        own_demand = max(0.0, demands[instance].slots.get(customer, 0.0))
        total = totals[customer]
        own[customer] = slots * own_demand / total if total > 0 else 0.0
    count = sum(demand.instances for demand in demands.values())
    remaining = max(0.0, capacity - sum(allocation.values()))
    return OwnShare(own, remaining / count)
