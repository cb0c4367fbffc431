"""Steps known to one instance: their samples, cursors and limits."""

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
# Samples and definitions held; small instances have 1 GB or less.
MAX_HELD_BYTES: typing.Final = 256 << 20
# An answer has to fit into one frame between peers.
MAX_ANSWER_BYTES: typing.Final = 512 << 10
IDLE_SECONDS: typing.Final = 1800.0
# Stale samples are made again without a pull for this long. Longer, an
# instance would make samples at each new version that nobody reads.
REMAKE_SECONDS: typing.Final = 30.0
# A step pulled within this time is not removed to make room.
_PROTECTED_SECONDS: typing.Final = 60.0
_SAMPLE_OVERHEAD_BYTES: typing.Final = 500


class Blocked(enum.Enum):
    """List why no more samples of a step are being made."""

    NOTHING = "nothing"
    NOT_OWNER = "another instance makes the samples"
    NO_ENGINE = "no engine serves the model"
    ENGINES_FAIL = "every engine failed or refused just now"
    ENGINES_OLD = "every engine's weights are or will be too old"
    ENGINES_BUSY = "every generation slot of this instance is in use"
    MEMORY = "held samples reach the memory limit"
    CONTRACT = "the customer has no contract"


class StepRun:
    """Hold one open step."""

    def __init__(
        self, key: steps.StepKey, spec: steps.StepSpec, now: float
    ) -> None:
        """Start with every slot pending."""
        self.key = key
        self.spec = spec
        self.cursor = cursor_lib.Cursor(spec.slots, spec.samples_per_group)
        self.progress: groups.Progress[steps.Sample] = groups.Progress(
            spec.slots, spec.samples_per_group, spec.reward is not None
        )
        # The newest version that the step's own trainer has named.
        self.newest = 0
        self.opened_at = now
        self.touched_at = now
        self.pulled_at: float | None = None
        # False while another instance owns the step.
        self.active = False
        self.blocked = Blocked.NOTHING
        self.scorer_error = ""
        self.score_after = 0.0
        self.score_attempts = attempts.Attempts()
        self.made = 0
        self.made_again: dict[str, int] = {}
        self.scopes: dict[int, anyio.CancelScope] = {}
        # The engine that the latest attempt of each slot uses.
        self.engine_of: dict[int, str] = {}
        self.changed = anyio.Event()
        self.spec_bytes = sum(len(str(group)) for group in spec.groups)
        self.sample_bytes = 0

    def is_wanted(self, now: float) -> bool:
        """Tell whether samples should be made."""
        if not self.active:
            return False
        recent = now - self.touched_at <= REMAKE_SECONDS
        return recent or self.made < self.spec.slots

    def notify(self) -> None:
        """Wake the pulls that wait."""
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def cancel(self, attempts: abc.Iterable[groups.Attempt]) -> None:
        """Cancel attempts that are no longer needed."""
        for attempt in attempts:
            scope = self.scopes.get(attempt.number)
            if scope is not None:
                scope.cancel()

    def count_again(self, reason: str) -> None:
        """Count a sample that has to be made again."""
        self.made_again[reason] = self.made_again.get(reason, 0) + 1

    def begin(
        self,
        reader: cursor_lib.Reader,
        pull: steps.PullBody,
        have: cursor_lib.Bitmap,
        now: float,
    ) -> cursor_lib.Verdict:
        """Take over what a pull tells; free the received samples."""
        self.touched_at = self.pulled_at = now
        self.newest = max(self.newest, pull.newest_version)
        fresh = have.difference(self.cursor.received)
        verdict = self.cursor.begin_pull(reader, pull.pull, have)
        received = fresh.set_slots()
        for slot in received:
            self._forget_bytes(slot)
            self.engine_of.pop(slot, None)
        self.cancel(self.progress.mark_received(received))
        if received:
            self.notify()
        return verdict

    def keep(
        self, attempt: groups.Attempt, sample: steps.Sample, now: float
    ) -> bool:
        """Keep the first whole sample of a slot; cancel its losers."""
        kept, losers = self.progress.complete(attempt, sample, now)
        self.cancel(losers)
        if kept:
            self.made += 1
            self.sample_bytes += _bytes_of(sample)
            self.notify()
        return kept

    def drop(self, slot: int) -> None:
        """Drop a stale sample, so that it is made again."""
        self._forget_bytes(slot)
        self.progress.discard_sample(slot)
        self.engine_of.pop(slot, None)
        self.count_again("stale")

    def _forget_bytes(self, slot: int) -> None:
        sample = self.progress.samples.get(slot)
        if sample is not None:
            self.sample_bytes -= _bytes_of(sample)

    def drop_stale(self, newest: int, bound: int) -> None:
        """Drop stale samples that no fixed answer holds."""
        kept = self.cursor.unconfirmed_slots()
        for slot, sample in list(self.progress.samples.items()):
            fresh = versions.is_fresh(sample.versions, newest, bound)
            if not fresh and slot not in kept:
                self.drop(slot)

    def answer(
        self,
        reader: cursor_lib.Reader,
        pull: steps.PullBody,
        newest: int,
        bound: int,
        final: bool,
    ) -> steps.PullAnswer | None:
        """Return the answer of a current pull; None to wait for more.

        The staleness test is made here, on every answer. A repeat loses
        the samples that became stale since the first answer.
        """
        fixed = self.cursor.fixed_batch(reader, pull.pull)
        owed = self.cursor.undelivered_slots(reader)
        if fixed is None:
            ready = [slot for slot in owed if self.progress.is_ready(slot)]
            fresh = self._fresh(ready, newest, bound)
            if not fresh and owed and not final:
                return None
            chosen = self._whole_groups(fresh, pull.max_samples)
            fixed = self.cursor.fix_batch(reader, pull.pull, chosen)
            self.notify()
        else:
            fresh = self._fresh(fixed, newest, bound)
            self.cursor.remove_stale(
                reader, pull.pull, set(fixed) - set(fresh)
            )
            fixed = tuple(fresh)
        if fixed is None:
            return None
        samples = tuple(self.progress.samples[slot] for slot in fixed)
        return steps.PullAnswer(pull.pull, samples, len(owed) - len(samples))

    def _fresh(
        self, slots: abc.Iterable[int], newest: int, bound: int
    ) -> list[int]:
        fresh: list[int] = []
        for slot in slots:
            sample = self.progress.samples.get(slot)
            if sample is None:
                continue
            if versions.is_fresh(sample.versions, newest, bound):
                fresh.append(slot)
            else:
                self.drop(slot)
        return fresh

    def _whole_groups(self, slots: list[int], limit: int) -> list[int]:
        """Return at most `limit` slots, not splitting scored groups."""
        per_group = self.spec.samples_per_group
        size = 0
        for count, slot in enumerate(slots[:limit]):
            size += _bytes_of(self.progress.samples[slot])
            if size > MAX_ANSWER_BYTES and count > 0:
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

    def rest(self, now: float) -> None:
        """Stop making samples, because the owner makes them."""
        self.touched_at = now
        if self.active:
            self.active = False
            self.blocked = Blocked.NOT_OWNER
            for scope in self.scopes.values():
                scope.cancel()
            # The owner makes its own; these would only fill the memory.
            for slot in list(self.progress.samples):
                self._forget_bytes(slot)
                self.progress.discard_sample(slot)

    def close(self) -> None:
        """Cancel all work of the step and wake its pulls."""
        self.active = False
        for scope in self.scopes.values():
            scope.cancel()
        self.notify()


