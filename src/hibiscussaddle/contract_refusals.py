"""Record malformed changes of contracts in the audit trail."""

import logging
import secrets
import time
import typing

import anyio
import result

from hibiscussaddle import codes
from hibiscussaddle import contract_changes
from hibiscussaddle import decoding
from hibiscussaddle import logs
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)
# Maximum time that a rejected change waits for its audit entry.
AUDIT_TIMEOUT_SECONDS: typing.Final = 2.0


async def record_invalid(
    runtime: runtime_lib.Runtime,
    customer: str,
    raw: bytes,
    refusal: codes.Refusal,
) -> None:
    """Append a malformed change to the trail of an existing customer."""
    logs.event(
        _LOG, "contract_refused", customer=customer, why=refusal.message
    )
    if runtime.store is None:
        return
    with anyio.move_on_after(AUDIT_TIMEOUT_SECONDS):
        read = await contract_changes.fetch(runtime.store, customer)
        # No document is created for a misspelled customer.
        if isinstance(read, result.Err) or not read.ok_value.store_revision:
            return
        stored = read.ok_value
        entry = _create_invalid_entry(stored.document, raw, refusal)
        await contract_changes.compare_and_swap(
            runtime.store, customer, stored, entry
        )


def _create_invalid_entry(
    document: documents.Document, raw: bytes, refusal: codes.Refusal
) -> documents.AuditEntry:
    try:
        body = dict(decoding.decode_json(raw))
    except (ValueError, TypeError):
        body = {}
    expected = body.get("expected_revision")
    reason = f"{refusal.message}; {body.get('reason', '')}"
    return documents.AuditEntry(
        who=str(body.get("who", ""))[: contract_changes.MAX_WHO_CHARS],
        at=time.time(),
        # Not the operator's id, which a corrected change may reuse.
        change_id=secrets.token_hex(8),
        reason=reason[: contract_changes.MAX_REASON_CHARS],
        revision=document.revision,
        expected_revision=expected if isinstance(expected, int) else 0,
        outcome=documents.Outcome.INVALID,
        before=document.contract,
        # The malformed document may contain a key in the wrong field.
        after=None,
    )
