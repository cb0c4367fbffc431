"""Simulations of gossip: periodic facts and repair of differing tables."""

import random
import statistics

import hypothesis
from hypothesis import strategies as st
import msgspec

from hibiscussaddle import gossip
from hibiscussaddle.policy import facts
from hibiscussaddle import shared_facts

# A zone at target size: 350 instances in 8 zones.
ZONE_SIZE = 44
# The limit of control traffic per node in the design.
MAX_BYTES_PER_SECOND = 4000
# Signature and envelope of a frame.
FRAME_OVERHEAD_BYTES = 150


# The rate limit of repairs per node.
REPAIR_BYTES_PER_SECOND = 16 * 1024


class Node:
    """Simulate one instance with its facts."""

    def __init__(self, name: str, zone: str, rng: random.Random) -> None:
        """Initialize without facts."""
        self.name = name
        self.zone = zone
        self.shared = shared_facts.SharedFacts()
        self.gossip = gossip.Gossip(name, zone, self.shared, rng)
        self.sent_bytes = 0
        self.largest_repair_bytes = 0
        self.repair_backlog_bytes = 0


def message_size(msg: object) -> int:
    """Return the size of a message on the wire in bytes."""
    return len(msgspec.msgpack.encode(msg)) + FRAME_OVERHEAD_BYTES


def exchange(one: Node, two: Node, now: float) -> None:
    """Send a ping from one to two and repair differing facts."""
    ping = one.gossip.ping(two.zone)
    one.sent_bytes += message_size(ping)
    ack = two.gossip.apply_ping(ping)
    two.sent_bytes += message_size(ack)
    sync = one.gossip.apply_ack(ack, now)
    if sync is None:
        return
    news = two.gossip.apply_sync(sync, now)
    one.shared.receive(news.facts)
    one.sent_bytes += message_size(sync)
    two.sent_bytes += message_size(news)
    one.largest_repair_bytes = max(
        one.largest_repair_bytes, message_size(sync) + message_size(news)
    )


def periodic_fact(kind: str, name: str, now: int) -> facts.Fact:
    """Return a fact of about the size of a load fact."""
    return facts.Fact(kind, name, now, name, {"running": 12, "waiting": 3})


@hypothesis.given(seed=st.integers(0, 2**32))
# One instance learns of another one in the 22nd second.
@hypothesis.example(seed=52)
@hypothesis.settings(max_examples=2, deadline=None)
def test_zone_facts_stay_fresh_within_the_limit(seed: int) -> None:
    """Guards against traffic or fact age that grows with the zone size."""
    rng = random.Random(seed)
    nodes = [
        Node(f"entry-{n}", "zone-a", random.Random(n))
        for n in range(ZONE_SIZE)
    ]
    ages: list[int] = []
    for now in range(1, 41):
        before = [node.sent_bytes for node in nodes]
        for node in nodes:
            node.shared.publish(periodic_fact("load", node.name, now))
        for node in rng.sample(nodes, len(nodes)):
            other = rng.choice([n for n in nodes if n is not node])
            exchange(node, other, now)
        if now < 20:
            continue
        sent = [
            node.sent_bytes - b for node, b in zip(nodes, before, strict=True)
        ]
        assert statistics.mean(sent) < MAX_BYTES_PER_SECOND
        for node in nodes:
            known = node.shared.of_kind("load")
            ages += [now - fact.version for fact in known]
            # A fact that never arrived is as old as the simulation.
            ages += [now] * (ZONE_SIZE - len(known))
    assert statistics.mean(ages) < 3.5
    assert sorted(ages)[len(ages) * 99 // 100] <= 12


def test_digest_detects_equal_changes_of_two_facts() -> None:
    """Guards against changes that cancel out in a digest.

    With a linear checksum, two members of one bucket that died together
    left the checksum unchanged.
    """
    scope = facts.Scope.GLOBAL
    for first in range(100):
        for second in range(first):
            tables = facts.FactTable(), facts.FactTable()
            for number in (first, second):
                key = f"entry-{number:03}"
                for table, version in zip(tables, (4000, 4002), strict=True):
                    table.put(facts.Fact("member", key, version, key, None))
            one, two = (table.digest(scope) for table in tables)
            assert tables[0].differing_buckets(scope, two), (first, second)
            assert tables[0].summary(scope) != tables[1].summary(scope)


@hypothesis.given(
    held=st.lists(
        st.tuples(
            st.sampled_from(["mark", "member", "endpoint", "load"]),
            st.integers(0, 400),
            st.integers(1, 3),
            st.booleans(),
        ),
        max_size=300,
    ),
    same_zone=st.booleans(),
    padding=st.sampled_from([0, 2000]),
    seed=st.integers(0, 2**32),
)
@hypothesis.settings(max_examples=60, deadline=None)
def test_repair_converges_in_bounded_exchanges(
    held: list[tuple[str, int, int, bool]],
    same_zone: bool,
    padding: int,
    seed: int,
) -> None:
    """Guards against bursts, endless repairs and zone facts in other zones."""
    rng = random.Random(seed)
    one = Node("entry-1", "zone-a", rng)
    two = Node("entry-2", "zone-a" if same_zone else "zone-b", rng)
    for kind, key, version, first in held:
        fact = facts.Fact(kind, f"k{key}", version, "o", "x" * padding)
        (one if first else two).shared.publish(fact)
    for now in range(180):
        before = one.sent_bytes, two.sent_bytes
        exchange(one, two, float(now))
        for node, earlier in zip((one, two), before, strict=True):
            repaired = node.sent_bytes - earlier
            node.repair_backlog_bytes = repaired + max(
                0, node.repair_backlog_bytes - REPAIR_BYTES_PER_SECOND
            )
            assert node.repair_backlog_bytes < 52 * 1024
    assert one.largest_repair_bytes <= 32 * 1024
    for kind in ("mark", "member"):
        assert one.shared.of_kind(kind) == two.shared.of_kind(kind)
    endpoint_facts = [node.shared.of_kind("endpoint") for node in (one, two)]
    if same_zone:
        assert endpoint_facts[0] == endpoint_facts[1]
    else:
        for node, first in ((one, True), (two, False)):
            own = {
                f"k{key}"
                for kind, key, _, is_first in held
                if kind == "endpoint" and is_first is first
            }
            assert {
                fact.key for fact in node.shared.of_kind("endpoint")
            } == own
