"""Keep the contracts in force equal to those in the store."""

import logging
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import contract_changes
from hibiscussaddle import contracts
from hibiscussaddle import controllers
from hibiscussaddle import logs
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)
WATCH_SECONDS: typing.Final = 10.0
RETRY_SECONDS: typing.Final = 0.5


@controllers.controller("contracts")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Scan once, then follow the store's watch."""
    client = runtime.store
    if client is None:
        return
    after: int | None = None
    while True:
        prefix = contract_changes.PREFIX
        if after is None:
            answer = await client.scan(prefix)
        else:
            answer = await client.watch(prefix, after, WATCH_SECONDS)
        if isinstance(answer, result.Err):
            await anyio.sleep(RETRY_SECONDS * (1 + runtime.rng.random()))
            continue
        entries, after = answer.ok_value
        apply(runtime, entries)
        runtime.contracts.confirm()
        runtime.lifecycle.set_ready()


def apply(
    runtime: runtime_lib.Runtime, entries: list[store.StoreEntry]
) -> None:
    """Put store entries in force."""
    for entry in entries:
        if entry.value is None:
            continue
        document = documents.decode(entry.value, documents.Document)
        if document is None:
            logs.event(_LOG, "contract_malformed", key=entry.key)
            continue
        put_in_force(runtime, document.contract, document.revision)


def put_in_force(
    runtime: runtime_lib.Runtime, document: object, revision: int
) -> bool:
    """Put one contract in force unless a newer one is; tell if changed."""
    if document is None:
        return False
    parsed = contracts.parse(document)
    if isinstance(parsed, result.Err):
        message = parsed.err_value.message
        logs.event(_LOG, "contract_malformed", why=message)
        return False
    record = contracts.ContractRecord(parsed.ok_value, revision)
    if not runtime.contracts.apply(record):
        return False
    logs.event(
        _LOG,
        "contract_applied",
        customer=record.contract.customer,
        revision=revision,
    )
    return True
