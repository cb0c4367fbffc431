"""Test that one owner generates the samples, and the fallback."""

from collections import abc
import contextlib

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

import builders
from hibiscussaddle import contracts
from hibiscussaddle.controllers import steps as controller
from hibiscussaddle import endpoints
from hibiscussaddle import entry
from hibiscussaddle.policy import cursor
from hibiscussaddle.policy import ownership
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle.standins import engine as fake_engine
from hibiscussaddle import step_forwarding
from hibiscussaddle import steps
import loopback
import ports

SLOTS = 6
NAMES = st.sets(st.text(min_size=1), min_size=2, max_size=8)


def _moves_unaffected_key(choose, names: set[str], removed: str) -> bool:
    """Return whether a key moves although its owner stays."""
    keys = [f"step-{number}" for number in range(50)]
    before = {key: choose(key, sorted(names)) for key in keys}
    after = {key: choose(key, sorted(names - {removed})) for key in keys}
    return any(before[k] not in (removed, after[k]) for k in keys)


@hypothesis.given(NAMES, st.data())
def test_only_keys_of_a_removed_owner_move(
    names: set[str], data: st.DataObject
) -> None:
    """Fails when removing a member moves the steps of other members."""
    removed = data.draw(st.sampled_from(sorted(names)))
    assert not _moves_unaffected_key(ownership.owner, names, removed)


def test_check_detects_modulo_hash() -> None:
    """Fails when the check misses owners that move unnecessarily."""

    def modulo(key: str, names: list[str]) -> str:
        return names[int(key.partition("-")[2]) % len(names)]

    assert _moves_unaffected_key(modulo, {"a", "b", "c"}, "a")


@contextlib.asynccontextmanager
async def run_two_instances() -> abc.AsyncIterator[list[runtime_lib.Runtime]]:
    """Yield two connected instances of one zone."""
    engine = fake_engine.Engine(fake_engine.EngineConfig(id="engine-0"), 1)
    async with loopback.serve(fake_engine.create_app(engine)) as url:
        instances = []
        for number in range(2):
            with ports.listening_socket() as sock:
                port = sock.getsockname()[1]
            cfg = builders.cfg(instance=f"entry-{number}", peer_port=port)
            instances.append(entry.create_runtime(cfg))
        async with anyio.create_task_group() as tasks:
            for runtime in instances:
                for other in instances:
                    runtime.members.put(other.members.me)
                runtime.contracts.apply(
                    contracts.ContractRecord(builders.contract(), 1)
                )
                endpoint = endpoints.Endpoint(
                    id="engine-0",
                    kind=endpoints.EndpointKind.ENGINE,
                    zone="zone-a",
                    address=url,
                    models=("base",),
                )
                runtime.directory.update([endpoint])
                tasks.start_soon(runtime.peers.serve, runtime)
                tasks.start_soon(controller.run, runtime)
            yield instances
            tasks.cancel_scope.cancel()
        for runtime in instances:
            runtime.peers.close()
            await runtime.client.aclose()


def _create_spec_owned_by(
    runtime: runtime_lib.Runtime, other: runtime_lib.Runtime
) -> steps.StepSpec:
    """Return the spec of a step that the other instance owns."""
    for number in range(1000):
        spec = steps.StepSpec(
            trainer="t1",
            step=f"s{number}",
            model="base",
            groups=tuple(({"content": str(n)},) for n in range(SLOTS // 2)),
            samples_per_group=2,
        )
        key = steps.StepKey("cereza", "t1", spec.step)
        owner = step_forwarding.find_owner(runtime, key)
        if owner is not None and owner.id == other.cfg.instance:
            return spec
    raise AssertionError("no step is owned by the other instance")


async def _pull(
    runtime: runtime_lib.Runtime,
    key: steps.StepKey,
    number: int,
    have: cursor.Bitmap,
) -> tuple[cursor.Bitmap, int]:
    body = steps.PullRequest(number, have.encode(), 1, max_samples=2)
    deadline = runtime.clock() + 20.0
    pulled = await step_forwarding.pull_step(runtime, key, body, deadline)
    response = pulled.ok_value
    for sample in response.samples:
        slot = sample.group * 2 + sample.index
        assert not have.has(slot), "slot delivered twice"
        have = have.with_slot(slot)
    return have, response.remaining


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio, as entry instances do."""
    return "asyncio"


@pytest.mark.anyio
async def test_owner_generates_samples_until_it_is_unreachable() -> None:
    """Fails on duplicate work, or when an unreachable owner stalls a step."""
    async with run_two_instances() as (receiver, owner):
        spec = _create_spec_owned_by(receiver, owner)
        key = steps.StepKey("cereza", "t1", spec.step)
        opened = await step_forwarding.open_step(receiver, "cereza", spec)
        assert opened.is_ok()
        have, remaining = await _pull(receiver, key, 1, cursor.Bitmap(SLOTS))
        assert have.count() > 0
        assert receiver.steps.runs[key].generated_count == 0
        assert owner.steps.runs[key].generated_count > 0
        receiver.peers.link_filter = lambda *_: False
        number = 2
        while remaining:
            have, remaining = await _pull(receiver, key, number, have)
            number += 1
        assert have.count() == SLOTS
        assert receiver.steps.runs[key].generated_count > 0


@pytest.mark.anyio
async def test_step_is_reopened_at_a_restarted_owner() -> None:
    """Fails when the trainer has to reopen a step after a restart."""
    async with run_two_instances() as (receiver, owner):
        spec = _create_spec_owned_by(receiver, owner)
        key = steps.StepKey("cereza", "t1", spec.step)
        await step_forwarding.open_step(receiver, "cereza", spec)
        owner.steps.remove(owner.steps.runs[key])
        have, _ = await _pull(receiver, key, 1, cursor.Bitmap(SLOTS))
        assert have.count() > 0
        assert receiver.steps.runs[key].generated_count == 0
