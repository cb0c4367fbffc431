"""Keep the directory of endpoints equal to the platform's list.

Two readers a zone poll the list every second and publish changes as facts
of their zone. Every instance reads the list itself at start and seldom
after, so that a zone whose readers cannot reach the platform still learns.
"""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio
import httpx
import msgspec

from hibiscussaddle import controllers
from hibiscussaddle import endpoints
from hibiscussaddle import leave_marks
from hibiscussaddle import logs
from hibiscussaddle.policy import facts
from hibiscussaddle.policy import marks
from hibiscussaddle.policy import readers
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import settings
from hibiscussaddle import shared_facts

_LOG = logging.getLogger(__name__)
HOLD: typing.Final = "endpoints"
KIND: typing.Final = "endpoint"
# Entry instances are listed with their addresses for peers.
INSTANCE_KIND: typing.Final = "entry"
POLL_SECONDS: typing.Final = 1.0
START_POLL_SECONDS: typing.Final = 0.2
# 350 instances then read 12 times a second together.
IDLE_POLL_SECONDS: typing.Final = 30.0
TIMEOUT_SECONDS: typing.Final = 2.0
# An instance cut off from platform and peers gets ready after this.
FIRST_LIST_SECONDS: typing.Final = 5.0
# A platform that starts together with its endpoints lists them one by one;
# the first list counts as complete after this long without a change.
SETTLE_SECONDS: typing.Final = 0.5
# Until then each instance may take itself for a reader, and all of them
# would publish the whole list.
MEMBERS_SECONDS: typing.Final = 3.0


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """Describe one entry instance in the platform's list."""

    id: str
    kind: typing.Literal["entry"]
    # Its host:port for peers.
    address: str
    incarnation: int = 0
    state: endpoints.EndpointState = endpoints.EndpointState.LIVE


def holds(cfg: settings.Settings) -> tuple[str, ...]:
    """Return what an instance needs before it is ready."""
    return (HOLD,) if cfg.platform_url else ()


