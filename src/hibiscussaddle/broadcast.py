"""Send a message to every instance and report which confirmed it."""

import dataclasses
import typing

import anyio
import result

from hibiscussaddle import members
from hibiscussaddle import runtime as runtime_lib

MAX_CONCURRENT_SENDS: typing.Final = 64
TIMEOUT_SECONDS: typing.Final = 2.5
# Several attempts fit into the total timeout, so that one lost frame does
# not leave an instance unconfirmed.
ATTEMPT_TIMEOUT_SECONDS: typing.Final = 0.8


@dataclasses.dataclass(frozen=True)
class DeliveryReport:
    """List the instances that confirmed a message, and the others."""

    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]


async def send(
    runtime: runtime_lib.Runtime, msg: object, timeout: float = TIMEOUT_SECONDS
) -> DeliveryReport:
    """Send a message to all members that may be running.

    These include members considered dead, since such a member may be
    running behind a network partition.
    """
    me = runtime.members.me
    others = [
        member
        for member in runtime.members.all()
        if member.id != me.id and member.state is not members.MemberState.LEFT
    ]
    confirmed_ids = {me.id}
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_SENDS)

    async def deliver(member: members.Member) -> None:
        async with limiter:
            response = await runtime.peers.request(
                member, msg, ATTEMPT_TIMEOUT_SECONDS
            )
        if isinstance(response, result.Ok):
            confirmed_ids.add(member.id)

    async def retry_until_confirmed(member: members.Member) -> None:
        while member.id not in confirmed_ids:
            await deliver(member)
            if member.id not in confirmed_ids:
                await anyio.sleep(ATTEMPT_TIMEOUT_SECONDS / 4)

    live_ids = {member.id for member in runtime.members.live()}
    # Live members first, since dead ones would occupy the limiter.
    others.sort(key=lambda member: member.id not in live_ids)
    with anyio.move_on_after(timeout):
        async with anyio.create_task_group() as tasks:
            for member in others:
                tasks.start_soon(retry_until_confirmed, member)
    unconfirmed = {member.id for member in others} - confirmed_ids
    return DeliveryReport(
        tuple(sorted(confirmed_ids)), tuple(sorted(unconfirmed))
    )
