"""Admit work, queue it and place it on endpoints."""

from collections import abc
import contextlib
import random
import typing

import anyio
import result

from hibiscussaddle import catalog as catalog_lib
from hibiscussaddle import codes
from hibiscussaddle import contract_cache
from hibiscussaddle import dispatch_options
from hibiscussaddle import endpoints
from hibiscussaddle import placement as placement_lib
from hibiscussaddle.policy import queueing
from hibiscussaddle.policy import retries
from hibiscussaddle.policy import routing
from hibiscussaddle.policy import shares
from hibiscussaddle.policy import slowness
from hibiscussaddle import pools

PlacementResult: typing.TypeAlias = result.Result[
    placement_lib.Placement, codes.Refusal
]

# Interval at which queued work is tried again, since other instances may have
# freed capacity in the meantime.
TICK_SECONDS: typing.Final = 0.05
# Minimum interval between scans of all endpoints of a large target.
FULL_SCAN_INTERVAL_SECONDS: typing.Final = 0.25
# Added to the interval between retries of a waiter, per queued entry.
_RETRY_SECONDS_PER_ENTRY: typing.Final = 0.01
# Work is refused when its expected wait exceeds this fraction of the allowed
# wait: a shorter queue sustains the same load, and drains sooner afterwards.
MAX_WAIT_FRACTION: typing.Final = 0.5


