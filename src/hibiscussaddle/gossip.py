"""The gossip messages by which two instances reconcile their facts."""

from collections import abc
import dataclasses
import random
import typing

from hibiscussaddle.adapters import peers
from hibiscussaddle.policy import facts as facts_policy
from hibiscussaddle.policy import membership
from hibiscussaddle import shared_facts

# Maximum size of the periodic facts in one heartbeat or its acknowledgment,
# within a zone and between zones. A node sends two of each per second, and
# the limit for all control traffic is 4 KB/s.
MAX_ZONE_HEARTBEAT_BYTES: typing.Final = 800
MAX_HEARTBEAT_BYTES: typing.Final = 300
# Per direction; one repair takes at most 32 KiB in both directions together.
MAX_REPAIR_BYTES: typing.Final = 15 * 1024

Scopes: typing.TypeAlias = tuple[facts_policy.Scope, ...]
Buckets: typing.TypeAlias = dict[facts_policy.Scope, tuple[int, ...]]


@peers.message("ping")
@dataclasses.dataclass(frozen=True)
class Ping:
    """Probe a member; the summaries show whether the facts agree."""

    zone: str
    facts: tuple[facts_policy.Fact, ...]
    summaries: dict[facts_policy.Scope, int]


@peers.message("ping_ack")
@dataclasses.dataclass(frozen=True)
class Ack:
    """Acknowledge a probe with the digests of scopes that differ."""

    facts: tuple[facts_policy.Fact, ...]
    digests: dict[facts_policy.Scope, facts_policy.Digest]


@peers.message("sync")
@dataclasses.dataclass(frozen=True)
class Sync:
    """Send the facts of differing buckets and request those of the peer."""

    facts: tuple[facts_policy.Fact, ...]
    buckets: dict[facts_policy.Scope, tuple[int, ...]]


@peers.message("news")
@dataclasses.dataclass(frozen=True)
class News:
    """Push new facts, or respond to a Sync."""

    facts: tuple[facts_policy.Fact, ...]


def shared_scopes(zone: str, other: str) -> Scopes:
    """Return the scopes that instances of two zones share."""
    if zone == other:
        return (facts_policy.Scope.GLOBAL, facts_policy.Scope.ZONE)
    return (facts_policy.Scope.GLOBAL,)


class Gossip:
    """Create and apply the heartbeats and repairs of one instance."""

    def __init__(
        self,
        name: str,
        zone: str,
        shared: shared_facts.SharedFacts,
        rng: random.Random,
    ) -> None:
        """Initialize for the facts of an instance in a zone."""
        self._own_id = (membership.FACT_KIND, name)
        self._zone = zone
        self._shared = shared
        self._rng = rng

    def ping(
        self, zone: str, extra: abc.Iterable[facts_policy.Fact] = ()
    ) -> Ping:
        """Return a heartbeat for an instance of a zone ("" if unknown)."""
        scopes = shared_scopes(self._zone, zone)
        batch = self._periodic_facts(scopes)
        summaries = {s: self._shared.table.summary(s) for s in scopes}
        return Ping(self._zone, (*extra, *batch), summaries)

    def apply_ping(self, msg: Ping) -> Ack:
        """Apply a heartbeat and return its acknowledgment.

        The acknowledgment of a heartbeat that suspects this instance
        contains its newest member fact, so that the refutation needs no
        second exchange.
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
        batch = self._periodic_facts(scopes)
        is_suspected = any(fact.id == self._own_id for fact in msg.facts)
        own = self._shared.get(*self._own_id) if is_suspected else None
        extra = () if own is None else (own,)
        return Ack((*extra, *batch), digests)

    def apply_ack(self, ack: Ack, now: float) -> Sync | None:
        """Apply an acknowledgment; return a Sync if the facts differ."""
        self._shared.receive(ack.facts)
        table = self._shared.table
        buckets_by_scope: Buckets = {
            scope: table.differing_buckets(scope, digest)
            for scope, digest in ack.digests.items()
        }
        buckets_by_scope = {
            scope: self._rotate_randomly(numbers)
            for scope, numbers in buckets_by_scope.items()
            if numbers
        }
        if (
            not buckets_by_scope
            or self._shared.repair_budget.available_bytes(now)
            < MAX_REPAIR_BYTES
        ):
            return None
        return Sync(self._repair_batch(buckets_by_scope), buckets_by_scope)

    def apply_sync(self, msg: Sync, now: float) -> News:
        """Return the own facts of the buckets and apply the received ones."""
        has_budget = (
            self._shared.repair_budget.available_bytes(now) >= MAX_REPAIR_BYTES
        )
        batch = self._repair_batch(msg.buckets) if has_budget else ()
        self._shared.receive(msg.facts)
        return News(batch)

    def _periodic_facts(self, scopes: Scopes) -> tuple[facts_policy.Fact, ...]:
        is_same_zone = facts_policy.Scope.ZONE in scopes
        max_bytes = (
            MAX_ZONE_HEARTBEAT_BYTES if is_same_zone else MAX_HEARTBEAT_BYTES
        )
        return self._shared.queue.take(scopes, max_bytes)

    def _rotate_randomly(self, buckets: tuple[int, ...]) -> tuple[int, ...]:
        # A random start, so that full batches do not always contain the same
        # buckets.
        start = self._rng.randrange(len(buckets))
        return buckets[start:] + buckets[:start]

    def _repair_batch(self, buckets: Buckets) -> tuple[facts_policy.Fact, ...]:
        table = self._shared.table
        batch = facts_policy.leading_facts(
            (
                fact
                for scope, numbers in buckets.items()
                for fact in table.facts_in_buckets(scope, numbers)
            ),
            MAX_REPAIR_BYTES,
        )
        size = sum(facts_policy.encoded_size(fact) for fact in batch)
        self._shared.repair_budget.spend(size)
        return batch
