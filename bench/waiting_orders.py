"""Compare orders of waiting items on small recorded loads.

Run with `python -m bench.waiting_orders`. A tick decodes one event on engines
of speed 1; items keep their progress when their engine goes.
"""

from collections import abc
import dataclasses
import random
import typing

from hibiscussaddle.scheduling import order

TICK_SECONDS: typing.Final = 0.04
DUE_SECONDS: typing.Final = 7.5
# Trainers end a batch after this time.
GIVE_UP_SECONDS: typing.Final = 12.0
_GROUPS: typing.Final = 9
_WANTED: typing.Final = 8
_SLOTS: typing.Final = 8
# Longest text, in events.
_MAX_EVENTS: typing.Final = 135


@dataclasses.dataclass
class Item:
    """Hold one item; only its hint is known to the order."""

    batch: "Batch"
    group: str
    events: float
    hint: float
    generated: float = 0.0
    is_running: bool = False

    def events_left(self) -> float:
        """Return the events that the item is expected to need."""
        return max(self.hint - self.generated, 0.5 * self.generated)


@dataclasses.dataclass
class Batch:
    """Hold one step of a trainer."""

    id: str
    submitted_at: float
    items: list[Item] = dataclasses.field(default_factory=list)
    # Seconds at which each group was complete.
    complete_at: dict[str, float] = dataclasses.field(default_factory=dict)
    # A later step is submitted this long after the batch has its groups.
    follows: "Batch | None" = None
    ended_at: float | None = None

    def unfinished(self) -> dict[str, list[Item]]:
        """Return the unfinished items by group."""
        groups: dict[str, list[Item]] = {}
        for item in self.items:
            if item.generated < item.events:
                groups.setdefault(item.group, []).append(item)
        return groups


Key: typing.TypeAlias = abc.Callable[[Item], tuple[typing.Any, ...]]
# Returns a sort key for the items that compete at a moment.
Policy: typing.TypeAlias = abc.Callable[[list[Batch], float, float], Key]
POLICIES: typing.Final[dict[str, Policy]] = {}
LOADS: typing.Final[
    dict[str, abc.Callable[[random.Random], tuple[list[Batch], typing.Any]]]
] = {}


def _policy(name: str) -> abc.Callable[[Policy], Policy]:
    def register(func: Policy) -> Policy:
        POLICIES[name] = func
        return func

    return register


def _load(name: str) -> typing.Any:
    def register(func: typing.Any) -> typing.Any:
        LOADS[name] = func
        return func

    return register


def _longest(batch: Batch) -> dict[str, float]:
    longest: dict[str, float] = {}
    for item in batch.items:
        longest[item.group] = max(longest.get(item.group, 0.0), item.hint)
    return longest


@_policy("oldest batch")
def oldest_batch(batches: list[Batch], now: float, speed: float) -> Key:
    """Serve the oldest batch first, its longest groups first."""
    longest = {batch.id: _longest(batch) for batch in batches}
    return lambda item: (
        item.batch.submitted_at,
        -longest[item.batch.id][item.group],
        -item.hint,
    )


@_policy("earliest deadline")
def earliest_deadline(batches: list[Batch], now: float, speed: float) -> Key:
    """Serve the earliest deadline first, in the order of arrival."""
    return lambda item: (item.batch.submitted_at, item.group)


@_policy("least work")
def least_work(batches: list[Batch], now: float, speed: float) -> Key:
    """Serve the groups with the least work first."""
    work = {
        (batch.id, group): sum(item.events_left() for item in items)
        for batch in batches
        for group, items in batch.unfinished().items()
    }
    return lambda item: (work[item.batch.id, item.group], -item.hint)


@_policy("latest start")
def latest_start(batches: list[Batch], now: float, speed: float) -> Key:
    """Serve the group first that must start first to be in time."""
    longest = {batch.id: _longest(batch) for batch in batches}
    return lambda item: (
        not item.generated,
        item.batch.submitted_at
        + DUE_SECONDS
        - longest[item.batch.id][item.group] * TICK_SECONDS,
        -item.hint,
    )


def _giving_way(base: Policy) -> Policy:
    def policy(batches: list[Batch], now: float, speed: float) -> Key:
        work = [
            order.BatchWork(
                batch.id,
                batch.submitted_at + DUE_SECONDS,
                max(0, _WANTED - len(batch.complete_at)),
                tuple(
                    order.GroupWork(
                        group, sum(item.events_left() for item in items)
                    )
                    for group, items in batch.unfinished().items()
                ),
            )
            for batch in batches
        ]
        rate = speed / TICK_SECONDS
        gives_way = order.groups_giving_way(work, rate, now)
        by_base = base(batches, now, speed)
        return lambda item: (
            (item.batch.id, item.group) in gives_way,
            *by_base(item),
        )

    return policy


POLICIES["oldest batch, groups give way"] = _giving_way(oldest_batch)
POLICIES["latest start, groups give way"] = _giving_way(latest_start)


