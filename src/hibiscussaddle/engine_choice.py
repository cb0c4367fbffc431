"""Choose the engine of a sample."""

from collections import abc
import random

from hibiscussaddle import endpoints


def choose(
    candidates: abc.Sequence[endpoints.Endpoint],
    running: abc.Mapping[str, int],
    rng: random.Random,
) -> endpoints.Endpoint | None:
    """Return the less loaded of two random candidates with a free slot."""
    free = [ep for ep in candidates if running.get(ep.id, 0) < ep.slots]
    if not free:
        return None
    pair = rng.sample(free, min(2, len(free)))
    return min(pair, key=lambda ep: running.get(ep.id, 0) / ep.slots)
