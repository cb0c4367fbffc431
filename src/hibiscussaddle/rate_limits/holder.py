"""Grant permits to send requests to endpoints that named a rate limit."""

from collections import abc
import dataclasses
import random
import time

from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import observations
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle.rate_limits import observed
from hibiscussaddle.rate_limits import permits
from hibiscussaddle.rate_limits import schedule
from hibiscussaddle.rate_limits import shares


@dataclasses.dataclass
class _HeldSchedules:
    """Hold the schedules of an endpoint for which this instance is asked."""

    by_scope: dict[shares.Scope, schedule.Schedule] = dataclasses.field(
        default_factory=dict
    )


class PermitHolder:
    """Grant permits to this instance and its peers."""

    def __init__(
        self,
        members: presence_lib.Members,
        holds_membership: abc.Callable[[], bool],
        limits: observed.ObservedLimits,
        rng: random.Random,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without any schedule.

        The callable returns whether peers still count this instance as a
        member; it grants for the fleet only then.
        """
        self.members = members
        # Called with the id and incarnation of an endpoint of this holder when
        # a peer reports that its limit changed.
        self.on_change: abc.Callable[[str, int], None] = lambda *_: None
        self._holds_membership = holds_membership
        self._limits = limits
        self._rng = rng
        self._clock = clock
        self._held = observations.Observations(_HeldSchedules)

    def serve(self, message: permits.PermitRequest) -> permits.PermitResponse:
        """Decide on the request of a peer, or note the limit that it knows."""
        now = self._clock()
        is_change = self._limits.apply(
            message.endpoint_id,
            message.incarnation,
            message.rate,
            now - message.age,
            "peer",
        )
        if is_change and self.is_holder(
            shares.Scope.FLEET, message.endpoint_id
        ):
            self.on_change(message.endpoint_id, message.incarnation)
        known = self._limits.limit(message.endpoint_id, message.incarnation)
        age = now - known.observed_at
        if not self.is_holder(message.scope, message.endpoint_id):
            return permits.PermitResponse(False, rate=known.rate, age=age)
        decision = schedule.Decision(True)
        rate = schedule.effective_rate(known.rate)
        if rate is not None and message.max_delay is not None:
            decision = self._decide(message, rate, message.max_delay, now)
        return permits.PermitResponse(
            True,
            decision.is_granted,
            decision.delay,
            decision.retry_after,
            decision.free_after,
            known.rate,
            age,
        )

    def _decide(
        self,
        message: permits.PermitRequest,
        rate: float,
        max_delay: float,
        now: float,
    ) -> schedule.Decision:
        share = shares.fraction(
            message.scope, self.members.me, self.members.all.values()
        )
        if share <= 0:
            wait = schedule.MAX_RETRY_SECONDS
            return schedule.Decision(False, 0.0, wait, wait)
        schedules = self._held.for_key(
            f"{message.endpoint_id}/{message.incarnation}", 0
        ).by_scope
        current = schedules.get(message.scope)
        if current is None:
            # The shares of a fleet that loses its holders start at once.
            is_share = message.scope is not shares.Scope.FLEET
            phase = self._rng.random() if is_share else 0.0
            current = schedule.Schedule(rate * share, now, phase)
            schedules[message.scope] = current
        else:
            current.set_rate(rate * share, now)
        return current.decide(now, max_delay)

    def is_holder(self, scope: shares.Scope, endpoint_id: str) -> bool:
        """Return whether this instance grants the permits of an endpoint."""
        if scope is shares.Scope.FLEET and not self._holds_membership():
            return False
        member = self.holder_of(scope, endpoint_id)
        return (
            member is not None and member.instance == self.members.me.instance
        )

    def holder_of(
        self, scope: shares.Scope, endpoint_id: str
    ) -> member_lib.Member | None:
        """Return the member that grants the permits of an endpoint."""
        return shares.holder(
            scope,
            endpoint_id,
            self.members.me,
            self.members.all.values(),
        )
