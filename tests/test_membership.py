"""Simulations of the failure detector on an unreliable network."""

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

MEMBER_COUNT = 6
NAMES = [f"entry-{number}" for number in range(MEMBER_COUNT)]
# Importing the controller registers the applier that the nodes use.
assert controller.apply_member
ALIVE = members.MemberState.ALIVE
DEAD = members.MemberState.DEAD


class Node:
    """Simulate the membership protocol of one instance."""

    def __init__(
        self, simulation: "Simulation", name: str, incarnation: int
    ) -> None:
        """Initialize with itself as the only known member."""
        self.simulation = simulation
        self.name = name
        me = members.Member(name, "zone-a", "r", name, incarnation)
        self.members = members.Members(me)
        rng = random.Random(simulation.rng.random())
        self.detector = membership.Detector(self.members, rng)
        self.shared = shared_facts.SharedFacts()
        self.shared.bind(typing.cast(typing.Any, self))
        self.gossip = gossip.Gossip(name, "zone-a", self.shared, rng)
        self.shared.publish(membership.to_fact(me))

    @property
    def facts(self) -> shared_facts.SharedFacts:
        """Return the facts to which the controller's applier publishes."""
        return self.shared

    def clock(self) -> float:
        """Return the simulated time."""
        return self.simulation.now

    def ping(self, name: str) -> bool:
        """Exchange heartbeats; return whether the member responded."""
        target = self.members.get(name)
        is_suspected = target is not None and target.state is not ALIVE
        extra = [membership.to_fact(target)] if is_suspected and target else []
        msg = self.gossip.ping("zone-a", extra)
        other = self.simulation.reachable_node(self.name, name)
        if other is None:
            return False
        ack = other.gossip.apply_ping(msg)
        if self.simulation.reachable_node(name, self.name) is None:
            return False
        sync = self.gossip.apply_ack(ack, self.simulation.now)
        if sync is not None and self.simulation.reachable_node(
            self.name, name
        ):
            self.shared.receive(
                other.gossip.apply_sync(sync, self.simulation.now).facts
            )
        return True

    def run_second(self) -> None:
        """Simulate one second of the controller."""
        for expired in self.detector.expired_suspects(self.simulation.now):
            self.shared.publish(membership.to_fact(expired))
        target = self.detector.next_probe_target()
        if target is not None and not self._probe(target):
            suspicion = self.detector.suspicion(target)
            if suspicion is not None:
                self.shared.publish(membership.to_fact(suspicion))
        dead = self.detector.next_dead_member(self.simulation.now)
        if dead is not None:
            self.ping(dead.id)
        unknown = [n for n in NAMES if self.members.get(n) is None]
        if unknown:
            # Simulates the seed addresses in the settings.
            self.ping(self.simulation.rng.choice(unknown))

    def _probe(self, target: members.Member) -> bool:
        return self.ping(target.id) or any(
            self.simulation.reachable_node(self.name, prober.id)
            and self.simulation.nodes[prober.id].ping(target.id)
            for prober in self.detector.indirect_probers(target.id)
        )


