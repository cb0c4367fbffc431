"""Plan the weight load orders of one model in one zone."""

from collections import abc
import dataclasses
import typing

# Backoff before an order to the same engine is retried.
_FIRST_RETRY_SECONDS: typing.Final = 1.0
_MAX_RETRY_SECONDS: typing.Final = 30.0
# The same while orders can't be sent. Items that need the new weights are at
# no engine meanwhile, and count as lost after 5 s.
_MAX_REJECTED_RETRY_SECONDS: typing.Final = 2.0
# Orders of this many seconds may be sent in one burst.
_BURST_SECONDS: typing.Final = 0.25
# Time after which a newest version is settled: engines whose version is still
# within the allowed lag then load it too. It is twice the time between two
# steps.
SETTLE_SECONDS: typing.Final = 8.0
# The same for engines outside the model's shard. Every engine of the fleet
# then has a new version within 23 s.
OUTSIDE_SHARD_SECONDS: typing.Final = 16.0


@dataclasses.dataclass(frozen=True)
class RolloutConfig:
    """Configure the limits of a rollout."""

    # Limit on weight loads: this zone's share of what the weight store allows.
    orders_per_second: float = 10.0
    # Largest fraction of the engines out of service for a weight swap.
    max_out_fraction: float = 1 / 3
    # Engines that may be out of service at once in a small fleet, as long as
    # at least one other engine serves.
    min_out_count: int = 1
    # Longest time that an order is in flight.
    order_seconds: float = 4.0


@dataclasses.dataclass(frozen=True)
class Report:
    """Hold the state that an engine reported, and when it was taken."""

    endpoint_id: str
    incarnation: int
    # None while the engine holds mixed or no weights.
    version: int | None
    taken_at: float


@dataclasses.dataclass(frozen=True)
class Order:
    """Describe an order to one engine to load a version."""

    endpoint_id: str
    version: int


@dataclasses.dataclass
class EngineState:
    """Hold the known state of one engine."""

    incarnation: int
    version: int | None
    # False from the start of a weight swap until its outcome is known, and
    # from a restart until the engine holds the newest version.
    serving: bool
    in_flight: bool = False
    # Whether the engine served when its order started.
    served_before: bool = False
    # The engine restarted and has not held the newest version since.
    restarted: bool = False
    # Reports taken before this time may predate the effect of an order.
    trusted_from: float = 0.0
    failures: int = 0
    retry_at: float = 0.0


