"""Keep the contracts in force consistent with the store.

Only two readers per zone watch the store; the other instances receive
changes from peers. At startup every instance reads the store, or its peers
if the store does not respond; without either it does not become ready.
"""

import functools
import logging
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.adapters import store_watch
from hibiscussaddle import contract_changes
from hibiscussaddle import contract_spread
from hibiscussaddle import controllers
from hibiscussaddle import logs
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle.policy import readers
from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)
# Selects the readers; each purpose has readers of its own.
PURPOSE: typing.Final = "contracts"
# Before membership converges, every instance may consider itself a reader.
MEMBERS_WAIT_SECONDS: typing.Final = 3.0
CHECK_INTERVAL_SECONDS: typing.Final = 0.5
MAX_PEERS_QUERIED: typing.Final = 3


@controllers.controller("contracts")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Load the contracts at startup, then follow their changes."""
    if runtime.store is None:
        return
    started = runtime.clock()
    watch = store_watch.StoreWatch(runtime.store)
    watch.subscribe(contract_changes.PREFIX, functools.partial(apply, runtime))
    await _load_initial(runtime, watch)
    runtime.lifecycle.set_ready()
    remaining_seconds = MEMBERS_WAIT_SECONDS - (runtime.clock() - started)
    await anyio.sleep(max(0.0, remaining_seconds))
    while True:
        if is_reader(runtime):
            await _watch_while_reader(runtime, watch)
        await anyio.sleep(
            CHECK_INTERVAL_SECONDS * (0.5 + runtime.rng.random())
        )


def is_reader(runtime: runtime_lib.Runtime) -> bool:
    """Return whether this instance watches the store for its zone."""
    live = runtime.members.live()
    reader_ids = readers.choose(live, runtime.cfg.zone, PURPOSE)
    return runtime.cfg.instance in reader_ids


async def _load_initial(
    runtime: runtime_lib.Runtime, watch: store_watch.StoreWatch
) -> None:
    """Read the store; query peers whenever it does not respond."""
    backoff = store.Backoff(runtime.rng)
    while True:
        response = await watch.poll()
        if isinstance(response, result.Ok):
            logs.event(_LOG, "contracts_learnt", source="store")
            runtime.contracts.confirm()
            return
        peer_count = await contract_spread.fetch_from_peers(
            runtime, MAX_PEERS_QUERIED
        )
        if peer_count:
            logs.event(
                _LOG, "contracts_learnt", source="peers", peers=peer_count
            )
            return
        await anyio.sleep(backoff.next())


async def _watch_while_reader(
    runtime: runtime_lib.Runtime, watch: store_watch.StoreWatch
) -> None:
    """Watch the store for as long as this instance is a reader."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch, runtime, watch)
        while is_reader(runtime):
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
        tasks.cancel_scope.cancel()
    watch.reset()


async def _watch(
    runtime: runtime_lib.Runtime, watch: store_watch.StoreWatch
) -> None:
    backoff = store.Backoff(runtime.rng)
    confirmations = 0
    while True:
        response = await watch.poll()
        if isinstance(response, result.Err):
            await anyio.sleep(backoff.next())
            continue
        backoff.reset()
        runtime.contracts.confirm()
        confirmations += 1
        contract_spread.publish_confirmation(runtime, confirmations)


def apply(
    runtime: runtime_lib.Runtime, entries: list[store.StoreEntry]
) -> None:
    """Publish the contracts in store entries."""
    for entry in entries:
        if entry.value is None:
            continue
        document = documents.decode(entry.value, documents.Document)
        if document is None:
            logs.event(_LOG, "contract_malformed", key=entry.key)
        elif document.contract is not None:
            contract_spread.publish_contract(
                runtime, document.contract, document.revision
            )
