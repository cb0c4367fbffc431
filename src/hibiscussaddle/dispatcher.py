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

Placed: typing.TypeAlias = result.Result[
    placement_lib.Placement, codes.Refusal
]

# Work that waits is looked at again after this time, in case the room was
# made by another instance.
TICK_SECONDS: typing.Final = 0.05
# Every endpoint of a large target is looked at no more often than this.
FULL_SCAN_SECONDS: typing.Final = 0.25
# Extra pause for each other waiter.
_LOOK_SECONDS: typing.Final = 0.01
# Work is refused when the expected wait exceeds this part of the allowed
# one: a shorter queue carries the same load, and drains sooner afterwards.
REFUSE_PART: typing.Final = 0.5


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
        """Start without observations."""
        self.clock = clock
        self.detector = slowness.Detector()
        self.book = routing.LoadTracker()
        self.prefixes = routing.PrefixMirror()
        self.budget = retries.Budget()
        self.lengths = queueing.LengthModel()
        # Other components add their own tests.
        self.is_marked: abc.Callable[[endpoints.Endpoint], bool] = (
            directory.is_marked
        )
        self._instance = instance
        self._zone = zone
        self._directory = directory
        self._contracts = contracts
        self._rng = rng
        self._options = options or dispatch_options.Options()
        self._pools: dict[tuple[bool, str], pools.Pool] = {}
        self._breakers: dict[str, retries.Breaker] = {}
        # Revision of the directory that the detector follows.
        self._known = -1
        self._catalogs: dict[tuple[bool, str], catalog_lib.Catalog] = {}

    @contextlib.asynccontextmanager
    async def place(
        self, work: placement_lib.Work
    ) -> abc.AsyncIterator[Placed]:
        """Wait for an endpoint and hold it; a refusal is always "not run"."""
        placed = await self._admit(work)
        if isinstance(placed, result.Err):
            yield placed
            return
        try:
            yield placed
        finally:
            self.release(placed.ok_value)

    def try_place(
        self, work: placement_lib.Work
    ) -> placement_lib.Placement | None:
        """Place work only if it can start at once; release it after use."""
        pool = self._pool(work)
        entry = self._entry(work)
        endpoint = self._choose(pool, work, entry)
        if endpoint is None:
            return None
        return self._start(pool, work, entry, endpoint)

    def pressure(self) -> float:
        """Return the filled part of the fullest queue."""
        return max(
            (p.queue.utilization for p in self._pools.values()), default=0
        )

    def tick(self) -> None:
        """Look again at all waiting work."""
        for pool in self._pools.values():
            self._pump(pool)

    def tell_demands(self) -> dict[str, dict[str, float]]:
        """Return the slots that could be used, by model and customer.

        What is returned must be told to the peers: they count on it.
        """
        now = self.clock()
        for pool in self._pools.values():
            pool.tell(now)
        return self.told_demands()

    def told_demands(self) -> dict[str, dict[str, float]]:
        """Return what tell_demands returned last."""
        return {
            pool.target: dict(pool.told.slots)
            for pool in self._pools.values()
            if pool.is_engine and pool.told is not None
        }

    def want(self, model: str, customer: str, count: int) -> None:
        """Tell how much work waits outside of the queue, as samples do."""
        self._get_pool(True, model).wanted[customer] = count

    def hear_demand(
        self, instance: str, model: str, demand: shares.Demand
    ) -> None:
        """Take a peer's demand for a model's engines into account."""
        self._get_pool(True, model).peers[instance] = demand

    def stall_seconds(self, zone: str, chunk_tokens: int) -> float | None:
        """Return the longest normal time to the next tokens.

        `chunk_tokens` is the size of the last chunk, 0 before the first.
        """
        typical = self.detector.typical_intervals(zone, self.clock())
        if typical is None:
            return None
        gap, first = typical
        seconds = gap * chunk_tokens if chunk_tokens else first
        opts = self._options
        return max(opts.min_stall_seconds, opts.stall_factor * seconds)

    def _pool(self, work: placement_lib.Work) -> pools.Pool:
        is_engine = work.kind is not placement_lib.WorkKind.SERVICE
        return self._get_pool(is_engine, work.target)

    def _get_pool(self, is_engine: bool, target: str) -> pools.Pool:
        key = (is_engine, target)
        if key not in self._pools:
            self._pools[key] = pools.Pool(
                self._instance, is_engine, target, self._options.max_queued
            )
        return self._pools[key]

    def _catalog(self, pool: pools.Pool) -> catalog_lib.Catalog:
        revision = self._directory.revision
        if revision != self._known:
            self._known = revision
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

    def _entry(self, work: placement_lib.Work) -> queueing.Entry:
        now = self.clock()
        contract = work.contract
        is_trainer = work.kind is placement_lib.WorkKind.TRAINER
        tokens = self.lengths.expected_tokens(
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

    async def _admit(self, work: placement_lib.Work) -> Placed:
        pool = self._pool(work)
        if not self._catalog(pool).all:
            return _refuse(
                codes.Code.NO_ENDPOINT, f"{work.target!r} has no endpoint"
            )
        if work.is_first:
            self.budget.deposit_request()
        entry = self._entry(work)
        pool.note_arrival(entry)
        wait = pool.queue.expected_wait_seconds(
            entry.customer, entry.work_class
        )
        allowed = entry.start_by - entry.enqueued_at
        if wait > REFUSE_PART * allowed:
            return _refuse(
                codes.Code.DEADLINE_TOO_SHORT,
                f"expected wait of {wait:.1f} s exceeds the allowed wait",
                wait,
            )
        waiter = pools.Waiter(work, entry)
        pool.waiters[id(entry)] = waiter
        shed = pool.queue.push(entry)
        if shed is not None:
            pool.waiters.pop(id(shed)).done.set()
        self._pump(pool)
        try:
            await self._wait(pool, waiter)
        except BaseException:
            if waiter.placed is not None:
                self.release(waiter.placed)
            raise
        finally:
            pool.queue.remove(entry)
            pool.waiters.pop(id(entry), None)
        if waiter.placed is not None:
            return result.Ok(waiter.placed)
        if waiter.done.is_set():
            return _refuse(codes.Code.OVERLOADED, "the queue is full", 1.0)
        return _refuse(
            codes.Code.DEADLINE_TOO_SHORT,
            f"no endpoint of {work.target!r} had room in time",
            1.0,
        )

    async def _wait(self, pool: pools.Pool, waiter: pools.Waiter) -> None:
        while not waiter.done.is_set():
            left = waiter.entry.start_by - self.clock()
            if left <= 0:
                return
            # Many waiters look less often; each looks for all of them.
            pause = max(TICK_SECONDS, len(pool.queue) * _LOOK_SECONDS)
            with anyio.move_on_after(min(left, pause)):
                await waiter.done.wait()
            if not waiter.done.is_set():
                self._pump(pool)

    def _pump(self, pool: pools.Pool) -> None:
        blocked: set[tuple[str, queueing.WorkClass]] = set()
        while True:
            heads = pool.queue.heads()
            for entry in heads:
                lane = (entry.customer, entry.work_class)
                if lane in blocked:
                    continue
                waiter = pool.waiters[id(entry)]
                endpoint = self._choose(pool, waiter.work, entry)
                if endpoint is None:
                    blocked.add(lane)
                    continue
                pool.queue.start(entry, self.clock())
                waiter.placed = self._start(pool, waiter.work, entry, endpoint)
                waiter.done.set()
                del pool.waiters[id(entry)]
                break
            else:
                return

    def _choose(
        self,
        pool: pools.Pool,
        work: placement_lib.Work,
        entry: queueing.Entry,
    ) -> endpoints.Endpoint | None:
        catalog = self._catalog(pool)
        now = self.clock()
        if pool.is_engine and not pool.is_within_share(
            entry, catalog.slots, self._guarantees, now
        ):
            return None
        wish = routing.Requirements(
            zone=self._zone,
            expected_tokens=entry.expected_tokens,
            min_version=work.min_version,
            max_load_per_slot=self._room(pool, entry),
            excluded_ids=work.avoid,
        )
        if not catalog.is_small():
            sampled = catalog.sample(self._prefix_test(work), self._rng)
            chosen = self._choose_among(sampled, work, wish, now)
            # Where few endpoints fit, a sample can miss them all.
            if chosen is not None or now < pool.scan_after:
                return chosen
            pool.scan_after = now + FULL_SCAN_SECONDS
        return self._choose_among(catalog.all, work, wish, now)

    def _prefix_test(
        self, work: placement_lib.Work
    ) -> abc.Callable[[endpoints.Endpoint], bool] | None:
        if not work.prefix:
            return None
        return lambda ep: self.prefixes.has(ep.id, work.prefix)

    def _choose_among(
        self,
        found: abc.Iterable[endpoints.Endpoint],
        work: placement_lib.Work,
        wish: routing.Requirements,
        now: float,
    ) -> endpoints.Endpoint | None:
        candidates = [self._candidate(ep, work, now) for ep in found]
        chosen = routing.choose(candidates, wish, self._rng)
        return None if chosen is None else self._directory.get(chosen.id)

    def _room(self, pool: pools.Pool, entry: queueing.Entry) -> float | None:
        # Reports of busy engines must not starve a customer: one request
        # of each is always sent.
        if not pool.is_engine or pool.running[entry.customer] == 0:
            return None
        room = self._options.room[entry.work_class]
        if pool.has_short_work(self.clock()):
            return room
        return max(1.0, room)

    def _candidate(
        self, ep: endpoints.Endpoint, work: placement_lib.Work, now: float
    ) -> routing.Candidate:
        breaker = self._breakers.get(ep.id)
        blocked = breaker is not None and not breaker.allows(now)
        report = self.book.last_report(ep.id)
        return routing.Candidate(
            id=ep.id,
            zone=ep.zone,
            slots=ep.slots,
            outstanding=self.book.outstanding(ep.id, now),
            token_seconds=self.detector.token_seconds(ep.id),
            weight=0.0 if blocked else self.detector.weight(ep.id, now),
            is_marked=self.is_marked(ep),
            version=report.version if report else None,
            has_prefix=self.prefixes.has(ep.id, work.prefix),
        )

    def _guarantees(self) -> dict[str, float]:
        return {
            record.contract.customer: record.contract.share
            for record in self._contracts.all()
        }

    def _start(
        self,
        pool: pools.Pool,
        work: placement_lib.Work,
        entry: queueing.Entry,
        endpoint: endpoints.Endpoint,
    ) -> placement_lib.Placement:
        now = self.clock()
        self.book.start(endpoint.id, now)
        pool.start(entry, now)
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

    def release(self, placed: placement_lib.Placement) -> None:
        """Give the endpoint back and learn from the outcome."""
        now = self.clock()
        work, endpoint = placed.work, placed.endpoint
        pool = self._pool(work)
        self.book.finish(endpoint.id, now)
        pool.end(work.contract.customer, placed.is_short, now)
        breaker = self._breakers[endpoint.id]
        if placed.succeeded:
            breaker.record_success()
            self.lengths.observe(
                work.contract.customer, work.length_kind, placed.tokens
            )
        elif placed.succeeded is False:
            breaker.record_failure(now, self._rng)
        if work.is_first:
            self.budget.deposit_tokens(placed.tokens)
        self._pump(pool)


def _refuse(
    code: codes.Code, message: str, retry_after: float | None = None
) -> result.Err[codes.Refusal]:
    return result.Err(codes.Refusal(code, message, retry_after))
