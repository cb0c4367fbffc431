"""Share error and wasted capacity of three ways to share engines."""

from collections import abc
import random
import typing

from hibiscussaddle.policy import shares

INSTANCES: typing.Final = 8
CAPACITY: typing.Final = 48.0
GUARANTEES: typing.Final = {"a": 0.5, "b": 0.3, "c": 0.2}
# A reservation holds this many seconds; renewing it is a store call.
RESERVATION_SECONDS: typing.Final = 10
_Demands = dict[str, dict[str, float]]


def _demands(rng: random.Random, seconds: int) -> list[_Demands]:
    """Return skewed demands that change every few seconds."""
    found: list[_Demands] = []
    current: _Demands = {}
    for second in range(seconds):
        if second % 5 == 0:
            current = {f"i{n}": {} for n in range(INSTANCES)}
            for customer in GUARANTEES:
                total = CAPACITY * rng.uniform(0.0, 1.0)
                weights = [rng.random() ** 4 for _ in range(INSTANCES)]
                for number, weight in enumerate(weights):
                    part = total * weight / sum(weights)
                    current[f"i{number}"][customer] = part
        found.append(current)
    return found


def _even(history: list[_Demands]) -> _Demands:
    part = CAPACITY / INSTANCES
    return {
        name: {key: part * share for key, share in GUARANTEES.items()}
        for name in history[-1]
    }


def _by_demand(history: list[_Demands]) -> _Demands:
    # The facts are a second old.
    told = {
        name: shares.Demand(0.0, slots)
        for name, slots in history[max(0, len(history) - 2)].items()
    }
    found: _Demands = {}
    for name in told:
        own = shares.own_share(CAPACITY, GUARANTEES, told, name)
        spare = own.spare_slots / len(GUARANTEES)
        found[name] = {key: slots + spare for key, slots in own.slots.items()}
    return found


def _reserved(history: list[_Demands]) -> _Demands:
    last = (len(history) - 1) // RESERVATION_SECONDS * RESERVATION_SECONDS
    return _by_demand(history[: last + 1])


METHODS: typing.Final[dict[str, abc.Callable[[list[_Demands]], _Demands]]] = {
    "even_split": _even,
    "by_demand": _by_demand,
    "reserved": _reserved,
}


def measure(seed: int, seconds: int = 300) -> dict[str, tuple[float, float]]:
    """Return share error and wasted capacity of each method.

    The error is half of the absolute difference to the ideal allocation;
    waste is capacity that is idle although someone demands it.
    """
    rows = _demands(random.Random(seed), seconds)
    found = {}
    for name, method in METHODS.items():
        error = waste = 0.0
        for second in range(seconds):
            error_now, waste_now = _judge(
                rows[second], method(rows[: second + 1])
            )
            error += error_now / seconds
            waste += waste_now / seconds
        found[name] = (error, waste)
    return found


def _judge(demands: _Demands, allowed: _Demands) -> tuple[float, float]:
    totals = dict.fromkeys(GUARANTEES, 0.0)
    got = dict.fromkeys(GUARANTEES, 0.0)
    for name, slots in demands.items():
        for customer, wanted in slots.items():
            totals[customer] += wanted
            got[customer] += min(wanted, allowed[name].get(customer, 0.0))
    ideal = shares.allocate(CAPACITY, GUARANTEES, totals)
    error = sum(abs(got[key] - ideal[key]) for key in got) / 2 / CAPACITY
    usable = min(CAPACITY, sum(totals.values()))
    waste = max(0.0, usable - sum(got.values())) / CAPACITY
    return error, waste
