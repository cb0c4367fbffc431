"""Keep members and facts equal on all instances."""

import dataclasses
import logging
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import peers
from hibiscussaddle import controllers
from hibiscussaddle import gossip
from hibiscussaddle import logs
from hibiscussaddle import members
from hibiscussaddle.policy import facts as facts_policy
from hibiscussaddle.policy import membership as policy
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import shared_facts

_LOG = logging.getLogger(__name__)
PROBE_SECONDS: typing.Final = 1.0
PROBE_TIMEOUT_SECONDS: typing.Final = 0.5
# The helper's own probe fits in it.
INDIRECT_TIMEOUT_SECONDS: typing.Final = 0.9
# In the own zone, and the same number elsewhere.
PUSH_FANOUT: typing.Final = 2
PUSH_BYTES: typing.Final = 8 * 1024
# Facts that change together travel together, and a partition that heals
# costs each node at most 8 KiB to 4 peers in this time.
PUSH_PAUSE_SECONDS: typing.Final = 0.1
SEED_SECONDS: typing.Final = 5.0

_ALIVE = members.MemberState.ALIVE


@peers.message("probe_for")
@dataclasses.dataclass(frozen=True)
class ProbeFor:
    """Ask a helper to probe a member."""

    target: str


@peers.message("probed")
@dataclasses.dataclass(frozen=True)
class Probed:
    """Tell whether the member answered the helper."""

    reached: bool


@peers.handles(gossip.Ping)
async def answer_ping(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: gossip.Ping
) -> gossip.Ack:
    """Answer a probe."""
    return _gossip(runtime).answer(msg)


@peers.handles(gossip.Sync)
async def answer_sync(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: gossip.Sync
) -> gossip.News:
    """Repair differing facts."""
    return _gossip(runtime).answer_sync(msg, runtime.clock())


@peers.handles(gossip.News)
async def answer_news(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: gossip.News
) -> peers.Ack:
    """Apply pushed facts."""
    runtime.facts.receive(msg.facts)
    return peers.Ack()


@peers.handles(ProbeFor)
async def answer_probe_for(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: ProbeFor
) -> Probed:
    """Probe a member on behalf of another."""
    target = runtime.members.get(msg.target)
    return Probed(target is not None and await _ping(runtime, target))


@shared_facts.applies(policy.FACT_KIND)
def apply_member(
    runtime: runtime_lib.Runtime, fact: facts_policy.Fact
) -> None:
    """Update the list of members."""
    stated = msgspec.convert(fact.value, members.Member)
    known = runtime.members.get(stated.id)
    corrected = runtime.detector.merge(stated, runtime.clock())
    if corrected is not None:
        logs.event(_LOG, "suspicion_refuted", heartbeat=corrected.heartbeat)
        runtime.facts.publish(policy.to_fact(corrected))
    elif known is None or known.state is not stated.state:
        logs.event(
            _LOG,
            "member_changed",
            member=stated.id,
            state=stated.state.value,
            incarnation=stated.incarnation,
        )


def publish_self(runtime: runtime_lib.Runtime) -> None:
    """Push the description of this instance."""
    runtime.facts.publish(policy.to_fact(runtime.members.me))


def update_self(
    runtime: runtime_lib.Runtime,
    state: members.MemberState | None = None,
    successor: str | None = None,
) -> members.Member:
    """Change and push the description of this instance."""
    me = runtime.members.me
    changed = dataclasses.replace(
        me,
        state=me.state if state is None else state,
        successor=me.successor if successor is None else successor,
        heartbeat=policy.incarnation_number(me) + 1,
    )
    runtime.members.put(changed)
    publish_self(runtime)
    return changed


async def leave(runtime: runtime_lib.Runtime) -> None:
    """Tell some peers, after a planned stop, that this instance is gone.

    Without it they take the instance for crashed, and go on probing it.
    """
    changed = update_self(runtime, state=members.MemberState.LEFT)
    news = gossip.News((policy.to_fact(changed),))
    async with anyio.create_task_group() as tasks:
        for member in _push_targets(runtime):
            tasks.start_soon(
                runtime.peers.request, member, news, PROBE_TIMEOUT_SECONDS
            )


def _gossip(runtime: runtime_lib.Runtime) -> gossip.Gossip:
    cfg = runtime.cfg
    return gossip.Gossip(cfg.instance, cfg.zone, runtime.facts, runtime.rng)


