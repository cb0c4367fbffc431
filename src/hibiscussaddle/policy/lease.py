"""State machine of a lease in the key-value service.

The state machine returns the next store call and receives its outcome. It
does no I/O. Times are monotonic seconds of a clock that also advances while
the host is suspended (CLOCK_BOOTTIME), since a lease expires meanwhile.
"""

import dataclasses
import enum
import typing


@dataclasses.dataclass(frozen=True)
class LeaseConfig:
    """Configure a lease; times are in seconds."""

    ttl: float = 10.0
    # Subtracted from the ttl, so that a lease counts as lost before it expires
    # in the store. It covers clocks whose rates differ by up to 20 %.
    margin: float = 2.0
    # Longest time that one fenced effect is in flight.
    effect_seconds: float = 4.0
    # Fraction of the ttl after which the lease is renewed.
    renew_fraction: float = 0.3
    # Waits of a new holder before its first effect on an endpoint that does
    # not check fencing numbers: after a holder whose lease expired (None
    # means ttl plus effect_seconds) and after one that released its lease.
    successor_wait_seconds: float | None = None
    released_wait_seconds: float = 0.0
    # The same after another process of the same instance: the longest time
    # that an effect of that process stays in flight.
    restart_wait_seconds: float = 0.0
    # Interval before a failed call is retried, and between two attempts to
    # acquire a lease that another instance holds.
    retry_seconds: float = 0.5
    claim_interval_seconds: float = 2.0


class CallKind(enum.Enum):
    """Enumerate the store calls that the state machine requests."""

    READ_KEY = "read_key"
    GRANT = "grant"
    PUT_KEY = "put_key"
    # Reads the key after a write whose outcome is unknown.
    CHECK_KEY = "check_key"
    READ_FENCE = "read_fence"
    PUT_FENCE = "put_fence"
    RENEW = "renew"


class Outcome(enum.Enum):
    """Enumerate the outcomes of a store call."""

    OK = "ok"
    # The call had no effect.
    FAILED = "failed"
    # The compare-and-swap failed, or the lease no longer exists.
    LOST = "lost"
    # The call may have taken effect.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Fence:
    """Hold the newest fencing number, stored in a key without a lease."""

    number: int = 0
    holder: str = ""
    # The holder released its lease with no effect in flight.
    released: bool = False
    # The holder has waited until no effect of its predecessor is in flight.
    settled: bool = False


@dataclasses.dataclass(frozen=True)
class Call:
    """Describe one store call."""

    kind: CallKind
    holder: str
    lease: int = 0
    expected_revision: int = 0
    # Revision that the lease's key must have for a write of the fence.
    key_revision: int = 0
    number: int = 0
    released: bool = False
    settled: bool = False


@dataclasses.dataclass(frozen=True)
class Reply:
    """Hold the response to a store call; unused fields keep defaults."""

    outcome: Outcome
    lease: int = 0
    revision: int = 0
    # Holder stored in the key; empty when the key is absent.
    holder: str = ""
    fence: Fence = Fence()


