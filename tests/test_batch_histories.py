"""Guard the promises on batches over whole gateways, and their checker."""

from collections import abc
import typing

import pytest

from hibiscussaddle.batches import events
from hibiscussaddle.batches import model
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import runner
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import scores
from hibiscussaddle.batches import storage
from hibiscussaddle import codes
from hibiscussaddle import gateway
from hibiscussaddle.policy import lease
from hibiscussaddle.routes import forward
from hibiscussaddle.scoring import model as scoring_model
from hibiscussaddle.scoring import scorer
from histories import batch_run

SEEDS = range(1, 9)

# The HTTP server leaves cancelled tasks of killed instances behind.
pytestmark = pytest.mark.filterwarnings(
    "ignore::pytest.PytestUnraisableExceptionWarning"
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_promises_hold(seed: int) -> None:
    """Fails when a run with random faults breaks a promise."""
    outcome = batch_run.run(seed)
    assert outcome.violations == []
    assert batch_run.count_results(outcome.history) > 0


def put_newest_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give new results the positions of earlier ones."""
    add = reader.Cached.add

    def insert(
        self: reader.Cached, entries: abc.Iterable[storage.LogEntry]
    ) -> None:
        before = len(self.results)
        add(self, entries)
        self.results = self.results[before:] + self.results[:before]

    monkeypatch.setattr(reader.Cached, "add", insert)


def name_last_version(monkeypatch: pytest.MonkeyPatch) -> None:
    """Name only the version of a text's last event."""
    add = events.Transcript.add

    def forget(
        self: events.Transcript, event: events.Event, version: int
    ) -> None:
        self.versions.clear()
        add(self, event, version)

    monkeypatch.setattr(events.Transcript, "add", forget)


def forget_batches(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answer that a batch is kept before the store has it."""

    async def submit(*_: typing.Any) -> None:
        return None

    monkeypatch.setattr(gateway.Gateway, "submit", submit)


def claim_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Say "not run" of batches, and run them."""
    submit = gateway.Gateway.submit

    async def refuse(
        self: gateway.Gateway, batch: model.Batch, patience: float
    ) -> codes.Refusal | None:
        refused = await submit(self, batch, patience)
        if batch.step == 0 and refused is None:
            code = codes.Code.STORE_UNAVAILABLE
            return codes.Refusal(code, "", 60.0)
        return refused

    monkeypatch.setattr(gateway.Gateway, "submit", refuse)


def score_before_the_text(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ask for the score of an item as its run starts."""
    run = runner.BatchRunner._run_once
    known: dict[str, str] = {}

    async def score_first(
        self: runner.BatchRunner, progress: runs.Progress, endpoint: typing.Any
    ) -> runs.RunEnd:
        score = await self._scores.score(progress)
        known[progress.item.id] = score or ""
        return await run(self, progress, endpoint)

    async def known_score(
        self: scores.BatchScores, progress: runs.Progress
    ) -> str | None:
        found = known.get(progress.item.id)
        return found or await ask(self, progress)

    ask = scores.BatchScores.score
    monkeypatch.setattr(runner.BatchRunner, "_run_once", score_first)
    monkeypatch.setattr(scores.BatchScores, "score", known_score)


def accept_any_status(monkeypatch: pytest.MonkeyPatch) -> None:
    """Take the proof of a failure for a score."""

    def take(asked: forward.ForwardResult) -> scoring_model.Score | None:
        if asked.response is None:
            return None
        headers = dict(asked.response.headers)
        return scoring_model.Score(headers["x-server-stamp"], "")

    monkeypatch.setattr(scorer, "_score", take)


def order_without_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Order weights right after another holder."""

    def number(self: lease.Lease, now: float, guarded: bool) -> int | None:
        return self._number if self._held else None

    monkeypatch.setattr(lease.Lease, "fencing_number", number)


@pytest.mark.parametrize(
    ("variant", "name", "faults"),
    [
        (put_newest_first, "position", ("flapping",)),
        (name_last_version, "versions", ()),
        (forget_batches, "kept", ("history",)),
        (claim_not_run, "not-run", ("history",)),
        (score_before_the_text, "score", ("history",)),
        (accept_any_status, "score", ("scores_fail",) * 4),
        (order_without_wait, "holder", ("lapsed_leases",) * 5),
    ],
)
def test_broken_variant_is_found(
    variant: abc.Callable[[pytest.MonkeyPatch], None],
    name: str,
    faults: tuple[str, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when the checker does not see a broken promise."""
    variant(monkeypatch)
    monkeypatch.setattr(batch_run, "STEP_SECONDS", 4.0)
    for seed in SEEDS:
        outcome = batch_run.run(seed, faults)
        if any(text.startswith(name + ":") for text in outcome.violations):
            return
    pytest.fail(f"no violation of {name!r} in seeds {SEEDS}")
