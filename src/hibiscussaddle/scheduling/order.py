"""Order the items that compete for the same engines.

Callers pass the time in, and nothing here performs I/O.
"""

from collections import abc
import dataclasses
import enum
import typing

# An item that waited this long is placed next, whatever its group can earn.
# Work that reached no engine for five seconds counts as lost.
MAX_WAIT_SECONDS: typing.Final = 4.0


class Standing(enum.IntEnum):
    """Name what a group can still contribute; lower ones go first."""

    # The group is among those that the trainer will get.
    COUNTS = 0
    # There is too little room for it until the results are due.
    GIVES_WAY = 1


class Rank(typing.NamedTuple):
    """Order waiting items; lower ranks get engines first.

    Compared as a plain tuple, as some hundred items are sorted many times a
    second.
    """

    # False for an item that waited longer than MAX_WAIT_SECONDS.
    may_wait: bool
    standing: int
    # 0 is the highest.
    priority: int
    # False for an item that had an engine; it left one for a better one.
    is_new: bool
    # Wall-clock seconds at which the batch was submitted. A trainer waits for
    # its oldest step, and later steps only add to the load.
    submitted_at: float
    batch_id: str
    # Position in the start order of the batch.
    position: int


@dataclasses.dataclass(frozen=True)
class GroupWork:
    """Describe the unfinished items of one group."""

    name: str
    # Events that all of its items together need.
    events_left: float
    # The trainer waits for every group that an earlier step left unfinished.
    is_carried_over: bool = False


@dataclasses.dataclass(frozen=True)
class BatchWork:
    """Describe the unfinished groups of one batch."""

    batch_id: str
    # Wall-clock seconds at which the results are due.
    due_at: float
    # Groups that the trainer still waits for.
    missing_groups: int
    groups: tuple[GroupWork, ...]
    priority: int = 0


def groups_giving_way(
    batches: abc.Iterable[BatchWork], events_per_second: float, now: float
) -> frozenset[tuple[str, str]]:
    """Return (batch id, group) of those that the room doesn't suffice for.

    Where all work of a batch ends in time none gives way. Else the groups with
    the least work are finished whole, and no more than the trainer waits for.
    If not even one can be in time, all compete as usual, so that the trainer
    gets its step soon.
    """
    giving_way: set[tuple[str, str]] = set()
    used = 0.0
    ordered = sorted(batches, key=lambda b: (b.priority, b.due_at, b.batch_id))
    for batch in ordered:
        room = (batch.due_at - now) * events_per_second - used
        work = sum(group.events_left for group in batch.groups)
        if work <= room:
            used += work
            continue
        chosen = _choose_groups(batch, room)
        if any(group.events_left <= room for group in chosen):
            giving_way |= {
                (batch.batch_id, group.name)
                for group in batch.groups
                if group not in chosen
            }
            work = sum(group.events_left for group in chosen)
        used += work
    return frozenset(giving_way)


def _choose_groups(batch: BatchWork, room: float) -> list[GroupWork]:
    """Return the groups to finish, those with the least work first."""
    ordered = sorted(
        batch.groups,
        key=lambda group: (not group.is_carried_over, group.events_left),
    )
    chosen: list[GroupWork] = []
    work = 0.0
    for group in ordered:
        work += group.events_left
        if len(chosen) >= batch.missing_groups:
            break
        if work > room and not group.is_carried_over:
            break
        chosen.append(group)
    return chosen
