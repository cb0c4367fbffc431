"""Generate, score and discard the samples of open steps."""

import collections
import dataclasses
import logging
import random
import typing

import anyio
import anyio.abc
import httpx
import result

from hibiscussaddle.adapters import scorers
from hibiscussaddle import contracts
from hibiscussaddle import controllers
from hibiscussaddle import decoding
from hibiscussaddle import endpoints
from hibiscussaddle import engine_choice
from hibiscussaddle import logs
from hibiscussaddle import placement
from hibiscussaddle.policy import groups
from hibiscussaddle.policy import versions
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import sample_generator
from hibiscussaddle.scoring import admission
from hibiscussaddle import step_table
from hibiscussaddle import steps

_LOG = logging.getLogger(__name__)
# Limits of one instance.
MAX_RUNNING_ATTEMPTS: typing.Final = 256
MAX_SCORING_CALLS: typing.Final = 8
# Interval between checks of stragglers, failed engines and idle steps.
TICK_SECONDS: typing.Final = 0.1
# Interval between version polls of an engine whose weights are too old.
VERSION_POLL_INTERVAL_SECONDS: typing.Final = 0.5
_VERSION_POLL_TIMEOUT_SECONDS: typing.Final = 2.0
_FIRST_BACKOFF_SECONDS: typing.Final = 0.1
_MAX_BACKOFF_SECONDS: typing.Final = 5.0


