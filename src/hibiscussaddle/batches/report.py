"""Build reports of running batches for operators."""

import collections
from collections import abc

import msgspec

from hibiscussaddle.batches import model
from hibiscussaddle.batches import unfinished_items
from hibiscussaddle.batches import wait_checks


class GroupReport(msgspec.Struct, frozen=True):
    """Report what a trainer waits for in one group."""

    group: str
    items: int
    # Items with a result in the log.
    listed: int
    # Unfinished items; the running ones as item@engine/events.
    waiting: tuple[str, ...] = ()
    running: tuple[str, ...] = ()
    # Items whose text is complete and whose score is pending.
    scoring: tuple[str, ...] = ()


class BatchReport(msgspec.Struct, frozen=True):
    """Report the progress of a batch."""

    batch: str
    route: str
    step: int | None
    model: str
    min_version: int
    # Wall-clock seconds.
    submitted_at: float
    items: int
    # Items with a result in the log.
    listed: int
    running: int
    groups_wanted: int
    groups_complete: int
    # Unfinished items by where they are, and by why they wait for an engine.
    unfinished: str
    # Seconds for which an unfinished item has been at no engine.
    longest_wait: float
    groups: tuple[GroupReport, ...]


def create_report(
    batch: model.Batch,
    logged: abc.Collection[str],
    unfinished: unfinished_items.UnfinishedItems,
    waits: wait_checks.Summary,
) -> BatchReport:
    """Return the report of a batch from its logged and unfinished items."""
    by_group: dict[str, list[model.Item]] = collections.defaultdict(list)
    for item in batch.items:
        by_group[item.group].append(item)
    groups = tuple(
        _create_group(group, items, logged, unfinished)
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
        listed=len(logged),
        running=sum(len(group.running) for group in groups),
        groups_wanted=batch.groups_wanted,
        groups_complete=sum(group.listed == group.items for group in groups),
        unfinished=wait_checks.format_counts(waits.counts),
        longest_wait=round(waits.longest_wait, 1),
        groups=groups,
    )


def _create_group(
    group: str,
    items: list[model.Item],
    logged: abc.Collection[str],
    unfinished: unfinished_items.UnfinishedItems,
) -> GroupReport:
    progress = unfinished.progress
    begun = [progress[i.id] for i in items if i.id in progress]
    running = [state for state in begun if state.cancel_scope is not None]
    return GroupReport(
        group=group or "-",
        items=len(items),
        listed=sum(item.id in logged for item in items),
        waiting=tuple(
            state.item.id
            for state in begun
            if state.cancel_scope is None and not state.transcript.is_complete
        )
        + tuple(item.id for item in items if unfinished.is_idle(item.id)),
        running=tuple(
            f"{state.item.id}@{state.endpoint.id}"
            f"/{len(state.transcript.texts)}"
            for state in running
            if state.endpoint is not None
        ),
        scoring=tuple(
            state.item.id for state in begun if state.transcript.is_complete
        ),
    )
