"""Keep the contracts in force equal to those in the store.

Two readers a zone hold the only watches of the store; the other instances
hear from peers. At start every instance reads the store, or its peers when
the store does not answer; without either it stays not ready.
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
PURPOSE: typing.Final = "contracts"
# Until then each instance may take itself for a reader.
MEMBERS_SECONDS: typing.Final = 3.0
CHECK_SECONDS: typing.Final = 0.5
PEERS_ASKED: typing.Final = 3


@controllers.controller("contracts")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Learn the contracts at start, then follow them."""
    if runtime.store is None:
        return
    started = runtime.clock()
    watch = store_watch.StoreWatch(runtime.store)
    watch.subscribe(contract_changes.PREFIX, functools.partial(apply, runtime))
    await _learn(runtime, watch)
    runtime.lifecycle.set_ready()
    wait = MEMBERS_SECONDS - (runtime.clock() - started)
    await anyio.sleep(max(0.0, wait))
    while True:
        if is_reader(runtime):
            await _read(runtime, watch)
        await anyio.sleep(CHECK_SECONDS * (0.5 + runtime.rng.random()))


def is_reader(runtime: runtime_lib.Runtime) -> bool:
    """Tell whether this instance watches the store for its zone."""
    live = runtime.members.live()
    chosen = readers.choose(live, runtime.cfg.zone, PURPOSE)
    return runtime.cfg.instance in chosen


async def _learn(
    runtime: runtime_lib.Runtime, watch: store_watch.StoreWatch
) -> None:
    """Read the store; ask peers whenever it does not answer."""
    backoff = store.Backoff(runtime.rng)
    while True:
        answer = await watch.poll()
        if isinstance(answer, result.Ok):
            logs.event(_LOG, "contracts_learnt", source="store")
            runtime.contracts.confirm()
            return
        told = await contract_spread.learn_from_peers(runtime, PEERS_ASKED)
        if told:
            logs.event(_LOG, "contracts_learnt", source="peers", peers=told)
            return
        await anyio.sleep(backoff.next())


async def _read(
    runtime: runtime_lib.Runtime, watch: store_watch.StoreWatch
) -> None:
    """Follow the store's watch as long as this instance is a reader."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch, runtime, watch)
        while is_reader(runtime):
            await anyio.sleep(CHECK_SECONDS)
        tasks.cancel_scope.cancel()
    watch.reset()


async def _watch(
    runtime: runtime_lib.Runtime, watch: store_watch.StoreWatch
) -> None:
    backoff = store.Backoff(runtime.rng)
    count = 0
    while True:
        answer = await watch.poll()
        if isinstance(answer, result.Err):
            await anyio.sleep(backoff.next())
            continue
        backoff.reset()
        runtime.contracts.confirm()
        count += 1
        contract_spread.tell_confirmed(runtime, count)


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
        elif document.contract is not None:
            contract_spread.put_in_force(
                runtime, document.contract, document.revision
            )
