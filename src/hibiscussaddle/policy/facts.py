"""Replicated table of facts in which the newest version of a key wins."""

from collections import abc
import enum
import hashlib
import typing
import zlib

import msgspec

BUCKET_COUNT: typing.Final = 64


class Scope(enum.Enum):
    """Enumerate how far facts are replicated."""

    GLOBAL = "global"
    ZONE = "zone"


_ZONE_KINDS: typing.Final = frozenset(
    {"load", "demand", "endpoint", "engine", "confirmed"}
)
# Published every second: they are sent with heartbeats, and digests exclude
# them, since tables would never agree on them.
PERIODIC_KINDS: typing.Final = frozenset({"load", "demand", "zone_load"})
# Sent with heartbeats; facts of other kinds are pushed as soon as they change.
_UNPUSHED_KINDS: typing.Final = PERIODIC_KINDS | {"endpoint"}

Key: typing.TypeAlias = tuple[str, str]
Digest: typing.TypeAlias = tuple[int, ...]


# A named tuple and not a data class, so that it is encoded as an array. A load
# fact takes 55 bytes as an array and 90 as a map with field names.
class Fact(typing.NamedTuple):
    """Hold one value of one key, as stated by its origin."""

    kind: str
    key: str
    version: int
    # Id of the instance that created the fact; breaks ties of versions.
    origin: str
    value: typing.Any
    # Orders facts of one version, such as the marks of one incarnation.
    rank: int = 0

    @property
    def id(self) -> Key:
        """Return the kind and key, which identify what the fact is about."""
        return (self.kind, self.key)

    @property
    def scope(self) -> Scope:
        """Return how far the fact is replicated."""
        return Scope.ZONE if self.kind in _ZONE_KINDS else Scope.GLOBAL

    @property
    def is_periodic(self) -> bool:
        """Return whether the origin publishes the fact again every second."""
        return self.kind in PERIODIC_KINDS

    @property
    def is_pushed(self) -> bool:
        """Return whether the fact is pushed and not sent with heartbeats."""
        return self.kind not in _UNPUSHED_KINDS

    @property
    def order(self) -> tuple[int, int, str]:
        """Return the sort key among facts about the same key."""
        return (self.version, self.rank, self.origin)


def _bucket(key: Key) -> int:
    return zlib.crc32(f"{key[0]}/{key[1]}".encode()) % BUCKET_COUNT


def _checksum(fact: Fact) -> int:
    # The value is left out, since the order identifies it.
    order = f"{fact.version}/{fact.rank}/{fact.origin}"
    text = f"{fact.kind}/{fact.key}/{order}"
    # Not CRC-32: it is linear, so the same change of two facts in one bucket
    # cancelled out, and members that had missed both were never repaired.
    return _hash(text)


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def encoded_size(fact: Fact) -> int:
    """Return the size of a fact on the wire, in bytes."""
    return len(msgspec.msgpack.encode(fact))