@controllers.controller("membership")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Answer peers, probe members and push fresh facts."""
    publish_self(runtime)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runtime.peers.serve, runtime)
            tasks.start_soon(_push, runtime, tasks)
            tasks.start_soon(_probe_all, runtime, tasks)
            tasks.start_soon(_join, runtime)
    finally:
        runtime.peers.close()


async def _push(
    runtime: runtime_lib.Runtime, tasks: anyio.abc.TaskGroup
) -> None:
    while True:
        await runtime.facts.changed.wait()
        batch = runtime.facts.take_outbox(PUSH_BYTES)
        for member in _push_targets(runtime):
            tasks.start_soon(
                runtime.peers.request,
                member,
                gossip.News(batch),
                PROBE_TIMEOUT_SECONDS,
            )
        await anyio.sleep(PUSH_PAUSE_SECONDS)


def _push_targets(runtime: runtime_lib.Runtime) -> list[members.Member]:
    others = list(runtime.members.others())
    runtime.rng.shuffle(others)
    near = [m for m in others if m.zone == runtime.cfg.zone]
    far = [m for m in others if m.zone != runtime.cfg.zone]
    chosen = near[:PUSH_FANOUT]
    rest = far + near[PUSH_FANOUT:]
    return chosen + rest[: 2 * PUSH_FANOUT - len(chosen)]


async def _probe_all(
    runtime: runtime_lib.Runtime, tasks: anyio.abc.TaskGroup
) -> None:
    detector = runtime.detector
    while True:
        now = runtime.clock()
        for member in detector.expired_suspects(now):
            logs.event(_LOG, "member_dead", member=member.id)
            runtime.facts.publish(policy.to_fact(member))
        target = detector.next_probe_target()
        if target is not None:
            tasks.start_soon(_probe, runtime, target)
        dead = detector.next_dead_member(now)
        if dead is not None:
            tasks.start_soon(_ping, runtime, dead)
        neighbour = _neighbour(runtime, target)
        if neighbour is not None:
            tasks.start_soon(_ping, runtime, neighbour)
        await anyio.sleep(PROBE_SECONDS * (0.9 + 0.2 * runtime.rng.random()))


def _neighbour(
    runtime: runtime_lib.Runtime, target: members.Member | None
) -> members.Member | None:
    """Return whom to send the zone's facts unless the target gets them."""
    zone = runtime.cfg.zone
    if target is not None and target.zone == zone:
        return None
    near = [m for m in runtime.members.others() if m.zone == zone]
    return runtime.rng.choice(near) if near else None


async def _probe(runtime: runtime_lib.Runtime, target: members.Member) -> None:
    if await _ping(runtime, target):
        return
    detector = runtime.detector
    if await _probe_indirectly(
        runtime, detector.indirect_probers(target.id), target
    ):
        return
    suspicion = detector.suspicion(target)
    if suspicion is not None:
        logs.event(_LOG, "member_suspect", member=target.id)
        runtime.facts.publish(policy.to_fact(suspicion))


async def _probe_indirectly(
    runtime: runtime_lib.Runtime,
    helpers: tuple[members.Member, ...],
    target: members.Member,
) -> bool:
    reached = False

    async def ask(helper: members.Member) -> None:
        nonlocal reached
        answer = await runtime.peers.request(
            helper, ProbeFor(target.id), INDIRECT_TIMEOUT_SECONDS
        )
        if isinstance(answer, result.Ok):
            reached = reached or answer.ok_value.reached

    async with anyio.create_task_group() as tasks:
        for helper in helpers:
            tasks.start_soon(ask, helper)
    return reached


async def _ping(runtime: runtime_lib.Runtime, target: members.Member) -> bool:
    doubted = target.state is not _ALIVE
    extra = (policy.to_fact(target),) if doubted else ()
    return await _exchange(
        runtime, target.address, target.id, target.zone, extra
    )


async def _exchange(
    runtime: runtime_lib.Runtime,
    address: str,
    to: str = "",
    zone: str = "",
    extra: tuple[facts_policy.Fact, ...] = (),
) -> bool:
    speaker = _gossip(runtime)
    answer = await runtime.peers.request_address(
        address, speaker.ping(zone, extra), PROBE_TIMEOUT_SECONDS, to
    )
    if isinstance(answer, result.Err):
        logs.event(
            _LOG,
            "probe_failed",
            level=logging.DEBUG,
            address=address,
            why=answer.err_value.kind.value,
        )
        return False
    repair = speaker.repair(answer.ok_value.message, runtime.clock())
    if repair is not None:
        found = await runtime.peers.request_address(
            address, repair, PROBE_TIMEOUT_SECONDS, to
        )
        if isinstance(found, result.Ok):
            runtime.facts.receive(found.ok_value.message.facts)
    return True


async def _join(runtime: runtime_lib.Runtime) -> None:
    """Find members by the addresses of settings and platform list."""
    while True:
        known = {member.address for member in runtime.members.all()}
        seeds = {*runtime.cfg.peers, *runtime.members.listed} - known
        alone = not runtime.members.others()
        if seeds:
            address = runtime.rng.choice(sorted(seeds))
            await _exchange(runtime, address)
        pause = PROBE_SECONDS / 2 if alone else SEED_SECONDS
        await anyio.sleep(pause * (0.8 + 0.4 * runtime.rng.random()))
