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
        parsed = contracts.parse(entry.value["contract"])
        if isinstance(parsed, result.Err):
            message = parsed.err_value.message
            logs.event(_LOG, "contract_malformed", key=entry.key, why=message)
            continue
        record = contracts.ContractRecord(parsed.ok_value, entry.revision)
        if runtime.contracts.apply(record):
            customer = record.contract.customer
            logs.event(
                _LOG,
                "contract_applied",
                customer=customer,
                revision=record.revision,
            )
