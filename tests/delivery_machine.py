"""State machine of a trainer and two owners of its step, with faults."""

import base64
import dataclasses
import typing

from hypothesis import stateful
from hypothesis import strategies as st

from hibiscussaddle.policy import cursor
from hibiscussaddle.policy import groups
from hibiscussaddle.policy import versions
from hibiscussaddle import step_table
from hibiscussaddle import steps

GROUPS, PER_GROUP, STALENESS_BOUND, OWNERS = 3, 2, 1, 2
SLOTS = GROUPS * PER_GROUP
INDEX = st.integers(0, 99)
OWNER = st.integers(0, OWNERS - 1)
KEY = steps.StepKey("cereza", "t1", "s1")


@dataclasses.dataclass(frozen=True)
class PullInFlight:
    """Hold a pull in flight and the slots that the trainer had."""

    reader: cursor.Reader
    body: steps.PullRequest
    have: cursor.Bitmap


class Owner:
    """Run the code under test and keep an independent record of it."""

    def __init__(self, run: step_table.StepRun, known_version: int) -> None:
        self.run = run
        # Newest version that the owner has been told.
        self.known_version = known_version
        self.budget = groups.DuplicateBudget(1.0)
        # Bits of the slots that the trainer has reported as received.
        self.received_bits = 0
        # Newest pull number of each reader.
        self.newest_pulls: dict[cursor.Reader, int] = {}
        self.response_slots: dict[tuple[cursor.Reader, int], set[int]] = {}
        # Text of the first finished attempt of each slot.
        self.kept_texts: dict[int, str] = {}


