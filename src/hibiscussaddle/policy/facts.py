"""Replicated table of facts in which the newest version of a key wins."""

from collections import abc
import dataclasses
import enum
import typing
import zlib

import msgspec

BUCKETS: typing.Final = 64


class Scope(enum.Enum):
    """Tell how far facts of a kind spread."""

    GLOBAL = "global"
    ZONE = "zone"


_ZONE_KINDS: typing.Final = frozenset({"load", "demand", "engine"})
# Facts published every second travel with heartbeats only.
UNHURRIED_KINDS: typing.Final = frozenset({"load", "demand", "zone_load"})

Key: typing.TypeAlias = tuple[str, str]
Digest: typing.TypeAlias = tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Fact:
    """State one thing about one key, as known to its origin."""

    kind: str
    key: str
    version: int
    # Id of the instance that made the fact; breaks ties of versions.
    origin: str
    value: typing.Any

    @property
    def id(self) -> Key:
        """Return what the fact is about."""
        return (self.kind, self.key)

    @property
    def scope(self) -> Scope:
        """Return how far the fact spreads."""
        return Scope.ZONE if self.kind in _ZONE_KINDS else Scope.GLOBAL

    @property
    def order(self) -> tuple[int, str]:
        """Return the rank among facts about the same key."""
        return (self.version, self.origin)


def _bucket(key: Key) -> int:
    return zlib.crc32(f"{key[0]}/{key[1]}".encode()) % BUCKETS


def _checksum(fact: Fact) -> int:
    text = f"{fact.kind}/{fact.key}/{fact.version}/{fact.origin}"
    return zlib.crc32(text.encode())


def encoded_size(fact: Fact) -> int:
    """Return the size of a fact on the wire, in bytes."""
    return len(msgspec.msgpack.encode(fact))


def take_batch(facts: abc.Iterable[Fact], max_bytes: int) -> tuple[Fact, ...]:
    """Return the leading facts that fit, and at least the first."""
    batch: list[Fact] = []
    size = 0
    for fact in facts:
        size += encoded_size(fact)
        if batch and size > max_bytes:
            break
        batch.append(fact)
    return tuple(batch)


class FactTable:
    """Hold the newest known fact about each key."""

    def __init__(self) -> None:
        """Start empty."""
        self._facts: dict[Key, Fact] = {}
        self._buckets: dict[Scope, list[set[Key]]] = {
            scope: [set() for _ in range(BUCKETS)] for scope in Scope
        }
        self._digests: dict[Scope, list[int]] = {
            scope: [0] * BUCKETS for scope in Scope
        }

    def __len__(self) -> int:
        """Return the number of facts."""
        return len(self._facts)

    def get(self, kind: str, key: str) -> Fact | None:
        """Return the fact about a key."""
        return self._facts.get((kind, key))

    def of_kind(self, kind: str) -> tuple[Fact, ...]:
        """Return the facts of a kind, ordered by key."""
        found = [f for f in self._facts.values() if f.kind == kind]
        return tuple(sorted(found, key=lambda fact: fact.key))

    def put(self, fact: Fact) -> bool:
        """Keep the fact if it is newer; tell whether it was."""
        current = self._facts.get(fact.id)
        if current is not None and current.order >= fact.order:
            return False
        self.drop(fact.kind, fact.key)
        self._facts[fact.id] = fact
        bucket = _bucket(fact.id)
        self._buckets[fact.scope][bucket].add(fact.id)
        self._digests[fact.scope][bucket] ^= _checksum(fact)
        return True

    def drop(self, kind: str, key: str) -> None:
        """Forget the fact about a key."""
        fact = self._facts.pop((kind, key), None)
        if fact is None:
            return
        bucket = _bucket(fact.id)
        self._buckets[fact.scope][bucket].discard(fact.id)
        self._digests[fact.scope][bucket] ^= _checksum(fact)

    def digest(self, scope: Scope) -> Digest:
        """Return one checksum for each bucket; equal tables agree."""
        return tuple(self._digests[scope])

    def differing(self, scope: Scope, digest: Digest) -> tuple[int, ...]:
        """Return the buckets that differ from a peer's digest."""
        own = self._digests[scope]
        return tuple(
            number
            for number, theirs in enumerate(digest[:BUCKETS])
            if own[number] != theirs
        )

    def in_buckets(
        self, scope: Scope, numbers: abc.Iterable[int]
    ) -> abc.Iterator[Fact]:
        """Yield the facts of some buckets."""
        for number in numbers:
            for key in sorted(self._buckets[scope][number]):
                yield self._facts[key]