class Simulation:
    """Simulate the nodes, the links and the clock."""

    def __init__(self, seed: int) -> None:
        """Start every node."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.incarnation = 1_000_000
        self.loss_fraction = 0.0
        self.cut_links: set[tuple[str, str]] = set()
        self.nodes: dict[str, Node] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node, or restart it with a higher incarnation."""
        self.incarnation += 1000
        self.nodes[name] = Node(self, name, self.incarnation)

    def reachable_node(self, source: str, target: str) -> Node | None:
        """Return the target node if a message from the source arrives."""
        if (
            source,
            target,
        ) in self.cut_links or self.rng.random() < self.loss_fraction:
            return None
        return self.nodes.get(target)

    def run(self, seconds: int) -> None:
        """Advance the simulated time."""
        for _ in range(seconds):
            self.now += 1.0
            for node in self.rng.sample(
                list(self.nodes.values()), len(self.nodes)
            ):
                node.run_second()

    def live_members(self) -> dict[str, set[tuple[str, int]]]:
        """Return the live members known to each node."""
        return {
            name: {(m.id, m.incarnation) for m in node.members.live()}
            for name, node in self.nodes.items()
        }

    def expected_members(self) -> set[tuple[str, int]]:
        """Return the members that every node should consider live."""
        return {
            (name, node.members.me.incarnation)
            for name, node in self.nodes.items()
        }


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Inject crashes, restarts and partitions; then heal and compare."""

    @stateful.initialize(seed=st.integers(0, 2**32))
    def initialize_simulation(self, seed: int) -> None:
        """Start the nodes, which join by their seed addresses."""
        self.simulation = Simulation(seed)
        self.versions: dict[tuple[str, int, str], int] = {}

    @stateful.rule(seconds=st.integers(1, 8))
    def wait(self, seconds: int) -> None:
        """Advance the simulated time."""
        self.simulation.run(seconds)

    @stateful.rule(name=st.sampled_from(NAMES))
    def crash(self, name: str) -> None:
        """Crash a node unless only two are left."""
        if len(self.simulation.nodes) > 2:
            self.simulation.nodes.pop(name, None)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Restart a node without its previous state."""
        self.simulation.start(name)

    @stateful.rule(side=st.sets(st.sampled_from(NAMES), min_size=1))
    def partition(self, side: set[str]) -> None:
        """Cut every link between two groups of nodes."""
        self.simulation.cut_links = {
            (a, b) for a in NAMES for b in NAMES if (a in side) != (b in side)
        }

    @stateful.rule(a=st.sampled_from(NAMES), b=st.sampled_from(NAMES))
    def break_link(self, a: str, b: str) -> None:
        """Cut one link in one direction."""
        self.simulation.cut_links.add((a, b))

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def set_message_loss(self, loss: float) -> None:
        """Drop this fraction of all messages."""
        self.simulation.loss_fraction = loss

    @stateful.rule()
    def heal(self) -> None:
        """Guards against members that remain dead after a partition."""
        self.simulation.cut_links, self.simulation.loss_fraction = set(), 0.0
        # A suspicion takes 3 s, and a dead member is probed every 4 s.
        self.simulation.run(25)
        expected_members = self.simulation.expected_members()
        for name, view in self.simulation.live_members().items():
            assert view == expected_members, (name, view, expected_members)

    @stateful.invariant()
    def versions_never_decrease(self) -> None:
        """Guards against an older statement that replaces a newer one."""
        for name, node in self.simulation.nodes.items():
            assert node.members.me.state is ALIVE
            for member in node.members.all():
                key = (name, node.members.me.incarnation, member.id)
                now = membership.statement_version(member)
                assert now >= self.versions.get(key, 0)
                self.versions[key] = now


MembershipMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
TestMembership = MembershipMachine.TestCase


@hypothesis.given(
    seed=st.integers(0, 2**32),
    pair=st.permutations(NAMES).map(lambda p: p[:2]),
)
@hypothesis.settings(max_examples=50, deadline=None)
def test_one_broken_link_evicts_no_member(seed: int, pair: list[str]) -> None:
    """Guards against the eviction of a member by one unreachable peer."""
    simulation = Simulation(seed)
    simulation.run(20)
    one, two = pair
    simulation.cut_links = {(one, two), (two, one)}
    for _ in range(40):
        simulation.run(1)
        for node in simulation.nodes.values():
            assert all(m.state is not DEAD for m in node.members.all())


@hypothesis.given(seed=st.integers(0, 2**32))
@hypothesis.settings(max_examples=50, deadline=None)
def test_crashed_member_is_declared_dead_in_time(seed: int) -> None:
    """Guards against a dead member that continues to receive requests."""
    simulation = Simulation(seed)
    simulation.run(20)
    del simulation.nodes[NAMES[0]]
    # At most a full round of probes, the suspicion and the replication.
    simulation.run(MEMBER_COUNT + 3 + 4)
    for view in simulation.live_members().values():
        assert view == simulation.expected_members()


def test_member_restarted_with_an_older_clock_is_accepted() -> None:
    """Guards against a restarted member that its peers consider dead."""
    simulation = Simulation(1)
    simulation.run(20)
    del simulation.nodes[NAMES[0]]
    simulation.run(12)
    simulation.nodes[NAMES[0]] = Node(simulation, NAMES[0], 5)
    simulation.run(15)
    for view in simulation.live_members().values():
        assert view == simulation.expected_members()
