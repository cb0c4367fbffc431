"""Hold the suspected lifetimes and what is known of each.

Callers pass the time in, and nothing here performs I/O.
"""

import collections
from collections import abc
import dataclasses
import typing

from hibiscussaddle.endpoint_ends import decision

# A lifetime that stays undecided for this long is forgotten. Its entry would
# have expired: after 3.6 s, and 2.2 s more in an outage of the store.
OPEN_SECONDS: typing.Final = 10.0
# An end may be refuted for as long as it marks a request.
KEEP_SECONDS: typing.Final = 600.0
# The oldest lifetimes are forgotten beyond as many.
MAX_CASES: typing.Final = 4096
# Endpoints of one service that refuse this instance within this time point at
# its own link, if they are as many as this and most of the service.
OWN_LINK_SECONDS: typing.Final = 0.5
_MIN_OWN_LINK: typing.Final = 3
# Suspicions of one service that are counted.
_MAX_RECENT: typing.Final = 1024
# Answers of peers that are further apart say nothing of the time in between.
# An undecided lifetime is checked each 0.7 s.
_MAX_AGREED_GAP_SECONDS: typing.Final = 1.2
# Interval at which ends that other instances confirmed are decided again.
_REPORTED_REVIEW_SECONDS: typing.Final = 1.0

_FIRST: typing.Final = decision.Decision(
    decision.Verdict.SUSPECTED, decision.Cause.OWN_CONNECTION
)


@dataclasses.dataclass
class Case:
    """Hold what is known of one suspected lifetime."""

    lifetime: decision.Lifetime
    service: str
    # Monotonic seconds of the first and of the newest broken connection since
    # the lifetime was last known to live.
    suspected_at: float
    latest_at: float
    found: decision.Decision = _FIRST
    contact_at: float = float("-inf")
    opinions: tuple[decision.PeerOpinion, ...] = ()
    # Monotonic seconds of the first and of the newest answers of peers that
    # confirmed the end, without others in between.
    agreed_at: float = float("inf")
    agreed_until: float = float("-inf")
    # Whether members of other zones were listed when peers were asked.
    has_other_zones: bool = False
    # Whether most of the service refused this instance at the same time.
    is_own_link: bool = False
    # Whether this instance found the suspicion itself.
    is_own: bool = True

    def forget_agreement(self) -> None:
        """Record that peers don't confirm the end."""
        self.agreed_at = float("inf")
        self.agreed_until = float("-inf")

    @property
    def is_settled(self) -> bool:
        """Return whether no later fact can change the verdict."""
        return self.found.cause is decision.Cause.NEWER_INCARNATION


@dataclasses.dataclass(frozen=True)
class Change:
    """Describe a verdict that changed."""

    lifetime: decision.Lifetime
    before: decision.Verdict
    found: decision.Decision
    # Seconds since the lifetime was suspected.
    age: float
    # Monotonic seconds up to which suspicions are covered.
    until: float


