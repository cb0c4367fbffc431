"""List endpoints and change their leave marks."""

import typing

import msgspec
import result
from starlette import requests

from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle import leave_marks
from hibiscussaddle import operations
from hibiscussaddle.operations import mark_responses
from hibiscussaddle import runtime as runtime_lib


@operations.operation("GET", "/v1/endpoints")
async def list_endpoints(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Outcome:
    """Return every endpoint with its leave mark."""
    rows = [_to_row(runtime, ep) for ep in runtime.directory.all()]
    return result.Ok({"endpoints": rows})


def _to_row(
    runtime: runtime_lib.Runtime, ep: endpoints.Endpoint
) -> dict[str, typing.Any]:
    mark = runtime.directory.marks.get(ep.id)
    row: dict[str, typing.Any] = msgspec.to_builtins(ep)
    row["leaving"] = runtime.directory.is_draining(ep)
    row["mark"] = mark_responses.visible_mark(mark, ep.incarnation)
    return row


@operations.operation("POST", "/v1/endpoints/{id}/leave")
async def leave(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Outcome:
    """Stop sending new work to an endpoint, on every instance."""
    return await _change_mark(runtime, req, True)


@operations.operation("POST", "/v1/endpoints/{id}/clear")
async def clear(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Outcome:
    """Resume sending work to an endpoint."""
    return await _change_mark(runtime, req, False)


async def _change_mark(
    runtime: runtime_lib.Runtime, req: requests.Request, is_left: bool
) -> operations.Outcome:
    endpoint_id = req.path_params["id"]
    ep = runtime.directory.get(endpoint_id)
    if ep is None:
        return result.Err(
            codes.Refusal(
                codes.Code.NOT_FOUND,
                f"endpoint {endpoint_id!r} is not registered",
            )
        )
    request = await mark_responses.parse_request(req)
    if isinstance(request, result.Err):
        return request
    mark, report = await leave_marks.change(
        runtime,
        ep.id,
        ep.incarnation,
        is_left,
        who=request.ok_value.who,
        reason=request.ok_value.reason,
    )
    return result.Ok(mark_responses.create_response(runtime, mark, report))
