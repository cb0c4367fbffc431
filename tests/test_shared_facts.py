"""Tests of fact replication between instances over loopback."""

import typing

import anyio
import builders
import ports

from hibiscussaddle.controllers import membership
from hibiscussaddle import entry
from hibiscussaddle.policy import facts
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import shared_facts

APPLIED_FACTS: list[tuple[str, typing.Any]] = []


@shared_facts.applies("test_kind")
def record(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Record the instance and the value of each applied fact."""
    APPLIED_FACTS.append((runtime.cfg.instance, fact.value))


def test_published_fact_is_applied_once_on_every_instance() -> None:
    """Guards against facts that some instances miss or apply twice."""

    async def job() -> None:
        APPLIED_FACTS.clear()
        found = ports.free_ports(5)
        runtimes = [
            entry.create_runtime(
                builders.cfg(
                    instance=f"entry-{number}",
                    peer_port=found[number],
                    peers=(f"127.0.0.1:{found[0]}",),
                )
            )
            for number in range(5)
        ]
        names = {runtime.cfg.instance for runtime in runtimes}
        async with anyio.create_task_group() as tasks:
            for runtime in runtimes:
                tasks.start_soon(membership.run, runtime)
            with anyio.fail_after(20):
                while any(len(r.members.live()) < 5 for r in runtimes):
                    await anyio.sleep(0.05)
                runtimes[3].facts.publish(
                    facts.Fact("test_kind", "a", 1, "entry-3", {"x": 1})
                )
                while {name for name, _ in APPLIED_FACTS} != names:
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        assert sorted(APPLIED_FACTS) == [
            (name, {"x": 1}) for name in sorted(names)
        ]

    anyio.run(job)
