"""HTTP interface for operators, behind the operators' secret."""

import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import auth
from hibiscussaddle import caller_app
from hibiscussaddle import codes
from hibiscussaddle import operations
from hibiscussaddle import runtime as runtime_lib


def create_app(runtime: runtime_lib.Runtime) -> applications.Starlette:
    """Return the ASGI app of the operator port."""
    return applications.Starlette(
        routes=[
            _route(runtime, method, path, call)
            for method, path, call in operations.REGISTRY
        ]
    )


def _route(
    runtime: runtime_lib.Runtime,
    method: str,
    path: str,
    call: operations.Operation,
) -> routing.Route:
    async def endpoint(req: requests.Request) -> responses.Response:
        given = auth.bearer(req.headers.get("authorization", ""))
        if not auth.matches(given, runtime.cfg.operator_secret):
            refusal = codes.Refusal(
                codes.Code.UNAUTHORIZED, "the operators' secret is wrong"
            )
            return caller_app.to_refusal_response(refusal, "")
        answer = await call(runtime, req)
        if isinstance(answer, result.Err):
            return caller_app.to_refusal_response(answer.err_value, "")
        return responses.JSONResponse(answer.ok_value)

    return routing.Route(path, endpoint, methods=[method])
