"""Accept changes of contracts, each with its audit entry."""

import dataclasses
import json
import secrets
import time
import typing

import result

from hibiscussaddle.adapters import store
from hibiscussaddle import codes
from hibiscussaddle import contracts
from hibiscussaddle import runtime as runtime_lib

PREFIX: typing.Final = "contract/"


@dataclasses.dataclass(frozen=True)
class Change:
    """Describe one change as an operator sent it."""

    contract: contracts.Contract
    # Revision that the operator saw; 0 for a new contract.
    expected_revision: int
    who: str
    reason: str
    change_id: str


def parse(raw: bytes, customer: str) -> result.Result[Change, codes.Refusal]:
    """Return the checked change of a request body."""
    try:
        body = json.loads(raw)
        document = body["contract"]
        expected = int(body["expected_revision"])
    except (ValueError, KeyError, TypeError):
        return result.Err(
            codes.Refusal(
                codes.Code.BAD_REQUEST,
                "body needs fields 'contract' and 'expected_revision'",
            )
        )
    checked = contracts.parse(document)
    if isinstance(checked, result.Err):
        return checked
    contract = checked.ok_value
    if contract.customer != customer:
        return result.Err(
            codes.Refusal(
                codes.Code.CONTRACT_INVALID,
                f"field 'customer' has value {contract.customer!r}; "
                f"allowed: {customer!r}",
            )
        )
    return result.Ok(
        Change(
            contract,
            expected,
            str(body.get("who", "")),
            str(body.get("reason", "")),
            str(body.get("change_id") or secrets.token_hex(8)),
        )
    )


async def submit(
    runtime: runtime_lib.Runtime, change: Change
) -> result.Result[dict[str, typing.Any], codes.Refusal]:
    """Swap the contract in the store and put it in force here."""
    if runtime.store is None:
        return result.Err(
            codes.Refusal(codes.Code.NOT_ACCEPTED, "no store is configured")
        )
    key = PREFIX + change.contract.customer
    audit: list[dict[str, typing.Any]] = []
    before: object = None
    current = await runtime.store.get(key)
    if isinstance(current, result.Ok):
        audit = current.ok_value.value["audit"]
        before = current.ok_value.value["contract"]
    after = change.contract.to_dict()
    entry = {
        "who": change.who,
        "at": time.time(),
        "change_id": change.change_id,
        "reason": change.reason,
        "before": before,
        "after": after,
        "outcome": "accepted",
    }
    value = {
        "contract": after,
        "change_id": change.change_id,
        "audit": [*audit, entry],
    }
    swapped = await runtime.store.put(key, value, change.expected_revision)
    if isinstance(swapped, result.Err):
        return result.Err(_to_refusal(swapped.err_value))
    revision = swapped.ok_value
    runtime.contracts.apply(
        contracts.ContractRecord(change.contract, revision)
    )
    return result.Ok({"revision": revision, "change_id": change.change_id})


def _to_refusal(error: store.StoreError) -> codes.Refusal:
    if error.failure is store.StoreFailure.CONFLICT:
        return codes.Refusal(
            codes.Code.CONTRACT_CONFLICT,
            f"current revision is {error.revision}",
        )
    if error.failure is store.StoreFailure.UNKNOWN:
        return codes.Refusal(
            codes.Code.ACCEPTANCE_UNKNOWN, "the store's answer was lost"
        )
    return codes.Refusal(codes.Code.NOT_ACCEPTED, "the store is down")
