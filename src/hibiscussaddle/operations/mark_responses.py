"""Request and response bodies of the operations on leave marks."""

import dataclasses
import typing

import msgspec
import result
from starlette import requests

from hibiscussaddle import broadcast
from hibiscussaddle import codes
from hibiscussaddle import decoding
from hibiscussaddle.policy import marks
from hibiscussaddle import runtime as runtime_lib


@dataclasses.dataclass(frozen=True)
class MarkRequest:
    """Carry who requests a change, and why."""

    who: str = ""
    reason: str = ""


async def parse_request(
    req: requests.Request,
) -> result.Result[MarkRequest, codes.Refusal]:
    """Return the parsed body of a request; the body may be empty."""
    raw = await req.body()
    if not raw:
        return result.Ok(MarkRequest())
    try:
        return result.Ok(decoding.decode_json(raw, MarkRequest))
    except msgspec.MsgspecError as exc:
        return result.Err(codes.Refusal(codes.Code.BAD_REQUEST, str(exc)))


def visible_mark(
    mark: marks.Mark | None, incarnation: int
) -> dict[str, typing.Any] | None:
    """Return a mark as operators see it; None for an older incarnation."""
    if mark is None or mark.incarnation < incarnation:
        return None
    fields: dict[str, typing.Any] = msgspec.to_builtins(mark)
    return fields


def create_response(
    runtime: runtime_lib.Runtime,
    mark: marks.Mark,
    report: broadcast.DeliveryReport,
) -> dict[str, typing.Any]:
    """Return the instances that know a mark and those not reached."""
    code = codes.Code.PARTLY_REACHED if report.unconfirmed else codes.Code.OK
    states = {m.id: m.state.value for m in runtime.members.all()}
    return {
        "code": code.value.number,
        "name": code.value.name,
        "mark": msgspec.to_builtins(mark),
        "known_on": list(report.confirmed),
        "not_reached": [
            {"instance": name, "state": states.get(name, "")}
            for name in report.unconfirmed
        ],
        "in_store": runtime.store is not None
        and mark.target not in runtime.directory.marks.unsaved_targets,
    }
