"""Accept or refuse changes of contracts, each with its audit entry."""

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
from hibiscussaddle import logs
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)
PREFIX: typing.Final = "contract/"
ARCHIVE_PREFIX: typing.Final = "audit/"
# A change that the store does not settle within this time is unknown.
SUBMIT_SECONDS: typing.Final = 8.0
MAX_WHO_CHARS: typing.Final = 100
MAX_REASON_CHARS: typing.Final = 1000
RETRY_SECONDS: typing.Final = 0.1
_ANY_REVISION: typing.Final = -1

Answer: typing.TypeAlias = result.Result[dict[str, typing.Any], codes.Refusal]


@dataclasses.dataclass(frozen=True)
class Change:
    """Describe one change as an operator sent it."""

    contract: contracts.Contract
    # Revision that the operator saw; 0 for a new contract.
    expected_revision: int
    who: str
    reason: str
    change_id: str
    # The operator sent this change before and does not know its outcome.
    repeat: bool = False


@dataclasses.dataclass(frozen=True)
class Seen:
    """Pair a document with the store's revision of its key."""

    document: documents.Document
    store_revision: int


@dataclasses.dataclass
class _Progress:
    """Follow one submission over its store calls."""

    # Store revision that a swap without an answer was to replace. Such a
    # swap can still take effect until the key has another revision.
    unsettled_at: int | None = None
    last_error: store.StoreError | None = None


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


async def submit(runtime: runtime_lib.Runtime, change: Change) -> Answer:
    """Swap the contract in the store and put it in force everywhere."""
    if runtime.store is None:
        return result.Err(
            codes.Refusal(codes.Code.NOT_ACCEPTED, "no store is configured")
        )
    progress = _Progress(_ANY_REVISION if change.repeat else None)
    answer: Answer | None = None
    with anyio.move_on_after(SUBMIT_SECONDS):
        answer = await _settle(runtime.store, change, progress)
    if answer is None:
        answer = result.Err(_to_refusal(progress, change))
    _log_outcome(change, answer)
    if isinstance(answer, result.Err):
        return answer
    revision = int(answer.ok_value["revision"])
    document = change.contract.to_dict()
    contract_spread.put_in_force(runtime, document, revision)
    reach = await contract_spread.confirm_everywhere(
        runtime, contracts.ContractRecord(change.contract, revision)
    )
    code = codes.Code.PARTLY_REACHED if reach.missed else codes.Code.OK
    return result.Ok(
        {
            "code": code.value.number,
            "name": code.value.name,
            **answer.ok_value,
            "in_force": list(reach.confirmed),
            "unreached": list(reach.missed),
        }
    )


async def _settle(
    client: store.StoreClient, change: Change, progress: _Progress
) -> Answer:
    """Repeat read and swap until the outcome is known."""
    while True:
        answer = await _try_once(client, change, progress)
        if answer is not None:
            return answer
        error = progress.last_error
        if error is not None and progress.unsettled_at is None:
            if error.failure is store.StoreFailure.DOWN:
                return result.Err(_to_refusal(progress, change))
        await anyio.sleep(RETRY_SECONDS)


async def _try_once(
    client: store.StoreClient, change: Change, progress: _Progress
) -> Answer | None:
    """Return the outcome, or None when another attempt is needed."""
    read = await fetch(client, change.contract.customer)
    if isinstance(read, result.Err):
        progress.last_error = read.err_value
        return None
    seen = read.ok_value
    known = await _find(client, change, seen.document)
    if isinstance(known, result.Err):
        progress.last_error = known.err_value
        return None
    if known.ok_value is not None:
        return _repeat(change, known.ok_value)
    if progress.unsettled_at == _ANY_REVISION:
        progress.unsettled_at = seen.store_revision
    elif seen.store_revision != progress.unsettled_at:
        progress.unsettled_at = None
    entry = _create_entry(seen.document, change)
    accepts = entry.outcome is documents.Outcome.ACCEPTED
    settled_before = progress.unsettled_at is None
    if accepts:
        # Set before the call, since a deadline can cancel it half-way.
        progress.unsettled_at = seen.store_revision
    swapped = await swap(client, change.contract.customer, seen, entry)
    if isinstance(swapped, result.Ok):
        return _to_answer(change, entry)
    progress.last_error = swapped.err_value
    failure = swapped.err_value.failure
    if failure is not store.StoreFailure.UNKNOWN and settled_before:
        progress.unsettled_at = None
    if not accepts and failure is not store.StoreFailure.CONFLICT:
        # The refusal is certain, whether or not its entry was written:
        # revisions only increase, so the expected one cannot come back.
        return _to_answer(change, entry)
    return None