class Lease:
    """Track the lease from the view of one contender."""

    def __init__(
        self, cfg: LeaseConfig, name: str, instance: str = ""
    ) -> None:
        """Contend for the lease under a name unique to this process.

        The names of all processes of an instance start with the instance and
        a slash. A process takes over at once from an earlier process of its
        own instance.
        """
        self.cfg = cfg
        self._name = name
        self._instance = instance
        self._attempt = 0
        self._stopped = False
        self._reset(0.0)

    def _reset(self, retry_at: float) -> None:
        self._next_kind = CallKind.READ_KEY
        self._retry_at = retry_at
        self._lease = 0
        self._key_revision = 0
        # Revision of a key that an earlier process of this instance left.
        self._abandoned_key_revision = 0
        self._key_acquired_at = 0.0
        self._fence_revision = 0
        self._fencing_number = 0
        self._is_holder = False
        self._settled = False
        self._deadline: float | None = None
        # Earliest time of an effect on an endpoint that does not check fencing
        # numbers.
        self._unguarded_allowed_at = float("inf")

    @property
    def holder(self) -> str:
        """Return the unique id of the current acquisition attempt."""
        return f"{self._name}/{self._attempt}"

    @property
    def lease(self) -> int:
        """Return the store's id of the lease, 0 without a lease."""
        return self._lease

    @property
    def key_revision(self) -> int:
        """Return the revision of the lease's key, 0 unless it is held."""
        return self._key_revision if self._is_holder else 0

    @property
    def deadline(self) -> float | None:
        """Return the time until which a granted lease is certainly held."""
        return self._deadline

    def next_call(self, now: float) -> Call | None:
        """Return the store call that is due, if any."""
        if self._stopped:
            return None
        if self._deadline is not None and now >= self._deadline:
            self._reset(now)
        if now < self._retry_at:
            return None
        if self._next_kind is CallKind.READ_KEY:
            return Call(CallKind.READ_KEY, self.holder)
        if self._next_kind is CallKind.GRANT:
            self._attempt += 1
        expected = {
            CallKind.PUT_KEY: self._abandoned_key_revision,
            CallKind.PUT_FENCE: self._fence_revision,
        }
        return Call(
            self._next_kind,
            self.holder,
            self._lease,
            expected.get(self._next_kind, 0),
            self._key_revision,
            self._fencing_number,
            settled=self._settled,
        )

    def wait_seconds(self, now: float) -> float:
        """Return the seconds to the next call, at most the claim interval."""
        return min(
            max(0.0, self._retry_at - now), self.cfg.claim_interval_seconds
        )

    def on_reply(
        self, call: Call, reply: Reply, sent_at: float, now: float
    ) -> None:
        """Process the outcome of a call that was sent at sent_at."""
        if self._stopped or call.holder != self.holder:
            return
        if call.kind is not self._next_kind:
            return
        if reply.outcome is Outcome.FAILED:
            self._retry_at = now + self.cfg.retry_seconds
            return
        handle = _HANDLERS[call.kind]
        handle(self, reply, sent_at, now)

    def release(self, now: float) -> Call | None:
        """Stop for good; return the call that marks the fence as released.

        It shortens the wait of the next holder. Call this only when no
        effect is in flight. The caller revokes the lease after that call,
        whatever its outcome.
        """
        call = self._release_call(now)
        self._stopped = True
        self._is_holder = False
        return call

    def step_down(self, now: float, claim_after_seconds: float) -> Call | None:
        """Release the lease as in release(), and contend again later."""
        call = self._release_call(now)
        self._reset(now + claim_after_seconds)
        return call

    def _release_call(self, now: float) -> Call | None:
        """Return the call that marks the fence as released by its holder."""
        if (
            not self._is_holder
            or self._deadline is None
            or now >= self._deadline
        ):
            return None
        return Call(
            CallKind.PUT_FENCE,
            self.holder,
            self._lease,
            self._fence_revision,
            self._key_revision,
            self._fencing_number,
            released=True,
            settled=self._settled,
        )

    def fencing_number(self, now: float, guarded: bool) -> int | None:
        """Return the fencing number for an effect that starts now.

        Return None when no effect may start now. The effect must end within
        effect_seconds. An endpoint that checks fencing numbers is guarded;
        effects on any other endpoint are allowed only after the successor's
        wait.
        """
        if not self._is_holder or self._deadline is None:
            return None
        if now + self.cfg.effect_seconds > self._deadline:
            return None
        if not guarded and now < self._unguarded_allowed_at:
            return None
        return self._fencing_number

    def _is_same_instance(self, holder: str) -> bool:
        """Return whether the holder is a process of this instance."""
        return bool(self._instance) and holder.startswith(f"{self._instance}/")

    def _on_read_key(self, reply: Reply, sent_at: float, now: float) -> None:
        is_available = not reply.holder or self._is_same_instance(reply.holder)
        if reply.outcome is Outcome.OK and is_available:
            self._abandoned_key_revision = (
                reply.revision if reply.holder else 0
            )
            self._next_kind = CallKind.GRANT
            return
        self._retry_at = now + self.cfg.claim_interval_seconds

    def _on_grant(self, reply: Reply, sent_at: float, now: float) -> None:
        if reply.outcome is not Outcome.OK:
            # A lease whose id is unknown has no key and expires by itself.
            self._retry_at = now + self.cfg.retry_seconds
            return
        self._lease = reply.lease
        # Counted from before the call: the store starts its ttl later.
        self._deadline = sent_at + self.cfg.ttl - self.cfg.margin
        self._next_kind = CallKind.PUT_KEY

    def _on_put_key(self, reply: Reply, sent_at: float, now: float) -> None:
        if reply.outcome is Outcome.OK:
            self._on_key_acquired(reply.revision, now)
        elif reply.outcome is Outcome.LOST:
            self._reset(now + self.cfg.claim_interval_seconds)
        else:
            self._next_kind = CallKind.CHECK_KEY

    def _on_check_key(self, reply: Reply, sent_at: float, now: float) -> None:
        if reply.outcome is not Outcome.OK:
            self._retry_at = now + self.cfg.retry_seconds
        elif reply.holder == self.holder:
            self._on_key_acquired(reply.revision, now)
        elif reply.holder:
            self._reset(now + self.cfg.claim_interval_seconds)
        else:
            # The first write may still arrive. Writing again under the same
            # id is safe, since both writes require that the key is absent.
            self._next_kind = CallKind.PUT_KEY

    def _on_key_acquired(self, revision: int, now: float) -> None:
        self._key_revision = revision
        self._key_acquired_at = now
        self._next_kind = CallKind.READ_FENCE

    def _on_read_fence(self, reply: Reply, sent_at: float, now: float) -> None:
        if reply.outcome is not Outcome.OK:
            self._retry_at = now + self.cfg.retry_seconds
            return
        fence = reply.fence
        if fence.holder == self.holder and not fence.released:
            self._fencing_number = fence.number
            self._become_holder(reply.revision, now)
            return
        self._fence_revision = reply.revision
        # Above the old number even if the store's revisions were reset.
        self._fencing_number = max(self._key_revision, fence.number + 1)
        wait_seconds = self.cfg.ttl + self.cfg.effect_seconds
        if self.cfg.successor_wait_seconds is not None:
            wait_seconds = self.cfg.successor_wait_seconds
        if fence.released:
            wait_seconds = self.cfg.released_wait_seconds
        # An unsettled process may not have waited long enough after another
        # instance, so its successor waits for the full time.
        is_restart = self._is_same_instance(fence.holder) and fence.settled
        if is_restart:
            wait_seconds = self.cfg.restart_wait_seconds
        if not fence.holder:
            wait_seconds = 0.0
        self._settled = is_restart or not fence.holder
        self._unguarded_allowed_at = self._key_acquired_at + wait_seconds
        self._next_kind = CallKind.PUT_FENCE

    def _on_put_fence(self, reply: Reply, sent_at: float, now: float) -> None:
        if reply.outcome is Outcome.OK:
            self._become_holder(reply.revision, now)
        elif reply.outcome is Outcome.LOST:
            # Another contender wrote the fence, or holds the key by now.
            self._next_kind = CallKind.CHECK_KEY
        else:
            self._next_kind = CallKind.READ_FENCE

    def _become_holder(self, fence_revision: int, now: float) -> None:
        self._fence_revision = fence_revision
        self._is_holder = True
        self._next_kind = CallKind.RENEW
        self._retry_at = now

    def _on_renew(self, reply: Reply, sent_at: float, now: float) -> None:
        if reply.outcome is Outcome.LOST:
            self._reset(now + self.cfg.retry_seconds)
        elif reply.outcome is Outcome.UNKNOWN:
            self._retry_at = now + self.cfg.retry_seconds
        else:
            self._deadline = sent_at + self.cfg.ttl - self.cfg.margin
            if not self._settled and now >= self._unguarded_allowed_at:
                # The successor may then rely on this holder having waited.
                self._settled = True
                self._next_kind = CallKind.PUT_FENCE
                return
            self._retry_at = sent_at + self.cfg.ttl * self.cfg.renew_fraction


_Handler: typing.TypeAlias = typing.Callable[
    [Lease, Reply, float, float], None
]
_HANDLERS: typing.Final[dict[CallKind, _Handler]] = {
    CallKind.READ_KEY: Lease._on_read_key,
    CallKind.GRANT: Lease._on_grant,
    CallKind.PUT_KEY: Lease._on_put_key,
    CallKind.CHECK_KEY: Lease._on_check_key,
    CallKind.READ_FENCE: Lease._on_read_fence,
    CallKind.PUT_FENCE: Lease._on_put_fence,
    CallKind.RENEW: Lease._on_renew,
}
