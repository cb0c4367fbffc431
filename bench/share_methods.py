"""Compare share error and wasted capacity of three sharing methods."""

from collections import abc
import random
import typing

from hibiscussaddle.policy import shares

INSTANCES: typing.Final = 8
CAPACITY: typing.Final = 48.0
GUARANTEES: typing.Final = {"a": 0.5, "b": 0.3, "c": 0.2}
# Each renewal of a reservation is a store call.
RESERVATION_SECONDS: typing.Final = 10
_SlotTable = dict[str, dict[str, float]]


def _random_demands(rng: random.Random, seconds: int) -> list[_SlotTable]:
    """Return skewed demands that change every 5 seconds."""
    history: list[_SlotTable] = []
    current: _SlotTable = {}
    for second in range(seconds):
        if second % 5 == 0:
            current = {f"i{n}": {} for n in range(INSTANCES)}
            for customer in GUARANTEES:
                total = CAPACITY * rng.uniform(0.0, 1.0)
                weights = [rng.random() ** 4 for _ in range(INSTANCES)]
                for number, weight in enumerate(weights):
                    demand = total * weight / sum(weights)
                    current[f"i{number}"][customer] = demand
        history.append(current)
    return history


def _even_allocation(history: list[_SlotTable]) -> _SlotTable:
    slots = CAPACITY / INSTANCES
    return {
        name: {key: slots * share for key, share in GUARANTEES.items()}
        for name in history[-1]
    }


def _demand_allocation(history: list[_SlotTable]) -> _SlotTable:
    # Instances see demands that are one second old.
    reported = {
        name: shares.Demand(0.0, slots)
        for name, slots in history[max(0, len(history) - 2)].items()
    }
    allocation: _SlotTable = {}
    for name in reported:
        own = shares.own_share(CAPACITY, GUARANTEES, reported, name)
        spare = own.spare_slots / len(GUARANTEES)
        allocation[name] = {
            key: slots + spare for key, slots in own.slots.items()
        }
    return allocation


def _reserved_allocation(history: list[_SlotTable]) -> _SlotTable:
    last = (len(history) - 1) // RESERVATION_SECONDS * RESERVATION_SECONDS
    return _demand_allocation(history[: last + 1])


METHODS: typing.Final[
    dict[str, abc.Callable[[list[_SlotTable]], _SlotTable]]
] = {
    "even_split": _even_allocation,
    "by_demand": _demand_allocation,
    "reserved": _reserved_allocation,
}


def measure(seed: int, seconds: int = 300) -> dict[str, tuple[float, float]]:
    """Return share error and wasted capacity of each method.

    The error is half of the absolute difference to the ideal allocation;
    wasted capacity is idle although there is demand for it.
    """
    rows = _random_demands(random.Random(seed), seconds)
    results = {}
    for name, method in METHODS.items():
        error = waste = 0.0
        for second in range(seconds):
            error_now, waste_now = _allocation_errors(
                rows[second], method(rows[: second + 1])
            )
            error += error_now / seconds
            waste += waste_now / seconds
        results[name] = (error, waste)
    return results


def _allocation_errors(
    demands: _SlotTable, allowed: _SlotTable
) -> tuple[float, float]:
    totals = dict.fromkeys(GUARANTEES, 0.0)
    received = dict.fromkeys(GUARANTEES, 0.0)
    for name, slots in demands.items():
        for customer, demand in slots.items():
            totals[customer] += demand
            received[customer] += min(demand, allowed[name].get(customer, 0.0))
    ideal = shares.allocate(CAPACITY, GUARANTEES, totals)
    error = (
        sum(abs(received[key] - ideal[key]) for key in received) / 2 / CAPACITY
    )
    usable = min(CAPACITY, sum(totals.values()))
    waste = max(0.0, usable - sum(received.values())) / CAPACITY
    return error, waste
