"""Keep members and facts equal on all instances."""

import dataclasses
import logging
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import peers
from hibiscussaddle import controllers
from hibiscussaddle import logs
from hibiscussaddle import members
from hibiscussaddle.policy import facts as facts_policy
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import shared_facts

_LOG = logging.getLogger(__name__)
PROBE_SECONDS: typing.Final = 1.0
PROBE_TIMEOUT_SECONDS: typing.Final = 0.5
PUSH_FANOUT: typing.Final = 4
MAX_BATCH_BYTES: typing.Final = 32 * 1024


@peers.message("ping")
@dataclasses.dataclass(frozen=True)
class Ping:
    """Probe a member and compare facts."""

    facts: tuple[facts_policy.Fact, ...]
    digest: facts_policy.Digest


@peers.message("ping_ack")
@dataclasses.dataclass(frozen=True)
class Ack:
    """Answer a probe."""

    facts: tuple[facts_policy.Fact, ...]
    digest: facts_policy.Digest


@peers.message("news")
@dataclasses.dataclass(frozen=True)
class News:
    """Push fresh facts."""

    facts: tuple[facts_policy.Fact, ...]


@peers.handles(Ping)
async def answer_ping(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: Ping
) -> Ack:
    """Return the facts in which the tables differ."""
    runtime.facts.receive(msg.facts)
    table = runtime.facts.table
    scope = facts_policy.Scope.GLOBAL
    differing = table.differing(scope, msg.digest)
    batch = facts_policy.take_batch(
        table.in_buckets(scope, differing), MAX_BATCH_BYTES
    )
    return Ack(batch, table.digest(scope))


@peers.handles(News)
async def answer_news(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: News
) -> peers.Done:
    """Apply pushed facts."""
    runtime.facts.receive(msg.facts)
    return peers.Done()


@shared_facts.applies("member")
def apply_member(
    runtime: runtime_lib.Runtime, fact: facts_policy.Fact
) -> None:
    """Update the list of members."""
    member = msgspec.convert(fact.value, members.Member)
    runtime.members.put(member)


def publish_self(runtime: runtime_lib.Runtime) -> None:
    """Push the description of this instance."""
    me = runtime.members.me
    version = max(me.incarnation, me.heartbeat)
    value = msgspec.to_builtins(me)
    runtime.facts.publish(
        facts_policy.Fact("member", me.id, version, me.id, value)
    )


@controllers.controller("membership")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Answer peers, probe members and push fresh facts."""
    publish_self(runtime)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runtime.peers.serve, runtime)
            tasks.start_soon(_push, runtime)
            tasks.start_soon(_probe, runtime)
    finally:
        runtime.peers.close()


async def _push(runtime: runtime_lib.Runtime) -> None:
    while True:
        await runtime.facts.changed.wait()
        batch = runtime.facts.take_outbox()
        others = runtime.members.others()
        chosen = runtime.rng.sample(others, min(PUSH_FANOUT, len(others)))
        async with anyio.create_task_group() as tasks:
            for member in chosen:
                tasks.start_soon(
                    runtime.peers.request,
                    member,
                    News(batch),
                    PROBE_TIMEOUT_SECONDS,
                )


async def _probe(runtime: runtime_lib.Runtime) -> None:
    scope = facts_policy.Scope.GLOBAL
    while True:
        address = _choose_address(runtime)
        if address:
            digest = runtime.facts.table.digest(scope)
            answer = await runtime.peers.ask(
                address, Ping((), digest), PROBE_TIMEOUT_SECONDS
            )
            if isinstance(answer, result.Ok):
                await _repair(runtime, address, answer.ok_value.message)
            else:
                why = answer.err_value
                logs.event(
                    _LOG,
                    "probe_failed",
                    level=logging.DEBUG,
                    address=address,
                    why=why.kind.value,
                )
        await anyio.sleep(PROBE_SECONDS * (0.8 + 0.4 * runtime.rng.random()))


async def _repair(
    runtime: runtime_lib.Runtime, address: str, ack: Ack
) -> None:
    table = runtime.facts.table
    scope = facts_policy.Scope.GLOBAL
    runtime.facts.receive(ack.facts)
    differing = table.differing(scope, ack.digest)
    batch = facts_policy.take_batch(
        table.in_buckets(scope, differing), MAX_BATCH_BYTES
    )
    if batch:
        await runtime.peers.ask(address, News(batch), PROBE_TIMEOUT_SECONDS)


def _choose_address(runtime: runtime_lib.Runtime) -> str:
    known = {member.address for member in runtime.members.all()}
    seeds = [seed for seed in runtime.cfg.peers if seed not in known]
    others = [member.address for member in runtime.members.others()]
    if seeds and (not others or runtime.rng.random() < 0.5):
        return runtime.rng.choice(seeds)
    return runtime.rng.choice(others) if others else ""
