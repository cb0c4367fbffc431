"""Open steps of one instance, with their samples, cursors and limits."""

from collections import abc
import dataclasses
import enum
import typing

import anyio
import result

from hibiscussaddle import codes
from hibiscussaddle.policy import cursor as cursor_lib
from hibiscussaddle.policy import groups
from hibiscussaddle.policy import versions
from hibiscussaddle.scoring import attempts
from hibiscussaddle import steps

MAX_STEPS: typing.Final = 256
# Limit for definitions and samples; small instances have 1 GB or less.
MAX_HELD_BYTES: typing.Final = 256 << 20
# A response has to fit into one frame between peers.
MAX_RESPONSE_BYTES: typing.Final = 512 << 10
IDLE_SECONDS: typing.Final = 1800.0
# Stale samples are regenerated for this long after the last use of the step.
# Beyond it, an instance would generate samples for nobody at each new version.
REGENERATION_SECONDS: typing.Final = 30.0
# A step used within this time is not evicted.
_EVICTION_PROTECTION_SECONDS: typing.Final = 60.0
_SAMPLE_OVERHEAD_BYTES: typing.Final = 500


class BlockedReason(enum.Enum):
    """List the reasons why no more samples of a step are generated."""

    NOT_BLOCKED = "nothing"
    NOT_OWNER = "another instance makes the samples"
    NO_ENGINE = "no engine serves the model"
    ENGINES_FAILING = "every engine failed or refused just now"
    ENGINES_STALE = "every engine's weights are or will be too old"
    ENGINES_BUSY = "every generation slot of this instance is in use"
    MEMORY = "held samples reach the memory limit"
    CONTRACT = "the customer has no contract"


