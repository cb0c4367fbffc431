"""Guard against owners that act on a message that waited while they froze."""

import dataclasses
import time

import anyio

from hibiscussaddle.batches import handoff
from hibiscussaddle.batches import model
from hibiscussaddle.batches import ownership
from hibiscussaddle.batches import storage

import batch_builders
import batch_harness


def _from_message(record: storage.OwnerRecord) -> storage.OwnerRecord:
    """Return the record as a peer's message carries it."""
    message = handoff.HandoffMessage(
        record.batch_id, record.owner, record.revision
    )
    return message.record()


def test_owner_of_a_waiting_message_serves_no_reads() -> None:
    """Fails when a woken owner answers reads of a batch that it lost.

    Its log is empty, so results that callers had read were missing.
    """

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch_builders.batch())
            successor = model.Owner("gateway-2", 1)
            (await harness.storage.take_over(record, successor)).unwrap()
            owned = ownership.Ownership(
                harness.storage, _from_message(record), lambda: False
            )
            assert not owned.is_authoritative()
            started = time.monotonic()
            with anyio.fail_after(5):
                assert await owned.wait_for_loss() == "owner_changed"
            # The store is asked at once.
            assert time.monotonic() - started < 0.5
            assert not owned.is_authoritative()

    anyio.run(main)


def test_owner_of_a_message_serves_reads_once_the_store_confirms_it() -> None:
    """Fails when a batch that was handed over is read from the store."""

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch_builders.batch())
            owned = ownership.Ownership(
                harness.storage, _from_message(record), lambda: False
            )
            # Runs start at once, and reads wait for the store.
            assert owned.is_confirmed()
            assert not owned.is_authoritative()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owned.wait_for_loss)
                with anyio.fail_after(0.5):
                    while not owned.is_authoritative():
                        await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(main)


def test_owner_of_a_record_that_was_just_written_serves_reads() -> None:
    """Fails when the instance that accepted a batch can't answer for it."""

    async def main() -> None:
        async with batch_harness.harness() as harness:
            record = await harness.accept(batch_builders.batch())
            owned = ownership.Ownership(harness.storage, record, lambda: False)
            assert owned.is_authoritative()
            assert dataclasses.replace(record, is_current=False) == (
                _from_message(record)
            )

    anyio.run(main)