async def _find(
    client: store.StoreClient, change: Change, document: documents.Document
) -> result.Result[documents.AuditEntry | None, store.StoreError]:
    """Look for the change id in the trail and in the newest archive."""
    known = document.find(change.change_id)
    if known is not None or document.last_archive is None:
        return result.Ok(known)
    if document.revision == change.expected_revision:
        return result.Ok(None)
    customer = change.contract.customer
    archive = await fetch_archive(client, customer, document.last_archive)
    if isinstance(archive, result.Err):
        return archive
    old = documents.Document(audit=archive.ok_value.entries)
    return result.Ok(old.find(change.change_id))


def _create_entry(
    document: documents.Document, change: Change
) -> documents.AuditEntry:
    accepted = document.revision == change.expected_revision
    outcome = documents.Outcome
    return documents.AuditEntry(
        who=change.who,
        at=time.time(),
        change_id=change.change_id,
        reason=change.reason,
        revision=document.revision + (1 if accepted else 0),
        expected_revision=change.expected_revision,
        outcome=outcome.ACCEPTED if accepted else outcome.CONFLICT,
        before=document.contract,
        after=change.contract.to_dict(),
    )


def _repeat(change: Change, entry: documents.AuditEntry) -> Answer:
    """Answer a change id that the trail already holds."""
    after = documents.encode(entry)["after"]
    if after != json.loads(json.dumps(change.contract.to_dict())):
        return result.Err(
            codes.Refusal(
                codes.Code.BAD_REQUEST,
                f"change id {change.change_id!r} belongs to another change",
            )
        )
    return _to_answer(change, entry)


def _to_answer(change: Change, entry: documents.AuditEntry) -> Answer:
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
) -> result.Result[Seen, store.StoreError]:
    """Read the document of one customer; an absent one is empty."""
    found = await client.get(PREFIX + customer)
    if isinstance(found, result.Err):
        if found.err_value.failure is store.StoreFailure.MISSING:
            return result.Ok(Seen(documents.Document(), 0))
        return found
    entry = found.ok_value
    document = documents.decode(entry.value, documents.Document)
    if document is None:
        # Overwriting a document that cannot be read would lose its trail.
        logs.event(_LOG, "contract_malformed", logging.ERROR, key=entry.key)
        return result.Err(store.StoreError(store.StoreFailure.DOWN))
    return result.Ok(Seen(document, entry.revision))


async def fetch_archive(
    client: store.StoreClient, customer: str, number: int
) -> result.Result[documents.Archive, store.StoreError]:
    """Read one archive of old audit entries."""
    found = await client.get(_archive_key(customer, number))
    if isinstance(found, result.Err):
        return found
    archive = documents.decode(found.ok_value.value, documents.Archive)
    if archive is None:
        return result.Err(store.StoreError(store.StoreFailure.MISSING))
    return result.Ok(archive)


def _archive_key(customer: str, number: int) -> str:
    return f"{ARCHIVE_PREFIX}{customer}/{number}"


async def swap(
    client: store.StoreClient,
    customer: str,
    seen: Seen,
    entry: documents.AuditEntry,
) -> result.Result[int, store.StoreError]:
    """Record an entry in the document that was seen."""
    document = seen.document.record(entry)
    if document.is_full():
        moved = await _archive(client, customer, document)
        if isinstance(moved, result.Err):
            return moved
        document = moved.ok_value
    return await client.put(
        PREFIX + customer, documents.encode(document), seen.store_revision
    )


async def _archive(
    client: store.StoreClient, customer: str, document: documents.Document
) -> result.Result[documents.Document, store.StoreError]:
    """Copy the oldest entries out, then drop them from the document."""
    archive = document.archive_of_oldest()
    put = await client.put(
        _archive_key(customer, document.archived),
        documents.encode(archive),
        0,
    )
    if isinstance(put, result.Ok):
        return result.Ok(document.without_oldest(len(archive.entries)))
    if put.err_value.failure is store.StoreFailure.DOWN:
        return put
    # The key exists, or this write's answer was lost. An archive of this
    # number holds a prefix of this trail, since entries are only appended.
    written = await fetch_archive(client, customer, document.archived)
    if isinstance(written, result.Err):
        return result.Err(store.StoreError(store.StoreFailure.DOWN))
    return result.Ok(document.without_oldest(len(written.ok_value.entries)))


def _to_refusal(progress: _Progress, change: Change) -> codes.Refusal:
    if progress.unsettled_at is not None:
        return codes.Refusal(
            codes.Code.ACCEPTANCE_UNKNOWN,
            f"the store's answer to change {change.change_id!r} was lost",
            details=(("change_id", change.change_id),),
        )
    return codes.Refusal(
        codes.Code.NOT_ACCEPTED,
        "the store is down or too slow, or the call budget is spent",
    )


def _log_outcome(change: Change, answer: Answer) -> None:
    name = "accepted"
    if isinstance(answer, result.Err):
        name = answer.err_value.code.value.name
    logs.event(
        _LOG,
        "contract_change",
        customer=change.contract.customer,
        change_id=change.change_id,
        who=change.who,
        outcome=name,
    )
