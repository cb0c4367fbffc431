"""Read and change contracts."""

import result
from starlette import requests

from hibiscussaddle import codes
from hibiscussaddle import contract_changes
from hibiscussaddle import contract_refusals
from hibiscussaddle import operations
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle import runtime as runtime_lib


@operations.operation("GET", "/v1/contracts")
async def list_contracts(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Outcome:
    """Return every contract in force on this instance."""
    records = [
        {"revision": record.revision, "contract": record.contract.to_dict()}
        for record in runtime.contracts.all()
    ]
    return result.Ok({"contracts": records})


@operations.operation("GET", "/v1/contracts/{customer}")
async def get_contract(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Outcome:
    """Return the contract of one customer in force on this instance."""
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
) -> operations.Outcome:
    """Change the contract of one customer."""
    customer = req.path_params["customer"]
    raw = await req.body()
    parsed = contract_changes.parse(raw, customer)
    if isinstance(parsed, result.Err):
        refusal = parsed.err_value
        await contract_refusals.record_invalid(runtime, customer, raw, refusal)
        return parsed
    return await contract_changes.submit(runtime, parsed.ok_value)


@operations.operation("GET", "/v1/contracts/{customer}/history")
async def get_history(
    runtime: runtime_lib.Runtime, req: requests.Request
) -> operations.Outcome:
    """Return audit entries, oldest first, from the store."""
    customer = req.path_params["customer"]
    number = req.query_params.get("archive")
    if runtime.store is None:
        return _history_unavailable("no store is configured")
    if number is not None:
        if not number.isdigit():
            return result.Err(
                codes.Refusal(
                    codes.Code.BAD_REQUEST,
                    f"field 'archive' has value {number!r}; "
                    "allowed: an archive number from an earlier response",
                )
            )
        archive = await contract_changes.fetch_archive(
            runtime.store, customer, int(number)
        )
        if isinstance(archive, result.Err):
            return _history_unavailable(archive.err_value.failure.value)
        page = archive.ok_value
        return _to_history(page.entries, page.previous)
    read = await contract_changes.fetch(runtime.store, customer)
    if isinstance(read, result.Err):
        return _history_unavailable(read.err_value.failure.value)
    document = read.ok_value.document
    return _to_history(document.audit, document.last_archive)


def _history_unavailable(reason: str) -> result.Err[codes.Refusal]:
    return result.Err(
        codes.Refusal(
            codes.Code.STORE_UNAVAILABLE,
            f"the audit trail cannot be read from the store: {reason}",
        )
    )


def _to_history(
    entries: tuple[documents.AuditEntry, ...], previous: int | None
) -> operations.Outcome:
    return result.Ok(
        {
            "entries": [documents.encode(entry) for entry in entries],
            # Number of the archive with the entries before these.
            "archive": previous,
        }
    )