def leading_facts(
    facts: abc.Iterable[Fact], max_bytes: int
) -> tuple[Fact, ...]:
    """Return the leading facts that fit in max_bytes, at least the first."""
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
        """Start without facts."""
        self._facts: dict[Key, Fact] = {}
        self._buckets: dict[Scope, list[set[Key]]] = {
            scope: [set() for _ in range(BUCKET_COUNT)] for scope in Scope
        }
        self._digests: dict[Scope, list[int]] = {
            scope: [0] * BUCKET_COUNT for scope in Scope
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
        """Store the fact if it is newer; return whether it was."""
        current = self._facts.get(fact.id)
        if current is not None and current.order >= fact.order:
            return False
        self.drop(fact.kind, fact.key)
        self._facts[fact.id] = fact
        self._toggle(fact)
        return True

    def drop(self, kind: str, key: str) -> None:
        """Remove the fact about a key, if there is one."""
        fact = self._facts.pop((kind, key), None)
        if fact is not None:
            self._toggle(fact)

    def _toggle(self, fact: Fact) -> None:
        """Add the fact to its bucket or remove it; XOR does either."""
        if fact.is_periodic:
            return
        bucket = _bucket(fact.id)
        self._buckets[fact.scope][bucket] ^= {fact.id}
        self._digests[fact.scope][bucket] ^= _checksum(fact)

    def summary(self, scope: Scope) -> int:
        """Return one checksum of the whole digest."""
        return _hash(repr(self._digests[scope]))

    def digest(self, scope: Scope) -> Digest:
        """Return one checksum for each bucket.

        Tables with the same non-periodic facts have the same digest.
        """
        return tuple(self._digests[scope])

    def differing_buckets(
        self, scope: Scope, digest: Digest
    ) -> tuple[int, ...]:
        """Return the buckets that differ from a peer's digest."""
        own = self._digests[scope]
        return tuple(
            number
            for number, theirs in enumerate(digest[:BUCKET_COUNT])
            if own[number] != theirs
        )

    def facts_in_buckets(
        self, scope: Scope, numbers: abc.Iterable[int]
    ) -> abc.Iterator[Fact]:
        """Yield the facts in the buckets of these numbers."""
        for number in numbers:
            if not 0 <= number < BUCKET_COUNT:
                continue
            for key in sorted(self._buckets[scope][number]):
                yield self._facts[key]


# Number of times that each instance sends a periodic fact that it holds. With
# two messages each second (a heartbeat and a response), 4 are enough to reach
# all instances of a zone of 45.
SENDS_PER_FACT: typing.Final = 4


class SpreadQueue:
    """Hold periodic facts, each to be sent a limited number of times.

    Their versions are wall-clock milliseconds, so that facts of different
    origins can be compared by age.
    """

    def __init__(self, sends: int = SENDS_PER_FACT) -> None:
        """Send each fact the given number of times."""
        self._sends_per_fact = sends
        self._pending: dict[Key, tuple[int, Fact]] = {}

    def __len__(self) -> int:
        """Return the number of facts still to be sent."""
        return len(self._pending)

    def add(self, fact: Fact) -> None:
        """Add a fact; it replaces an older one about its key."""
        self._pending[fact.id] = (self._sends_per_fact, fact)

    def take(
        self, scopes: abc.Container[Scope], max_bytes: int
    ) -> tuple[Fact, ...]:
        """Return the newest facts that fit in max_bytes.

        Each returned fact counts as sent once more.
        """
        found: list[Fact] = []
        bytes_left = max_bytes
        # Newest first: with 44 instances that publish every second the mean
        # age of a fact was 2.3 s, and 3.1 s with the least sent facts first.
        waiting = sorted(
            self._pending.values(),
            key=lambda item: (item[1].version, item[0]),
            reverse=True,
        )
        for sends_left, fact in waiting:
            if fact.scope not in scopes:
                continue
            bytes_left -= encoded_size(fact)
            if bytes_left < 0:
                break
            found.append(fact)
            if sends_left > 1:
                self._pending[fact.id] = (sends_left - 1, fact)
            else:
                del self._pending[fact.id]
        return tuple(found)


class ByteBudget:
    """Limit the bytes of repairs that an instance sends (token bucket)."""

    def __init__(self, bytes_per_second: float, burst_bytes: float) -> None:
        """Start with a full bucket of burst_bytes."""
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._available_bytes = burst_bytes
        self._refilled_at = 0.0

    def available_bytes(self, now: float) -> int:
        """Return the number of bytes that may be sent now."""
        refill = max(0.0, now - self._refilled_at) * self._bytes_per_second
        self._available_bytes = min(
            self._burst_bytes, self._available_bytes + refill
        )
        self._refilled_at = now
        return max(0, int(self._available_bytes))

    def spend(self, size: int) -> None:
        """Withdraw bytes that are sent; the budget may become negative."""
        self._available_bytes -= size
