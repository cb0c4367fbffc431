"""Keep the contracts in force equal to those in the store."""

import functools
import logging

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.adapters import store_watch
from hibiscussaddle import contract_changes
from hibiscussaddle import contracts
from hibiscussaddle import controllers
from hibiscussaddle import logs
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)


@controllers.controller("contracts")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Read the contracts once, then follow the store's watch."""
    if runtime.store is None:
        return
    watch = store_watch.StoreWatch(runtime.store)
    watch.subscribe(contract_changes.PREFIX, functools.partial(apply, runtime))
    backoff = store.Backoff(runtime.rng)
    while True:
        answer = await watch.step()
        if isinstance(answer, result.Err):
            await anyio.sleep(backoff.next())
            continue
        backoff.reset()
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
