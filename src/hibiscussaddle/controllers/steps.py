"""Make, score and clean up the samples of open steps."""

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
MAX_RUNNING: typing.Final = 256
MAX_SCORING: typing.Final = 8
# Stragglers, failed engines and old steps are looked at this often.
TICK_SECONDS: typing.Final = 0.1
# An engine with old weights is asked this often whether it has new ones.
ASK_SECONDS: typing.Final = 0.5
_ASK_TIMEOUT_SECONDS: typing.Final = 2.0
_FIRST_PAUSE_SECONDS: typing.Final = 0.1
_MAX_PAUSE_SECONDS: typing.Final = 5.0


@controllers.controller("steps")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Work on every open step until cancelled."""
    async with anyio.create_task_group() as tasks:
        await StepWorker(runtime, tasks).run()


@dataclasses.dataclass(frozen=True)
class _Pause:
    """Keep a failed engine out until a time in monotonic seconds."""

    until: float
    seconds: float


class StepWorker:
    """Start attempts and scorings, with bounded concurrency."""

    def __init__(
        self, runtime: runtime_lib.Runtime, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start idle."""
        self._runtime = runtime
        self._tasks = tasks
        self._table = runtime.steps
        self._maker = sample_generator.SampleGenerator(runtime)
        self._scorer = scorers.ScorerClient(
            runtime.client, runtime.cfg.scorer_url
        )
        self._running: collections.Counter[str] = collections.Counter()
        self._scoring = admission.ConcurrencyWindow()
        self._rng = random.Random()
        # Models and customers whose waiting samples were told.
        self._wanted: set[tuple[str, str]] = set()
        self._pauses: dict[str, _Pause] = {}
        self._asked: dict[str, float] = {}
        self._newest: dict[steps.StepKey, int] = {}

    async def run(self) -> None:
        """Work whenever something changed, and on every tick."""
        while True:
            wake = self._table.changed
            self._pass()
            with anyio.move_on_after(TICK_SECONDS):
                await wake.wait()

    def _pass(self) -> None:
        now = self._runtime.clock()
        self._table.remove_idle(now)
        self._forget_endpoints()
        for key in self._newest.keys() - self._table.runs.keys():
            del self._newest[key]
        # The step with the fewest running attempts goes first, so that
        # trainers share the instance evenly.
        found = self._table.runs.values()
        active = [item for item in found if item.needs_samples(now)]
        active.sort(key=lambda item: len(item.cancel_scopes))
        for item in active:
            self._drop_stale(item)
            self._start_scoring(item, now)
        self._tell_demand(active)
        while active:
            active = [item for item in active if self._start_one(item, now)]

    def _tell_demand(self, active: list[step_table.StepRun]) -> None:
        """Let the shares know how many samples wait."""
        wanted = collections.Counter(dict.fromkeys(self._wanted, 0))
        for item in active:
            key = (item.spec.model, item.key.customer)
            wanted[key] += item.progress.counts().pending
        for (model, customer), count in wanted.items():
            self._runtime.dispatcher.set_unqueued_demand(
                model, customer, count
            )
        self._wanted = {key for key, count in wanted.items() if count}

    def _forget_endpoints(self) -> None:
        known: tuple[dict[str, typing.Any], ...] = (
            self._table.engines,
            self._pauses,
            self._asked,
        )
        for by_endpoint in known:
            gone = [
                endpoint_id
                for endpoint_id in by_endpoint
                if self._runtime.directory.get(endpoint_id) is None
            ]
            for endpoint_id in gone:
                del by_endpoint[endpoint_id]

    def _contract(self, run: step_table.StepRun) -> contracts.Contract | None:
        record = self._runtime.contracts.get(run.key.customer)
        return record.contract if record else None

    def _drop_stale(self, run: step_table.StepRun) -> None:
        newest = self._table.newest_version(run)
        contract = self._contract(run)
        if contract is None or newest == self._newest.get(run.key):
            return
        self._newest[run.key] = newest
        run.discard_stale_samples(newest, contract.staleness_versions)

    def _start_one(self, run: step_table.StepRun, now: float) -> bool:
        """Start one attempt of a step; tell whether more may follow."""
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
        used = set[str]()
        if straggler is not None:
            used.add(run.engine_by_slot.get(straggler, ""))
        placed = self._choose(run, contract, used, now)
        if placed is None:
            return False
        attempt = self._begin(run, slot, straggler, now)
        if attempt is None:
            self._runtime.dispatcher.release(placed)
            return False
        run.blocked_reason = step_table.BlockedReason.NOT_BLOCKED
        run.engine_by_slot[attempt.slot] = placed.endpoint.id
        self._running[placed.endpoint.id] += 1
        scope = anyio.CancelScope()
        run.cancel_scopes[attempt.number] = scope
        self._tasks.start_soon(
            self._attempt, run, attempt, placed, contract, scope
        )
        return True

    def _begin(
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

    def _choose(
        self,
        run: step_table.StepRun,
        contract: contracts.Contract,
        used: set[str],
        now: float,
    ) -> placement.Placement | None:
        """Return an engine for the step; note why there is none."""
        why = step_table.BlockedReason
        found = self._runtime.directory.engines(run.spec.model)
        healthy = [ep for ep in found if not self._is_paused(ep.id, now)]
        fresh = [
            ep for ep in healthy if self._may_start(run, ep, contract, now)
        ]
        other = [ep for ep in fresh if ep.id not in used]
        chosen = None
        if self._running.total() < MAX_RUNNING:
            chosen = engine_choice.try_place_sample(
                self._runtime,
                contract,
                run.spec.model,
                run.spec.max_tokens,
                other,
            )
        if not found:
            run.blocked_reason = why.NO_ENGINE
        elif not healthy:
            run.blocked_reason = why.ENGINES_FAILING
        elif not fresh:
            run.blocked_reason = why.ENGINES_STALE
        elif chosen is None:
            run.blocked_reason = why.ENGINES_BUSY
        return chosen

    def _is_paused(self, endpoint_id: str, now: float) -> bool:
        pause = self._pauses.get(endpoint_id)
        return pause is not None and now < pause.until

    def _may_start(
        self,
        run: step_table.StepRun,
        endpoint: endpoints.Endpoint,
        contract: contracts.Contract,
        now: float,
    ) -> bool:
        known = self._table.engines.get(endpoint.id)
        seconds = run.progress.median_seconds() or 0.0
        allowed = known is None or (
            known.version is not None
            and versions.may_start(
                known.version,
                self._table.newest_version(run),
                self._table.expected_newest_version(run, now, seconds),
                contract.staleness_versions,
            )
        )
        asked_at = self._asked.get(endpoint.id, -ASK_SECONDS)
        if not allowed and now - asked_at >= ASK_SECONDS:
            self._asked[endpoint.id] = now
            self._tasks.start_soon(self._ask, endpoint, run.spec.model)
        return allowed

    async def _ask(self, endpoint: endpoints.Endpoint, model: str) -> None:
        """Read the engine's version from its load report."""
        try:
            resp = await self._runtime.client.get(
                endpoint.address + "/v1/load", timeout=_ASK_TIMEOUT_SECONDS
            )
            resp.raise_for_status()
            body = resp.json()
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

    async def _attempt(
        self,
        run: step_table.StepRun,
        attempt: groups.Attempt,
        placed: placement.Placement,
        contract: contracts.Contract,
        scope: anyio.CancelScope,
    ) -> None:
        endpoint = placed.endpoint
        clock = self._runtime.clock
        made: steps.Sample | sample_generator.FailedAttempt | None = None
        try:
            with scope:
                made = await self._maker.generate(
                    run,
                    attempt,
                    placed,
                    contract.staleness_versions,
                )
        finally:
            run.cancel_scopes.pop(attempt.number, None)
            self._running[endpoint.id] -= 1
            if isinstance(made, steps.Sample):
                placed.record_success()
            elif (
                isinstance(made, sample_generator.FailedAttempt)
                and made.is_engine_failure
            ):
                placed.record_failure()
            self._runtime.dispatcher.release(placed)
            if isinstance(made, steps.Sample):
                self._keep(run, attempt, made)
                self._pauses.pop(endpoint.id, None)
            else:
                run.progress.fail(attempt)
            if isinstance(made, sample_generator.FailedAttempt):
                run.count_regenerated(made.reason)
                if made.is_engine_failure:
                    self._pause(endpoint.id, clock())
            self._table.notify()

    def _keep(
        self,
        run: step_table.StepRun,
        attempt: groups.Attempt,
        made: steps.Sample,
    ) -> None:
        if run.accept_sample(attempt, made, self._runtime.clock()):
            self._table.duplicate_budget.add_kept_tokens(made.tokens)
        if attempt.is_duplicate:
            self._table.duplicate_budget.refund(
                run.spec.max_tokens - made.tokens
            )

    def _pause(self, endpoint_id: str, now: float) -> None:
        """Keep a failed engine out for a time that doubles."""
        last = self._pauses.get(endpoint_id)
        if last is not None and now < last.until:
            return
        seconds = _FIRST_PAUSE_SECONDS
        if last is not None:
            seconds = min(last.seconds * 2, _MAX_PAUSE_SECONDS)
        self._pauses[endpoint_id] = _Pause(now + seconds, seconds)

    def _start_scoring(self, run: step_table.StepRun, now: float) -> None:
        while (
            self._scoring.has_capacity(MAX_SCORING) and now >= run.score_after
        ):
            taken = run.progress.next_unscored_group()
            if taken is None:
                return
            self._scoring.record_start()
            self._tasks.start_soon(self._score, run, *taken)

    async def _score(
        self,
        run: step_table.StepRun,
        group: int,
        samples: dict[int, steps.Sample],
    ) -> None:
        assert run.spec.reward is not None
        try:
            scored = await self._scorer.score(
                run.spec.reward,
                run.spec.groups[group],
                list(samples.values()),
            )
        finally:
            self._scoring.record_end()
        now = self._runtime.clock()
        if isinstance(scored, result.Err):
            run.scorer_error = scored.err_value
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
                why=scored.err_value,
            )
            return
        run.scorer_error = ""
        run.score_attempts.reset()
        self._scoring.record_response()
        pairs = zip(samples.items(), scored.ok_value, strict=True)
        run.progress.apply_scores(
            group,
            {
                slot: (sample, dataclasses.replace(sample, reward=reward))
                for (slot, sample), reward in pairs
            },
        )
        run.notify()
        self._table.notify()