@controllers.controller("steps")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Process every open step until cancelled."""
    async with anyio.create_task_group() as tasks:
        await StepWorker(runtime, tasks).run()


@dataclasses.dataclass(frozen=True)
class _Backoff:
    """Exclude a failed engine until a time in monotonic seconds."""

    until: float
    seconds: float


class StepWorker:
    """Start attempts and scoring calls with bounded concurrency."""

    def __init__(
        self, runtime: runtime_lib.Runtime, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Initialize without running attempts."""
        self._runtime = runtime
        self._tasks = tasks
        self._table = runtime.steps
        self._generator = sample_generator.SampleGenerator(runtime)
        self._scorer = scorers.ScorerClient(
            runtime.client, runtime.cfg.scorer_url
        )
        self._running: collections.Counter[str] = collections.Counter()
        self._scoring = admission.ConcurrencyWindow()
        self._rng = random.Random()
        # Models and customers with published demand.
        self._demand_keys: set[tuple[str, str]] = set()
        self._backoffs: dict[str, _Backoff] = {}
        self._polled_at: dict[str, float] = {}
        self._last_newest: dict[steps.StepKey, int] = {}

    async def run(self) -> None:
        """Process the steps after every change and on every tick."""
        while True:
            changed = self._table.changed
            self._process_steps()
            with anyio.move_on_after(TICK_SECONDS):
                await changed.wait()

    def _process_steps(self) -> None:
        now = self._runtime.clock()
        self._table.remove_idle(now)
        self._remove_unlisted_endpoints()
        for key in self._last_newest.keys() - self._table.runs.keys():
            del self._last_newest[key]
        # Steps with the fewest running attempts go first, so that trainers
        # share the instance evenly.
        runs = self._table.runs.values()
        active = [run for run in runs if run.needs_samples(now)]
        active.sort(key=lambda run: len(run.cancel_scopes))
        for run in active:
            self._discard_stale_samples(run)
            self._start_scoring(run, now)
        self._publish_demand(active)
        while active:
            active = [
                run for run in active if self._try_start_attempt(run, now)
            ]

    def _publish_demand(self, active: list[step_table.StepRun]) -> None:
        """Publish the number of pending samples as demand."""
        pending_counts = collections.Counter(
            dict.fromkeys(self._demand_keys, 0)
        )
        for run in active:
            key = (run.spec.model, run.key.customer)
            pending_counts[key] += run.progress.counts().pending
        for (model, customer), count in pending_counts.items():
            self._runtime.dispatcher.set_unqueued_demand(
                model, customer, count
            )
        self._demand_keys = {
            key for key, count in pending_counts.items() if count
        }

    def _remove_unlisted_endpoints(self) -> None:
        tables: tuple[dict[str, typing.Any], ...] = (
            self._table.engines,
            self._backoffs,
            self._polled_at,
        )
        for by_endpoint in tables:
            removed = [
                endpoint_id
                for endpoint_id in by_endpoint
                if self._runtime.directory.get(endpoint_id) is None
            ]
            for endpoint_id in removed:
                del by_endpoint[endpoint_id]

    def _contract(self, run: step_table.StepRun) -> contracts.Contract | None:
        record = self._runtime.contracts.get(run.key.customer)
        return record.contract if record else None

    def _discard_stale_samples(self, run: step_table.StepRun) -> None:
        newest = self._table.newest_version(run)
        contract = self._contract(run)
        if contract is None or newest == self._last_newest.get(run.key):
            return
        self._last_newest[run.key] = newest
        run.discard_stale_samples(newest, contract.staleness_versions)

    def _try_start_attempt(self, run: step_table.StepRun, now: float) -> bool:
        """Try to start an attempt; return whether another may be started."""
        contract = self._contract(run)
        if contract is None:
            run.blocked_reason = step_table.BlockedReason.CONTRACT
            return False
        slot = run.progress.next_slot()
        straggler = (
            None if slot is not None else run.progress.straggler_slot(now)
        )
        if slot is None and straggler is None:
            run.blocked_reason = step_table.BlockedReason.NOT_BLOCKED
            return False
        if self._table.is_full():
            run.blocked_reason = step_table.BlockedReason.MEMORY
            return False
        used_ids = set[str]()
        if straggler is not None:
            used_ids.add(run.engine_by_slot.get(straggler, ""))
        placed = self._place(run, contract, used_ids, now)
        if placed is None:
            return False
        attempt = self._create_attempt(run, slot, straggler, now)
        if attempt is None:
            self._runtime.dispatcher.release(placed)
            return False
        run.blocked_reason = step_table.BlockedReason.NOT_BLOCKED
        run.engine_by_slot[attempt.slot] = placed.endpoint.id
        self._running[placed.endpoint.id] += 1
        scope = anyio.CancelScope()
        run.cancel_scopes[attempt.number] = scope
        self._tasks.start_soon(
            self._run_attempt, run, attempt, placed, contract, scope
        )
        return True

    def _create_attempt(
        self,
        run: step_table.StepRun,
        slot: int | None,
        straggler: int | None,
        now: float,
    ) -> groups.Attempt | None:
        if slot is not None:
            return run.progress.start(slot, now)
        assert straggler is not None
        return run.progress.start_duplicate(
            straggler, now, run.spec.max_tokens, self._table.duplicate_budget
        )

    def _place(
        self,
        run: step_table.StepRun,
        contract: contracts.Contract,
        used_ids: set[str],
        now: float,
    ) -> placement.Placement | None:
        """Return a placement; record the blocked reason if there is none."""
        reasons = step_table.BlockedReason
        engines = self._runtime.directory.engines(run.spec.model)
        healthy = [ep for ep in engines if not self._is_in_backoff(ep.id, now)]
        current = [
            ep for ep in healthy if self._may_start(run, ep, contract, now)
        ]
        unused = [ep for ep in current if ep.id not in used_ids]
        placed = None
        if self._running.total() < MAX_RUNNING_ATTEMPTS:
            placed = engine_choice.try_place_sample(
                self._runtime,
                contract,
                run.spec.model,
                run.spec.max_tokens,
                unused,
            )
        if not engines:
            run.blocked_reason = reasons.NO_ENGINE
        elif not healthy:
            run.blocked_reason = reasons.ENGINES_FAILING
        elif not current:
            run.blocked_reason = reasons.ENGINES_STALE
        elif placed is None:
            run.blocked_reason = reasons.ENGINES_BUSY
        return placed

    def _is_in_backoff(self, endpoint_id: str, now: float) -> bool:
        backoff = self._backoffs.get(endpoint_id)
        return backoff is not None and now < backoff.until

    def _may_start(
        self,
        run: step_table.StepRun,
        endpoint: endpoints.Endpoint,
        contract: contracts.Contract,
        now: float,
    ) -> bool:
        known = self._table.engines.get(endpoint.id)
        seconds = run.progress.median_seconds() or 0.0
        is_allowed = known is None or (
            known.version is not None
            and versions.may_start(
                known.version,
                self._table.newest_version(run),
                self._table.expected_newest_version(run, now, seconds),
                contract.staleness_versions,
            )
        )
        polled_at = self._polled_at.get(
            endpoint.id, -VERSION_POLL_INTERVAL_SECONDS
        )
        if not is_allowed and now - polled_at >= VERSION_POLL_INTERVAL_SECONDS:
            self._polled_at[endpoint.id] = now
            self._tasks.start_soon(
                self._poll_version, endpoint, run.spec.model
            )
        return is_allowed

    async def _poll_version(
        self, endpoint: endpoints.Endpoint, model: str
    ) -> None:
        """Fetch the engine's weight version from its load report."""
        try:
            resp = await self._runtime.client.get(
                endpoint.address + "/v1/load",
                timeout=_VERSION_POLL_TIMEOUT_SECONDS,
            )
            resp.raise_for_status()
            body = decoding.decode_json(resp.content)
            incarnation, version = int(body["incarnation"]), body["version"]
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return
        if version is None or isinstance(version, int):
            self._table.record_engine_version(
                endpoint.id,
                model,
                incarnation,
                version,
                self._runtime.clock(),
            )
            self._table.notify()

    async def _run_attempt(
        self,
        run: step_table.StepRun,
        attempt: groups.Attempt,
        placed: placement.Placement,
        contract: contracts.Contract,
        scope: anyio.CancelScope,
    ) -> None:
        endpoint = placed.endpoint
        clock = self._runtime.clock
        outcome: steps.Sample | sample_generator.FailedAttempt | None = None
        try:
            with scope:
                outcome = await self._generator.generate(
                    run,
                    attempt,
                    placed,
                    contract.staleness_versions,
                )
        finally:
            run.cancel_scopes.pop(attempt.number, None)
            self._running[endpoint.id] -= 1
            if isinstance(outcome, steps.Sample):
                placed.record_success()
            elif (
                isinstance(outcome, sample_generator.FailedAttempt)
                and outcome.is_engine_failure
            ):
                placed.record_failure()
            self._runtime.dispatcher.release(placed)
            if isinstance(outcome, steps.Sample):
                self._accept_sample(run, attempt, outcome)
                self._backoffs.pop(endpoint.id, None)
            else:
                run.progress.fail(attempt)
            if isinstance(outcome, sample_generator.FailedAttempt):
                run.count_regenerated(outcome.reason)
                if outcome.is_engine_failure:
                    self._extend_backoff(endpoint.id, clock())
            self._table.notify()

    def _accept_sample(
        self,
        run: step_table.StepRun,
        attempt: groups.Attempt,
        sample: steps.Sample,
    ) -> None:
        if run.accept_sample(attempt, sample, self._runtime.clock()):
            self._table.duplicate_budget.add_kept_tokens(sample.tokens)
        if attempt.is_duplicate:
            self._table.duplicate_budget.refund(
                run.spec.max_tokens - sample.tokens
            )

    def _extend_backoff(self, endpoint_id: str, now: float) -> None:
        """Exclude a failed engine for a time that doubles per failure."""
        previous = self._backoffs.get(endpoint_id)
        if previous is not None and now < previous.until:
            return
        seconds = _FIRST_BACKOFF_SECONDS
        if previous is not None:
            seconds = min(previous.seconds * 2, _MAX_BACKOFF_SECONDS)
        self._backoffs[endpoint_id] = _Backoff(now + seconds, seconds)

    def _start_scoring(self, run: step_table.StepRun, now: float) -> None:
        while (
            self._scoring.has_capacity(MAX_SCORING_CALLS)
            and now >= run.score_after
        ):
            unscored = run.progress.next_unscored_group()
            if unscored is None:
                return
            self._scoring.record_start()
            self._tasks.start_soon(self._score, run, *unscored)

    async def _score(
        self,
        run: step_table.StepRun,
        group: int,
        samples: dict[int, steps.Sample],
    ) -> None:
        assert run.spec.reward is not None
        try:
            response = await self._scorer.score(
                run.spec.reward,
                run.spec.groups[group],
                list(samples.values()),
            )
        finally:
            self._scoring.record_end()
        now = self._runtime.clock()
        if isinstance(response, result.Err):
            run.scorer_error = response.err_value
            run.score_attempts.record_missing_response()
            run.score_after = now + run.score_attempts.backoff_seconds(
                self._rng
            )
            self._scoring.record_overload(now)
            run.progress.end_scoring(group)
            logs.event(
                _LOG,
                "scoring_failed",
                step=run.key.step,
                group=group,
                why=response.err_value,
            )
            return
        run.scorer_error = ""
        run.score_attempts.reset()
        self._scoring.record_response()
        pairs = zip(samples.items(), response.ok_value, strict=True)
        run.progress.apply_scores(
            group,
            {
                slot: (sample, dataclasses.replace(sample, reward=reward))
                for (slot, sample), reward in pairs
            },
        )
        run.notify()
        self._table.notify()
