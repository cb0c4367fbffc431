"""Tests of contract changes under store faults."""

import dataclasses
import itertools
import json
import random

import anyio
import pytest
import result

import builders
from hibiscussaddle import codes
from hibiscussaddle import contract_changes
from hibiscussaddle import contract_refusals
from hibiscussaddle.platform.standins import store as fake_store
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle import runtime as runtime_lib
import loopback

RESOLVED_CHANGES = 6
REFUSAL_CODES = (codes.Code.CONTRACT_CONFLICT, codes.Code.NOT_ACCEPTED)


def change(
    expected: int, change_id: str, **values: object
) -> contract_changes.Change:
    """Return a change of the contract of customer 'cereza'."""
    contract = builders.contract(**values)
    return contract_changes.Change(contract, expected, "op", "why", change_id)


def audit_trail(store: fake_store.Store) -> list[documents.AuditEntry]:
    """Return the complete audit trail, archives first."""
    entries: list[documents.AuditEntry] = []
    document = documents.decode(
        store.entries["contract/cereza"].value, documents.Document
    )
    assert document is not None
    number = document.last_archive
    sections = [document.audit]
    while number is not None:
        archive = documents.decode(
            store.entries[f"audit/cereza/{number}"].value, documents.Archive
        )
        assert archive is not None
        sections.append(archive.entries)
        number = archive.previous
    for section in reversed(sections):
        entries.extend(section)
    return entries


async def run_operator(
    runtime: runtime_lib.Runtime,
    rng: random.Random,
    name: str,
    responses: dict[str, result.Result[dict[str, object], codes.Refusal]],
) -> None:
    """Submit changes; retry each one under its id until it is resolved."""
    resolved_count = number = 0
    while resolved_count < RESOLVED_CHANGES:
        number += 1
        read = await contract_changes.fetch(runtime.store, "cereza")
        if isinstance(read, result.Err):
            await anyio.sleep(0.01)
            continue
        expected = read.ok_value.document.revision
        await anyio.sleep(rng.random() * 0.02)
        submitted = change(
            expected, f"{name}-{number}", priority=rng.randrange(9)
        )
        while True:
            response = await contract_changes.submit(runtime, submitted)
            responses[submitted.change_id] = response
            if response.is_ok() or response.err_value.code in REFUSAL_CODES:
                break
            submitted = dataclasses.replace(submitted, repeat=True)
        resolved_count += response.is_ok() or (
            response.err_value.code is codes.Code.CONTRACT_CONFLICT
        )


async def inject_store_faults(
    store: fake_store.Store, rng: random.Random
) -> None:
    """Switch store faults on and off, also in combination."""
    while True:
        store.faults.lose_answers = rng.choice((0, 1, 2))
        store.faults.fail_calls = rng.choice((0, 0, 1))
        store.faults.delay_seconds = rng.choice((0.0, 0.005))
        store.faults.down = rng.random() < 0.2
        await anyio.sleep(rng.random() * 0.05)


def check_trail(
    entries: list[documents.AuditEntry],
    responses: dict[str, result.Result[dict[str, object], codes.Refusal]],
) -> None:
    """Check that responses and trail describe one chain of changes."""
    accepted = [e for e in entries if e.outcome is documents.Outcome.ACCEPTED]
    assert [e.revision for e in accepted] == list(range(1, len(accepted) + 1))
    for earlier, later in itertools.pairwise(accepted):
        assert later.before == earlier.after
        assert later.expected_revision == earlier.revision, "merged"
    by_id = {e.change_id: e.revision for e in accepted}
    assert len(by_id) == len(accepted), "a change took effect twice"
    for change_id, response in responses.items():
        if isinstance(response, result.Ok):
            assert by_id.get(change_id) == response.ok_value["revision"]
        else:
            assert response.err_value.code in REFUSAL_CODES
            assert change_id not in by_id, "a rejected change took effect"


@pytest.mark.parametrize("seed", range(4))
def test_racing_changes_are_not_lost_or_repeated_under_store_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lost, merged, repeated or misreported changes.

    Three operators race while responses are lost, calls fail or are slow,
    and the store is down, also in combination.
    """
    monkeypatch.setattr(contract_changes, "RETRY_INTERVAL_SECONDS", 0.01)
    # A short timeout leads to unknown outcomes, which operators retry.
    monkeypatch.setattr(contract_changes, "SUBMIT_TIMEOUT_SECONDS", 0.3)
    monkeypatch.setattr(documents, "MAX_AUDIT_ENTRIES", 6)
    store = fake_store.Store()
    responses: dict[str, result.Result[dict[str, object], codes.Refusal]] = {}

    async def main() -> None:
        rng = random.Random(seed)
        async with (
            loopback.serve(fake_store.create_app(store)) as url,
            loopback.runtimes(
                3, store_url=url, store_calls_per_second=1000
            ) as found,
            anyio.create_task_group() as faults,
        ):
            faults.start_soon(inject_store_faults, store, rng)
            async with anyio.create_task_group() as operators:
                for number, runtime in enumerate(found):
                    operators.start_soon(
                        run_operator,
                        runtime,
                        random.Random(seed * 10 + number),
                        f"op{number}",
                        responses,
                    )
            faults.cancel_scope.cancel()

    anyio.run(main)
    entries = audit_trail(store)
    check_trail(entries, responses)
    assert any(response.is_ok() for response in responses.values())
    assert "audit/cereza/0" in store.entries, "nothing was archived"


def test_change_is_not_accepted_while_the_store_is_down() -> None:
    """Guards against 'accepted' or 'unknown' for a change without effect."""
    store = fake_store.Store()

    async def main() -> None:
        async with (
            loopback.serve(fake_store.create_app(store)) as url,
            loopback.runtimes(1, store_url=url) as (runtime,),
        ):
            store.faults.down = True
            response = await contract_changes.submit(runtime, change(0, "c1"))
            assert response.err_value.code is codes.Code.NOT_ACCEPTED
            store.faults.down = False
            assert not store.entries
            await contract_changes.submit(runtime, change(0, "c1"))
            raw = json.dumps({"contract": {"customer": "cereza"}}).encode()
            refusal = codes.Refusal(codes.Code.CONTRACT_INVALID, "no hash")
            await contract_refusals.record_invalid(
                runtime, "cereza", raw, refusal
            )

    anyio.run(main)
    outcomes = [entry.outcome for entry in audit_trail(store)]
    assert outcomes == [
        documents.Outcome.ACCEPTED,
        documents.Outcome.INVALID,
    ]


def test_large_audit_trail_stays_below_the_value_limit() -> None:
    """Guards against audit entries that exceed the store's value limit."""
    document = documents.Document()
    archived_count = 0
    large_contract = {"services": ["x" * (documents.MAX_CONTRACT_BYTES - 100)]}
    for number in range(40):
        entry = documents.AuditEntry(
            "op", 0.0, str(number), "", number + 1, number,
            documents.Outcome.ACCEPTED, document.contract, large_contract,
        )  # fmt: skip
        document = document.record(entry)
        if document.is_full():
            count = len(document.archive_of_oldest().entries)
            assert number == int(
                document.archive_of_oldest().entries[-1].change_id
            ) or (
                document.archive_of_oldest().entries[-1].change_id
                == str(archived_count + count - 1)
            )
            archived_count += count
            document = document.without_oldest(count)
        size = len(documents.encode_bytes(document))
        assert size < fake_store.MAX_VALUE_BYTES
        assert document.archived == archived_count
