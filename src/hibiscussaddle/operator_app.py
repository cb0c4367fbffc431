"""HTTP interface for operators, protected by the operator secret."""

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
            _route(runtime, method, path, operation)
            for method, path, operation in operations.REGISTRY
        ]
    )


def _route(
    runtime: runtime_lib.Runtime,
    method: str,
    path: str,
    operation: operations.Operation,
) -> routing.Route:
    async def handle_request(req: requests.Request) -> responses.Response:
        token = auth.bearer_token(req.headers.get("authorization", ""))
        if not auth.secrets_match(token, runtime.cfg.operator_secret):
            refusal = codes.Refusal(
                codes.Code.UNAUTHORIZED, "the operator secret is wrong"
            )
            return caller_app.to_refusal_response(refusal, "")
        outcome = await operation(runtime, req)
        if isinstance(outcome, result.Err):
            return caller_app.to_refusal_response(outcome.err_value, "")
        return responses.JSONResponse(outcome.ok_value)

    return routing.Route(path, handle_request, methods=[method])
