"""Guard the proof of versions, the order of work and its extra part."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscussaddle.policy import groups
from hibiscussaddle.policy import versions


@dataclasses.dataclass(frozen=True)
class Chunk:
    """Hold the fields of a chunk that versions depend on."""

    first: int
    tokens: int
    version: int | None
    incarnation: int = 1


def _stream(truth: list[int], sizes: list[int]) -> list[Chunk]:
    chunks: list[Chunk] = []
    first = 0
    while first < len(truth):
        limit = sizes[len(chunks) % len(sizes)]
        count = 0
        while first + count < len(truth) and count < limit:
            if truth[first + count] != truth[first]:
                break
            count += 1
        chunks.append(Chunk(first, count, truth[first]))
        first += count
    return chunks


def _damage(chunks: list[Chunk], fault: str, at: int) -> list[Chunk]:
    at %= len(chunks)
    hit = chunks[at]
    if fault == "lost":
        # A lost last chunk leaves no end mark, which the client reports.
        return chunks[:at] + chunks[at + 1 :] if at + 1 < len(chunks) else []
    if fault == "repeated":
        return [*chunks[: at + 1], *chunks[at:]]
    if fault == "unknown":
        new = dataclasses.replace(hit, version=None)
        return [*chunks[:at], new, *chunks[at + 1 :]]
    if fault == "swapped" and len(chunks) > 1:
        other = (at + 1) % len(chunks)
        mixed = list(chunks)
        mixed[at], mixed[other] = mixed[other], mixed[at]
        return mixed
    if fault == "restarted" and at > 0:
        later = [dataclasses.replace(c, incarnation=2) for c in chunks[at:]]
        return [*chunks[:at], *later]
    return []


def _check_trail(
    kind: type[versions.VersionTracker], truth: list[int], chunks: list[Chunk]
) -> bool:
    trail = kind()
    for item in chunks:
        trail.add(item.first, item.tokens, item.version, item.incarnation)
    ranges = trail.finish()
    if ranges is None:
        return True
    named: dict[int, int] = {}
    for part in ranges:
        for token in range(part.first_token, part.last_token + 1):
            named[token] = part.version
    return named == dict(enumerate(truth))


TRUTH = st.lists(st.integers(0, 3), min_size=1, max_size=30)
SIZES = st.lists(st.integers(1, 8), min_size=1, max_size=4)
FAULTS = st.sampled_from(
    ["lost", "repeated", "unknown", "swapped", "restarted"]
)


@hypothesis.given(TRUTH, SIZES, FAULTS, st.integers(0, 99))
def test_versions_are_true_or_uncertain(
    truth: list[int], sizes: list[int], fault: str, at: int
) -> None:
    """Fails when a sample names a version that did not make its tokens."""
    chunks = _stream(truth, sizes)
    trail = versions.VersionTracker()
    for item in chunks:
        assert trail.add(item.first, item.tokens, item.version, 1)
    assert _check_trail(versions.VersionTracker, truth, chunks)
    ranges = trail.finish()
    assert ranges is not None
    assert versions.oldest_version(ranges) == min(truth)
    damaged = versions.VersionTracker()
    for item in _damage(chunks, fault, at):
        damaged.add(item.first, item.tokens, item.version, item.incarnation)
    assert damaged.finish() is None, fault


class TrustsChunks(versions.VersionTracker):
    """Believe the first token that a chunk names, gap or not."""

    def _find_uncertainty(self, *_):  # type: ignore
        return None


def test_trusting_trail_is_found() -> None:
    """Fails when the check of ranges accepts a gap."""
    truth = [1, 1, 2, 2, 3, 3]
    chunks = _damage(_stream(truth, [2]), "lost", 1)
    assert _check_trail(versions.VersionTracker, truth, chunks)
    assert not _check_trail(TrustsChunks, truth, chunks)


def test_start_waits_only_for_better_weights() -> None:
    """Fails when stale work is started or newest weights are refused."""
    newest = versions.NewestVersion()
    for number in range(1, 6):
        newest.record(number, 10.0 * number)
    assert newest.expected_version(51.0, 1.0) == 5
    assert newest.expected_version(55.0, 8.0) == 6
    # Overdue by ten intervals: the trainer pauses, one version is expected.
    assert newest.expected_version(150.0, 1.0) == 6
    assert not versions.may_start(3, newest=5, expected=5, bound=1)
    assert not versions.may_start(4, newest=5, expected=6, bound=1)
    assert versions.may_start(4, newest=5, expected=5, bound=1)
    assert versions.may_start(5, newest=5, expected=9, bound=0)


@pytest.mark.parametrize("fraction", [0.05, 0.2])
@hypothesis.given(st.lists(st.integers(-50, 50), max_size=200))
def test_extra_work_stays_in_budget(
    fraction: float, tokens: list[int]
) -> None:
    """Fails when duplicates exceed their part of the first attempts."""
    budget = groups.DuplicateBudget(fraction)
    first = extra = 0
    for count in tokens:
        if count > 0:
            budget.add_kept(count)
            first += count
        elif budget.withdraw(-count):
            # A duplicate that ends early gives the rest back.
            budget.refund(-count // 2)
            extra += -count - -count // 2
        assert extra <= fraction * first


def _order_violations(
    progress: "groups.Progress[str]", script: list[int]
) -> int:
    """Count starts in a group that is not nearest to whole."""
    missing = collections.Counter({group: 4 for group in range(4)})
    bad = 0
    for choice in script:
        running = progress.running_attempts()
        if choice % 3 and running:
            attempt = running[choice % len(running)]
            if choice % 3 == 1:
                progress.fail(attempt)
            else:
                progress.complete(attempt, "text", 1.0)
                missing[attempt.slot // 4] -= 1
            continue
        slot = progress.next_slot()
        if slot is None:
            continue
        pending = {item // 4 for item in progress._pending}
        best = min(missing[group] for group in pending)
        bad += missing[slot // 4] != best
        progress.start(slot, 0.0)
    return bad


class StartsInOrder(groups.Progress[str]):
    """Start new groups before nearly whole ones."""

    def next_slot(self) -> int | None:
        return max(self._pending, default=None)


@hypothesis.given(st.lists(st.integers(0, 99), max_size=120))
def test_nearly_whole_groups_go_first(script: list[int]) -> None:
    """Fails when new groups start while a nearly whole one waits."""
    progress: groups.Progress[str] = groups.Progress(16, 4, True)
    assert _order_violations(progress, script) == 0


def test_start_in_slot_order_is_found() -> None:
    """Fails when the check of the order accepts any order."""
    script = [0] * 16 + [2, 1, 1, 0, 4, 1, 2, 0] * 20
    progress = StartsInOrder(16, 4, True)
    assert _order_violations(progress, script) > 0