class StepRun:
    """Hold one open step and its samples."""

    def __init__(
        self, key: steps.StepKey, spec: steps.StepSpec, now: float
    ) -> None:
        """Create a step whose slots are all pending."""
        self.key = key
        self.spec = spec
        self.cursor = cursor_lib.Cursor(
            spec.slot_count, spec.samples_per_group
        )
        self.progress: groups.Progress[steps.Sample] = groups.Progress(
            spec.slot_count, spec.samples_per_group, spec.reward is not None
        )
        # The newest weight version that the trainer of the step reported.
        self.newest_version = 0
        self.opened_at = now
        self.last_used_at = now
        self.pulled_at: float | None = None
        # False while another instance owns the step.
        self.is_active = False
        self.blocked_reason = BlockedReason.NOT_BLOCKED
        self.scorer_error = ""
        # Monotonic seconds before which no group is sent to the scorer.
        self.score_after = 0.0
        self.score_attempts = attempts.Attempts()
        self.generated_count = 0
        self.regenerated_counts: dict[str, int] = {}
        self.cancel_scopes: dict[int, anyio.CancelScope] = {}
        # The engine that the latest attempt of each slot uses.
        self.engine_by_slot: dict[int, str] = {}
        self.changed = anyio.Event()
        self.spec_bytes = sum(len(str(group)) for group in spec.groups)
        self.sample_bytes = 0

    def needs_samples(self, now: float) -> bool:
        """Return whether samples should be generated."""
        if not self.is_active:
            return False
        is_recent = now - self.last_used_at <= REGENERATION_SECONDS
        return is_recent or self.generated_count < self.spec.slot_count

    def notify(self) -> None:
        """Wake the waiting pulls."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def cancel_attempts(self, unneeded: abc.Iterable[groups.Attempt]) -> None:
        """Cancel attempts that are no longer needed."""
        for attempt in unneeded:
            scope = self.cancel_scopes.get(attempt.number)
            if scope is not None:
                scope.cancel()

    def count_regenerated(self, reason: str) -> None:
        """Count a sample that has to be regenerated."""
        self.regenerated_counts[reason] = (
            self.regenerated_counts.get(reason, 0) + 1
        )

    def begin_pull(
        self,
        reader: cursor_lib.Reader,
        pull: steps.PullRequest,
        have: cursor_lib.Bitmap,
        now: float,
    ) -> cursor_lib.Verdict:
        """Apply the state that a pull reports; free the received samples."""
        self.last_used_at = self.pulled_at = now
        self.newest_version = max(self.newest_version, pull.newest_version)
        fresh = have.difference(self.cursor.received)
        verdict = self.cursor.begin_pull(reader, pull.pull, have)
        received = fresh.set_slots()
        for slot in received:
            self._subtract_sample_bytes(slot)
            self.engine_by_slot.pop(slot, None)
        self.cancel_attempts(self.progress.mark_received(received))
        if received:
            self.notify()
        return verdict

    def accept_sample(
        self, attempt: groups.Attempt, sample: steps.Sample, now: float
    ) -> bool:
        """Keep the first sample of a slot and cancel its other attempts.

        Returns whether the sample was kept.
        """
        kept, superseded = self.progress.complete(attempt, sample, now)
        self.cancel_attempts(superseded)
        if kept:
            self.generated_count += 1
            self.sample_bytes += _sample_bytes(sample)
            self.notify()
        return kept

    def discard_sample(self, slot: int) -> None:
        """Discard a stale sample, so that it is regenerated."""
        self._subtract_sample_bytes(slot)
        self.progress.discard_sample(slot)
        self.engine_by_slot.pop(slot, None)
        self.count_regenerated("stale")

    def _subtract_sample_bytes(self, slot: int) -> None:
        sample = self.progress.samples.get(slot)
        if sample is not None:
            self.sample_bytes -= _sample_bytes(sample)

    def discard_stale_samples(self, newest: int, max_staleness: int) -> None:
        """Discard stale samples that are in no fixed batch."""
        unconfirmed = self.cursor.unconfirmed_slots()
        for slot, sample in list(self.progress.samples.items()):
            fresh = versions.is_fresh(sample.versions, newest, max_staleness)
            if not fresh and slot not in unconfirmed:
                self.discard_sample(slot)

    def create_response(
        self,
        reader: cursor_lib.Reader,
        pull: steps.PullRequest,
        newest: int,
        max_staleness: int,
        is_final: bool,
    ) -> steps.PullResponse | None:
        """Return the response to a current pull; None to wait for more.

        With `is_final`, the response may be empty, since the wait is over.
        Staleness is checked here for every response. The response to a
        repeated pull lacks the samples that became stale since the first.
        """
        batch = self.cursor.fixed_batch(reader, pull.pull)
        undelivered = self.cursor.undelivered_slots(reader)
        if batch is None:
            ready = [
                slot for slot in undelivered if self.progress.is_ready(slot)
            ]
            fresh = self._fresh_slots(ready, newest, max_staleness)
            if not fresh and undelivered and not is_final:
                return None
            chosen = self._select_slots(fresh, pull.max_samples)
            batch = self.cursor.fix_batch(reader, pull.pull, chosen)
            self.notify()
        else:
            fresh = self._fresh_slots(batch, newest, max_staleness)
            self.cursor.remove_stale(
                reader, pull.pull, set(batch) - set(fresh)
            )
            batch = tuple(fresh)
        if batch is None:
            return None
        samples = tuple(self.progress.samples[slot] for slot in batch)
        return steps.PullResponse(
            pull.pull, samples, len(undelivered) - len(samples)
        )

    def _fresh_slots(
        self, slots: abc.Iterable[int], newest: int, max_staleness: int
    ) -> list[int]:
        fresh: list[int] = []
        for slot in slots:
            sample = self.progress.samples.get(slot)
            if sample is None:
                continue
            if versions.is_fresh(sample.versions, newest, max_staleness):
                fresh.append(slot)
            else:
                self.discard_sample(slot)
        return fresh

    def _select_slots(self, slots: list[int], limit: int) -> list[int]:
        """Return the first slots that fit into one response.

        A scored group is split only if the limit is smaller than a group.
        """
        per_group = self.spec.samples_per_group
        size = 0
        for count, slot in enumerate(slots[:limit]):
            size += _sample_bytes(self.progress.samples[slot])
            if size > MAX_RESPONSE_BYTES and count > 0:
                limit = count
                break
        if self.spec.reward is None or per_group > limit:
            return slots[:limit]
        end = limit
        while end < len(slots) and end > 0:
            if slots[end - 1] // per_group != slots[end] // per_group:
                break
            end -= 1
        return slots[:end]

    def deactivate(self, now: float) -> None:
        """Stop generating samples, because the owner generates them."""
        self.last_used_at = now
        if self.is_active:
            self.is_active = False
            self.blocked_reason = BlockedReason.NOT_OWNER
            for scope in self.cancel_scopes.values():
                scope.cancel()
            # The owner generates its own; these would only use memory.
            for slot in list(self.progress.samples):
                self._subtract_sample_bytes(slot)
                self.progress.discard_sample(slot)

    def close(self) -> None:
        """Cancel all work of the step and wake its pulls."""
        self.is_active = False
        for scope in self.cancel_scopes.values():
            scope.cancel()
        self.notify()


def _sample_bytes(sample: steps.Sample) -> int:
    return len(sample.text.encode()) + _SAMPLE_OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True)
class EngineVersion:
    """Hold the weight version that an engine reported last."""

    incarnation: int
    version: int | None
    seen_at: float


class StepTable:
    """Hold the open steps and the known weight versions."""

    def __init__(
        self,
        max_steps: int = MAX_STEPS,
        max_bytes: int = MAX_HELD_BYTES,
        idle_seconds: float = IDLE_SECONDS,
    ) -> None:
        """Create an empty table."""
        self.runs: dict[steps.StepKey, StepRun] = {}
        self.duplicate_budget = groups.DuplicateBudget()
        self.engines: dict[str, EngineVersion] = {}
        # Monotonic seconds until which a peer that failed is not used as an
        # owner, by the id of the peer.
        self.unavailable_until: dict[str, float] = {}
        self.changed = anyio.Event()
        self._newest: dict[str, versions.NewestVersion] = {}
        self._max_steps = max_steps
        self._max_bytes = max_bytes
        self._idle_seconds = idle_seconds

    def notify(self) -> None:
        """Wake the controller."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def open(
        self, customer: str, spec: steps.StepSpec, now: float
    ) -> result.Result[StepRun, codes.Refusal]:
        """Open a step; opening it again with the same body has no effect."""
        key = steps.StepKey(customer, spec.trainer, spec.step)
        run = self.runs.get(key)
        if run is not None and run.spec != spec:
            return result.Err(
                codes.Refusal(
                    codes.Code.STEP_CONFLICT,
                    f"step {spec.step!r} is open with a different body",
                )
            )
        if run is None:
            run = StepRun(key, spec, now)
            if not self._evict_steps(run.spec_bytes, now):
                return result.Err(
                    codes.Refusal(
                        codes.Code.OVERLOADED, "too many open steps", 5.0
                    )
                )
            self.runs[key] = run
        run.last_used_at = now
        return result.Ok(run)

    def activate(self, run: StepRun) -> None:
        """Start generating the samples of a step on this instance."""
        if not run.is_active:
            run.is_active = True
            self.notify()

    def get(self, key: steps.StepKey) -> StepRun | None:
        """Return an open step, if it is known here."""
        return self.runs.get(key)

    def remove(self, run: StepRun) -> None:
        """Remove a step and cancel its work."""
        self.runs.pop(run.key, None)
        run.close()

    def held_bytes(self) -> int:
        """Return the size of all definitions and samples in bytes."""
        return sum(
            run.spec_bytes + run.sample_bytes for run in self.runs.values()
        )

    def is_full(self) -> bool:
        """Return whether the memory limit for samples is reached."""
        return self.held_bytes() >= self._max_bytes

    def _evict_steps(self, size: int, now: float) -> bool:
        """Return whether `size` bytes fit, after evicting steps if needed."""
        by_last_use = sorted(
            self.runs.values(), key=lambda run: run.last_used_at
        )
        for run in by_last_use:
            if self._has_capacity(size):
                return True
            # A step is no longer needed once its trainer has every sample.
            is_complete = run.progress.counts().received == run.spec.slot_count
            if (
                is_complete
                or now - run.last_used_at > _EVICTION_PROTECTION_SECONDS
            ):
                self.remove(run)
        return self._has_capacity(size)

    def _has_capacity(self, size: int) -> bool:
        if len(self.runs) >= self._max_steps:
            return False
        return self.held_bytes() + size <= self._max_bytes

    def remove_idle(self, now: float) -> None:
        """Remove idle steps, and peers that may be used as owners again."""
        for run in list(self.runs.values()):
            if now - run.last_used_at > self._idle_seconds:
                self.remove(run)
        for peer, until in list(self.unavailable_until.items()):
            if now >= until:
                del self.unavailable_until[peer]
        if self.is_full():
            # Active trainers take precedence over steps that nobody uses.
            self._evict_steps(1, now)

    def record_engine_version(
        self,
        endpoint_id: str,
        model: str,
        incarnation: int,
        version: int | None,
        now: float,
    ) -> None:
        """Record the weight version that an engine reported."""
        self.engines[endpoint_id] = EngineVersion(incarnation, version, now)
        if version is not None:
            self.record_newest_version(model, version, now)

    def record_newest_version(
        self, model: str, version: int, now: float
    ) -> None:
        """Record a version of a model; wake the controller if it is new."""
        newest = self._newest.setdefault(model, versions.NewestVersion())
        if newest.record(version, now):
            self.notify()

    def newest_version(self, run: StepRun) -> int:
        """Return the newest version known for the model of a step."""
        known = self._newest.get(run.spec.model)
        return max(run.newest_version, known.version if known else 0)

    def expected_newest_version(
        self, run: StepRun, now: float, seconds: float
    ) -> int:
        """Return the version expected to be the newest in some seconds."""
        known = self._newest.get(run.spec.model)
        expected = known.expected_version(now, seconds) if known else 0
        return max(run.newest_version, expected)
