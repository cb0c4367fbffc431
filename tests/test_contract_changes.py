"""Guard contract changes against faults of the store."""

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

SETTLED_CHANGES = 6
REFUSED = (codes.Code.CONTRACT_CONFLICT, codes.Code.NOT_ACCEPTED)


def change(
    expected: int, change_id: str, **values: object
) -> contract_changes.Change:
    """Return a change of customer 'cereza'."""
    contract = builders.contract(**values)
    return contract_changes.Change(contract, expected, "op", "why", change_id)


def audit(store: fake_store.Store) -> list[documents.AuditEntry]:
    """Return the whole trail, archives first."""
    entries: list[documents.AuditEntry] = []
    document = documents.decode(
        store.entries["contract/cereza"].value, documents.Document
    )
    assert document is not None
    number = document.last_archive
    parts = [document.audit]
    while number is not None:
        archive = documents.decode(
            store.entries[f"audit/cereza/{number}"].value, documents.Archive
        )
        assert archive is not None
        parts.append(archive.entries)
        number = archive.previous
    for part in reversed(parts):
        entries.extend(part)
    return entries


async def play_operator(
    runtime: runtime_lib.Runtime,
    rng: random.Random,
    name: str,
    answers: dict[str, result.Result[dict[str, object], codes.Refusal]],
) -> None:
    """Make changes and repeat each one under its id until it is settled."""
    settled = number = 0
    while settled < SETTLED_CHANGES:
        number += 1
        read = await contract_changes.fetch(runtime.store, "cereza")
        if isinstance(read, result.Err):
            await anyio.sleep(0.01)
            continue
        expected = read.ok_value.document.revision
        await anyio.sleep(rng.random() * 0.02)
        made = change(expected, f"{name}-{number}", priority=rng.randrange(9))
        while True:
            answer = await contract_changes.submit(runtime, made)
            answers[made.change_id] = answer
            if answer.is_ok() or answer.err_value.code in REFUSED:
                break
            made = dataclasses.replace(made, repeat=True)
        settled += answer.is_ok() or (
            answer.err_value.code is codes.Code.CONTRACT_CONFLICT
        )


async def break_store(store: fake_store.Store, rng: random.Random) -> None:
    """Switch faults on and off, also together."""
    while True:
        store.faults.lose_answers = rng.choice((0, 1, 2))
        store.faults.fail_calls = rng.choice((0, 0, 1))
        store.faults.delay_seconds = rng.choice((0.0, 0.005))
        store.faults.down = rng.random() < 0.2
        await anyio.sleep(rng.random() * 0.05)


def check_history(
    entries: list[documents.AuditEntry],
    answers: dict[str, result.Result[dict[str, object], codes.Refusal]],
) -> None:
    """Check that answers and trail describe one chain of changes."""
    accepted = [e for e in entries if e.outcome is documents.Outcome.ACCEPTED]
    assert [e.revision for e in accepted] == list(range(1, len(accepted) + 1))
    for earlier, later in itertools.pairwise(accepted):
        assert later.before == earlier.after
        assert later.expected_revision == earlier.revision, "merged"
    by_id = {e.change_id: e.revision for e in accepted}
    assert len(by_id) == len(accepted), "a change took effect twice"
    for change_id, answer in answers.items():
        if isinstance(answer, result.Ok):
            assert by_id.get(change_id) == answer.ok_value["revision"]
        else:
            assert answer.err_value.code in REFUSED
            assert change_id not in by_id, "refused, yet it took effect"


@pytest.mark.parametrize("seed", range(4))
def test_racing_operators_with_store_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fails when a change is lost, merged, repeated or misreported.

    Three operators race while answers are lost, calls fail, calls are
    slow and the store is down, several of them together.
    """
    monkeypatch.setattr(contract_changes, "RETRY_INTERVAL_SECONDS", 0.01)
    # A short limit makes operators meet unknown outcomes and repeat.
    monkeypatch.setattr(contract_changes, "SUBMIT_TIMEOUT_SECONDS", 0.3)
    monkeypatch.setattr(documents, "MAX_AUDIT_ENTRIES", 6)
    store = fake_store.Store()
    answers: dict[str, result.Result[dict[str, object], codes.Refusal]] = {}

    async def main() -> None:
        rng = random.Random(seed)
        async with (
            loopback.serve(fake_store.create_app(store)) as url,
            loopback.runtimes(
                3, store_url=url, store_calls_per_second=1000
            ) as found,
            anyio.create_task_group() as faults,
        ):
            faults.start_soon(break_store, store, rng)
            async with anyio.create_task_group() as operators:
                for number, runtime in enumerate(found):
                    operators.start_soon(
                        play_operator,
                        runtime,
                        random.Random(seed * 10 + number),
                        f"op{number}",
                        answers,
                    )
            faults.cancel_scope.cancel()

    anyio.run(main)
    entries = audit(store)
    check_history(entries, answers)
    assert any(answer.is_ok() for answer in answers.values())
    assert "audit/cereza/0" in store.entries, "nothing was archived"


def test_store_down_is_not_accepted() -> None:
    """Fails when a change is reported accepted or unknown with no effect."""
    store = fake_store.Store()

    async def main() -> None:
        async with (
            loopback.serve(fake_store.create_app(store)) as url,
            loopback.runtimes(1, store_url=url) as (runtime,),
        ):
            store.faults.down = True
            answer = await contract_changes.submit(runtime, change(0, "c1"))
            assert answer.err_value.code is codes.Code.NOT_ACCEPTED
            store.faults.down = False
            assert not store.entries
            await contract_changes.submit(runtime, change(0, "c1"))
            raw = json.dumps({"contract": {"customer": "cereza"}}).encode()
            refusal = codes.Refusal(codes.Code.CONTRACT_INVALID, "no hash")
            await contract_refusals.record_invalid(
                runtime, "cereza", raw, refusal
            )

    anyio.run(main)
    outcomes = [entry.outcome for entry in audit(store)]
    assert outcomes == [
        documents.Outcome.ACCEPTED,
        documents.Outcome.INVALID,
    ]


def test_large_trail_stays_below_the_value_limit() -> None:
    """Fails when audit entries push a document over the store's limit."""
    document = documents.Document()
    dropped = 0
    big = {"services": ["x" * (documents.MAX_CONTRACT_BYTES - 100)]}
    for number in range(40):
        entry = documents.AuditEntry(
            "op", 0.0, str(number), "", number + 1, number,
            documents.Outcome.ACCEPTED, document.contract, big,
        )  # fmt: skip
        document = document.record(entry)
        if document.is_full():
            count = len(document.archive_of_oldest().entries)
            assert number == int(
                document.archive_of_oldest().entries[-1].change_id
            ) or (
                document.archive_of_oldest().entries[-1].change_id
                == str(dropped + count - 1)
            )
            dropped += count
            document = document.without_oldest(count)
        size = len(documents.encode_bytes(document))
        assert size < fake_store.MAX_VALUE_BYTES
        assert document.archived == dropped