class Rollout:
    """Decide which engines load weights next, and which may serve."""

    def __init__(self, cfg: RolloutConfig, now: float) -> None:
        """Start without engines."""
        self.newest_version = 0
        # Number of versions behind the newest one that work still accepts.
        self.allowed_lag = 0
        # Engines that run this model's work; None for all of them.
        self.shard_engine_ids: abc.Collection[str] | None = None
        # The newest version and when due_orders() first saw it.
        self._newest_seen: tuple[int, float] = (0, now)
        self.engines: dict[str, EngineState] = {}
        self._cfg = cfg
        self._max_tokens = max(1.0, cfg.orders_per_second * _BURST_SECONDS)
        self._tokens = self._max_tokens
        self._refilled_at = now

    def record_newest(self, version: int) -> bool:
        """Record a published version; return whether it is new."""
        if version <= self.newest_version:
            return False
        self.newest_version = version
        for state in self.engines.values():
            # The backoff was for orders of the previous version.
            state.failures, state.retry_at = 0, 0.0
        return True

    def newest_age(self, now: float) -> float:
        """Return for how many seconds the newest version has been known."""
        return now - self._newest_seen[1]

    def retain_engines(self, endpoint_ids: abc.Collection[str]) -> None:
        """Remove the engines that are not in the collection."""
        for endpoint_id in self.engines.keys() - set(endpoint_ids):
            del self.engines[endpoint_id]

    def restore_engine(
        self, endpoint_id: str, incarnation: int, serving: bool
    ) -> None:
        """Restore the state of an engine that the previous holder stored."""
        self.engines.setdefault(
            endpoint_id, EngineState(incarnation, None, serving)
        )

    def apply_report(self, report: Report) -> None:
        """Apply an engine's own report."""
        state = self.engines.get(report.endpoint_id)
        if state is None:
            state = EngineState(report.incarnation, report.version, True)
            self.engines[report.endpoint_id] = state
        if report.incarnation < state.incarnation:
            return
        if report.incarnation > state.incarnation:
            self._record_restart(state, report)
        elif state.in_flight or report.taken_at < state.trusted_from:
            return
        state.version = report.version
        if report.version is None:
            state.serving = False
        elif report.version >= self.newest_version:
            state.serving = True
            state.restarted = False
            state.failures = 0

    def _record_restart(self, state: EngineState, report: Report) -> None:
        """Record that an engine has restarted."""
        # An order in flight may still reach the new process.
        trusted_from = report.taken_at
        if state.in_flight:
            trusted_from += self._cfg.order_seconds
        state.incarnation = report.incarnation
        state.version = None
        state.serving = state.served_before = False
        state.restarted = True
        state.trusted_from = max(state.trusted_from, trusted_from)
        state.failures, state.retry_at = 0, 0.0

    def due_orders(
        self, now: float, is_allowed: abc.Callable[[str], bool]
    ) -> list[Order]:
        """Return the orders to send now; call start_order() for each.

        The callable returns whether the lease allows an order to an engine.
        Engines out of service go first, since their swap interrupts no work.
        With an allowed lag only a fraction of the engines loads each version:
        the others run on without a pause and load the next one. Engines
        outside the shard load a version only if it stays the newest.
        """
        if self._newest_seen[0] != self.newest_version:
            self._newest_seen = (self.newest_version, now)
        age_seconds = self.newest_age(now)
        is_settled = age_seconds >= SETTLE_SECONDS
        include_outside = age_seconds >= OUTSIDE_SHARD_SECONDS
        refill = (
            max(0.0, now - self._refilled_at) * self._cfg.orders_per_second
        )
        self._tokens = min(self._max_tokens, self._tokens + refill)
        self._refilled_at = now
        waiting = [
            (state.serving, state.version or 0, endpoint_id)
            for endpoint_id, state in self.engines.items()
            if (include_outside or self._is_in_shard(endpoint_id))
            and self._needs_order(state, now)
            and is_allowed(endpoint_id)
        ]
        orders: list[Order] = []
        taken_out_count = 0
        optional_count = (
            len(waiting) if is_settled else self._optional_load_count()
        )
        for serving, version, endpoint_id in sorted(waiting):
            if serving and version >= self.newest_version - self.allowed_lag:
                optional_count -= 1
                if optional_count < 0:
                    break
            if len(orders) + 1 > self._tokens:
                break
            if serving and not self._may_take_out(
                taken_out_count, bool(orders)
            ):
                break
            taken_out_count += serving
            orders.append(Order(endpoint_id, self.newest_version))
        return orders

    def _is_in_shard(self, endpoint_id: str) -> bool:
        return (
            self.shard_engine_ids is None
            or endpoint_id in self.shard_engine_ids
        )

    def _shard_states(self) -> list[EngineState]:
        return [
            state
            for endpoint_id, state in self.engines.items()
            if self._is_in_shard(endpoint_id)
        ]

    def _optional_load_count(self) -> int:
        """Return how many engines may load although their version is allowed.

        About 1 / (allowed_lag + 1) of the shard's engines load each version.
        """
        states = self._shard_states()
        # Engines that hold the newest version, load it or have to load it.
        committed_count = sum(
            state.in_flight
            or not state.serving
            or state.version is None
            or state.version >= self.newest_version
            or state.version < self.newest_version - self.allowed_lag
            for state in states
        )
        return max(1, len(states) // (self.allowed_lag + 1)) - committed_count

    def _needs_order(self, state: EngineState, now: float) -> bool:
        if state.in_flight or now < state.retry_at:
            return False
        if now < state.trusted_from:
            # An earlier order in flight could arrive later and undo this one.
            return False
        if state.serving and state.version is None:
            # No report since the state was restored.
            return False
        return state.version is None or state.version < self.newest_version

    def _may_take_out(self, taken_out_count: int, has_orders: bool) -> bool:
        """Return whether one more serving engine may go out of service.

        `has_orders` is True if an order is already due in this round.
        """
        states = self._shard_states()
        out = sum(not state.serving for state in states) + taken_out_count
        if out < self._max_out_count():
            return True
        # Engines that have failed must not block the update of the others, so
        # one at a time is always allowed.
        return not has_orders and not any(state.in_flight for state in states)

    def _max_out_count(self) -> int:
        """Return how many engines may be out of service at once."""
        count = len(self._shard_states())
        min_count = max(1, min(self._cfg.min_out_count, count - 1))
        return max(min_count, int(count * self._cfg.max_out_fraction))

    def start_order(self, order: Order) -> None:
        """Take an engine out of service, right before its order is sent."""
        state = self.engines[order.endpoint_id]
        state.in_flight = True
        state.served_before = state.serving
        state.serving = False
        self._tokens -= 1.0

    def record_rejection(self, order: Order, now: float) -> None:
        """Record that an order certainly had no effect."""
        state = self.engines.get(order.endpoint_id)
        if state is None:
            return
        state.in_flight = False
        self._back_off(state, now, _MAX_REJECTED_RETRY_SECONDS)
        state.serving = state.served_before and state.version is not None

    def finish_order(
        self, order: Order, report: Report | None, sent_at: float, now: float
    ) -> None:
        """Record the response to an order; None if its outcome is unknown."""
        state = self.engines.get(order.endpoint_id)
        if state is None:
            return
        state.in_flight = False
        if report is None:
            state.version = None
            state.trusted_from = max(
                state.trusted_from, sent_at + self._cfg.order_seconds
            )
            self._back_off(state, now)
            return
        if report.incarnation < state.incarnation:
            # The response is from a process that has ended since.
            return
        if report.incarnation > state.incarnation:
            state.incarnation = report.incarnation
            state.restarted = True
        state.version = report.version
        state.trusted_from = max(state.trusted_from, now)
        if report.version == order.version:
            state.failures, state.retry_at = 0, 0.0
            state.restarted &= order.version < self.newest_version
            state.serving = not state.restarted
        else:
            self._back_off(state, now)

    def _back_off(
        self,
        state: EngineState,
        now: float,
        max_seconds: float = _MAX_RETRY_SECONDS,
    ) -> None:
        wait_seconds = min(
            max_seconds, _FIRST_RETRY_SECONDS * 2**state.failures
        )
        state.failures += 1
        state.retry_at = now + wait_seconds
