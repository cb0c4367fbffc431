"""Reports of running batches for operators."""

import collections
from collections import abc

import msgspec

from hibiscussaddle.batches import model
from hibiscussaddle.batches import runs


class GroupReport(msgspec.Struct, frozen=True):
    """Tell what a trainer waits for in one group."""

    group: str
    items: int
    listed: int
    # Unfinished items, each with its engine and the events so far.
    waiting: tuple[str, ...] = ()
    running: tuple[str, ...] = ()
    # Items whose text is complete and waits for its score.
    scoring: tuple[str, ...] = ()


class BatchReport(msgspec.Struct, frozen=True):
    """Tell how far a batch is."""

    batch: str
    route: str
    step: int | None
    model: str
    min_version: int
    # Wall-clock seconds of the submission.
    submitted_at: float
    items: int
    listed: int
    running: int
    groups_wanted: int
    groups_complete: int
    groups: tuple[GroupReport, ...]


def create_report(
    batch: model.Batch,
    listed: abc.Collection[str],
    progress: abc.Mapping[str, runs.Progress],
) -> BatchReport:
    """Return the report of a batch whose unfinished items are given."""
    by_group: dict[str, list[model.Item]] = collections.defaultdict(list)
    for item in batch.items:
        by_group[item.group].append(item)
    groups = tuple(
        _create_group(group, items, listed, progress)
        for group, items in by_group.items()
    )
    return BatchReport(
        batch=batch.id,
        route=batch.route,
        step=batch.step,
        model=batch.model,
        min_version=batch.min_version,
        submitted_at=batch.submitted_at,
        items=len(batch.items),
        listed=len(listed),
        running=sum(len(group.running) for group in groups),
        groups_wanted=batch.groups_wanted,
        groups_complete=sum(group.listed == group.items for group in groups),
        groups=groups,
    )


def _create_group(
    group: str,
    items: list[model.Item],
    listed: abc.Collection[str],
    progress: abc.Mapping[str, runs.Progress],
) -> GroupReport:
    unfinished = [progress[i.id] for i in items if i.id in progress]
    running = [found for found in unfinished if found.cancel_scope is not None]
    return GroupReport(
        group=group or "-",
        items=len(items),
        listed=sum(item.id in listed for item in items),
        waiting=tuple(
            found.item.id
            for found in unfinished
            if found.cancel_scope is None and not found.transcript.is_complete
        ),
        running=tuple(
            f"{found.item.id}@{found.endpoint.id}"
            f"/{len(found.transcript.texts)}"
            for found in running
            if found.endpoint is not None
        ),
        scoring=tuple(
            found.item.id
            for found in unfinished
            if found.transcript.is_complete
        ),
    )
