"""Judge the failure detector against a simulated network."""

import random
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from hibiscussaddle.controllers import membership as controller
from hibiscussaddle import gossip
from hibiscussaddle import members
from hibiscussaddle.policy import membership
from hibiscussaddle import shared_facts

SIZE = 6
NAMES = [f"entry-{number}" for number in range(SIZE)]
# Importing the controller registers the applier that the nodes use.
assert controller.apply_member
ALIVE = members.MemberState.ALIVE
DEAD = members.MemberState.DEAD


class Node:
    """Run the pure parts of one instance."""

    def __init__(self, world: "World", name: str, incarnation: int) -> None:
        """Start knowing only itself."""
        self.world = world
        self.name = name
        me = members.Member(name, "zone-a", "r", name, incarnation)
        self.members = members.Members(me)
        rng = random.Random(world.rng.random())
        self.detector = membership.Detector(self.members, rng)
        self.shared = shared_facts.SharedFacts()
        self.shared.bind(typing.cast(typing.Any, self))
        self.gossip = gossip.Gossip(name, "zone-a", self.shared, rng)
        self.shared.publish(membership.to_fact(me))

    @property
    def facts(self) -> shared_facts.SharedFacts:
        """Return what the controller's applier publishes to."""
        return self.shared

    def clock(self) -> float:
        """Return the simulated time."""
        return self.world.now

    def ping(self, name: str) -> bool:
        """Exchange heartbeats; tell whether the member answered."""
        target = self.members.get(name)
        doubted = target is not None and target.state is not ALIVE
        extra = [membership.to_fact(target)] if doubted and target else []
        msg = self.gossip.ping("zone-a", extra)
        other = self.world.reach(self.name, name)
        if other is None:
            return False
        ack = other.gossip.apply_ping(msg)
        if self.world.reach(name, self.name) is None:
            return False
        sync = self.gossip.apply_ack(ack, self.world.now)
        if sync is not None and self.world.reach(self.name, name):
            self.shared.receive(
                other.gossip.apply_sync(sync, self.world.now).facts
            )
        return True

    def step(self) -> None:
        """Do what the controller does in one second."""
        for gone in self.detector.expired_suspects(self.world.now):
            self.shared.publish(membership.to_fact(gone))
        target = self.detector.next_probe_target()
        if target is not None and not self._probe(target):
            suspicion = self.detector.suspicion(target)
            if suspicion is not None:
                self.shared.publish(membership.to_fact(suspicion))
        dead = self.detector.next_dead_member(self.world.now)
        if dead is not None:
            self.ping(dead.id)
        unknown = [n for n in NAMES if self.members.get(n) is None]
        if unknown:
            # The seeds of the settings.
            self.ping(self.world.rng.choice(unknown))

    def _probe(self, target: members.Member) -> bool:
        return self.ping(target.id) or any(
            self.world.reach(self.name, helper.id)
            and self.world.nodes[helper.id].ping(target.id)
            for helper in self.detector.indirect_probers(target.id)
        )


class World:
    """Hold the nodes, the links and the time."""

    def __init__(self, seed: int) -> None:
        """Start every node."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.incarnation = 1_000_000
        self.loss = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.nodes: dict[str, Node] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node, or restart it with a higher incarnation."""
        self.incarnation += 1000
        self.nodes[name] = Node(self, name, self.incarnation)

    def reach(self, source: str, target: str) -> Node | None:
        """Return the target if a message gets there."""
        if (source, target) in self.cut or self.rng.random() < self.loss:
            return None
        return self.nodes.get(target)

    def run(self, seconds: int) -> None:
        """Let time pass."""
        for _ in range(seconds):
            self.now += 1.0
            for node in self.rng.sample(
                list(self.nodes.values()), len(self.nodes)
            ):
                node.step()

    def views(self) -> dict[str, set[tuple[str, int]]]:
        """Return whom each node takes for live."""
        return {
            name: {(m.id, m.incarnation) for m in node.members.live()}
            for name, node in self.nodes.items()
        }

    def truth(self) -> set[tuple[str, int]]:
        """Return what each node should see."""
        return {
            (name, node.members.me.incarnation)
            for name, node in self.nodes.items()
        }