class Dispatcher:
    """Decide where and when the work of one instance runs."""

    def __init__(
        self,
        instance: str,
        zone: str,
        directory: endpoints.Directory,
        contracts: contract_cache.ContractCache,
        clock: abc.Callable[[], float],
        rng: random.Random,
        options: dispatch_options.Options | None = None,
    ) -> None:
        """Create a dispatcher without observations."""
        self.clock = clock
        self.detector = slowness.Detector()
        self.load_tracker = routing.LoadTracker()
        self.prefixes = routing.PrefixMirror()
        self.retry_budget = retries.Budget()
        self.length_model = queueing.LengthModel()
        # Whether an endpoint gets no new work. Initially this is its drain
        # mark; other components wrap the predicate to exclude more endpoints.
        self.is_marked: abc.Callable[[endpoints.Endpoint], bool] = (
            directory.is_draining
        )
        self._instance = instance
        self._zone = zone
        self._directory = directory
        self._contracts = contracts
        self._rng = rng
        self._options = options or dispatch_options.Options()
        self._pools: dict[tuple[bool, str], pools.Pool] = {}
        self._breakers: dict[str, retries.Breaker] = {}
        # Revision of the directory that the detector was last updated to.
        self._detector_revision = -1
        self._catalogs: dict[tuple[bool, str], catalog_lib.Catalog] = {}

    @contextlib.asynccontextmanager
    async def place(
        self, work: placement_lib.Work
    ) -> abc.AsyncIterator[PlacementResult]:
        """Wait for an endpoint and hold it until the block ends.

        A refusal always means that the work did not run.
        """
        admitted = await self._admit(work)
        if isinstance(admitted, result.Err):
            yield admitted
            return
        try:
            yield admitted
        finally:
            self.release(admitted.ok_value)

    def try_place(
        self, work: placement_lib.Work
    ) -> placement_lib.Placement | None:
        """Place work if it can start now; the caller must release it."""
        pool = self._pool_for(work)
        entry = self._create_entry(work)
        endpoint = self._choose_endpoint(pool, work, entry)
        if endpoint is None:
            return None
        return self._start_placement(pool, work, entry, endpoint)

    def max_queue_utilization(self) -> float:
        """Return the utilization of the fullest queue."""
        return max(
            (p.queue.utilization for p in self._pools.values()), default=0
        )

    def tick(self) -> None:
        """Retry the placement of all queued work."""
        for pool in self._pools.values():
            self._place_waiting(pool)

    def publish_demands(self) -> dict[str, dict[str, float]]:
        """Return the demand for slots, by model and customer, to publish.

        The caller must send the result to the peers: from now on, the shares
        computed here assume that the peers know it.
        """
        now = self.clock()
        for pool in self._pools.values():
            pool.publish_demand(now)
        return self.published_demands()

    def published_demands(self) -> dict[str, dict[str, float]]:
        """Return the demand that publish_demands returned last."""
        return {
            pool.target: dict(pool.published_demand.slots)
            for pool in self._pools.values()
            if pool.is_engine and pool.published_demand is not None
        }

    def set_unqueued_demand(
        self, model: str, customer: str, count: int
    ) -> None:
        """Set the number of requests that wait outside of the queue."""
        self._get_or_create_pool(True, model).unqueued_demand[customer] = count

    def apply_peer_demand(
        self, instance: str, model: str, demand: shares.Demand
    ) -> None:
        """Record a peer's demand for the engines of a model."""
        self._get_or_create_pool(True, model).peer_demands[instance] = demand

    def stall_timeout(self, zone: str, chunk_tokens: int) -> float | None:
        """Return the seconds after which a stream counts as stalled.

        `chunk_tokens` is the size of the last chunk, 0 before the first.
        Without observations from the zone, the result is None.
        """
        typical = self.detector.typical_latencies(zone, self.clock())
        if typical is None:
            return None
        interval, first = typical
        seconds = interval * chunk_tokens if chunk_tokens else first
        opts = self._options
        return max(opts.min_stall_seconds, opts.stall_factor * seconds)

    def _pool_for(self, work: placement_lib.Work) -> pools.Pool:
        is_engine = work.kind is not placement_lib.WorkKind.SERVICE
        return self._get_or_create_pool(is_engine, work.target)

    def _get_or_create_pool(self, is_engine: bool, target: str) -> pools.Pool:
        key = (is_engine, target)
        if key not in self._pools:
            self._pools[key] = pools.Pool(
                self._instance, is_engine, target, self._options.max_queued
            )
        return self._pools[key]

    def _current_catalog(self, pool: pools.Pool) -> catalog_lib.Catalog:
        revision = self._directory.revision
        # The detector compares endpoints by zone and must know the same ones.
        if revision != self._detector_revision:
            self._detector_revision = revision
            known = self._directory.all()
            self.detector.set_endpoints({ep.id: ep.zone for ep in known})
        key = (pool.is_engine, pool.target)
        catalog = self._catalogs.get(key)
        if catalog is None or catalog.revision != revision:
            if pool.is_engine:
                found = self._directory.engines(pool.target)
            else:
                found = self._directory.services(pool.target)
            catalog = catalog_lib.create_catalog(revision, found, self._zone)
            self._catalogs[key] = catalog
        return catalog

    def _create_entry(self, work: placement_lib.Work) -> queueing.Entry:
        now = self.clock()
        contract = work.contract
        is_trainer = work.kind is placement_lib.WorkKind.TRAINER
        tokens = self.length_model.expected_tokens(
            contract.customer, work.length_kind, work.max_tokens
        )
        work_class = queueing.classify(is_trainer, tokens)
        start_by = work.deadline
        if work_class is queueing.WorkClass.SHORT:
            start_by = min(start_by, now + contract.short_wait_seconds)
        return queueing.Entry(
            contract.customer,
            work_class,
            contract.priority,
            now,
            start_by,
            tokens,
        )

    async def _admit(self, work: placement_lib.Work) -> PlacementResult:
        pool = self._pool_for(work)
        if not self._current_catalog(pool).all:
            return _refuse(
                codes.Code.NO_ENDPOINT,
                f"target {work.target!r} has no endpoint",
            )
        if work.is_first_attempt:
            self.retry_budget.deposit_request()
        entry = self._create_entry(work)
        pool.record_arrival(entry)
        wait = pool.queue.expected_wait_seconds(
            entry.customer, entry.work_class
        )
        max_wait = MAX_WAIT_FRACTION * (entry.start_by - entry.enqueued_at)
        if wait > max_wait:
            return _refuse(
                codes.Code.DEADLINE_TOO_SHORT,
                f"expected wait of {wait:.1f} s exceeds {max_wait:.1f} s",
                wait,
            )
        waiter = pools.Waiter(work, entry)
        pool.waiters[id(entry)] = waiter
        evicted = pool.queue.push(entry)
        if evicted is not None:
            pool.waiters.pop(id(evicted)).done.set()
        self._place_waiting(pool)
        try:
            await self._wait_for_placement(pool, waiter)
        except BaseException:
            if waiter.placement is not None:
                self.release(waiter.placement)
            raise
        finally:
            pool.queue.remove(entry)
            pool.waiters.pop(id(entry), None)
        if waiter.placement is not None:
            return result.Ok(waiter.placement)
        # Without a placement, the event means that the entry was evicted.
        if waiter.done.is_set():
            return _refuse(codes.Code.OVERLOADED, "the queue is full", 1.0)
        return _refuse(
            codes.Code.DEADLINE_TOO_SHORT,
            f"no endpoint of {work.target!r} had capacity in time",
            1.0,
        )

    async def _wait_for_placement(
        self, pool: pools.Pool, waiter: pools.Waiter
    ) -> None:
        while not waiter.done.is_set():
            remaining = waiter.entry.start_by - self.clock()
            if remaining <= 0:
                return
            # Each waiter retries the whole queue, so the interval grows with
            # its length.
            pause = max(
                TICK_SECONDS, len(pool.queue) * _RETRY_SECONDS_PER_ENTRY
            )
            with anyio.move_on_after(min(remaining, pause)):
                await waiter.done.wait()
            if not waiter.done.is_set():
                self._place_waiting(pool)

    def _place_waiting(self, pool: pools.Pool) -> None:
        blocked_keys: set[tuple[str, queueing.WorkClass]] = set()
        while True:
            heads = pool.queue.heads()
            for entry in heads:
                queue_key = (entry.customer, entry.work_class)
                if queue_key in blocked_keys:
                    continue
                waiter = pool.waiters[id(entry)]
                endpoint = self._choose_endpoint(pool, waiter.work, entry)
                if endpoint is None:
                    blocked_keys.add(queue_key)
                    continue
                pool.queue.start(entry, self.clock())
                waiter.placement = self._start_placement(
                    pool, waiter.work, entry, endpoint
                )
                waiter.done.set()
                del pool.waiters[id(entry)]
                break
            else:
                return

    def _choose_endpoint(
        self,
        pool: pools.Pool,
        work: placement_lib.Work,
        entry: queueing.Entry,
    ) -> endpoints.Endpoint | None:
        catalog = self._current_catalog(pool)
        now = self.clock()
        if pool.is_engine and not pool.is_within_share(
            entry, catalog.total_slots, self._guaranteed_shares, now
        ):
            return None
        requirements = routing.Requirements(
            zone=self._zone,
            expected_tokens=entry.expected_tokens,
            min_version=work.min_version,
            max_load_per_slot=self._max_load_per_slot(pool, entry),
            excluded_ids=work.excluded_ids,
        )
        if not catalog.is_small():
            sampled = catalog.sample(self._prefix_check(work), self._rng)
            chosen = self._choose_candidate(sampled, work, requirements, now)
            # Where few endpoints qualify, a sample can miss all of them.
            if chosen is not None or now < pool.next_full_scan_at:
                return chosen
            pool.next_full_scan_at = now + FULL_SCAN_INTERVAL_SECONDS
        return self._choose_candidate(catalog.all, work, requirements, now)

    def _prefix_check(
        self, work: placement_lib.Work
    ) -> abc.Callable[[endpoints.Endpoint], bool] | None:
        if not work.prefix:
            return None
        return lambda ep: self.prefixes.has(ep.id, work.prefix)

    def _choose_candidate(
        self,
        considered: abc.Iterable[endpoints.Endpoint],
        work: placement_lib.Work,
        requirements: routing.Requirements,
        now: float,
    ) -> endpoints.Endpoint | None:
        candidates = [
            self._create_candidate(ep, work, now) for ep in considered
        ]
        chosen = routing.choose(candidates, requirements, self._rng)
        return None if chosen is None else self._directory.get(chosen.id)

    def _max_load_per_slot(
        self, pool: pools.Pool, entry: queueing.Entry
    ) -> float | None:
        # One request of each customer is always sent, so that reports of
        # busy engines cannot starve a customer.
        if not pool.is_engine or pool.running[entry.customer] == 0:
            return None
        max_load = self._options.max_load_per_slot[entry.work_class]
        if pool.has_recent_short_work(self.clock()):
            return max_load
        return max(1.0, max_load)

    def _create_candidate(
        self, ep: endpoints.Endpoint, work: placement_lib.Work, now: float
    ) -> routing.Candidate:
        breaker = self._breakers.get(ep.id)
        is_blocked = breaker is not None and not breaker.allows(now)
        report = self.load_tracker.last_report(ep.id)
        return routing.Candidate(
            id=ep.id,
            zone=ep.zone,
            slots=ep.slots,
            outstanding=self.load_tracker.outstanding(ep.id, now),
            token_seconds=self.detector.token_seconds(ep.id),
            weight=0.0 if is_blocked else self.detector.weight(ep.id, now),
            is_marked=self.is_marked(ep),
            version=report.version if report else None,
            has_prefix=self.prefixes.has(ep.id, work.prefix),
        )

    def _guaranteed_shares(self) -> dict[str, float]:
        return {
            record.contract.customer: record.contract.share
            for record in self._contracts.all()
        }

    def _start_placement(
        self,
        pool: pools.Pool,
        work: placement_lib.Work,
        entry: queueing.Entry,
        endpoint: endpoints.Endpoint,
    ) -> placement_lib.Placement:
        now = self.clock()
        self.load_tracker.start(endpoint.id, now)
        pool.record_start(entry, now)
        is_short = entry.work_class is queueing.WorkClass.SHORT
        self._breakers.setdefault(endpoint.id, retries.Breaker()).record_send(
            now
        )
        if work.prefix:
            self.prefixes.touch(endpoint.id, work.prefix)
        priority = queueing.engine_priority(entry.work_class, entry.priority)
        return placement_lib.Placement(
            self, work, endpoint, priority, now, is_short
        )

    def release(self, placement: placement_lib.Placement) -> None:
        """Release the endpoint and record the outcome of the work."""
        now = self.clock()
        work, endpoint = placement.work, placement.endpoint
        pool = self._pool_for(work)
        self.load_tracker.finish(endpoint.id, now)
        pool.record_end(work.contract.customer, placement.is_short, now)
        breaker = self._breakers[endpoint.id]
        if placement.has_succeeded:
            breaker.record_success()
            self.length_model.observe(
                work.contract.customer, work.length_kind, placement.tokens
            )
        elif placement.has_succeeded is False:
            breaker.record_failure(now, self._rng)
        if work.is_first_attempt:
            self.retry_budget.deposit_tokens(placement.tokens)
        self._place_waiting(pool)


def _refuse(
    code: codes.Code, message: str, retry_after: float | None = None
) -> result.Err[codes.Refusal]:
    return result.Err(codes.Refusal(code, message, retry_after))
