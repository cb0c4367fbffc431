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
from hibiscussaddle.operations import mark_responses
from hibiscussaddle import runtime as runtime_lib

STOP_TIMEOUT_SECONDS: typing.Final = 2.5


@peers.message("stop")
@dataclasses.dataclass(frozen=True)
class StopMessage:
    """Start the planned stop of one incarnation."""

    incarnation: int
    who: str = ""
    reason: str = ""


@peers.handles(StopMessage)
async def handle_stop(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: StopMessage
) -> peers.Ack | peers.Fault:
    """Start the planned stop of this instance."""
    if msg.incarnation != runtime.incarnation:
        # The message was meant for the process before the restart.
        return peers.Fault(
            peers.PeerErrorKind.MISDIRECTED, str(runtime.incarnation)
        )
    runtime.lifecycle.request_stop()
    return peers.Ack()


@operations.operation("GET", "/v1/instances")
async def list_instances(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Outcome:
    """Return every known instance with its leave mark."""
    rows = [_to_row(runtime, member) for member in runtime.members.all()]
    return result.Ok({"instances": rows})


def _to_row(
    runtime: runtime_lib.Runtime, member: members.Member
) -> dict[str, typing.Any]:
    mark_table = runtime.directory.marks
    row: dict[str, typing.Any] = msgspec.to_builtins(member)
    row["leaving"] = mark_table.is_marked(member.id, member.incarnation)
    row["mark"] = mark_responses.visible_mark(
        mark_table.get(member.id), member.incarnation
    )
    return row


@operations.operation("POST", "/v1/instances/{id}/leave")
async def leave(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Outcome:
    """Take an instance out of the load balancer's rotation."""
    return await _change_mark(runtime, req, True)


@operations.operation("POST", "/v1/instances/{id}/clear")
async def clear(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Outcome:
    """Add an instance back to the load balancer's rotation."""
    return await _change_mark(runtime, req, False)


@operations.operation("POST", "/v1/instances/{id}/stop")
async def stop(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Outcome:
    """Start the planned stop of an instance."""
    found = _find_member(runtime, req)
    if isinstance(found, result.Err):
        return found
    request = await mark_responses.parse_request(req)
    if isinstance(request, result.Err):
        return request
    member = found.ok_value
    body = {"instance": member.id, "incarnation": member.incarnation}
    if member.id == runtime.members.me.id:
        runtime.lifecycle.request_stop()
        return result.Ok(body)
    msg = StopMessage(
        member.incarnation, request.ok_value.who, request.ok_value.reason
    )
    sent = await runtime.peers.request(member, msg, STOP_TIMEOUT_SECONDS)
    if isinstance(sent, result.Err):
        error = sent.err_value
        return result.Err(
            codes.Refusal(
                codes.Code.UNREACHABLE,
                f"instance {member.id!r} did not confirm the stop: "
                f"{error.kind.value}; stop received: {error.ran}",
            )
        )
    return result.Ok(body)


def _find_member(
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


async def _change_mark(
    runtime: runtime_lib.Runtime, req: requests.Request, is_left: bool
) -> operations.Outcome:
    found = _find_member(runtime, req)
    if isinstance(found, result.Err):
        return found
    request = await mark_responses.parse_request(req)
    if isinstance(request, result.Err):
        return request
    member = found.ok_value
    mark, report = await leave_marks.change(
        runtime,
        member.id,
        member.incarnation,
        is_left,
        who=request.ok_value.who,
        reason=request.ok_value.reason,
    )
    return result.Ok(mark_responses.create_response(runtime, mark, report))
