"""Guard the admission of scoring calls when many texts end at once."""

import dataclasses
import random
import statistics
import typing

from hibiscussaddle.scoring import admission

import service_model

OWNER_COUNT: typing.Final = 2
GROUP_COUNT: typing.Final = 12
GROUP_SIZE: typing.Final = 8
SERVICE_COUNT: typing.Final = 3
SLOTS_PER_SERVICE: typing.Final = 6
SCORE_SECONDS: typing.Final = 0.045
LOOKUP_SECONDS: typing.Final = 0.021
LOOKUP_TARGET_SECONDS: typing.Final = 0.15


@dataclasses.dataclass
class BurstResult:
    """Hold the results of a burst of texts beside callers' lookups."""

    # Seconds until each group was complete, in the order of completion.
    groups: list[float] = dataclasses.field(default_factory=list)
    lookups: list[float] = dataclasses.field(default_factory=list)
    refused_lookups: int = 0
    refused_scores: int = 0

    def timely_lookup_fraction(self) -> float:
        """Return the fraction of lookups that met their latency target."""
        good = sum(s <= LOOKUP_TARGET_SECONDS for s in self.lookups)
        return good / (len(self.lookups) + self.refused_lookups)


@dataclasses.dataclass
class Owner:
    """Hold one owner's queue and the missing results of its groups."""

    queue: admission.AdmissionQueue
    missing: dict[str, int]
    is_ranked: bool


class ScoringTask:
    """Score one text, retrying after each refusal."""

    def __init__(
        self,
        owner: Owner,
        group: str,
        services: service_model.ServiceModel,
        result: BurstResult,
    ) -> None:
        """Send nothing before enqueue()."""
        self._owner = owner
        self._group = group
        self._services = services
        self._result = result
        self._waiting = admission.WaitingCall(self._rank, self._send)

    def enqueue(self) -> None:
        """Queue the call for admission."""
        self._waiting = admission.WaitingCall(self._rank, self._send)
        self._owner.queue.enqueue(self._waiting)

    def _rank(self) -> admission.Rank:
        if not self._owner.is_ranked:
            return admission.Rank(False, 0.0, 0, "")
        missing = self._owner.missing[self._group]
        return admission.Rank(False, 0.0, missing, self._group)

    def _send(self) -> None:
        self._services.call(SCORE_SECONDS, self._finish)

    def _finish(self, ran: bool) -> None:
        queue, missing = self._owner.queue, self._owner.missing
        if not ran:
            self._result.refused_scores += 1
            queue.window.record_overload(self._services.now)
            self._services.at(self._services.now + 0.05, self.enqueue)
        else:
            queue.window.record_response()
            missing[self._group] -= 1
            if not missing[self._group]:
                self._result.groups.append(self._services.now)
        queue.release(self._waiting)


def simulate(is_ranked: bool, is_limited: bool, seed: int) -> BurstResult:
    """Simulate a burst: two owners with 96 texts each that end within 0.1 s.

    The scoring services see this load after engines or the store recover.
    A lookup arrives every 10 ms for 0.6 s.
    """
    result = BurstResult()
    services = service_model.ServiceModel(
        SERVICE_COUNT, SLOTS_PER_SERVICE, seed
    )
    rng = random.Random(seed)
    cap = (
        admission.max_calls_per_owner(
            SERVICE_COUNT * SLOTS_PER_SERVICE, OWNER_COUNT
        )
        if is_limited
        else 10_000
    )
    for _ in range(OWNER_COUNT):
        groups = [f"group-{number}" for number in range(GROUP_COUNT)]
        owner = Owner(
            admission.AdmissionQueue(lambda: cap),
            dict.fromkeys(groups, GROUP_SIZE),
            is_ranked,
        )
        items = groups * GROUP_SIZE
        rng.shuffle(items)
        for position, group in enumerate(items):
            task = ScoringTask(owner, group, services, result)
            services.at(0.1 * position / len(items), task.enqueue)

    def look_up() -> None:
        started = services.now

        def done(ran: bool) -> None:
            if ran:
                result.lookups.append(services.now - started)
            else:
                result.refused_lookups += 1

        services.call(LOOKUP_SECONDS, done)

    for number in range(60):
        services.at(number * 0.01, look_up)
    services.run()
    return result