class EndTable:
    """Track suspected lifetimes until they are decided."""

    def __init__(
        self,
        read_facts: abc.Callable[[decision.Lifetime], decision.Facts],
        service_size: abc.Callable[[str], int],
    ) -> None:
        """Read what the list of endpoints says from functions."""
        self._read_facts = read_facts
        self._service_size = service_size
        self._cases: collections.OrderedDict[decision.Lifetime, Case]
        self._cases = collections.OrderedDict()
        # Seconds and IDs of the newest suspicions by service.
        self._recent: dict[str, collections.deque[tuple[float, str]]] = {}
        self._reported_review_at = float("-inf")
        # Called with each verdict that changed.
        self.on_change: abc.Callable[[Change], None] = lambda _: None

    def __len__(self) -> int:
        """Return the number of lifetimes that are remembered."""
        return len(self._cases)

    def suspected_count(self) -> int:
        """Return the number of lifetimes that are not decided yet."""
        return sum(
            case.found.verdict is decision.Verdict.SUSPECTED
            for case in self._cases.values()
        )

    def verdict(self, lifetime: decision.Lifetime) -> decision.Verdict | None:
        """Return the verdict on a lifetime, None without a suspicion."""
        case = self._cases.get(lifetime)
        return case.found.verdict if case else None

    def cases(self) -> tuple[Case, ...]:
        """Return the lifetimes whose verdict may change."""
        return tuple(c for c in self._cases.values() if not c.is_settled)

    def suspect(
        self, lifetime: decision.Lifetime, service: str, now: float
    ) -> decision.Verdict:
        """Record that an own connection broke; return what is known."""
        case = self._cases.get(lifetime)
        if case is not None and case.found.verdict in (
            decision.Verdict.SUSPECTED,
            decision.Verdict.ENDED,
        ):
            case.latest_at = now
            return self._review(case, now)
        case = Case(lifetime, service, now, now)
        facts = self._read_facts(lifetime)
        if facts.incarnation is None or (
            facts.incarnation <= lifetime[1] and facts.is_leaving
        ):
            # It left before the connection broke.
            case.found = decision.Decision(
                decision.Verdict.LEFT, decision.Cause.IN_ORDER
            )
        self._put(case)
        self._record_recent(service, lifetime[0], now)
        return self._review(case, now)

    def adopt(
        self, lifetime: decision.Lifetime, ended_at: float, now: float
    ) -> None:
        """Record an end that another instance confirmed.

        It is refuted here if the entry is renewed, since the other instance
        may be gone by then.
        """
        case = self._cases.get(lifetime)
        if case is not None and case.found.verdict is decision.Verdict.ENDED:
            return
        if (
            case is None
            or case.found.verdict is not decision.Verdict.SUSPECTED
        ):
            case = Case(lifetime, "", ended_at, ended_at, is_own=False)
            self._put(case)
        reported = decision.Decision(
            decision.Verdict.ENDED, decision.Cause.REPORTED
        )
        if now - ended_at < OPEN_SECONDS:
            self._change(case, reported, now, now)
        else:
            # Nothing depends on it any more but the mark itself.
            case.found = reported
        self._review(case, now)

    def record_contact(
        self, lifetime: decision.Lifetime, began_at: float, now: float
    ) -> None:
        """Record that an exchange that began then reached the lifetime."""
        case = self._cases.get(lifetime)
        if case is not None:
            case.contact_at = max(case.contact_at, began_at)
            self._review(case, now)

    def record_opinions(
        self,
        lifetime: decision.Lifetime,
        opinions: abc.Iterable[decision.PeerOpinion],
        has_other_zones: bool,
        now: float,
    ) -> None:
        """Record what peers answered."""
        case = self._cases.get(lifetime)
        if case is not None:
            case.opinions = tuple(opinions)
            case.has_other_zones = has_other_zones
            if decision.peers_agree(case.opinions, has_other_zones):
                if now - case.agreed_until > _MAX_AGREED_GAP_SECONDS:
                    case.agreed_at = now
                case.agreed_until = now
            else:
                case.forget_agreement()
            self._review(case, now)

    def review(self, now: float) -> None:
        """Decide on all lifetimes again, and forget old ones."""
        reviews_reported = (
            now - self._reported_review_at >= _REPORTED_REVIEW_SECONDS
        )
        if reviews_reported:
            self._reported_review_at = now
        for lifetime, case in list(self._cases.items()):
            if not case.is_own and not reviews_reported:
                continue
            self._review(case, now)
            limit = KEEP_SECONDS
            if case.found.verdict is not decision.Verdict.ENDED:
                limit = OPEN_SECONDS
            if now - case.latest_at >= limit:
                self._cases.pop(lifetime, None)

    def _review(self, case: Case, now: float) -> decision.Verdict:
        if case.is_settled:
            return case.found.verdict
        facts = dataclasses.replace(
            self._read_facts(case.lifetime),
            contact_at=case.contact_at,
            opinions=case.opinions,
            agreed_seconds=max(0.0, case.agreed_until - case.agreed_at),
            has_other_zones=case.has_other_zones,
            is_own_link=self._is_own_link(case),
        )
        found = decision.decide(
            case.lifetime, case.suspected_at, case.found, facts, now
        )
        if found == case.found:
            return found.verdict
        self._change(case, found, _covered_until(found, facts, now), now)
        return case.found.verdict

    def _change(
        self,
        case: Case,
        found: decision.Decision,
        until: float,
        now: float,
    ) -> None:
        change = Change(
            case.lifetime,
            case.found.verdict,
            found,
            now - case.suspected_at,
            until,
        )
        case.found = found
        if found.verdict is decision.Verdict.LIVES and case.latest_at > until:
            # A later connection broke, about which nothing is known yet.
            case.suspected_at = case.latest_at
            case.found = _FIRST
            case.opinions = ()
            case.forget_agreement()
            case.is_own_link = False
        self.on_change(change)

    def _is_own_link(self, case: Case) -> bool:
        """Return whether most of the service refused at about that time."""
        if (
            not case.is_own
            or case.is_own_link
            # Peers have confirmed it, or an entry has.
            or case.found.verdict is decision.Verdict.ENDED
        ):
            return case.is_own_link
        close = {
            endpoint_id
            for at, endpoint_id in self._recent.get(case.service, ())
            if abs(at - case.suspected_at) < OWN_LINK_SECONDS
        }
        case.is_own_link = len(close) >= _MIN_OWN_LINK and 2 * len(
            close
        ) > self._service_size(case.service)
        return case.is_own_link

    def _record_recent(
        self, service: str, endpoint_id: str, now: float
    ) -> None:
        recent = self._recent.setdefault(
            service, collections.deque(maxlen=_MAX_RECENT)
        )
        recent.append((now, endpoint_id))
        while recent[0][0] < now - 2 * OWN_LINK_SECONDS:
            recent.popleft()

    def _put(self, case: Case) -> None:
        self._cases[case.lifetime] = case
        self._cases.move_to_end(case.lifetime)
        if len(self._cases) > MAX_CASES:
            self._cases.popitem(last=False)


def _covered_until(
    found: decision.Decision, facts: decision.Facts, now: float
) -> float:
    """Return the monotonic seconds up to which a verdict holds."""
    if found.cause is decision.Cause.ENTRY_RENEWED:
        return facts.renewed_after
    if found.cause is decision.Cause.CONTACT:
        return facts.contact_at
    return now
