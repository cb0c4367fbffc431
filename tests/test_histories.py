"""Test the service guarantees over whole instances, and the checker."""

from collections import abc
import dataclasses
import typing

import pytest

from hibiscussaddle.adapters import engines
from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle.policy import cursor
from hibiscussaddle.policy import groups
from hibiscussaddle.policy import tickets
from hibiscussaddle.policy import versions
from histories import run

SEEDS = range(1, 13)

# The HTTP server leaves cancelled tasks of crashed instances behind.
pytestmark = pytest.mark.filterwarnings(
    "ignore::pytest.PytestUnraisableExceptionWarning"
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_guarantees_hold_under_random_faults(seed: int) -> None:
    """Fails when a run with random faults violates a guarantee."""
    outcome = run.run(run.Plan(seed))
    assert outcome.violations == []
    assert outcome.history.deliveries


def ignore_received_bits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Deliver slots that the trainer has received."""

    def undelivered_slots(
        self: cursor.Cursor, reader: cursor.Reader
    ) -> list[int]:
        return [
            slot
            for slot in range(self.size)
            if slot // self._per_group % reader.shards == reader.shard
        ]

    monkeypatch.setattr(cursor.Cursor, "undelivered_slots", undelivered_slots)
    monkeypatch.setattr(cursor.Bitmap, "has", lambda *_: False)
    monkeypatch.setattr(groups.Progress, "mark_received", lambda *_: ())


def name_last_version(monkeypatch: pytest.MonkeyPatch) -> None:
    """Report the last version for every token of a sample."""
    finish = versions.VersionTracker.finish

    def last_version_ranges(
        self: versions.VersionTracker,
    ) -> tuple[versions.VersionRange, ...] | None:
        ranges = finish(self)
        if ranges is None:
            return None
        return (dataclasses.replace(ranges[-1], first_token=0),)

    monkeypatch.setattr(versions.VersionTracker, "finish", last_version_ranges)


def ignore_staleness(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treat every sample as fresh."""
    monkeypatch.setattr(versions, "is_fresh", lambda *_: True)


def skip_scoring(monkeypatch: pytest.MonkeyPatch) -> None:
    """Deliver finished samples before they are scored."""
    monkeypatch.setattr(
        groups.Progress, "is_ready", lambda self, slot: slot in self.samples
    )


def ignore_missing_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treat a stream without its end mark as complete."""
    stream = engines.EngineClient.stream_batches

    async def stream_without_end(
        self: engines.EngineClient, *args: typing.Any
    ) -> abc.AsyncGenerator[list[engines.Chunk], None]:
        try:
            async for batch in stream(self, *args):
                yield batch
        except engines.BrokenStreamError:
            return

    monkeypatch.setattr(
        engines.EngineClient, "stream_batches", stream_without_end
    )


def run_every_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a ticket's call again on each retry, on any instance."""
    monkeypatch.setattr(tickets.Ledger, "is_own", lambda *_: True)
    monkeypatch.setattr(
        tickets.Ledger,
        "start",
        lambda *_: tickets.Decision(tickets.Verdict.RUN),
    )


def report_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Report work whose outcome is unknown as not run."""
    refuse = exchange.refuse

    def false_refusal(code: codes.Code, *args: typing.Any, **kwargs: str):
        if code.value.ran == "unknown":
            code = codes.Code.TICKET_NOT_STARTED
        return refuse(code, *args, **kwargs)

    monkeypatch.setattr(exchange, "refuse", false_refusal)


@pytest.mark.parametrize(
    ("variant", "guarantee", "faults"),
    [
        (ignore_received_bits, "exactly-once", ()),
        (name_last_version, "versions", ()),
        (ignore_staleness, "staleness", ()),
        (skip_scoring, "rewards", ()),
        (ignore_missing_end, "whole", ("engine_crash",) * 8),
        (run_every_retry, "at-most-once", ()),
        (report_not_run, "not-run", ()),
    ],
)
def test_broken_variant_is_found(
    variant: abc.Callable[[pytest.MonkeyPatch], None],
    guarantee: str,
    faults: tuple[str, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when the checker does not find a violated guarantee."""
    variant(monkeypatch)
    for seed in SEEDS:
        outcome = run.run(run.Plan(seed, 3.0, faults))
        if any(
            text.startswith(guarantee + ":") for text in outcome.violations
        ):
            return
    pytest.fail(f"no violation of {guarantee!r} in seeds {SEEDS}")
