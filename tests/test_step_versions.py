"""Test version tracking, the order of slots and the duplicate budget."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from hibiscussaddle.policy import groups
from hibiscussaddle.policy import versions


@dataclasses.dataclass(frozen=True)
class Chunk:
    """Hold the fields of a chunk that determine its versions."""

    first_token: int
    tokens: int
    version: int | None
    incarnation: int = 1


def _stream(truth: list[int], sizes: list[int]) -> list[Chunk]:
    chunks: list[Chunk] = []
    first_token = 0
    while first_token < len(truth):
        limit = sizes[len(chunks) % len(sizes)]
        count = 0
        while first_token + count < len(truth) and count < limit:
            if truth[first_token + count] != truth[first_token]:
                break
            count += 1
        chunks.append(Chunk(first_token, count, truth[first_token]))
        first_token += count
    return chunks


def _damage(chunks: list[Chunk], fault: str, index: int) -> list[Chunk]:
    index %= len(chunks)
    chunk = chunks[index]
    if fault == "lost":
        # A stream without its last chunk has no end mark; the client reports
        # that.
        return (
            chunks[:index] + chunks[index + 1 :]
            if index + 1 < len(chunks)
            else []
        )
    if fault == "repeated":
        return [*chunks[: index + 1], *chunks[index:]]
    if fault == "unknown":
        changed = dataclasses.replace(chunk, version=None)
        return [*chunks[:index], changed, *chunks[index + 1 :]]
    if fault == "swapped" and len(chunks) > 1:
        other = (index + 1) % len(chunks)
        mixed = list(chunks)
        mixed[index], mixed[other] = mixed[other], mixed[index]
        return mixed
    if fault == "restarted" and index > 0:
        later = [dataclasses.replace(c, incarnation=2) for c in chunks[index:]]
        return [*chunks[:index], *later]
    return []


def _names_true_versions(
    kind: type[versions.VersionTracker], truth: list[int], chunks: list[Chunk]
) -> bool:
    tracker = kind()
    for item in chunks:
        tracker.add(
            item.first_token, item.tokens, item.version, item.incarnation
        )
    ranges = tracker.finish()
    if ranges is None:
        return True
    named: dict[int, int] = {}
    for item_range in ranges:
        for token in range(item_range.first_token, item_range.last_token + 1):
            named[token] = item_range.version
    return named == dict(enumerate(truth))


TRUTH = st.lists(st.integers(0, 3), min_size=1, max_size=30)
SIZES = st.lists(st.integers(1, 8), min_size=1, max_size=4)
FAULTS = st.sampled_from(
    ["lost", "repeated", "unknown", "swapped", "restarted"]
)


@hypothesis.given(TRUTH, SIZES, FAULTS, st.integers(0, 99))
def test_versions_are_true_or_uncertain(
    truth: list[int], sizes: list[int], fault: str, index: int
) -> None:
    """Fails when a sample names a version that did not generate its tokens."""
    chunks = _stream(truth, sizes)
    tracker = versions.VersionTracker()
    for item in chunks:
        assert tracker.add(item.first_token, item.tokens, item.version, 1)
    assert _names_true_versions(versions.VersionTracker, truth, chunks)
    ranges = tracker.finish()
    assert ranges is not None
    assert versions.oldest_version(ranges) == min(truth)
    damaged = versions.VersionTracker()
    for item in _damage(chunks, fault, index):
        damaged.add(
            item.first_token, item.tokens, item.version, item.incarnation
        )
    assert damaged.finish() is None, fault


class GapAcceptingTracker(versions.VersionTracker):
    """Accept any first token of a chunk, also after a gap."""

    def _find_uncertainty(self, *_):  # type: ignore
        return None


def test_tracker_that_accepts_gaps_is_found() -> None:
    """Fails when the check of version ranges accepts a gap."""
    truth = [1, 1, 2, 2, 3, 3]
    chunks = _damage(_stream(truth, [2]), "lost", 1)
    assert _names_true_versions(versions.VersionTracker, truth, chunks)
    assert not _names_true_versions(GapAcceptingTracker, truth, chunks)


def test_start_waits_only_for_newer_weights() -> None:
    """Fails when a start on old weights is allowed, or on newest refused."""
    newest = versions.NewestVersion()
    for number in range(1, 6):
        newest.record(number, 10.0 * number)
    assert newest.expected_version(51.0, 1.0) == 5
    assert newest.expected_version(55.0, 8.0) == 6
    # Overdue by ten intervals: the trainer pauses, so one version is expected.
    assert newest.expected_version(150.0, 1.0) == 6
    assert not versions.may_start(3, newest=5, expected=5, bound=1)
    assert not versions.may_start(4, newest=5, expected=6, bound=1)
    assert versions.may_start(4, newest=5, expected=5, bound=1)
    assert versions.may_start(5, newest=5, expected=9, bound=0)


@pytest.mark.parametrize("fraction", [0.05, 0.2])
@hypothesis.given(st.lists(st.integers(-50, 50), max_size=200))
def test_duplicates_stay_within_the_budget(
    fraction: float, tokens: list[int]
) -> None:
    """Fails when duplicates exceed their fraction of the kept tokens."""
    budget = groups.DuplicateBudget(fraction)
    kept_tokens = duplicate_tokens = 0
    for count in tokens:
        if count > 0:
            budget.add_kept_tokens(count)
            kept_tokens += count
        elif budget.withdraw(-count):
            # A duplicate that ends early refunds the rest.
            budget.refund(-count // 2)
            duplicate_tokens += -count - -count // 2
        assert duplicate_tokens <= fraction * kept_tokens


def _order_violations(
    progress: "groups.Progress[str]", script: list[int]
) -> int:
    """Count starts in groups that are not the nearest to completion."""
    missing = collections.Counter({group: 4 for group in range(4)})
    violations = 0
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
        violations += missing[slot // 4] != best
        progress.start(slot, 0.0)
    return violations


class StartsNewGroupsFirst(groups.Progress[str]):
    """Start new groups before nearly complete ones."""

    def next_slot(self) -> int | None:
        return max(self._pending, default=None)


@hypothesis.given(st.lists(st.integers(0, 99), max_size=120))
def test_nearly_complete_groups_start_first(script: list[int]) -> None:
    """Fails when new groups start while a nearly complete one waits."""
    progress: groups.Progress[str] = groups.Progress(16, 4, True)
    assert _order_violations(progress, script) == 0


def test_start_of_new_groups_first_is_found() -> None:
    """Fails when the check of the start order accepts any order."""
    script = [0] * 16 + [2, 1, 1, 0, 4, 1, 2, 0] * 20
    progress = StartsNewGroupsFirst(16, 4, True)
    assert _order_violations(progress, script) > 0
