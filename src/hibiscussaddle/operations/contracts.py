"""Read and change contracts."""

import result
from starlette import requests

from hibiscussaddle import codes
from hibiscussaddle import contract_changes
from hibiscussaddle import operations
from hibiscussaddle import runtime as runtime_lib


@operations.operation("GET", "/v1/contracts")
async def list_contracts(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Answer:
    """Return every contract in force here."""
    records = [
        {"revision": record.revision, "contract": record.contract.to_dict()}
        for record in runtime.contracts.all()
    ]
    return result.Ok({"contracts": records})


@operations.operation("GET", "/v1/contracts/{customer}")
async def get_contract(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Answer:
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


@operations.operation("PUT", "/v1/contracts/{customer}")
async def put_contract(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Answer:
    """Change the contract of one customer."""
    parsed = contract_changes.parse(
        await req.body(), req.path_params["customer"]
    )
    if isinstance(parsed, result.Err):
        return parsed
    return await contract_changes.submit(runtime, parsed.ok_value)