def _bytes_of(sample: steps.Sample) -> int:
    return len(sample.text.encode()) + _SAMPLE_OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True)
class EngineVersion:
    """Hold the weight version that an engine showed last."""

    incarnation: int
    version: int | None
    seen_at: float


class StepTable:
    """Hold the open steps and what is known of weight versions."""

    def __init__(
        self,
        max_steps: int = MAX_STEPS,
        max_bytes: int = MAX_HELD_BYTES,
        idle_seconds: float = IDLE_SECONDS,
    ) -> None:
        """Start empty."""
        self.runs: dict[steps.StepKey, StepRun] = {}
        self.budget = groups.DuplicateBudget()
        self.engines: dict[str, EngineVersion] = {}
        # Peers that gave no answer as owners, until a time.
        self.unfit_until: dict[str, float] = {}
        self.wake = anyio.Event()
        self._newest: dict[str, versions.NewestVersion] = {}
        self._max_steps = max_steps
        self._max_bytes = max_bytes
        self._idle_seconds = idle_seconds

    def notify(self) -> None:
        """Wake the controller."""
        wake, self.wake = self.wake, anyio.Event()
        wake.set()

    def open(
        self, customer: str, spec: steps.StepSpec, now: float
    ) -> result.Result[StepRun, codes.Refusal]:
        """Open a step; the same body again changes nothing."""
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
            if not self._make_room(run.spec_bytes, now):
                return result.Err(
                    codes.Refusal(
                        codes.Code.OVERLOADED, "too many open steps", 5.0
                    )
                )
            self.runs[key] = run
        run.touched_at = now
        return result.Ok(run)

    def activate(self, run: StepRun) -> None:
        """Start making the samples of a step here."""
        if not run.active:
            run.active = True
            self.notify()

    def get(self, key: steps.StepKey) -> StepRun | None:
        """Return an open step."""
        return self.runs.get(key)

    def remove(self, run: StepRun) -> None:
        """Remove a step and cancel its work."""
        self.runs.pop(run.key, None)
        run.close()

    def held_bytes(self) -> int:
        """Return the bytes of definitions and samples held."""
        return sum(
            run.spec_bytes + run.sample_bytes for run in self.runs.values()
        )

    def is_full(self) -> bool:
        """Tell whether no more samples may be held."""
        return self.held_bytes() >= self._max_bytes

    def _make_room(self, size: int, now: float) -> bool:
        by_age = sorted(self.runs.values(), key=lambda run: run.touched_at)
        for run in by_age:
            if self._fits(size):
                return True
            # A step that its trainer holds whole is of no more use.
            done = run.progress.counts().received == run.spec.slots
            if done or now - run.touched_at > _PROTECTED_SECONDS:
                self.remove(run)
        return self._fits(size)

    def _fits(self, size: int) -> bool:
        if len(self.runs) >= self._max_steps:
            return False
        return self.held_bytes() + size <= self._max_bytes

    def sweep(self, now: float) -> None:
        """Remove the steps that nobody used for long."""
        for run in list(self.runs.values()):
            if now - run.touched_at > self._idle_seconds:
                self.remove(run)
        for peer, until in list(self.unfit_until.items()):
            if now >= until:
                del self.unfit_until[peer]
        if self.is_full():
            # Trainers that pull go before steps that nobody pulls now.
            self._make_room(1, now)

    def note_engine(
        self,
        endpoint_id: str,
        model: str,
        incarnation: int,
        version: int | None,
        now: float,
    ) -> None:
        """Note the version that an engine showed."""
        self.engines[endpoint_id] = EngineVersion(incarnation, version, now)
        if version is not None:
            self.note_newest(model, version, now)

    def note_newest(self, model: str, version: int, now: float) -> None:
        """Note a version that exists; wake the controller if it is new."""
        newest = self._newest.setdefault(model, versions.NewestVersion())
        if newest.record(version, now):
            self.notify()

    def newest(self, run: StepRun) -> int:
        """Return the newest version known for a step."""
        known = self._newest.get(run.spec.model)
        return max(run.newest, known.version if known else 0)

    def expected_newest(self, run: StepRun, now: float, seconds: float) -> int:
        """Return the version expected to be newest after some seconds."""
        known = self._newest.get(run.spec.model)
        expected = known.expected_version(now, seconds) if known else 0
        return max(run.newest, expected)
