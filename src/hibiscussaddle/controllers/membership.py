"""Replicate members and facts to all instances by gossip."""

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
PROBE_INTERVAL_SECONDS: typing.Final = 1.0
PROBE_TIMEOUT_SECONDS: typing.Final = 0.5
# Longer than the prober's own probe of the target.
INDIRECT_TIMEOUT_SECONDS: typing.Final = 0.9
# Peers per push in the own zone, and as many in other zones.
PUSH_FANOUT: typing.Final = 2
MAX_PUSH_BYTES: typing.Final = 8 * 1024
# Sends facts that change together in one message, and bounds the traffic
# after a healed partition: each node sends at most 8 KiB to 4 peers per
# interval.
PUSH_INTERVAL_SECONDS: typing.Final = 0.1
SEED_INTERVAL_SECONDS: typing.Final = 5.0

_ALIVE = members.MemberState.ALIVE


@peers.message("probe_for")
@dataclasses.dataclass(frozen=True)
class ProbeFor:
    """Request an indirect probe of a member."""

    target: str


@peers.message("probed")
@dataclasses.dataclass(frozen=True)
class Probed:
    """Report whether the member responded to the indirect probe."""

    reached: bool


@peers.handles(gossip.Ping)
async def handle_ping(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: gossip.Ping
) -> gossip.Ack:
    """Return the acknowledgment of a probe."""
    return _gossip(runtime).apply_ping(msg)


@peers.handles(gossip.Sync)
async def handle_sync(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: gossip.Sync
) -> gossip.News:
    """Return the facts of differing buckets and apply the received ones."""
    return _gossip(runtime).apply_sync(msg, runtime.clock())


@peers.handles(gossip.News)
async def handle_news(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: gossip.News
) -> peers.Ack:
    """Apply pushed facts."""
    runtime.facts.receive(msg.facts)
    return peers.Ack()


@peers.handles(ProbeFor)
async def handle_probe_for(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: ProbeFor
) -> Probed:
    """Probe a member on behalf of another member."""
    target = runtime.members.get(msg.target)
    return Probed(target is not None and await _ping(runtime, target))


@shared_facts.applies(policy.FACT_KIND)
def apply_member(
    runtime: runtime_lib.Runtime, fact: facts_policy.Fact
) -> None:
    """Update the list of members."""
    received = msgspec.convert(fact.value, members.Member)
    known = runtime.members.get(received.id)
    corrected = runtime.detector.merge(received, runtime.clock())
    if corrected is not None:
        logs.event(_LOG, "suspicion_refuted", heartbeat=corrected.heartbeat)
        runtime.facts.publish(policy.to_fact(corrected))
    elif known is None or known.state is not received.state:
        logs.event(
            _LOG,
            "member_changed",
            member=received.id,
            state=received.state.value,
            incarnation=received.incarnation,
        )


def publish_self(runtime: runtime_lib.Runtime) -> None:
    """Publish the member fact of this instance."""
    runtime.facts.publish(policy.to_fact(runtime.members.me))


def update_self(
    runtime: runtime_lib.Runtime,
    state: members.MemberState | None = None,
    successor: str | None = None,
) -> members.Member:
    """Change and publish the member fact of this instance."""
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
    """Notify some peers that this instance has left after a planned stop.

    Without the notification, peers consider the instance crashed and
    continue to probe it.
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
    """Serve peers, probe members and push new facts."""
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
        batch = runtime.facts.pop_outbox(MAX_PUSH_BYTES)
        for member in _push_targets(runtime):
            tasks.start_soon(
                runtime.peers.request,
                member,
                gossip.News(batch),
                PROBE_TIMEOUT_SECONDS,
            )
        await anyio.sleep(PUSH_INTERVAL_SECONDS)


def _push_targets(runtime: runtime_lib.Runtime) -> list[members.Member]:
    others = list(runtime.members.others())
    runtime.rng.shuffle(others)
    same_zone = [m for m in others if m.zone == runtime.cfg.zone]
    other_zones = [m for m in others if m.zone != runtime.cfg.zone]
    targets = same_zone[:PUSH_FANOUT]
    rest = other_zones + same_zone[PUSH_FANOUT:]
    return targets + rest[: 2 * PUSH_FANOUT - len(targets)]


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
        zone_target = _zone_exchange_target(runtime, target)
        if zone_target is not None:
            tasks.start_soon(_ping, runtime, zone_target)
        await anyio.sleep(
            PROBE_INTERVAL_SECONDS * (0.9 + 0.2 * runtime.rng.random())
        )


def _zone_exchange_target(
    runtime: runtime_lib.Runtime, target: members.Member | None
) -> members.Member | None:
    """Return a member to exchange the facts of the own zone with.

    None if the probe target is in the zone, since its probe exchanges them.
    """
    zone = runtime.cfg.zone
    if target is not None and target.zone == zone:
        return None
    same_zone = [m for m in runtime.members.others() if m.zone == zone]
    return runtime.rng.choice(same_zone) if same_zone else None


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
    probers: tuple[members.Member, ...],
    target: members.Member,
) -> bool:
    reached = False

    async def request_probe(prober: members.Member) -> None:
        nonlocal reached
        response = await runtime.peers.request(
            prober, ProbeFor(target.id), INDIRECT_TIMEOUT_SECONDS
        )
        if isinstance(response, result.Ok):
            reached = reached or response.ok_value.reached

    async with anyio.create_task_group() as tasks:
        for prober in probers:
            tasks.start_soon(request_probe, prober)
    return reached


async def _ping(runtime: runtime_lib.Runtime, target: members.Member) -> bool:
    is_suspected = target.state is not _ALIVE
    extra = (policy.to_fact(target),) if is_suspected else ()
    return await _exchange(
        runtime, target.address, target.id, target.zone, extra
    )


async def _exchange(
    runtime: runtime_lib.Runtime,
    address: str,
    target_id: str = "",
    zone: str = "",
    extra: tuple[facts_policy.Fact, ...] = (),
) -> bool:
    own_gossip = _gossip(runtime)
    response = await runtime.peers.request_address(
        address, own_gossip.ping(zone, extra), PROBE_TIMEOUT_SECONDS, target_id
    )
    if isinstance(response, result.Err):
        logs.event(
            _LOG,
            "probe_failed",
            level=logging.DEBUG,
            address=address,
            why=response.err_value.kind.value,
        )
        return False
    sync = own_gossip.apply_ack(response.ok_value.message, runtime.clock())
    if sync is not None:
        sync_response = await runtime.peers.request_address(
            address, sync, PROBE_TIMEOUT_SECONDS, target_id
        )
        if isinstance(sync_response, result.Ok):
            runtime.facts.receive(sync_response.ok_value.message.facts)
    return True


async def _join(runtime: runtime_lib.Runtime) -> None:
    """Contact unknown addresses from the settings and the platform list."""
    while True:
        known = {member.address for member in runtime.members.all()}
        seeds = {*runtime.cfg.peers, *runtime.members.listed_addresses} - known
        is_alone = not runtime.members.others()
        if seeds:
            address = runtime.rng.choice(sorted(seeds))
            await _exchange(runtime, address)
        interval = (
            PROBE_INTERVAL_SECONDS / 2 if is_alone else SEED_INTERVAL_SECONDS
        )
        await anyio.sleep(interval * (0.8 + 0.4 * runtime.rng.random()))