class DeliveryMachine(stateful.RuleBasedStateMachine):
    """Check every response and every sample that the trainer accepts."""

    run_type: type[step_table.StepRun] = step_table.StepRun

    @stateful.initialize(scored=st.booleans(), shards=st.sampled_from([1, 2]))
    def open(self, scored: bool, shards: int) -> None:
        self.spec = steps.StepSpec(
            trainer="t1",
            step="s1",
            model="base",
            groups=tuple(({"content": str(n)},) for n in range(GROUPS)),
            samples_per_group=PER_GROUP,
            reward="judge" if scored else None,
        )
        self.published = 1
        self.now = 0.0
        self.owners = [self._create_owner() for _ in range(OWNERS)]
        self.requests: list[tuple[int, PullInFlight]] = []
        self.replies: list[tuple[PullInFlight, steps.PullResponse]] = []
        self.have = cursor.Bitmap(SLOTS)
        self.shards = shards
        self.next_pull = dict.fromkeys(range(shards), 1)
        self.used_shard_counts = {shards}

    def _create_owner(self) -> Owner:
        return Owner(self.run_type(KEY, self.spec, 0.0), 1)

    @stateful.rule(told=st.booleans())
    def publish(self, told: bool) -> None:
        self.published += 1
        if told:
            for owner in range(OWNERS):
                self.learn(owner)

    @stateful.rule(
        owner=OWNER, count=st.integers(1, SLOTS), lag=st.integers(0, 2)
    )
    def work(self, owner: int, count: int, lag: int) -> None:
        """Generate some samples without faults, which other rules inject."""
        self.start(owner, count)
        for _ in range(count):
            self.finish(owner, 0, lag)
        for _ in range(GROUPS):
            self.score(owner, True)

    @stateful.rule(owner=OWNER)
    def learn(self, owner: int) -> None:
        self.owners[owner].known_version = self.published
        self.owners[owner].run.discard_stale_samples(
            self.published, STALENESS_BOUND
        )

    @stateful.rule(owner=OWNER, count=st.integers(1, SLOTS))
    def start(self, owner: int, count: int) -> None:
        progress = self.owners[owner].run.progress
        for _ in range(count):
            slot = progress.next_slot()
            if slot is not None:
                progress.start(slot, self.now)

    @stateful.rule(owner=OWNER, index=INDEX)
    def duplicate(self, owner: int, index: int) -> None:
        own = self.owners[owner]
        own.budget.add_kept_tokens(1)
        running = own.run.progress.running_attempts()
        if running:
            slot = running[index % len(running)].slot
            own.run.progress.start_duplicate(slot, self.now, 1, own.budget)

    @stateful.rule(owner=OWNER, index=INDEX, lag=st.integers(0, 3))
    def finish(self, owner: int, index: int, lag: int) -> None:
        own = self.owners[owner]
        running = own.run.progress.running_attempts()
        if not running:
            return
        attempt = running[index % len(running)]
        # An attempt may also be reported after another one was kept.
        same_slot = [item for item in running if item.slot == attempt.slot]
        for item in (attempt, *same_slot):
            sample = self._sample(item, max(1, self.published - lag))
            if own.run.progress.samples.get(item.slot) is None:
                own.kept_texts[item.slot] = sample.text
            own.run.accept_sample(item, sample, self.now)

    def _sample(self, attempt: groups.Attempt, version: int) -> steps.Sample:
        group, index = divmod(attempt.slot, PER_GROUP)
        return steps.Sample(
            trainer="t1",
            step="s1",
            group=group,
            index=index,
            text=f"{attempt.slot}/{attempt.number}",
            tokens=1,
            versions=(versions.VersionRange(version, 0, 0),),
        )

    @stateful.rule(owner=OWNER, index=INDEX)
    def lose_attempt(self, owner: int, index: int) -> None:
        progress = self.owners[owner].run.progress
        running = progress.running_attempts()
        if running:
            progress.fail(running[index % len(running)])

    @stateful.rule(owner=OWNER, answered=st.booleans())
    def score(self, owner: int, answered: bool) -> None:
        progress = self.owners[owner].run.progress
        unscored = progress.next_unscored_group()
        if unscored is None:
            return
        group, found = unscored
        if not answered:
            progress.end_scoring(group)
            return
        progress.apply_scores(
            group,
            {
                slot: (item, dataclasses.replace(item, reward=1.0))
                for slot, item in found.items()
            },
        )

    @stateful.rule(
        owner=OWNER,
        shard=INDEX,
        size=st.integers(1, SLOTS),
        served=st.booleans(),
    )
    def send_pull(
        self, owner: int, shard: int, size: int, served: bool
    ) -> None:
        pull = self._create_pull(shard % self.shards, size)
        self.requests.append((owner, pull))
        if served:
            self._serve(self.owners[owner], pull, True)

    def _create_pull(self, shard: int, size: int) -> PullInFlight:
        reader = cursor.Reader(shard, self.shards)
        body = steps.PullRequest(
            pull=self.next_pull[shard],
            have=self.have.encode(),
            newest_version=self.published,
            max_samples=size,
            shard=shard,
            shards=self.shards,
        )
        return PullInFlight(reader, body, self.have)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(index=INDEX, final=st.booleans())
    def serve_pull(self, index: int, final: bool) -> None:
        """Serve any request in flight; it may also be served twice."""
        owner, pull = self.requests[index % len(self.requests)]
        self._serve(self.owners[owner], pull, final)

    def _serve(self, own: Owner, pull: PullInFlight, final: bool) -> None:
        verdict = own.run.begin_pull(
            pull.reader, pull.body, pull.have, self.now
        )
        own.received_bits |= pull.have.bits
        late = pull.body.pull < own.newest_pulls.get(pull.reader, 0)
        if late:
            assert verdict is cursor.Verdict.OLD, "older pull got a response"
        if verdict is cursor.Verdict.OLD:
            return
        own.newest_pulls[pull.reader] = pull.body.pull
        newest = max(own.known_version, own.run.newest_version)
        reply = own.run.create_response(
            pull.reader, pull.body, newest, STALENESS_BOUND, final
        )
        if reply is not None:
            self._check_reply(own, pull, reply)
            self.replies.append((pull, reply))

    def _check_reply(
        self, own: Owner, pull: PullInFlight, reply: steps.PullResponse
    ) -> None:
        slots = {s.group * PER_GROUP + s.index for s in reply.samples}
        assert len(slots) == len(reply.samples), "slot twice in one response"
        newest = max(own.known_version, pull.body.newest_version)
        first = own.response_slots.setdefault((pull.reader, reply.pull), slots)
        assert slots <= first, "repeated pull got another batch"
        for sample in reply.samples:
            slot = sample.group * PER_GROUP + sample.index
            assert not own.received_bits >> slot & 1, (
                "slot that the trainer has received"
            )
            assert sample.group % pull.reader.shards == pull.reader.shard, (
                "slot of another shard"
            )
            oldest = min(part.version for part in sample.versions)
            assert newest - oldest <= STALENESS_BOUND, "stale sample"
            assert sample.text == own.kept_texts[slot], (
                "sample of a later attempt"
            )
            if self.spec.reward:
                assert sample.reward is not None, "sample without reward"

    @stateful.precondition(lambda self: len(self.requests) > 4)
    @stateful.rule(index=INDEX)
    def lose_request(self, index: int) -> None:
        self.requests.pop(index % len(self.requests))

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(index=INDEX)
    def lose_reply(self, index: int) -> None:
        self.replies.pop(index % len(self.replies))

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(index=INDEX)
    def receive_reply(self, index: int) -> None:
        """Accept one response per pull number, in any order of arrival."""
        pull, reply = self.replies.pop(index % len(self.replies))
        shard = pull.reader.shard
        if pull.reader.shards != self.shards:
            return
        if reply.pull != self.next_pull[shard]:
            return
        for sample in reply.samples:
            slot = sample.group * PER_GROUP + sample.index
            assert not self.have.has(slot), "slot delivered twice"
            self.have = self.have.with_slot(slot)
        self.next_pull[shard] += 1

    @stateful.rule(owner=OWNER)
    def crash_owner(self, owner: int) -> None:
        self.owners[owner] = self._create_owner()

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule()
    def restart_trainer(self) -> None:
        """Lose responses in flight; samples and pull numbers are kept."""
        self.replies.clear()

    @stateful.precondition(lambda self: len(self.used_shard_counts) < GROUPS)
    @stateful.rule(shards=st.integers(1, GROUPS))
    def change_readers(self, shards: int) -> None:
        if shards not in self.used_shard_counts:
            self.used_shard_counts.add(shards)
            self.replies.clear()
            self.shards = shards
            self.next_pull = dict.fromkeys(range(shards), 1)

    def teardown(self) -> None:
        """Check that without faults every slot is delivered."""
        if not hasattr(self, "owners"):
            return
        own = self.owners[0]
        for _ in range(2 * SLOTS):
            if self.have.count() == SLOTS:
                break
            self.learn(0)
            self._finish_all(own)
            for shard in range(self.shards):
                self.replies.clear()
                self._serve(own, self._create_pull(shard, SLOTS), final=True)
                if self.replies:
                    self.receive_reply(0)
        full = base64.b64encode(bytes([(1 << SLOTS) - 1])).decode()
        assert self.have.encode() == full, "slots never delivered"

    def _finish_all(self, own: Owner) -> None:
        self.start(0, SLOTS)
        while own.run.progress.running_attempts():
            self.finish(0, 0, 0)
        for _ in range(GROUPS):
            self.score(0, True)


def broken(run_type: type[step_table.StepRun]) -> type[typing.Any]:
    """Return the state machine for a broken variant of the code."""
    return type("Broken", (DeliveryMachine,), {"run_type": run_type})
