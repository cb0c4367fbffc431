"""List endpoints and change their leave marks."""

import typing

import msgspec
import result
from starlette import requests

from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle import leave_marks
from hibiscussaddle import operations
from hibiscussaddle.operations import mark_answers
from hibiscussaddle import runtime as runtime_lib


@operations.operation("GET", "/v1/endpoints")
async def list_endpoints(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Answer:
    """Return every endpoint with its leave mark."""
    rows = [_row(runtime, ep) for ep in runtime.directory.all()]
    return result.Ok({"endpoints": rows})


def _row(
    runtime: runtime_lib.Runtime, ep: endpoints.Endpoint
) -> dict[str, typing.Any]:
    mark = runtime.directory.marks.get(ep.id)
    row: dict[str, typing.Any] = msgspec.to_builtins(ep)
    row["leaving"] = runtime.directory.is_draining(ep)
    row["mark"] = mark_answers.describe(mark, ep.incarnation)
    return row


@operations.operation("POST", "/v1/endpoints/{id}/leave")
async def leave(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Answer:
    """Give an endpoint no new work, on every instance."""
    return await _change(runtime, req, True)


@operations.operation("POST", "/v1/endpoints/{id}/clear")
async def clear(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Answer:
    """Give an endpoint work again."""
    return await _change(runtime, req, False)


async def _change(
    runtime: runtime_lib.Runtime, req: requests.Request, left: bool
) -> operations.Answer:
    endpoint_id = req.path_params["id"]
    ep = runtime.directory.get(endpoint_id)
    if ep is None:
        return result.Err(
            codes.Refusal(
                codes.Code.NOT_FOUND, f"endpoint {endpoint_id!r} is not listed"
            )
        )
    order = await mark_answers.read_order(req)
    if isinstance(order, result.Err):
        return order
    mark, reach = await leave_marks.change(
        runtime,
        ep.id,
        ep.incarnation,
        left,
        who=order.ok_value.who,
        reason=order.ok_value.reason,
    )
    return result.Ok(mark_answers.answer(runtime, mark, reach))