def create_batch(
    rng: random.Random, batch_id: str, at: float, tail: float = 0.08
) -> Batch:
    """Return a step whose lengths spread widely with a long tail."""
    batch = Batch(batch_id, at)
    for number in range(_GROUPS * 8):
        factor = 5.0 if rng.random() < tail else 1.0
        events = min(_MAX_EVENTS, 1 + rng.lognormvariate(2.6, 0.8) * factor)
        batch.items.append(
            Item(
                batch,
                f"g{number // 8}",
                events,
                events * rng.lognormvariate(0.0, 0.5),
            )
        )
    return batch


def _engines(seconds_gone: float = 0.0, left: int = 2) -> typing.Any:
    def slots(now: float) -> int:
        return _SLOTS * (left if 1.0 <= now < 1.0 + seconds_gone else 6)

    return slots


@_load("burst")
def burst(rng: random.Random) -> tuple[list[Batch], typing.Any]:
    """Submit nine steps within two seconds."""
    batches = [create_batch(rng, str(n), 0.2 * n) for n in range(9)]
    return batches, _engines()


@_load("trainers out of step")
def out_of_step(rng: random.Random) -> tuple[list[Batch], typing.Any]:
    """Submit twelve steps of four trainers, a second apart."""
    return [
        create_batch(rng, f"{n:02}", 0.8 * n) for n in range(14)
    ], _engines()


@_load("engines of a zone gone")
def engines_gone(rng: random.Random) -> tuple[list[Batch], typing.Any]:
    """Take five of six engines away for six seconds."""
    batches = [create_batch(rng, str(n), 1.0 * n) for n in range(4)]
    return batches, _engines(6.0, 1)


@_load("long tail")
def long_tail(rng: random.Random) -> tuple[list[Batch], typing.Any]:
    """Submit two steps with a fifth of long items, half a second apart."""
    batches = [create_batch(rng, str(n), 0.5 * n, 0.2) for n in range(2)]
    return batches, _engines()


@_load("all restarted")
def restarted(rng: random.Random) -> tuple[list[Batch], typing.Any]:
    """Restart with two overdue steps, partly done, beside two new ones."""
    batches = [
        create_batch(rng, str(n), at)
        for n, at in enumerate((-9.0, -5.0, -4.0, -3.0, -1.0, 0.0))
    ]
    for batch in batches[:2]:
        for item in batch.items:
            item.generated = min(item.events, item.events * rng.random() * 1.4)
    return batches, _engines()


@_load("enough room")
def enough_room(rng: random.Random) -> tuple[list[Batch], typing.Any]:
    """Submit one step at a time."""
    return [create_batch(rng, str(n), 8.0 * n) for n in range(2)], _engines()


def simulate(load: str, policy: str, seed: int) -> dict[str, float]:
    """Return the groups in time and late, and the mean seconds of a step."""
    batches, slots_at = LOADS[load](random.Random(seed))
    total = len(batches) * _WANTED
    now = 0.0
    running: list[Item] = []
    seconds: list[float] = []
    in_time = late = 0
    pending = list(batches)
    while pending:
        open_batches = [b for b in pending if b.submitted_at <= now]
        running = [item for item in running if item.batch in open_batches]
        slots = slots_at(now)
        for item in running[slots:]:
            item.is_running = False
        running = running[:slots]
        waiting = [
            item
            for batch in open_batches
            for items in batch.unfinished().values()
            for item in items
            if not item.is_running
        ]
        key = POLICIES[policy](open_batches, now, float(slots))
        for item in sorted(waiting, key=key)[: slots - len(running)]:
            item.is_running = True
            running.append(item)
        now += TICK_SECONDS
        for item in running:
            item.generated += 1
            if item.generated >= item.events:
                item.is_running = False
        running = [item for item in running if item.is_running]
        for batch in open_batches:
            unfinished = batch.unfinished()
            for group in {item.group for item in batch.items}:
                if group not in unfinished:
                    batch.complete_at.setdefault(group, now)
            age = now - batch.submitted_at
            if len(batch.complete_at) >= _WANTED or age > GIVE_UP_SECONDS:
                due_at = batch.submitted_at + DUE_SECONDS
                ends = sorted(batch.complete_at.values())[:_WANTED]
                in_time += sum(end <= due_at for end in ends)
                late += sum(end > due_at for end in ends)
                seconds.append(age)
                pending.remove(batch)
    return {
        "in time": in_time,
        "late": late,
        "failed": total - in_time - late,
        "step s": sum(seconds) / len(seconds),
    }


def compare(load: str, seeds: int = 8) -> dict[str, dict[str, float]]:
    """Return the mean measures of each order on one load."""
    results: dict[str, dict[str, float]] = {}
    for policy in POLICIES:
        runs = [simulate(load, policy, seed) for seed in range(seeds)]
        results[policy] = {
            name: sum(run[name] for run in runs) / seeds for name in runs[0]
        }
    return results


def main() -> None:
    """Print a table of all loads and orders."""
    for load in LOADS:
        for policy, measures in compare(load).items():
            figures = "  ".join(
                f"{name} {value:5.1f}" for name, value in measures.items()
            )
            print(f"{load:24}{policy:32}{figures}")


if __name__ == "__main__":
    main()