class Membership(stateful.RuleBasedStateMachine):
    """Crash, restart and cut at random, then heal and compare."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        """Start the nodes; they join by their seeds."""
        self.world = World(seed)
        self.versions: dict[tuple[str, int, str], int] = {}

    @stateful.rule(seconds=st.integers(1, 8))
    def wait(self, seconds: int) -> None:
        """Let time pass."""
        self.world.run(seconds)

    @stateful.rule(name=st.sampled_from(NAMES))
    def crash(self, name: str) -> None:
        """End a node, but not the last two."""
        if len(self.world.nodes) > 2:
            self.world.nodes.pop(name, None)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Start a node anew, without what it knew."""
        self.world.start(name)

    @stateful.rule(side=st.sets(st.sampled_from(NAMES), min_size=1))
    def partition(self, side: set[str]) -> None:
        """Cut every link between two sides."""
        self.world.cut = {
            (a, b) for a in NAMES for b in NAMES if (a in side) != (b in side)
        }

    @stateful.rule(a=st.sampled_from(NAMES), b=st.sampled_from(NAMES))
    def break_link(self, a: str, b: str) -> None:
        """Cut one link in one direction."""
        self.world.cut.add((a, b))

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose(self, loss: float) -> None:
        """Lose that part of all messages."""
        self.world.loss = loss

    @stateful.rule()
    def heal(self) -> None:
        """Guards against members that stay lost after a partition."""
        self.world.cut, self.world.loss = set(), 0.0
        # A suspicion takes 3 s, and a dead member is probed every 4 s.
        self.world.run(25)
        truth = self.world.truth()
        for name, view in self.world.views().items():
            assert view == truth, (name, view, truth)

    @stateful.invariant()
    def versions_only_rise(self) -> None:
        """Guards against an older statement that replaces a newer one."""
        for name, node in self.world.nodes.items():
            assert node.members.me.state is ALIVE
            for member in node.members.all():
                key = (name, node.members.me.incarnation, member.id)
                now = membership.statement_version(member)
                assert now >= self.versions.get(key, 0)
                self.versions[key] = now


Membership.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
TestMembership = Membership.TestCase


@hypothesis.given(
    seed=st.integers(0, 2**32),
    pair=st.permutations(NAMES).map(lambda p: p[:2]),
)
@hypothesis.settings(max_examples=50, deadline=None)
def test_one_bad_link_evicts_nobody(seed: int, pair: list[str]) -> None:
    """Guards against a member evicted by the one peer it cannot reach."""
    world = World(seed)
    world.run(20)
    one, two = pair
    world.cut = {(one, two), (two, one)}
    for _ in range(40):
        world.run(1)
        for node in world.nodes.values():
            assert all(m.state is not DEAD for m in node.members.all())


@hypothesis.given(seed=st.integers(0, 2**32))
@hypothesis.settings(max_examples=50, deadline=None)
def test_crashed_member_is_dead_within_its_time(seed: int) -> None:
    """Guards against a dead member that keeps getting work."""
    world = World(seed)
    world.run(20)
    del world.nodes[NAMES[0]]
    # A full round of probes at worst, the suspicion, and the spread.
    world.run(SIZE + 3 + 4)
    for view in world.views().values():
        assert view == world.truth()


def test_restart_with_an_older_clock_is_accepted() -> None:
    """Guards against a restarted member that stays dead for its peers."""
    world = World(1)
    world.run(20)
    del world.nodes[NAMES[0]]
    world.run(12)
    world.nodes[NAMES[0]] = Node(world, NAMES[0], 5)
    world.run(15)
    for view in world.views().values():
        assert view == world.truth()
