"""Queued and running work of one model or plain service."""

import collections
from collections import abc
import dataclasses
import math
import typing

import anyio

from hibiscussaddle import placement as placement_lib
from hibiscussaddle.policy import queueing
from hibiscussaddle.policy import shares

# Maximum age of a computed share.
SHARE_REFRESH_SECONDS: typing.Final = 0.02
# An increase of the own demand counts for lengthy work after this many
# publications, because facts reach the other zones in two hops. With a single
# publication, eight instances took 55 of 48 slots in a burst.
SETTLED_PUBLICATIONS: typing.Final = 3
# Expected tokens above which work counts as lengthy. Shorter work ends before
# an overcommitment by it matters, and waiting for the publications would cost
# trainers more.
LENGTHY_TOKENS: typing.Final = 512.0
# Slots are reserved for short work this long after its last arrival. It is
# also the time constant with which the demand of short work decays.
SHORT_WORK_DECAY_SECONDS: typing.Final = 5.0
# Smaller reservations for short work are not counted as demand.
_MIN_RESERVED_SLOTS = 0.1


@dataclasses.dataclass(eq=False)
class Waiter:
    """Hold one queued piece of work until it is placed or evicted."""

    work: placement_lib.Work
    entry: queueing.Entry
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    placement: placement_lib.Placement | None = None


@dataclasses.dataclass
class _DecayingPeak:
    """Track the running short work of one customer and its recent peak."""

    count: int = 0
    decayed_peak: float = 0.0
    updated_at: float = 0.0

    def add(self, change: int, now: float) -> None:
        self.decayed_peak = self.current_value(now)
        self.count += change
        self.decayed_peak = max(self.decayed_peak, self.count)
        self.updated_at = now

    def current_value(self, now: float) -> float:
        decay = math.exp((self.updated_at - now) / SHORT_WORK_DECAY_SECONDS)
        return max(self.count, self.decayed_peak * decay)


class Pool:
    """Track the work of this instance for one model or plain service."""

    def __init__(
        self, instance: str, is_engine: bool, target: str, max_queued: int
    ) -> None:
        """Create a pool without work."""
        self.is_engine = is_engine
        self.target = target
        self.queue = queueing.Queue(max_queued)
        self.waiters: dict[int, Waiter] = {}
        self.running: collections.Counter[str] = collections.Counter()
        # Monotonic seconds of the next scan of all endpoints.
        self.next_full_scan_at = -math.inf
        # Requests of each customer that wait outside of the queue.
        self.unqueued_demand: dict[str, int] = {}
        self.peer_demands: dict[str, shares.Demand] = {}
        self._instance = instance
        self._short_peaks: dict[str, _DecayingPeak] = {}
        self._last_short_arrival_at = -math.inf
        # Own demand as last published to the peers; None before that.
        self.published_demand: shares.Demand | None = None
        self._published_slots: collections.deque[abc.Mapping[str, float]] = (
            collections.deque(maxlen=SETTLED_PUBLICATIONS)
        )
        # Computation time and share, by whether the work is lengthy.
        self._shares: dict[bool, tuple[float, shares.OwnShare]] = {}

    def record_start(self, entry: queueing.Entry, now: float) -> None:
        """Record the start of one request."""
        self.running[entry.customer] += 1
        if entry.work_class is queueing.WorkClass.SHORT:
            self._short_peaks.setdefault(entry.customer, _DecayingPeak()).add(
                1, now
            )

    def record_end(self, customer: str, is_short: bool, now: float) -> None:
        """Record the end of one request."""
        self.running[customer] -= 1
        if is_short:
            self._short_peaks[customer].add(-1, now)

    def record_arrival(self, entry: queueing.Entry) -> None:
        """Record the arrival of an entry, if it is short work."""
        if entry.work_class is queueing.WorkClass.SHORT:
            self._last_short_arrival_at = entry.enqueued_at

    def has_recent_short_work(self, now: float) -> bool:
        """Return whether short work arrived recently."""
        return now <= self._last_short_arrival_at + SHORT_WORK_DECAY_SECONDS

    def current_demand(self, now: float) -> dict[str, float]:
        """Return the slots that this instance uses or needs, by customer.

        Short work counts with its recent peak: slots that long work takes
        during a lull would be missing for many seconds.
        """
        demand: dict[str, float] = dict(self.queue.waiting_by_customer())
        for counts in (self.running, self.unqueued_demand):
            for customer, count in counts.items():
                if count > 0:
                    demand[customer] = demand.get(customer, 0) + count
        for customer, peak in self._short_peaks.items():
            reserved = peak.current_value(now) - peak.count
            if reserved >= _MIN_RESERVED_SLOTS:
                demand[customer] = demand.get(customer, 0) + reserved
        return demand

    def publish_demand(self, now: float) -> None:
        """Record the current demand as published to the peers."""
        self.published_demand = shares.Demand(now, self.current_demand(now))
        self._published_slots.append(self.published_demand.slots)
        self._shares.clear()

    def _settled_demand(self, published: shares.Demand) -> shares.Demand:
        """Return the own demand that every peer must have received."""
        slots = {
            customer: min(
                previous.get(customer, 0.0)
                for previous in self._published_slots
            )
            for customer in published.slots
        }
        return shares.Demand(published.taken_at, slots)

    def is_within_share(
        self,
        entry: queueing.Entry,
        capacity: float,
        guarantees: abc.Callable[[], abc.Mapping[str, float]],
        now: float,
    ) -> bool:
        """Return whether the customer may use one more slot here.

        For lengthy work, the share and the own fraction of the spare slots
        follow from the demand that the peers know: slots that several
        instances take at once would stay overcommitted for as long as the
        work runs. For other work, they follow from the current demand.
        """
        customer = entry.customer
        running = self.running[customer]
        is_lengthy = entry.expected_tokens > LENGTHY_TOKENS
        cached = self._shares.get(is_lengthy)
        if cached is None or now >= cached[0] + SHARE_REFRESH_SECONDS:
            if self.published_demand is not None and is_lengthy:
                own = self._settled_demand(self.published_demand)
            else:
                slots = self.current_demand(now)
                slots[customer] = max(slots.get(customer, 0), running + 1)
                own = shares.Demand(now, slots)
            share = self._own_share(own, capacity, guarantees(), now)
            self._shares[is_lengthy] = cached = (now, share)
        share = cached[1]
        # Adding half a slot rounds fractional shares to whole slots.
        if running == 0 or running + 0.5 < share.slots.get(customer, 0.0):
            return True
        excess_slots = sum(
            max(0.0, count - share.slots.get(name, 0.0))
            for name, count in self.running.items()
        )
        return excess_slots + 0.5 < share.spare_slots

    def _own_share(
        self,
        own: shares.Demand,
        capacity: float,
        guarantees: abc.Mapping[str, float],
        now: float,
    ) -> shares.OwnShare:
        horizon = now - shares.MAX_AGE_SECONDS
        demands = {
            name: demand
            for name, demand in self.peer_demands.items()
            if demand.taken_at >= horizon
        }
        demands[self._instance] = own
        return shares.own_share(capacity, guarantees, demands, self._instance)
