"""What two instances tell each other about the facts they hold."""

from collections import abc
import dataclasses
import random
import typing

from hibiscussaddle.adapters import peers
from hibiscussaddle.policy import facts as facts_policy
from hibiscussaddle.policy import membership
from hibiscussaddle import shared_facts

# Periodic facts in one heartbeat or its answer, within a zone and beyond it.
# A node sends two of each a second, and all control traffic has 4 KB/s.
ZONE_HEARTBEAT_BYTES: typing.Final = 800
HEARTBEAT_BYTES: typing.Final = 300
# Half of the 32 KiB that one repair may take, for each direction.
REPAIR_BYTES: typing.Final = 15 * 1024

Scopes: typing.TypeAlias = tuple[facts_policy.Scope, ...]
Buckets: typing.TypeAlias = dict[facts_policy.Scope, tuple[int, ...]]


@peers.message("ping")
@dataclasses.dataclass(frozen=True)
class Ping:
    """Probe a member; the summaries tell whether the facts agree."""

    zone: str
    facts: tuple[facts_policy.Fact, ...]
    summaries: dict[facts_policy.Scope, int]


@peers.message("ping_ack")
@dataclasses.dataclass(frozen=True)
class Ack:
    """Answer a probe, with the digests of scopes that differ."""

    facts: tuple[facts_policy.Fact, ...]
    digests: dict[facts_policy.Scope, facts_policy.Digest]


@peers.message("sync")
@dataclasses.dataclass(frozen=True)
class Sync:
    """Send the facts of differing buckets and ask for the peer's."""

    facts: tuple[facts_policy.Fact, ...]
    buckets: dict[facts_policy.Scope, tuple[int, ...]]


@peers.message("news")
@dataclasses.dataclass(frozen=True)
class News:
    """Push fresh facts, or answer a Sync."""

    facts: tuple[facts_policy.Fact, ...]


def shared_scopes(zone: str, other: str) -> Scopes:
    """Return the scopes that instances of two zones share."""
    if zone == other:
        return (facts_policy.Scope.GLOBAL, facts_policy.Scope.ZONE)
    return (facts_policy.Scope.GLOBAL,)


class Gossip:
    """Make and read heartbeats and repairs of one instance."""

    def __init__(
        self,
        name: str,
        zone: str,
        shared: shared_facts.SharedFacts,
        rng: random.Random,
    ) -> None:
        """Speak for the facts of an instance in a zone."""
        self._own_id = (membership.FACT_KIND, name)
        self._zone = zone
        self._shared = shared
        self._rng = rng

    def ping(
        self, zone: str, extra: abc.Iterable[facts_policy.Fact] = ()
    ) -> Ping:
        """Return a heartbeat to an instance of a zone ("" if unknown)."""
        scopes = shared_scopes(self._zone, zone)
        batch = self._take(scopes)
        summaries = {s: self._shared.table.summary(s) for s in scopes}
        return Ping(self._zone, (*extra, *batch), summaries)

    def answer(self, msg: Ping) -> Ack:
        """Return the answer to a heartbeat.

        A heartbeat that doubts this instance is answered with its newest
        own fact: the refutation takes no second exchange.
        """
        table = self._shared.table
        scopes = shared_scopes(self._zone, msg.zone)
        before = {s: table.summary(s) for s in scopes}
        self._shared.receive(msg.facts)
        digests = {
            s: table.digest(s)
            for s in scopes
            if s in msg.summaries and msg.summaries[s] != before[s]
        }
        batch = self._take(scopes)
        doubted = any(fact.id == self._own_id for fact in msg.facts)
        own = self._shared.get(*self._own_id) if doubted else None
        extra = () if own is None else (own,)
        return Ack((*extra, *batch), digests)

    def repair(self, ack: Ack, now: float) -> Sync | None:
        """Take in an answer; return what repairs the difference."""
        self._shared.receive(ack.facts)
        table = self._shared.table
        found: Buckets = {
            scope: table.differing_buckets(scope, digest)
            for scope, digest in ack.digests.items()
        }
        found = {scope: self._turn(b) for scope, b in found.items() if b}
        if (
            not found
            or self._shared.repairs.available_bytes(now) < REPAIR_BYTES
        ):
            return None
        return Sync(self._batch(found), found)

    def answer_sync(self, msg: Sync, now: float) -> News:
        """Return our facts of the buckets, and take in the sender's."""
        has_room = self._shared.repairs.available_bytes(now) >= REPAIR_BYTES
        batch = self._batch(msg.buckets) if has_room else ()
        self._shared.receive(msg.facts)
        return News(batch)

    def _take(self, scopes: Scopes) -> tuple[facts_policy.Fact, ...]:
        is_near = facts_policy.Scope.ZONE in scopes
        room = ZONE_HEARTBEAT_BYTES if is_near else HEARTBEAT_BYTES
        return self._shared.queue.take(scopes, room)

    def _turn(self, buckets: tuple[int, ...]) -> tuple[int, ...]:
        # A random start: full batches must not always hold the same ones.
        start = self._rng.randrange(len(buckets))
        return buckets[start:] + buckets[:start]

    def _batch(self, buckets: Buckets) -> tuple[facts_policy.Fact, ...]:
        table = self._shared.table
        batch = facts_policy.leading_facts(
            (
                fact
                for scope, numbers in buckets.items()
                for fact in table.facts_in_buckets(scope, numbers)
            ),
            REPAIR_BYTES,
        )
        size = sum(facts_policy.encoded_size(fact) for fact in batch)
        self._shared.repairs.spend(size)
        return batch
