"""Bodies of the operations on leave marks."""

import dataclasses
import typing

import msgspec
import result
from starlette import requests

from hibiscussaddle import broadcast
from hibiscussaddle import codes
from hibiscussaddle.policy import marks
from hibiscussaddle import runtime as runtime_lib


@dataclasses.dataclass(frozen=True)
class Order:
    """Tell who gave an order, and why."""

    who: str = ""
    reason: str = ""


async def read_order(
    req: requests.Request,
) -> result.Result[Order, codes.Refusal]:
    """Return the body of an order; it may be empty."""
    raw = await req.body()
    if not raw:
        return result.Ok(Order())
    try:
        return result.Ok(msgspec.json.decode(raw, type=Order))
    except msgspec.MsgspecError as exc:
        return result.Err(codes.Refusal(codes.Code.BAD_REQUEST, str(exc)))


def describe(
    mark: marks.Mark | None, incarnation: int
) -> dict[str, typing.Any] | None:
    """Return a mark as operators see it; None when it has lapsed."""
    if mark is None or mark.incarnation < incarnation:
        return None
    shown: dict[str, typing.Any] = msgspec.to_builtins(mark)
    return shown


def answer(
    runtime: runtime_lib.Runtime,
    mark: marks.Mark,
    reach: broadcast.DeliveryReport,
) -> dict[str, typing.Any]:
    """Return where a mark is known and where it is not."""
    code = codes.Code.PARTLY_REACHED if reach.unconfirmed else codes.Code.OK
    states = {m.id: m.state.value for m in runtime.members.all()}
    return {
        "code": code.value.number,
        "name": code.value.name,
        "mark": msgspec.to_builtins(mark),
        "known_on": list(reach.confirmed),
        "not_reached": [
            {"instance": name, "state": states.get(name, "")}
            for name in reach.unconfirmed
        ],
        "in_store": runtime.store is not None
        and mark.target not in runtime.directory.marks.unsaved_targets,
    }
