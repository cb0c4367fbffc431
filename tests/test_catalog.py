"""Guard the sampled choice among many endpoints."""

import random

import builders
from hibiscussaddle import contract_cache
from hibiscussaddle import contracts
from hibiscussaddle import dispatcher
from hibiscussaddle import endpoints
from hibiscussaddle import placement
from hibiscussaddle.policy import marks

ENGINES = 200


class Clock:
    """Tell the time that the test sets."""

    now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def _create(clock: Clock) -> tuple[endpoints.Directory, dispatcher.Dispatcher]:
    cache = contract_cache.ContractCache()
    contract = builders.contract(share=1.0)
    cache.apply(contracts.ContractRecord(contract, 1))
    directory = endpoints.Directory()
    directory.update(
        endpoints.Endpoint(
            f"engine-{n}",
            endpoints.EndpointKind.ENGINE,
            f"zone-{'abcd'[n % 4]}",
            f"http://127.0.0.1:{n + 1}",
            models=("base",),
        )
        for n in range(ENGINES)
    )
    owner = dispatcher.Dispatcher(
        "entry-1", "zone-a", directory, cache, clock, random.Random(7)
    )
    return directory, owner


def _work(clock: Clock) -> placement.Work:
    return placement.Work(
        placement.WorkKind.CHAT,
        builders.contract(share=1.0),
        "base",
        clock() + 60.0,
        max_tokens=16.0,
    )


def _leave(directory: endpoints.Directory, endpoint_id: str) -> None:
    mark = marks.Mark(endpoint_id, 0, 1, True)
    assert directory.put_mark(mark)


def test_only_free_endpoint_is_found_although_samples_miss_it() -> None:
    """Fails when work waits for ever beside an endpoint with room."""
    clock = Clock()
    directory, owner = _create(clock)
    owner.is_marked = lambda ep: ep.id != "engine-3"
    placed = owner.try_place(_work(clock))
    assert placed is not None
    assert placed.endpoint.id == "engine-3"


def test_leave_mark_counts_in_the_very_next_choice() -> None:
    """Fails when a cached list still holds a marked endpoint."""
    clock = Clock()
    directory, owner = _create(clock)
    assert owner.try_place(_work(clock)) is not None
    for number in range(ENGINES - 1):
        _leave(directory, f"engine-{number}")
    placed = owner.try_place(_work(clock))
    assert placed is not None
    assert placed.endpoint.id == f"engine-{ENGINES - 1}"


def test_own_zone_is_preferred_in_samples() -> None:
    """Fails when sampling loses the nearness of the own zone."""
    clock = Clock()
    _, owner = _create(clock)
    chosen = [owner.try_place(_work(clock)) for _ in range(40)]
    near = sum(p is not None and p.endpoint.zone == "zone-a" for p in chosen)
    # A choice among all zones alike gives 10 of 40.
    assert near > 20
