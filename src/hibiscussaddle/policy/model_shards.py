"""Divide the engines of a fleet into shards, one for each model.

All engines hold all models, but each weight load pauses an engine and empties
its cache. The work of a model that is trained is therefore restricted to its
shard, and only the engines of the shard load each of its versions.
"""

from collections import abc
import hashlib


def shard_engines(
    model: str,
    weights: abc.Mapping[str, int],
    engine_ids: abc.Iterable[str],
) -> frozenset[str]:
    """Return the engines of a model's shard.

    Every engine belongs to exactly one shard, and each shard has at least one
    engine and as many as its weight demands. Adding or removing an engine
    moves few others.
    """
    sorted_models = sorted(weights)
    ring = sorted(engine_ids, key=_position)
    index = sorted_models.index(model)
    if len(ring) < len(sorted_models):
        # With fewer engines than models, some models share an engine.
        first = len(ring) * index // len(sorted_models)
        return (
            frozenset(ring[first % len(ring) :][:1]) if ring else frozenset()
        )
    sizes = _shard_sizes([weights[name] for name in sorted_models], len(ring))
    first = sum(sizes[:index])
    return frozenset(ring[first : first + sizes[index]])


def _shard_sizes(weights: abc.Sequence[int], count: int) -> list[int]:
    """Divide engines by weight, with at least one for each."""
    # Shards whose weight is worth less than an engine get one all the same.
    smallest: set[int] = set()
    while True:
        rest = [w for i, w in enumerate(weights) if i not in smallest]
        rest_count = count - len(smallest)
        below = {
            index
            for index, weight in enumerate(weights)
            if index not in smallest and weight * rest_count < sum(rest)
        }
        if not below:
            break
        smallest |= below
    sizes: list[int] = []
    before = 0
    for index, weight in enumerate(weights):
        if index in smallest:
            sizes.append(1)
            continue
        # Bounds instead of rounded sizes, so that the sizes add up.
        end = before + weight
        sizes.append(
            rest_count * end // sum(rest) - rest_count * before // sum(rest)
        )
        before = end
    return sizes


def _position(engine_id: str) -> bytes:
    return hashlib.blake2b(engine_id.encode(), digest_size=8).digest()
