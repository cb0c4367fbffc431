"""Divide the engines of a fleet among the models that they all hold.

Each load pauses an engine and empties its cache, so the work of a model that
is trained stays on a part of the engines, and only those load its versions.
"""

from collections import abc
import hashlib


def shard_engines(
    model: str, models: abc.Collection[str], engine_ids: abc.Iterable[str]
) -> frozenset[str]:
    """Return the engines of a model.

    Every engine belongs to exactly one of the models, whose shares differ
    by one engine at most. An engine that comes or goes moves few others.
    """
    order = sorted(models)
    ring = sorted(engine_ids, key=_position)
    number = order.index(model)
    first = len(ring) * number // len(order)
    last = len(ring) * (number + 1) // len(order)
    if first == last:
        # With fewer engines than models some models share an engine.
        return (
            frozenset(ring[first % len(ring) :][:1]) if ring else frozenset()
        )
    return frozenset(ring[first:last])


def _position(engine_id: str) -> bytes:
    return hashlib.blake2b(engine_id.encode(), digest_size=8).digest()
