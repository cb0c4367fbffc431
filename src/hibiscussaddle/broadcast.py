"""Send one message to every instance and note who confirmed it."""

import dataclasses
import typing

import anyio
import result

from hibiscussaddle import members
from hibiscussaddle import runtime as runtime_lib

CONCURRENT: typing.Final = 64
SECONDS: typing.Final = 2.5
# Several attempts fit into the whole time, so that one lost frame does not
# leave an instance out.
ATTEMPT_SECONDS: typing.Final = 0.8


@dataclasses.dataclass(frozen=True)
class Reach:
    """Name the instances that confirmed a message, and the others."""

    confirmed: tuple[str, ...]
    missed: tuple[str, ...]


async def send(
    runtime: runtime_lib.Runtime, msg: object, seconds: float = SECONDS
) -> Reach:
    """Send to all members that may be running, dead ones included.

    A member taken for dead may be in a partition and still at work.
    """
    me = runtime.members.me
    others = [
        member
        for member in runtime.members.all()
        if member.id != me.id and member.state is not members.MemberState.LEFT
    ]
    confirmed = {me.id}
    limiter = anyio.CapacityLimiter(CONCURRENT)

    async def deliver(member: members.Member) -> None:
        async with limiter:
            answer = await runtime.peers.request(member, msg, ATTEMPT_SECONDS)
        if isinstance(answer, result.Ok):
            confirmed.add(member.id)

    async def persist(member: members.Member) -> None:
        while member.id not in confirmed:
            await deliver(member)
            if member.id not in confirmed:
                await anyio.sleep(ATTEMPT_SECONDS / 4)

    live = {member.id for member in runtime.members.live()}
    # Live ones first: the dead would take their places in the limiter.
    others.sort(key=lambda member: member.id not in live)
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for member in others:
                tasks.start_soon(persist, member)
    missed = {member.id for member in others} - confirmed
    return Reach(tuple(sorted(confirmed)), tuple(sorted(missed)))
