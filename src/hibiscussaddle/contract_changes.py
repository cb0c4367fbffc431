"""Accept or reject contract changes, each with its audit entry."""

import dataclasses
import json
import logging
import secrets
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import codes
from hibiscussaddle import contract_spread
from hibiscussaddle import contracts
from hibiscussaddle import decoding
from hibiscussaddle import logs
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)
PREFIX: typing.Final = "contract/"
ARCHIVE_PREFIX: typing.Final = "audit/"
# The outcome of a change is unknown if the store does not resolve it within
# this time.
SUBMIT_TIMEOUT_SECONDS: typing.Final = 8.0
# Also the limit of a change id.
MAX_WHO_CHARS: typing.Final = 100
MAX_REASON_CHARS: typing.Final = 1000
RETRY_INTERVAL_SECONDS: typing.Final = 0.1
# The store revision is not read yet.
_UNREAD_REVISION: typing.Final = -1

Response: typing.TypeAlias = result.Result[
    dict[str, typing.Any], codes.Refusal
]


@dataclasses.dataclass(frozen=True)
class Change:
    """Describe a contract change as sent by an operator."""

    contract: contracts.Contract
    # Revision that the operator saw; 0 for a new contract.
    expected_revision: int
    who: str
    reason: str
    change_id: str
    # True for a retry: the operator does not know the outcome of the first
    # request.
    repeat: bool = False


@dataclasses.dataclass(frozen=True)
class StoredDocument:
    """Pair a document with the store's revision of its key."""

    document: documents.Document
    store_revision: int


@dataclasses.dataclass
class _Progress:
    """Track one submission across its store calls."""

    # Store revision expected by a compare-and-swap without a response. It
    # can still take effect until the key has another revision.
    unresolved_revision: int | None = None
    last_error: store.StoreError | None = None


def parse(raw: bytes, customer: str) -> result.Result[Change, codes.Refusal]:
    """Return the validated change in a request body."""
    try:
        body = decoding.decode_json(raw)
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
        return _refuse_invalid(
            f"field 'customer' has value {contract.customer!r}; "
            f"allowed: {customer!r}"
        )
    change_id = str(body.get("change_id") or secrets.token_hex(8))
    if len(change_id) > MAX_WHO_CHARS:
        return result.Err(
            codes.Refusal(
                codes.Code.BAD_REQUEST,
                f"field 'change_id' has {len(change_id)} characters; "
                f"allowed: at most {MAX_WHO_CHARS}",
            )
        )
    size = len(json.dumps(contract.to_dict()))
    if size > documents.MAX_CONTRACT_BYTES:
        return _refuse_invalid(
            f"contract has {size} bytes; "
            f"allowed: at most {documents.MAX_CONTRACT_BYTES}"
        )
    return result.Ok(
        Change(
            contract,
            expected,
            str(body.get("who", ""))[:MAX_WHO_CHARS],
            str(body.get("reason", ""))[:MAX_REASON_CHARS],
            change_id,
            bool(body.get("repeat", False)),
        )
    )


def _refuse_invalid(message: str) -> result.Err[codes.Refusal]:
    return result.Err(codes.Refusal(codes.Code.CONTRACT_INVALID, message))


async def submit(runtime: runtime_lib.Runtime, change: Change) -> Response:
    """Write the contract to the store and broadcast it to all members."""
    if runtime.store is None:
        return result.Err(
            codes.Refusal(codes.Code.NOT_ACCEPTED, "no store is configured")
        )
    progress = _Progress(_UNREAD_REVISION if change.repeat else None)
    response: Response | None = None
    with anyio.move_on_after(SUBMIT_TIMEOUT_SECONDS):
        response = await _resolve(runtime.store, change, progress)
    if response is None:
        response = result.Err(_to_refusal(progress, change))
    _log_outcome(change, response)
    if isinstance(response, result.Err):
        return response
    revision = int(response.ok_value["revision"])
    document = change.contract.to_dict()
    contract_spread.publish_contract(runtime, document, revision)
    report = await contract_spread.broadcast_contract(
        runtime, contracts.ContractRecord(change.contract, revision)
    )
    code = codes.Code.PARTLY_REACHED if report.unconfirmed else codes.Code.OK
    return result.Ok(
        {
            "code": code.value.number,
            "name": code.value.name,
            **response.ok_value,
            "in_force": list(report.confirmed),
            "unreached": list(report.unconfirmed),
        }
    )


