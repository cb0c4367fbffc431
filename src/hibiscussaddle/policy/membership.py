"""Failure detector after SWIM: probes, suspicion, refutation."""

import dataclasses
import random
import typing

from hibiscussaddle import members
from hibiscussaddle.policy import facts

FACT_KIND: typing.Final = "member"
SUSPICION_SECONDS: typing.Final = 3.0
INDIRECT_PROBE_COUNT: typing.Final = 2
# A dead member is probed that often by each live one, so that both sides
# of a healed partition find each other within seconds.
DEAD_PROBE_SECONDS: typing.Final = 3.0
# An instance that is gone for good is probed less often after this.
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
    """Return the incarnation, as raised by refutations."""
    return max(member.incarnation, member.heartbeat)


def statement_version(member: members.Member) -> int:
    """Return the rank among statements about one member.

    A higher number wins; within a number the later state wins, so that
    only the member itself can take a suspicion back.
    """
    return incarnation_number(member) * len(_RANKS) + _RANKS[member.state]


def to_fact(member: members.Member) -> facts.Fact:
    """Return the fact that states a member's condition."""
    value = {
        fld.name: getattr(member, fld.name)
        for fld in dataclasses.fields(member)
    }
    value["state"] = member.state.value
    # Suspicions by several observers are one fact: its origin is the
    # member itself, whoever states it.
    return facts.Fact(
        FACT_KIND, member.id, statement_version(member), member.id, value
    )


class Detector:
    """Decide whom to probe and what the outcomes mean."""

    def __init__(self, known: members.Members, rng: random.Random) -> None:
        """Judge the members of one instance."""
        self._members = known
        self._rng = rng
        self._round: list[str] = []
        # Monotonic seconds at which a suspect's time is over.
        self._deadlines: dict[str, tuple[int, float]] = {}
        self._died: dict[str, float] = {}
        self._next_dead_probe = 0.0

    def next_probe_target(self) -> members.Member | None:
        """Return the next live member of a shuffled round robin."""
        for _ in range(2):
            while self._round:
                found = self._members.get(self._round.pop())
                if found is not None and found in self._members.others():
                    return found
            self._round = [member.id for member in self._members.others()]
            self._rng.shuffle(self._round)
        return None

    def next_dead_member(self, now: float) -> members.Member | None:
        """Return a dead member to probe again; None when none is due."""
        if now < self._next_dead_probe:
            return None
        dead = [m for m in self._members.all() if m.state is _State.DEAD]
        if not dead:
            return None
        fresh = [m for m in dead if self._is_fresh(m, now)]
        pause = DEAD_PROBE_SECONDS if fresh else LONG_DEAD_PROBE_SECONDS
        self._next_dead_probe = now + pause * self._rng.uniform(0.7, 1.3)
        return self._rng.choice(fresh or dead)

    def _is_fresh(self, member: members.Member, now: float) -> bool:
        return now - self._died.get(member.id, now) < LONG_DEAD_SECONDS

    def indirect_probers(self, target_id: str) -> tuple[members.Member, ...]:
        """Return members that probe the target on our behalf."""
        others = [
            member
            for member in self._members.others()
            if member.id != target_id and member.state is _State.ALIVE
        ]
        return tuple(
            self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
        )

    def suspicion(self, probed: members.Member) -> members.Member | None:
        """Return the suspicion to state after all probes failed.

        None when the member was refuted, restarted or judged meanwhile.
        """
        current = self._members.get(probed.id)
        if current != probed or probed.state is not _State.ALIVE:
            return None
        return dataclasses.replace(probed, state=_State.SUSPECT)

    def merge(
        self, stated: members.Member, now: float
    ) -> members.Member | None:
        """Keep a newer statement; return a correction of it about us."""
        me = self._members.me
        if stated.id == me.id:
            return self._refute(stated)
        self._members.put(stated)
        if stated.state is _State.SUSPECT:
            deadline = now + SUSPICION_SECONDS
            self._deadlines[stated.id] = (incarnation_number(stated), deadline)
        else:
            self._deadlines.pop(stated.id, None)
        if stated.state is _State.DEAD:
            self._died.setdefault(stated.id, now)
        else:
            self._died.pop(stated.id, None)
        return None

    def _refute(self, stated: members.Member) -> members.Member | None:
        me = self._members.me
        if stated == me:
            return None
        # Also a former self whose clock was ahead of ours.
        raised = max(incarnation_number(stated), incarnation_number(me)) + 1
        corrected = dataclasses.replace(me, heartbeat=raised)
        self._members.put(corrected)
        return corrected

    def expired_suspects(self, now: float) -> tuple[members.Member, ...]:
        """Return the suspects to declare dead."""
        found: list[members.Member] = []
        for member_id, (seen, deadline) in list(self._deadlines.items()):
            if now < deadline:
                continue
            del self._deadlines[member_id]
            member = self._members.get(member_id)
            if member is None or incarnation_number(member) != seen:
                continue
            if member.state is _State.SUSPECT:
                found.append(dataclasses.replace(member, state=_State.DEAD))
        return tuple(found)