@controllers.controller("endpoints")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Release readiness and poll the list."""
    if not runtime.cfg.platform_url:
        return
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_release, runtime)
        tasks.start_soon(_register, runtime)
        tasks.start_soon(_poll, runtime)


async def _release(runtime: runtime_lib.Runtime) -> None:
    directory = runtime.directory
    seen, since = directory.revision, runtime.clock()
    with anyio.move_on_after(FIRST_LIST_SECONDS):
        while not (
            directory.all() and runtime.clock() - since >= SETTLE_SECONDS
        ):
            await anyio.sleep(START_POLL_SECONDS / 2)
            if directory.revision != seen:
                seen, since = directory.revision, runtime.clock()
    logs.event(_LOG, "endpoints_known", count=len(directory.all()))
    runtime.lifecycle.release(HOLD)


async def _register(runtime: runtime_lib.Runtime) -> None:
    """List this instance at the platform, so that others can join it."""
    cfg = runtime.cfg
    url = f"{cfg.platform_url.rstrip('/')}/v1/instances/{cfg.instance}"
    item = {
        "kind": INSTANCE_KIND,
        "zone": cfg.zone,
        "address": runtime.members.me.address,
        "incarnation": runtime.incarnation,
        "state": endpoints.EndpointState.LIVE.value,
    }
    while True:
        try:
            resp = await runtime.client.put(
                url, json=item, timeout=TIMEOUT_SECONDS
            )
            resp.raise_for_status()
            return
        except httpx.HTTPError:
            await anyio.sleep(POLL_SECONDS * (1 + _random(runtime)))


async def _poll(runtime: runtime_lib.Runtime) -> None:
    url = runtime.cfg.platform_url.rstrip("/") + "/v1/instances"
    started = runtime.clock()
    due = started
    while True:
        now = runtime.clock()
        starting = now - started < MEMBERS_SECONDS
        reader = is_reader(runtime)
        if starting or reader or now >= due:
            found = await _read(runtime, url)
            if found is not None:
                due = now + IDLE_POLL_SECONDS * (0.8 + 0.4 * _random(runtime))
                runtime.directory.update(found)
                mark_leaving(runtime, found)
                if not starting:
                    publish(runtime, found)
        pause = START_POLL_SECONDS if starting else POLL_SECONDS
        await anyio.sleep(pause * (0.9 + 0.2 * _random(runtime)))


def _random(runtime: runtime_lib.Runtime) -> float:
    return runtime.rng.random()


def is_reader(runtime: runtime_lib.Runtime) -> bool:
    """Tell whether this instance polls the list for its zone."""
    chosen = readers.choose(
        runtime.members.live(), runtime.cfg.zone, "platform"
    )
    return runtime.cfg.instance in chosen


async def _read(
    runtime: runtime_lib.Runtime, url: str
) -> list[endpoints.Endpoint] | None:
    try:
        resp = await runtime.client.get(url, timeout=TIMEOUT_SECONDS)
        resp.raise_for_status()
        items = list(resp.json()["instances"])
        parsed = [endpoints.parse_endpoint(item) for item in items]
    except (httpx.HTTPError, ValueError, KeyError, TypeError) as exc:
        logs.event(_LOG, "platform_unread", level=logging.DEBUG, why=repr(exc))
        return None
    hear_instances(runtime, items)
    # A platform that has just restarted lists nothing; the last list is
    # nearer to the truth.
    return [ep for ep in parsed if ep is not None] or None


def hear_instances(
    runtime: runtime_lib.Runtime, items: abc.Iterable[object]
) -> None:
    """Note the listed instances as addresses to join, and their marks."""
    listed: list[ListedInstance] = []
    for item in items:
        try:
            listed.append(msgspec.convert(item, ListedInstance))
        except msgspec.ValidationError:
            # An endpoint, or an item of a kind that we do not know.
            continue
    runtime.members.listed = frozenset(item.address for item in listed)
    for item in listed:
        if item.state is endpoints.EndpointState.LEAVING:
            _mark(runtime, item.id, item.incarnation)


def publish(
    runtime: runtime_lib.Runtime, found: abc.Iterable[endpoints.Endpoint]
) -> None:
    """Publish what differs from the facts of the zone."""
    # As a peer decodes it: to_builtins alone keeps tuples.
    values: dict[str, typing.Any] = {
        ep.id: msgspec.msgpack.decode(msgspec.msgpack.encode(ep))
        for ep in found
    }
    for known in runtime.facts.of_kind(KIND):
        values.setdefault(known.key, None)
    for key, value in values.items():
        known_fact = runtime.facts.get(KIND, key)
        if known_fact is not None and known_fact.value == value:
            continue
        version = time.time_ns() // 1_000_000
        if known_fact is not None:
            version = max(version, known_fact.version + 1)
        runtime.facts.publish(
            facts.Fact(KIND, key, version, runtime.cfg.instance, value)
        )


def mark_leaving(
    runtime: runtime_lib.Runtime, found: abc.Iterable[endpoints.Endpoint]
) -> None:
    """Mark the endpoints that the platform lists as leaving."""
    for ep in found:
        if ep.state is endpoints.EndpointState.LEAVING:
            _mark(runtime, ep.id, ep.incarnation)


def _mark(runtime: runtime_lib.Runtime, target: str, incarnation: int) -> None:
    board = runtime.directory.marks
    current = board.get(target)
    # An operator's clear stays in force for its incarnation.
    if current is None or current.incarnation < incarnation:
        mark = leave_marks.create(
            runtime, target, incarnation, True, marks.Source.PLATFORM
        )
        leave_marks.publish(runtime, mark)


@shared_facts.applies(KIND)
def apply(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Put one listed endpoint in the directory, or take it out."""
    if fact.value is None:
        runtime.directory.remove(fact.key)
    else:
        endpoint = msgspec.convert(fact.value, endpoints.Endpoint)
        runtime.directory.put(endpoint)
