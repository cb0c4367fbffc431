"""Work that waits for and runs on the endpoints of one kind."""

import collections
from collections import abc
import dataclasses
import math
import typing

import anyio

from hibiscussaddle import placement as placement_lib
from hibiscussaddle.policy import queueing
from hibiscussaddle.policy import shares

# A share is computed again after this time.
SHARE_SECONDS: typing.Final = 0.02
# An increase of the told demand is used for lengthy work after this many
# tellings: the facts reach the other zones in two steps. With one telling
# eight instances took 55 of 48 slots in a burst.
SETTLED_TELLINGS: typing.Final = 3
# Work above this expected length counts as lengthy. Shorter work ends
# before an overcommitment by it matters, and waiting for the tellings
# costs trainers more.
LENGTHY_TOKENS: typing.Final = 512.0
# Slots are kept for short work this long after some arrived, and the
# demand of short work decays at this pace after a peak.
SHORT_MEMORY_SECONDS: typing.Final = 5.0
_LEAST_HELD_SLOTS = 0.1


@dataclasses.dataclass(eq=False)
class Waiter:
    """Hold one piece of work until it is placed or shed."""

    work: placement_lib.Work
    entry: queueing.Entry
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    placed: placement_lib.Placement | None = None


@dataclasses.dataclass
class _Peak:
    """Hold the short work of one customer, and its recent peak."""

    count: int = 0
    level: float = 0.0
    at: float = 0.0

    def add(self, change: int, now: float) -> None:
        self.level = self.read(now)
        self.count += change
        self.level = max(self.level, self.count)
        self.at = now

    def read(self, now: float) -> float:
        decay = math.exp((self.at - now) / SHORT_MEMORY_SECONDS)
        return max(self.count, self.level * decay)


class Pool:
    """Count the work on a model's engines or a service's servers."""

    def __init__(
        self, instance: str, is_engine: bool, target: str, bound: int
    ) -> None:
        """Start without work."""
        self.is_engine = is_engine
        self.target = target
        self.queue = queueing.Queue(bound)
        self.waiters: dict[int, Waiter] = {}
        self.running: collections.Counter[str] = collections.Counter()
        # Monotonic seconds after which all endpoints may be looked at again.
        self.scan_after = -math.inf
        # Work of each customer that waits outside of the queue.
        self.wanted: dict[str, int] = {}
        self.peers: dict[str, shares.Demand] = {}
        self._instance = instance
        self._short: dict[str, _Peak] = {}
        self._short_seen_at = -math.inf
        # Own demand as the peers know it; None before it was told.
        self.told: shares.Demand | None = None
        self._history: collections.deque[abc.Mapping[str, float]] = (
            collections.deque(maxlen=SETTLED_TELLINGS)
        )
        # Time and result of the last computation, for lengthy work or not.
        self._shares: dict[bool, tuple[float, shares.OwnShare]] = {}

    def start(self, entry: queueing.Entry, now: float) -> None:
        """Count one request as running."""
        self.running[entry.customer] += 1
        if entry.work_class is queueing.WorkClass.SHORT:
            self._short.setdefault(entry.customer, _Peak()).add(1, now)

    def end(self, customer: str, is_short: bool, now: float) -> None:
        """Count one request as ended."""
        self.running[customer] -= 1
        if is_short:
            self._short[customer].add(-1, now)

    def note_arrival(self, entry: queueing.Entry) -> None:
        """Remember when short work last arrived."""
        if entry.work_class is queueing.WorkClass.SHORT:
            self._short_seen_at = entry.enqueued_at

    def has_short_work(self, now: float) -> bool:
        """Tell whether short work arrived lately."""
        return now <= self._short_seen_at + SHORT_MEMORY_SECONDS

    def demand(self, now: float) -> dict[str, float]:
        """Return own slots in use or wanted, by customer.

        Short work counts with its recent peak: slots that long work took
        in a pause would be missing for many seconds.
        """
        found: dict[str, float] = dict(self.queue.waiting_by_customer())
        for counts in (self.running, self.wanted):
            for customer, count in counts.items():
                if count > 0:
                    found[customer] = found.get(customer, 0) + count
        for customer, peak in self._short.items():
            held = peak.read(now) - peak.count
            if held >= _LEAST_HELD_SLOTS:
                found[customer] = found.get(customer, 0) + held
        return found

    def tell(self, now: float) -> None:
        """Keep the demand that is told to the peers now."""
        self.told = shares.Demand(now, self.demand(now))
        self._history.append(self.told.slots)
        self._shares.clear()

    def _settled(self, told: shares.Demand) -> shares.Demand:
        """Return the own demand that every peer has surely heard of."""
        slots = {
            customer: min(older.get(customer, 0.0) for older in self._history)
            for customer in told.slots
        }
        return shares.Demand(told.taken_at, slots)

    def is_within_share(
        self,
        entry: queueing.Entry,
        capacity: float,
        guarantees: abc.Callable[[], abc.Mapping[str, float]],
        now: float,
    ) -> bool:
        """Tell whether the customer may use one more slot here.

        Lengthy work counts with the demand that the peers know and with a
        part of the spare slots: slots that several instances take at once
        would stay overcommitted for as long as the work is. Other work
        counts with the demand of this moment.
        """
        customer = entry.customer
        running = self.running[customer]
        is_lengthy = entry.expected_tokens > LENGTHY_TOKENS
        known = self._shares.get(is_lengthy)
        if known is None or now >= known[0] + SHARE_SECONDS:
            if self.told is not None and is_lengthy:
                own = self._settled(self.told)
            else:
                slots = self.demand(now)
                slots[customer] = max(slots.get(customer, 0), running + 1)
                own = shares.Demand(now, slots)
            share = self._share(own, capacity, guarantees(), now)
            self._shares[is_lengthy] = known = (now, share)
        share = known[1]
        if running == 0 or running + 0.5 < share.slots.get(customer, 0.0):
            return True
        extra = sum(
            max(0.0, count - share.slots.get(name, 0.0))
            for name, count in self.running.items()
        )
        return extra + 0.5 < share.spare_slots

    def _share(
        self,
        own: shares.Demand,
        capacity: float,
        guarantees: abc.Mapping[str, float],
        now: float,
    ) -> shares.OwnShare:
        horizon = now - shares.MAX_AGE_SECONDS
        demands = {
            name: demand
            for name, demand in self.peers.items()
            if demand.taken_at >= horizon
        }
        demands[self._instance] = own
        return shares.own_share(capacity, guarantees, demands, self._instance)
