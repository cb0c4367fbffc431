"""Set and clear leave marks on all instances."""

import dataclasses
import logging
import time
import typing

import msgspec

from hibiscussaddle import broadcast
from hibiscussaddle import gossip
from hibiscussaddle import logs
from hibiscussaddle.policy import facts
from hibiscussaddle.policy import marks
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import shared_facts

_LOG = logging.getLogger(__name__)
KIND: typing.Final = "mark"
_MAX_ATTEMPTS: typing.Final = 3


def to_fact(mark: marks.Mark, origin: str) -> facts.Fact:
    """Return the fact that replicates a mark."""
    value = msgspec.to_builtins(mark)
    return facts.Fact(
        KIND, mark.target, mark.incarnation, origin, value, mark.rank
    )


def create(
    runtime: runtime_lib.Runtime,
    target: str,
    incarnation: int,
    left: bool,
    source: marks.Source,
) -> marks.Mark:
    """Return a mark that supersedes the one known on this instance."""
    now = time.time()
    mark = runtime.directory.marks.superseding_mark(
        target, incarnation, left, int(now * 1000), source
    )
    return dataclasses.replace(mark, at=now)


def publish(runtime: runtime_lib.Runtime, mark: marks.Mark) -> facts.Fact:
    """Apply a mark on this instance and push it to peers."""
    fact = to_fact(mark, runtime.cfg.instance)
    runtime.directory.marks.unsaved_targets.add(mark.target)
    runtime.facts.publish(fact)
    return fact


async def change(
    runtime: runtime_lib.Runtime,
    target: str,
    incarnation: int,
    left: bool,
    source: marks.Source = marks.Source.OPERATOR,
    who: str = "",
    reason: str = "",
) -> tuple[marks.Mark, broadcast.DeliveryReport]:
    """Set or clear the mark of a target and notify every instance.

    An earlier change that is unknown on this instance may win because the
    clock of its origin was ahead; the change is then retried with a higher
    counter.
    """
    mark_table = runtime.directory.marks
    attempts = 0
    while True:
        attempts += 1
        mark = mark_table.get(target)
        if mark is None or not _has_state(mark, incarnation, left):
            mark = dataclasses.replace(
                create(runtime, target, incarnation, left, source),
                who=who,
                reason=reason,
            )
            publish(runtime, mark)
        # A repeated command notifies the instances that did not confirm.
        fact = runtime.facts.get(KIND, target)
        msg = gossip.News(() if fact is None else (fact,))
        report = await broadcast.send(runtime, msg)
        newest = mark_table.get(target) or mark
        if attempts == _MAX_ATTEMPTS or _has_state(newest, incarnation, left):
            return newest, report


def _has_state(mark: marks.Mark, incarnation: int, left: bool) -> bool:
    return mark.left is left and mark.incarnation >= incarnation


@shared_facts.applies(KIND)
def apply(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Apply a mark to the endpoint directory."""
    mark = msgspec.convert(fact.value, marks.Mark)
    if not runtime.directory.put_mark(mark):
        return
    logs.event(
        _LOG,
        "mark_applied",
        target=mark.target,
        left=mark.left,
        source=mark.source.value,
        counter=mark.counter,
        origin=fact.origin,
    )
