"""SWIM failure detector: probes, suspicion, refutation."""

import dataclasses
import random
import typing

from hibiscussaddle import members
from hibiscussaddle.policy import facts

FACT_KIND: typing.Final = "member"
# Time in which a suspect can refute before it is declared dead.
SUSPICION_SECONDS: typing.Final = 3.0
INDIRECT_PROBE_COUNT: typing.Final = 2
# Interval at which each live member probes a dead one, so that both sides of
# a healed partition find each other within seconds.
DEAD_PROBE_SECONDS: typing.Final = 3.0
# After this time a dead member is probed less often, since it was probably
# removed for good.
LONG_DEAD_SECONDS: typing.Final = 1800.0
LONG_DEAD_PROBE_SECONDS: typing.Final = 60.0

_State = members.MemberState
_RANKS: typing.Final = {
    _State.ALIVE: 0,
    _State.SUSPECT: 1,
    _State.DEAD: 2,
    _State.LEFT: 3,
}


def incarnation_number(member: members.Member) -> int:
    """Return the incarnation number that statements are ordered by.

    The member raises its heartbeat field above its incarnation to refute a
    suspicion or to announce a change.
    """
    return max(member.incarnation, member.heartbeat)


def statement_version(member: members.Member) -> int:
    """Return the version that orders the statements about one member.

    A higher incarnation number wins; within one, the later state wins, so
    that only the member itself can refute a suspicion.
    """
    return incarnation_number(member) * len(_RANKS) + _RANKS[member.state]


def to_fact(member: members.Member) -> facts.Fact:
    """Return the fact that states a member's state."""
    value = {
        fld.name: getattr(member, fld.name)
        for fld in dataclasses.fields(member)
    }
    value["state"] = member.state.value
    # The origin is the member itself and not the observer, so that suspicions
    # by several observers are one fact.
    return facts.Fact(
        FACT_KIND, member.id, statement_version(member), member.id, value
    )


class Detector:
    """Choose the members to probe and derive their states."""

    def __init__(self, known: members.Members, rng: random.Random) -> None:
        """Start with the member list of one instance."""
        self._members = known
        self._rng = rng
        self._probe_order: list[str] = []
        # Incarnation number of a suspect and the monotonic time at which it is
        # declared dead.
        self._deadlines: dict[str, tuple[int, float]] = {}
        self._died_at: dict[str, float] = {}
        self._next_dead_probe_at = 0.0

    def next_probe_target(self) -> members.Member | None:
        """Return the next live member in shuffled round-robin order."""
        for _ in range(2):
            while self._probe_order:
                found = self._members.get(self._probe_order.pop())
                if found is not None and found in self._members.others():
                    return found
            self._probe_order = [
                member.id for member in self._members.others()
            ]
            self._rng.shuffle(self._probe_order)
        return None

    def next_dead_member(self, now: float) -> members.Member | None:
        """Return a dead member to probe again; None when none is due."""
        if now < self._next_dead_probe_at:
            return None
        dead = [m for m in self._members.all() if m.state is _State.DEAD]
        if not dead:
            return None
        recently_dead = [m for m in dead if self._is_recently_dead(m, now)]
        interval_seconds = (
            DEAD_PROBE_SECONDS if recently_dead else LONG_DEAD_PROBE_SECONDS
        )
        # Jitter spreads the probes of the instances over time.
        self._next_dead_probe_at = now + interval_seconds * self._rng.uniform(
            0.7, 1.3
        )
        return self._rng.choice(recently_dead or dead)

    def _is_recently_dead(self, member: members.Member, now: float) -> bool:
        return now - self._died_at.get(member.id, now) < LONG_DEAD_SECONDS

    def indirect_probers(self, target_id: str) -> tuple[members.Member, ...]:
        """Return members that can probe the target for this instance."""
        others = [
            member
            for member in self._members.others()
            if member.id != target_id and member.state is _State.ALIVE
        ]
        return tuple(
            self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
        )

    def suspicion(self, probed: members.Member) -> members.Member | None:
        """Return the suspicion to publish after all probes have failed.

        Return None if the member has refuted, restarted or changed its state
        meanwhile.
        """
        current = self._members.get(probed.id)
        if current != probed or probed.state is not _State.ALIVE:
            return None
        return dataclasses.replace(probed, state=_State.SUSPECT)

    def merge(
        self, statement: members.Member, now: float
    ) -> members.Member | None:
        """Apply a statement; refute one about this instance.

        Return the refutation, if any.
        """
        own_member = self._members.me
        if statement.id == own_member.id:
            return self._refute(statement)
        self._members.put(statement)
        if statement.state is _State.SUSPECT:
            deadline = now + SUSPICION_SECONDS
            self._deadlines[statement.id] = (
                incarnation_number(statement),
                deadline,
            )
        else:
            self._deadlines.pop(statement.id, None)
        if statement.state is _State.DEAD:
            self._died_at.setdefault(statement.id, now)
        else:
            self._died_at.pop(statement.id, None)
        return None

    def _refute(self, statement: members.Member) -> members.Member | None:
        own_member = self._members.me
        if statement == own_member:
            return None
        # Also above the number of an earlier process of this instance whose
        # clock was ahead.
        new_number = (
            max(incarnation_number(statement), incarnation_number(own_member))
            + 1
        )
        refutation = dataclasses.replace(own_member, heartbeat=new_number)
        self._members.put(refutation)
        return refutation

    def expired_suspects(self, now: float) -> tuple[members.Member, ...]:
        """Return the suspects to declare dead."""
        found: list[members.Member] = []
        for member_id, (suspected_number, deadline) in list(
            self._deadlines.items()
        ):
            if now < deadline:
                continue
            del self._deadlines[member_id]
            member = self._members.get(member_id)
            if (
                member is None
                or incarnation_number(member) != suspected_number
            ):
                continue
            if member.state is _State.SUSPECT:
                found.append(dataclasses.replace(member, state=_State.DEAD))
        return tuple(found)
