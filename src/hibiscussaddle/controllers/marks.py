"""Save leave marks in the store and load them from it."""

import logging
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import controllers
from hibiscussaddle import leave_marks
from hibiscussaddle import logs
from hibiscussaddle.policy import facts
from hibiscussaddle.policy import marks
from hibiscussaddle.policy import readers
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import settings

_LOG = logging.getLogger(__name__)
READINESS_HOLD: typing.Final = "marks"
PREFIX: typing.Final = "mark/"
SAVE_INTERVAL_SECONDS: typing.Final = 1.0
# Readers save the marks that crashed instances could not save, with two
# scans per zone in this interval.
REPAIR_INTERVAL_SECONDS: typing.Final = 30.0
# While the store is down, marks arrive from peers within this time.
FIRST_MARKS_WAIT_SECONDS: typing.Final = 3.0


def readiness_holds(cfg: settings.Settings) -> tuple[str, ...]:
    """Return the holds that delay the readiness of an instance."""
    return (READINESS_HOLD,) if cfg.store_url else ()


@controllers.controller("marks")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Load the marks, then save new ones; mark this instance at a stop."""
    runtime.dispatcher.is_marked = runtime.directory.is_draining
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_mark_self, runtime)
        if runtime.store is not None:
            tasks.start_soon(_release_readiness, runtime)
            tasks.start_soon(_reconcile_store, runtime, runtime.store)


async def _mark_self(runtime: runtime_lib.Runtime) -> None:
    await runtime.lifecycle.stop_requested.wait()
    mark = leave_marks.create(
        runtime,
        runtime.cfg.instance,
        runtime.incarnation,
        True,
        marks.Source.INSTANCE,
    )
    leave_marks.publish(runtime, mark)


async def _release_readiness(runtime: runtime_lib.Runtime) -> None:
    await anyio.sleep(FIRST_MARKS_WAIT_SECONDS)
    runtime.lifecycle.release(READINESS_HOLD)


async def _reconcile_store(
    runtime: runtime_lib.Runtime, client: store.StoreClient
) -> None:
    backoff = store.Backoff(runtime.rng, max_seconds=5.0)
    while not await load(runtime, client):
        await anyio.sleep(backoff.next())
    runtime.lifecycle.release(READINESS_HOLD)
    next_repair_at = _next_repair_time(runtime)
    while True:
        await anyio.sleep(SAVE_INTERVAL_SECONDS)
        if runtime.clock() >= next_repair_at:
            next_repair_at = _next_repair_time(runtime)
            if _is_reader(runtime):
                await load(runtime, client)
        for target in sorted(runtime.directory.marks.unsaved_targets):
            if not await _save(runtime, client, target):
                await anyio.sleep(backoff.next())
                break
            backoff.reset()


def _next_repair_time(runtime: runtime_lib.Runtime) -> float:
    return runtime.clock() + REPAIR_INTERVAL_SECONDS * runtime.rng.uniform(
        0.8, 1.2
    )


def _is_reader(runtime: runtime_lib.Runtime) -> bool:
    reader_ids = readers.choose(
        runtime.members.live(), runtime.cfg.zone, "marks"
    )
    return runtime.cfg.instance in reader_ids


async def load(
    runtime: runtime_lib.Runtime, client: store.StoreClient
) -> bool:
    """Publish the marks in the store; return whether it responded."""
    response = await client.scan(PREFIX)
    if isinstance(response, result.Err):
        return False
    entries, _ = response.ok_value
    stored: dict[str, tuple[int, int]] = {}
    for entry in entries:
        mark = _parse(entry)
        if mark is None:
            continue
        stored[mark.target] = mark.order
        origin = str(entry.value.get("origin", ""))
        runtime.facts.publish(leave_marks.to_fact(mark, origin))
    mark_table = runtime.directory.marks
    mark_table.unsaved_targets.update(
        mark.target
        for mark in mark_table.all()
        if stored.get(mark.target, (-1, 0)) < mark.order
    )
    return True


def _parse(entry: store.StoreEntry) -> marks.Mark | None:
    if entry.value is None:
        return None
    try:
        return msgspec.convert(entry.value, marks.Mark)
    except (msgspec.ValidationError, TypeError):
        logs.event(_LOG, "mark_malformed", key=entry.key)
        return None


async def _save(
    runtime: runtime_lib.Runtime, client: store.StoreClient, target: str
) -> bool:
    """Save a mark; return whether the store has it or a newer one."""
    mark_table = runtime.directory.marks
    fact = runtime.facts.get(leave_marks.KIND, target)
    if fact is None:
        mark_table.unsaved_targets.discard(target)
        return True
    found = await client.get(PREFIX + target)
    revision = 0
    if isinstance(found, result.Ok):
        stored = _parse(found.ok_value)
        revision = found.ok_value.revision
        # Incarnation and rank, without the origin of the fact.
        if stored is not None and stored.order >= fact.order[:2]:
            mark_table.unsaved_targets.discard(target)
            return True
    elif found.err_value.failure is not store.StoreFailure.MISSING:
        return False
    value = _to_value(fact)
    written = await client.put(PREFIX + target, value, revision)
    if isinstance(written, result.Err):
        # The next read resolves a conflict or a lost response.
        return False
    newest = runtime.facts.get(leave_marks.KIND, target)
    if newest is fact:
        mark_table.unsaved_targets.discard(target)
    logs.event(_LOG, "mark_saved", target=target, rank=fact.rank)
    return True


def _to_value(fact: facts.Fact) -> dict[str, typing.Any]:
    return {**fact.value, "origin": fact.origin}
