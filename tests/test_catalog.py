"""Test the choice from a sample of many endpoints."""

import random

import builders
from hibiscussaddle import contract_cache
from hibiscussaddle import contracts
from hibiscussaddle import dispatcher
from hibiscussaddle import endpoints
from hibiscussaddle import placement
from hibiscussaddle.policy import marks

ENGINES = 200


class FakeClock:
    """Return the time that the test sets."""

    now = 100.0

    def __call__(self) -> float:
        """Return the current time."""
        return self.now


def _create_dispatcher(
    clock: FakeClock,
) -> tuple[endpoints.Directory, dispatcher.Dispatcher]:
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
    placer = dispatcher.Dispatcher(
        "entry-1", "zone-a", directory, cache, clock, random.Random(7)
    )
    return directory, placer


def _work(clock: FakeClock) -> placement.Work:
    return placement.Work(
        placement.WorkKind.CHAT,
        builders.contract(share=1.0),
        "base",
        clock() + 60.0,
        max_tokens=16.0,
    )


def _set_leave_mark(directory: endpoints.Directory, endpoint_id: str) -> None:
    mark = marks.Mark(endpoint_id, 0, 1, True)
    assert directory.put_mark(mark)


def test_free_endpoint_is_found_when_samples_miss_it() -> None:
    """Fails when work waits although an unsampled endpoint has capacity."""
    clock = FakeClock()
    directory, placer = _create_dispatcher(clock)
    placer.is_marked = lambda ep: ep.id != "engine-3"
    placed = placer.try_place(_work(clock))
    assert placed is not None
    assert placed.endpoint.id == "engine-3"


def test_leave_mark_applies_to_the_next_choice() -> None:
    """Fails when a cached catalog still offers a marked endpoint."""
    clock = FakeClock()
    directory, placer = _create_dispatcher(clock)
    assert placer.try_place(_work(clock)) is not None
    for number in range(ENGINES - 1):
        _set_leave_mark(directory, f"engine-{number}")
    placed = placer.try_place(_work(clock))
    assert placed is not None
    assert placed.endpoint.id == f"engine-{ENGINES - 1}"


def test_sampling_prefers_the_own_zone() -> None:
    """Fails when sampling loses the preference for the own zone."""
    clock = FakeClock()
    _, placer = _create_dispatcher(clock)
    chosen = [placer.try_place(_work(clock)) for _ in range(40)]
    near = sum(p is not None and p.endpoint.zone == "zone-a" for p in chosen)
    # Without a preference, about 10 of 40 would be in the own zone.
    assert near > 20
