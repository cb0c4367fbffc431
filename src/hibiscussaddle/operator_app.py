"""HTTP interface for operators, behind the operators' secret."""

from collections import abc
import typing

import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import auth
from hibiscussaddle import caller_app
from hibiscussaddle import codes
from hibiscussaddle import contract_changes
from hibiscussaddle import runtime as runtime_lib

Answer: typing.TypeAlias = result.Result[dict[str, typing.Any], codes.Refusal]
Operation: typing.TypeAlias = abc.Callable[
    [runtime_lib.Runtime, requests.Request], abc.Awaitable[Answer]
]

_OPERATIONS: list[tuple[str, str, Operation]] = []


def operation(method: str, path: str) -> abc.Callable[[Operation], Operation]:
    """Register an operation of the operator port."""

    def register(call: Operation) -> Operation:
        _OPERATIONS.append((method, path, call))
        return call

    return register


def create_app(runtime: runtime_lib.Runtime) -> applications.Starlette:
    """Return the ASGI app of the operator port."""
    return applications.Starlette(
        routes=[
            _route(runtime, method, path, call)
            for method, path, call in _OPERATIONS
        ]
    )


def _route(
    runtime: runtime_lib.Runtime, method: str, path: str, call: Operation
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


@operation("GET", "/v1/status")
async def get_status(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> Answer:
    """Return the state of this instance."""
    return result.Ok(
        {
            "instance": runtime.cfg.instance,
            "incarnation": runtime.incarnation,
            "zone": runtime.cfg.zone,
            "phase": runtime.lifecycle.phase.value,
            "running": runtime.lifecycle.total(),
            "endpoints": len(runtime.directory.all()),
            "contracts": {
                record.contract.customer: record.revision
                for record in runtime.contracts.all()
            },
        }
    )


@operation("GET", "/v1/contracts")
async def list_contracts(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> Answer:
    """Return every contract in force here."""
    records = [
        {"revision": record.revision, "contract": record.contract.to_dict()}
        for record in runtime.contracts.all()
    ]
    return result.Ok({"contracts": records})


@operation("GET", "/v1/contracts/{customer}")
async def get_contract(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> Answer:
    """Return the contract of one customer in force here."""
    customer = req.path_params["customer"]
    record = runtime.contracts.get(customer)
    if record is None:
        return result.Err(
            codes.Refusal(
                codes.Code.NOT_FOUND, f"customer {customer!r} has no contract"
            )
        )
    return result.Ok(
        {"revision": record.revision, "contract": record.contract.to_dict()}
    )


@operation("PUT", "/v1/contracts/{customer}")
async def put_contract(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> Answer:
    """Change the contract of one customer."""
    parsed = contract_changes.parse(
        await req.body(), req.path_params["customer"]
    )
    if isinstance(parsed, result.Err):
        return parsed
    return await contract_changes.submit(runtime, parsed.ok_value)
