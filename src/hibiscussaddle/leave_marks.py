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


def to_fact(mark: marks.Mark, origin: str) -> facts.Fact:
    """Return the fact that spreads a mark."""
    value = msgspec.to_builtins(mark)
    return facts.Fact(KIND, mark.target, mark.version, origin, value)


def publish(runtime: runtime_lib.Runtime, mark: marks.Mark) -> facts.Fact:
    """Put a mark in force here and push it to peers."""
    fact = to_fact(mark, runtime.cfg.instance)
    runtime.directory.marks.unsaved.add(mark.target)
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
) -> tuple[marks.Mark, broadcast.Reach]:
    """Mark or clear a target and tell every instance."""
    board = runtime.directory.marks
    current = board.get(target)
    if current is not None and _says(current, incarnation, left):
        # A repeat of the command tells those that were missed.
        mark = current
        known = runtime.facts.get(KIND, target)
        fact = known or publish(runtime, mark)
    else:
        mark = dataclasses.replace(
            board.next(target, incarnation, left, source),
            who=who,
            reason=reason,
            at=time.time(),
        )
        fact = publish(runtime, mark)
    reach = await broadcast.send(runtime, gossip.News((fact,)))
    return mark, reach


def _says(mark: marks.Mark, incarnation: int, left: bool) -> bool:
    return mark.left is left and mark.incarnation >= incarnation


@shared_facts.applies(KIND)
def apply(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Put a mark in force."""
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
