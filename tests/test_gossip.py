"""Spread of periodic facts and repair of differing tables, simulated."""

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
# The design's limit of control traffic of a node, in bytes a second.
LIMIT_BYTES = 4000
# Signature and envelope of a frame.
FRAME_BYTES = 150


# Bytes a second that a node sends in repairs.
REPAIR_RATE = 16 * 1024


class Node:
    """Hold the facts of one simulated instance."""

    def __init__(self, name: str, zone: str, rng: random.Random) -> None:
        """Start empty."""
        self.name = name
        self.zone = zone
        self.shared = shared_facts.SharedFacts()
        self.gossip = gossip.Gossip(name, zone, self.shared, rng)
        self.sent = 0
        self.largest_repair = 0
        self.repaired = 0


def size_of(msg: object) -> int:
    """Return the bytes of a message on the wire."""
    return len(msgspec.msgpack.encode(msg)) + FRAME_BYTES


def exchange(one: Node, two: Node, now: float) -> None:
    """Let one ping two, and repair what differs."""
    ping = one.gossip.ping(two.zone)
    one.sent += size_of(ping)
    ack = two.gossip.apply_ping(ping)
    two.sent += size_of(ack)
    sync = one.gossip.apply_ack(ack, now)
    if sync is None:
        return
    news = two.gossip.apply_sync(sync, now)
    one.shared.receive(news.facts)
    one.sent += size_of(sync)
    two.sent += size_of(news)
    one.largest_repair = max(one.largest_repair, size_of(sync) + size_of(news))


def periodic(kind: str, name: str, now: int) -> facts.Fact:
    """Return a fact of about the size of a load fact."""
    return facts.Fact(kind, name, now, name, {"running": 12, "waiting": 3})


@hypothesis.given(seed=st.integers(0, 2**32))
@hypothesis.settings(max_examples=2, deadline=None)
def test_zone_facts_stay_fresh_within_the_limit(seed: int) -> None:
    """Guards against traffic or age that grows with the zone."""
    rng = random.Random(seed)
    nodes = [
        Node(f"entry-{n}", "zone-a", random.Random(n))
        for n in range(ZONE_SIZE)
    ]
    ages: list[int] = []
    for now in range(1, 41):
        before = [node.sent for node in nodes]
        for node in nodes:
            node.shared.publish(periodic("load", node.name, now))
        for node in rng.sample(nodes, len(nodes)):
            other = rng.choice([n for n in nodes if n is not node])
            exchange(node, other, now)
        if now < 20:
            continue
        sent = [node.sent - b for node, b in zip(nodes, before, strict=True)]
        assert statistics.mean(sent) < LIMIT_BYTES
        ages += [
            now - fact.version
            for node in nodes
            for fact in node.shared.of_kind("load")
        ]
        assert all(
            len(node.shared.of_kind("load")) == ZONE_SIZE for node in nodes
        )
    assert statistics.mean(ages) < 3.5
    assert sorted(ages)[len(ages) * 99 // 100] <= 12


def test_digest_sees_equal_changes_of_two_facts() -> None:
    """Guards against changes that cancel out in a digest.

    With a linear checksum two members of one bucket that died together
    left it as it was.
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
    """Guards against bursts, endless repairs and leaks between zones."""
    rng = random.Random(seed)
    one = Node("entry-1", "zone-a", rng)
    two = Node("entry-2", "zone-a" if same_zone else "zone-b", rng)
    for kind, key, version, first in held:
        fact = facts.Fact(kind, f"k{key}", version, "o", "x" * padding)
        (one if first else two).shared.publish(fact)
    for now in range(180):
        before = one.sent, two.sent
        exchange(one, two, float(now))
        for node, earlier in zip((one, two), before, strict=True):
            repaired = node.sent - earlier
            node.repaired = repaired + max(0, node.repaired - REPAIR_RATE)
            assert node.repaired < 52 * 1024
    assert one.largest_repair <= 32 * 1024
    for kind in ("mark", "member"):
        assert one.shared.of_kind(kind) == two.shared.of_kind(kind)
    listed = [node.shared.of_kind("endpoint") for node in (one, two)]
    if same_zone:
        assert listed[0] == listed[1]
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
