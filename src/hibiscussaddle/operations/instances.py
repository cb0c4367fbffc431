"""List instances, change their leave marks and stop them."""

import dataclasses
import typing

import msgspec
import result
from starlette import requests

from hibiscussaddle.adapters import peers
from hibiscussaddle import codes
from hibiscussaddle import leave_marks
from hibiscussaddle import members
from hibiscussaddle import operations
from hibiscussaddle.operations import mark_answers
from hibiscussaddle import runtime as runtime_lib

STOP_TIMEOUT_SECONDS: typing.Final = 2.5


@peers.message("stop")
@dataclasses.dataclass(frozen=True)
class StopOrder:
    """Start the planned stop of one incarnation."""

    incarnation: int
    who: str = ""
    reason: str = ""


@peers.handles(StopOrder)
async def answer_stop(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: StopOrder
) -> peers.Ack | peers.Fault:
    """Start the planned stop of this instance."""
    if msg.incarnation != runtime.incarnation:
        # The order was for the process before the restart.
        return peers.Fault(
            peers.PeerErrorKind.MISDIRECTED, str(runtime.incarnation)
        )
    runtime.lifecycle.request_stop()
    return peers.Ack()


@operations.operation("GET", "/v1/instances")
async def list_instances(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Answer:
    """Return every known instance with its leave mark."""
    rows = [_row(runtime, member) for member in runtime.members.all()]
    return result.Ok({"instances": rows})


def _row(
    runtime: runtime_lib.Runtime, member: members.Member
) -> dict[str, typing.Any]:
    board = runtime.directory.marks
    row: dict[str, typing.Any] = msgspec.to_builtins(member)
    row["leaving"] = board.is_marked(member.id, member.incarnation)
    row["mark"] = mark_answers.describe(
        board.get(member.id), member.incarnation
    )
    return row


@operations.operation("POST", "/v1/instances/{id}/leave")
async def leave(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Answer:
    """Take an instance out of the balancer's rotation."""
    return await _change(runtime, req, True)


@operations.operation("POST", "/v1/instances/{id}/clear")
async def clear(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Answer:
    """Put an instance back into rotation."""
    return await _change(runtime, req, False)


@operations.operation("POST", "/v1/instances/{id}/stop")
async def stop(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Answer:
    """Start the planned stop of an instance."""
    found = _find(runtime, req)
    if isinstance(found, result.Err):
        return found
    order = await mark_answers.read_order(req)
    if isinstance(order, result.Err):
        return order
    member = found.ok_value
    answer = {"instance": member.id, "incarnation": member.incarnation}
    if member.id == runtime.members.me.id:
        runtime.lifecycle.request_stop()
        return result.Ok(answer)
    msg = StopOrder(
        member.incarnation, order.ok_value.who, order.ok_value.reason
    )
    sent = await runtime.peers.request(member, msg, STOP_TIMEOUT_SECONDS)
    if isinstance(sent, result.Err):
        error = sent.err_value
        return result.Err(
            codes.Refusal(
                codes.Code.UNREACHABLE,
                f"instance {member.id!r} did not confirm the stop: "
                f"{error.kind.value}; it was given: {error.ran}",
            )
        )
    return result.Ok(answer)


def _find(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> result.Result[members.Member, codes.Refusal]:
    instance_id = req.path_params["id"]
    member = runtime.members.get(instance_id)
    if member is None:
        return result.Err(
            codes.Refusal(
                codes.Code.NOT_FOUND, f"instance {instance_id!r} is not known"
            )
        )
    return result.Ok(member)


async def _change(
    runtime: runtime_lib.Runtime, req: requests.Request, left: bool
) -> operations.Answer:
    found = _find(runtime, req)
    if isinstance(found, result.Err):
        return found
    order = await mark_answers.read_order(req)
    if isinstance(order, result.Err):
        return order
    member = found.ok_value
    mark, reach = await leave_marks.change(
        runtime,
        member.id,
        member.incarnation,
        left,
        who=order.ok_value.who,
        reason=order.ok_value.reason,
    )
    return result.Ok(mark_answers.answer(runtime, mark, reach))
