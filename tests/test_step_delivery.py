"""Test that steps deliver each slot once, fresh, and the first sample."""

import dataclasses
import typing

import hypothesis
from hypothesis import stateful
import pytest

import delivery_machine
from hibiscussaddle.policy import cursor
from hibiscussaddle import step_table
from hibiscussaddle import steps

TestDelivery = delivery_machine.DeliveryMachine.TestCase
TestDelivery.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50
)


class ChangesRepeatedBatch(step_table.StepRun):
    """Select a new batch for a repeated pull number."""

    def create_response(self, reader, pull, *rest, **options):  # type: ignore
        position = self.cursor._positions.get(reader)
        if position is not None and position.pull == pull.pull:
            position.batch = None
        return super().create_response(reader, pull, *rest, **options)


class IgnoresReceivedBitmap(step_table.StepRun):
    """Ignore the bitmap of received slots in a pull."""

    def begin_pull(self, reader, pull, have, now):  # type: ignore
        empty = cursor.Bitmap(have.size)
        return super().begin_pull(reader, pull, empty, now)


class ServesOldPulls(step_table.StepRun):
    """Serve a pull that is older than the latest one."""

    def begin_pull(self, reader, pull, have, now):  # type: ignore
        position = self.cursor._positions.get(reader)
        if position is not None and pull.pull < position.pull:
            position.pull, position.batch = pull.pull, None
        return super().begin_pull(reader, pull, have, now)


class IgnoresStaleness(step_table.StepRun):
    """Deliver samples without checking their staleness."""

    def _fresh_slots(self, slots, newest, bound):  # type: ignore
        return super()._fresh_slots(slots, 0, bound)


class IgnoresTrainerVersion(step_table.StepRun):
    """Ignore the newest version that the trainer reports."""

    def begin_pull(self, reader, pull, have, now):  # type: ignore
        old = dataclasses.replace(pull, newest_version=0)
        return super().begin_pull(reader, old, have, now)


class RepeatsStaleSamples(step_table.StepRun):
    """Check staleness only when a batch is selected, not when repeated."""

    def create_response(  # type: ignore
        self, reader, pull, newest, bound, is_final
    ):
        if self.cursor.fixed_batch(reader, pull.pull) is not None:
            bound = 1000
        return super().create_response(reader, pull, newest, bound, is_final)


class LastSampleWins(step_table.StepRun):
    """Keep the last complete sample of a slot instead of the first."""

    def accept_sample(self, attempt, sample, now):  # type: ignore
        super().accept_sample(attempt, sample, now)
        if self.progress.samples.get(attempt.slot) is not None:
            self.progress.samples[attempt.slot] = sample


class IgnoresShards(step_table.StepRun):
    """Deliver every slot to every reader."""

    def create_response(self, reader, pull, *rest, **options):  # type: ignore
        self.cursor.undelivered_slots = lambda _: (
            self.cursor.received.missing_slots()
        )
        return super().create_response(reader, pull, *rest, **options)


class DeliversUnscoredSamples(step_table.StepRun):
    """Deliver a sample before its group is scored."""

    def accept_sample(self, attempt, sample, now):  # type: ignore
        super().accept_sample(attempt, sample, now)
        if attempt.slot in self.progress.samples:
            self.progress._ready.add(attempt.slot)


class NeverRegenerates(step_table.StepRun):
    """Discard stale samples without generating them again."""

    def discard_sample(self, slot: int) -> None:
        self.progress.samples.pop(slot, None)


@pytest.mark.parametrize(
    ("variant", "failure"),
    [
        (ChangesRepeatedBatch, "repeated pull got another batch"),
        (IgnoresReceivedBitmap, "slot that the trainer has received"),
        (ServesOldPulls, "older pull got a response"),
        (IgnoresStaleness, "stale sample"),
        (IgnoresTrainerVersion, "stale sample"),
        (RepeatsStaleSamples, "stale sample"),
        (LastSampleWins, "sample of a later attempt"),
        (IgnoresShards, "slot of another shard"),
        (DeliversUnscoredSamples, "sample without reward"),
        (NeverRegenerates, "slots never delivered"),
    ],
)
def test_state_machine_detects_broken_variant(
    variant: type[step_table.StepRun], failure: str
) -> None:
    """Fails when the state machine misses a broken variant."""
    settings = hypothesis.settings(
        max_examples=1500,
        stateful_step_count=50,
        derandomize=True,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = delivery_machine.broken(variant)
    with pytest.raises(AssertionError, match=failure):
        stateful.run_state_machine_as_test(machine, settings=settings)


def _step(**changes: typing.Any) -> steps.StepSpec:
    values: dict[str, typing.Any] = {
        "trainer": "t1",
        "step": "s1",
        "model": "base",
        "groups": (({"content": "x"},),),
        "samples_per_group": 2,
    }
    values.update(changes)
    return steps.StepSpec(**values)


def test_table_isolates_customers_and_is_bounded() -> None:
    """Fails when a step leaks to another customer or exceeds the limits."""
    table = step_table.StepTable(max_steps=2, idle_seconds=10.0)
    first = table.open("a", _step(), 0.0).ok_value
    assert table.open("a", _step(), 1.0).ok_value is first
    assert table.open("a", _step(max_tokens=3), 1.0).is_err()
    assert table.open("b", _step(max_tokens=3), 1.0).is_ok()
    assert table.open("c", _step(), 2.0).is_err()
    table.remove_idle(11.5)
    assert not table.runs
    large = _step(groups=(({"content": "x" * 600},),))
    small = step_table.StepTable(max_bytes=1000)
    assert small.open("a", large, 0.0).is_ok()
    assert small.open("b", large, 1.0).is_err()


def test_full_table_evicts_unused_steps() -> None:
    """Fails when unread samples block all generation forever."""
    table = step_table.StepTable(max_bytes=2000)
    run = table.open("a", _step(), 0.0).ok_value
    run.sample_bytes = 2000
    table.remove_idle(50.0)
    assert table.is_full()
    table.remove_idle(61.0)
    assert not table.is_full()