async def _resolve(
    client: store.StoreClient, change: Change, progress: _Progress
) -> Response:
    """Retry read and compare-and-swap until the outcome is known."""
    while True:
        response = await _try_once(client, change, progress)
        if response is not None:
            return response
        error = progress.last_error
        if error is not None and progress.unresolved_revision is None:
            if error.failure is store.StoreFailure.UNAVAILABLE:
                return result.Err(_to_refusal(progress, change))
        await anyio.sleep(RETRY_INTERVAL_SECONDS)


async def _try_once(
    client: store.StoreClient, change: Change, progress: _Progress
) -> Response | None:
    """Return the outcome, or None when another attempt is needed."""
    read = await fetch(client, change.contract.customer)
    if isinstance(read, result.Err):
        progress.last_error = read.err_value
        return None
    stored = read.ok_value
    known = await _find_entry(client, change, stored.document)
    if isinstance(known, result.Err):
        progress.last_error = known.err_value
        return None
    if known.ok_value is not None:
        return _repeated_response(change, known.ok_value)
    if progress.unresolved_revision == _UNREAD_REVISION:
        progress.unresolved_revision = stored.store_revision
    elif stored.store_revision != progress.unresolved_revision:
        progress.unresolved_revision = None
    entry = _create_entry(stored.document, change)
    is_accepted = entry.outcome is documents.Outcome.ACCEPTED
    was_resolved = progress.unresolved_revision is None
    if is_accepted:
        # Set before the call, since a timeout can cancel the call midway.
        progress.unresolved_revision = stored.store_revision
    swapped = await compare_and_swap(
        client, change.contract.customer, stored, entry
    )
    if isinstance(swapped, result.Ok):
        return _to_response(change, entry)
    progress.last_error = swapped.err_value
    failure = swapped.err_value.failure
    if failure is not store.StoreFailure.UNKNOWN and was_resolved:
        progress.unresolved_revision = None
    if not is_accepted and failure is not store.StoreFailure.CONFLICT:
        # The rejection is final, whether or not its entry was written:
        # revisions only increase, so the expected one cannot recur.
        return _to_response(change, entry)
    return None


async def _find_entry(
    client: store.StoreClient, change: Change, document: documents.Document
) -> result.Result[documents.AuditEntry | None, store.StoreError]:
    """Return the entry of the change id in the trail or newest archive."""
    known = document.find(change.change_id)
    if known is not None or document.last_archive is None:
        return result.Ok(known)
    if document.revision == change.expected_revision:
        # Had the change been accepted, the revision would be higher.
        return result.Ok(None)
    customer = change.contract.customer
    archive = await fetch_archive(client, customer, document.last_archive)
    if isinstance(archive, result.Err):
        return archive
    archived = documents.Document(audit=archive.ok_value.entries)
    return result.Ok(archived.find(change.change_id))


def _create_entry(
    document: documents.Document, change: Change
) -> documents.AuditEntry:
    is_accepted = document.revision == change.expected_revision
    outcome = documents.Outcome
    return documents.AuditEntry(
        who=change.who,
        at=time.time(),
        change_id=change.change_id,
        reason=change.reason,
        revision=document.revision + (1 if is_accepted else 0),
        expected_revision=change.expected_revision,
        outcome=outcome.ACCEPTED if is_accepted else outcome.CONFLICT,
        before=document.contract,
        after=change.contract.to_dict(),
    )


def _repeated_response(
    change: Change, entry: documents.AuditEntry
) -> Response:
    """Return the response to a change id that is already in the trail."""
    after = documents.encode(entry)["after"]
    if after != decoding.decode_json(json.dumps(change.contract.to_dict())):
        return result.Err(
            codes.Refusal(
                codes.Code.BAD_REQUEST,
                f"change id {change.change_id!r} belongs to another change",
            )
        )
    return _to_response(change, entry)