def test_burst_of_texts_leaves_slots_to_callers() -> None:
    """Fails when lookups wait behind the scores of a step.

    The baseline sends every call immediately, so that the queues of the
    services fill up and lookups are late or refused.
    """
    for seed in range(5):
        baseline = simulate(is_ranked=False, is_limited=False, seed=seed)
        limited = simulate(is_ranked=True, is_limited=True, seed=seed)
        assert baseline.timely_lookup_fraction() < 0.95
        assert limited.timely_lookup_fraction() >= 0.98
        assert limited.refused_scores == 0
        assert len(limited.groups) == OWNER_COUNT * GROUP_COUNT


def test_groups_complete_one_after_the_other() -> None:
    """Fails when every group of a burst waits for the last call.

    The texts of twelve groups end in random order.
    """
    for seed in range(5):
        mixed = simulate(is_ranked=False, is_limited=True, seed=seed)
        ranked = simulate(is_ranked=True, is_limited=True, seed=seed)
        assert statistics.mean(ranked.groups) < 0.75 * statistics.mean(
            mixed.groups
        )


def test_earlier_step_is_scored_first() -> None:
    """Fails when a later step delays the step that a trainer waits for."""
    order: list[str] = []
    queue = admission.AdmissionQueue(lambda: 1)
    busy = admission.WaitingCall(
        lambda: admission.Rank(False, 0.0, 1, "-"), lambda: None
    )
    queue.enqueue(busy)
    for name, rank in (
        ("step-9", admission.Rank(False, 36.0, 1, "a")),
        ("step-8", admission.Rank(False, 32.0, 5, "b")),
        ("step-7, overdue", admission.Rank(True, 28.0, 1, "c")),
    ):
        waiting = admission.WaitingCall(
            lambda rank=rank: rank, lambda name=name: order.append(name)
        )
        queue.enqueue(waiting)
    queue.release(busy)
    assert order == ["step-8"]


def test_refusals_shrink_the_window_and_responses_widen_it() -> None:
    """Fails when a slow or full service gets as many calls as before."""
    window = admission.ConcurrencyWindow()
    for _ in range(8):
        assert window.has_capacity(8)
        window.record_start()
    assert not window.has_capacity(8)
    window.record_overload(1.0)
    # Refusals within a short interval count once.
    window.record_overload(1.1)
    assert window.limit(8) == 4
    for _ in range(40):
        window.record_response()
    assert window.limit(8) == 8
    for moment in range(2, 20):
        window.record_overload(float(moment))
    assert window.limit(8) == 1


def test_cap_follows_the_remaining_slots() -> None:
    """Fails when a crash of services leaves callers without a slot."""
    assert admission.max_calls_per_owner(slots=18, owners=2) == 4
    assert admission.max_calls_per_owner(slots=6, owners=2) == 1
    assert admission.max_calls_per_owner(slots=0, owners=0) == 1


def test_removed_call_is_not_admitted() -> None:
    """Fails when an ended batch still gets admission for a removed call."""
    queue = admission.AdmissionQueue(lambda: 1)
    admitted: list[str] = []

    def waiting(name: str) -> admission.WaitingCall:
        return admission.WaitingCall(
            lambda: admission.Rank(False, 0.0, 1, name),
            lambda: admitted.append(name),
        )

    first, second, third = waiting("a"), waiting("b"), waiting("c")
    for call in (first, second, third):
        queue.enqueue(call)
    queue.release(second)
    queue.release(first)
    assert admitted == ["a", "c"]
    queue.release(third)
    assert queue.window.running == 0
