"""Divide the engines of a fleet into shards, one for each model.

All engines hold all models, but each weight load pauses an engine and empties
its cache. The work of a model that is trained is therefore restricted to its
shard, and only the engines of the shard load each of its versions.
"""

from collections import abc
import hashlib


def shard_engines(
    model: str, models: abc.Collection[str], engine_ids: abc.Iterable[str]
) -> frozenset[str]:
    """Return the engines of a model's shard.

    Every engine belongs to exactly one shard, and the sizes of the shards
    differ by at most one. Adding or removing an engine moves few others.
    """
    sorted_models = sorted(models)
    ring = sorted(engine_ids, key=_position)
    index = sorted_models.index(model)
    first = len(ring) * index // len(sorted_models)
    last = len(ring) * (index + 1) // len(sorted_models)
    if first == last:
        # With fewer engines than models, some models share an engine.
        return (
            frozenset(ring[first % len(ring) :][:1]) if ring else frozenset()
        )
    return frozenset(ring[first:last])


def _position(engine_id: str) -> bytes:
    return hashlib.blake2b(engine_id.encode(), digest_size=8).digest()