def _to_response(change: Change, entry: documents.AuditEntry) -> Response:
    if entry.outcome is documents.Outcome.ACCEPTED:
        return result.Ok(
            {"revision": entry.revision, "change_id": change.change_id}
        )
    return result.Err(
        codes.Refusal(
            codes.Code.CONTRACT_CONFLICT,
            f"expected revision {entry.expected_revision}; "
            f"current revision is {entry.revision}",
            details=(("revision", str(entry.revision)),),
        )
    )


async def fetch(
    client: store.StoreClient, customer: str
) -> result.Result[StoredDocument, store.StoreError]:
    """Fetch the document of a customer; a missing one is empty."""
    found = await client.get(PREFIX + customer)
    if isinstance(found, result.Err):
        if found.err_value.failure is store.StoreFailure.MISSING:
            return result.Ok(StoredDocument(documents.Document(), 0))
        return found
    entry = found.ok_value
    document = documents.decode(entry.value, documents.Document)
    if document is None:
        # Overwriting a malformed document would lose its audit trail.
        logs.event(_LOG, "contract_malformed", logging.ERROR, key=entry.key)
        return result.Err(store.StoreError(store.StoreFailure.UNAVAILABLE))
    return result.Ok(StoredDocument(document, entry.revision))


async def fetch_archive(
    client: store.StoreClient, customer: str, number: int
) -> result.Result[documents.Archive, store.StoreError]:
    """Fetch one archive of old audit entries."""
    found = await client.get(_archive_key(customer, number))
    if isinstance(found, result.Err):
        return found
    archive = documents.decode(found.ok_value.value, documents.Archive)
    if archive is None:
        return result.Err(store.StoreError(store.StoreFailure.MISSING))
    return result.Ok(archive)


def _archive_key(customer: str, number: int) -> str:
    return f"{ARCHIVE_PREFIX}{customer}/{number}"


async def compare_and_swap(
    client: store.StoreClient,
    customer: str,
    stored: StoredDocument,
    entry: documents.AuditEntry,
) -> result.Result[int, store.StoreError]:
    """Append an entry to the stored document by compare-and-swap."""
    document = stored.document.record(entry)
    if document.is_full():
        shortened = await _archive_oldest(client, customer, document)
        if isinstance(shortened, result.Err):
            return shortened
        document = shortened.ok_value
    return await client.put(
        PREFIX + customer, documents.encode(document), stored.store_revision
    )


async def _archive_oldest(
    client: store.StoreClient, customer: str, document: documents.Document
) -> result.Result[documents.Document, store.StoreError]:
    """Archive the oldest entries; return the document without them."""
    archive = document.archive_of_oldest()
    written = await client.put(
        _archive_key(customer, document.archived),
        documents.encode(archive),
        0,
    )
    if isinstance(written, result.Ok):
        return result.Ok(document.without_oldest(len(archive.entries)))
    if written.err_value.failure is store.StoreFailure.UNAVAILABLE:
        return written
    # The key exists, or the response to this write was lost. An archive with
    # this number contains a prefix of this trail, since entries are only
    # appended.
    existing = await fetch_archive(client, customer, document.archived)
    if isinstance(existing, result.Err):
        return result.Err(store.StoreError(store.StoreFailure.UNAVAILABLE))
    return result.Ok(document.without_oldest(len(existing.ok_value.entries)))


def _to_refusal(progress: _Progress, change: Change) -> codes.Refusal:
    if progress.unresolved_revision is not None:
        return codes.Refusal(
            codes.Code.ACCEPTANCE_UNKNOWN,
            f"the store's response to change {change.change_id!r} was lost",
            details=(("change_id", change.change_id),),
        )
    return codes.Refusal(
        codes.Code.NOT_ACCEPTED,
        "the store is down or too slow, or the call budget is exhausted",
    )


def _log_outcome(change: Change, response: Response) -> None:
    name = "accepted"
    if isinstance(response, result.Err):
        name = response.err_value.code.value.name
    logs.event(
        _LOG,
        "contract_change",
        customer=change.contract.customer,
        change_id=change.change_id,
        who=change.who,
        outcome=name,
    )
