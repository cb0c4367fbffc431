"""Keep the endpoint directory consistent with the platform's list.

Two readers per zone poll the list every second and publish changes as facts
of their zone. Every instance also reads the list at startup and every
IDLE_POLL_INTERVAL_SECONDS, so that a zone whose readers cannot reach the
platform still receives changes.
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
from hibiscussaddle import decoding
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
READINESS_HOLD: typing.Final = "endpoints"
KIND: typing.Final = "endpoint"
# The kind of entry instances, which are listed with their peer addresses.
INSTANCE_KIND: typing.Final = "entry"
POLL_INTERVAL_SECONDS: typing.Final = 1.0
START_POLL_INTERVAL_SECONDS: typing.Final = 0.2
# 350 instances together then send about 12 requests per second.
IDLE_POLL_INTERVAL_SECONDS: typing.Final = 30.0
TIMEOUT_SECONDS: typing.Final = 2.0
# An instance without platform and peers becomes ready after this time.
FIRST_LIST_TIMEOUT_SECONDS: typing.Final = 5.0
# A platform that starts together with its endpoints lists them one by one;
# the first list is considered complete after this long without a change.
SETTLE_SECONDS: typing.Final = 0.5
# Before membership converges, every instance may consider itself a reader,
# and all of them would publish the complete list.
MEMBERS_WAIT_SECONDS: typing.Final = 3.0


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """Describe one entry instance in the platform's list."""

    id: str
    kind: typing.Literal["entry"]
    # The host:port on which it serves peers.
    address: str
    incarnation: int = 0
    state: endpoints.EndpointState = endpoints.EndpointState.LIVE


def readiness_holds(cfg: settings.Settings) -> tuple[str, ...]:
    """Return the holds that delay the readiness of an instance."""
    return (READINESS_HOLD,) if cfg.platform_url else ()


@controllers.controller("endpoints")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Register the instance, poll the list and release the readiness hold."""
    if not runtime.cfg.platform_url:
        return
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_release_readiness, runtime)
        tasks.start_soon(_register, runtime)
        tasks.start_soon(_poll, runtime)


async def _release_readiness(runtime: runtime_lib.Runtime) -> None:
    directory = runtime.directory
    last_revision, changed_at = directory.revision, runtime.clock()
    with anyio.move_on_after(FIRST_LIST_TIMEOUT_SECONDS):
        while not (
            directory.all() and runtime.clock() - changed_at >= SETTLE_SECONDS
        ):
            await anyio.sleep(START_POLL_INTERVAL_SECONDS / 2)
            if directory.revision != last_revision:
                last_revision, changed_at = directory.revision, runtime.clock()
    logs.event(_LOG, "endpoints_known", count=len(directory.all()))
    runtime.lifecycle.release(READINESS_HOLD)


async def _register(runtime: runtime_lib.Runtime) -> None:
    """Register this instance with the platform, so that others can join."""
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
            await anyio.sleep(POLL_INTERVAL_SECONDS * (1 + _random(runtime)))


async def _poll(runtime: runtime_lib.Runtime) -> None:
    url = runtime.cfg.platform_url.rstrip("/") + "/v1/instances"
    started = runtime.clock()
    next_poll_at = started
    while True:
        now = runtime.clock()
        is_starting = now - started < MEMBERS_WAIT_SECONDS
        reads_list = is_reader(runtime)
        if is_starting or reads_list or now >= next_poll_at:
            found = await _fetch_list(runtime, url)
            if found is not None:
                next_poll_at = now + IDLE_POLL_INTERVAL_SECONDS * (
                    0.8 + 0.4 * _random(runtime)
                )
                runtime.directory.update(found)
                mark_leaving_endpoints(runtime, found)
                if not is_starting:
                    publish(runtime, found)
        interval = (
            START_POLL_INTERVAL_SECONDS
            if is_starting
            else POLL_INTERVAL_SECONDS
        )
        await anyio.sleep(interval * (0.9 + 0.2 * _random(runtime)))


def _random(runtime: runtime_lib.Runtime) -> float:
    return runtime.rng.random()


def is_reader(runtime: runtime_lib.Runtime) -> bool:
    """Return whether this instance polls the list for its zone."""
    reader_ids = readers.choose(
        runtime.members.live(), runtime.cfg.zone, "platform"
    )
    return runtime.cfg.instance in reader_ids


async def _fetch_list(
    runtime: runtime_lib.Runtime, url: str
) -> list[endpoints.Endpoint] | None:
    try:
        resp = await runtime.client.get(url, timeout=TIMEOUT_SECONDS)
        resp.raise_for_status()
        items = list(decoding.decode_json(resp.content)["instances"])
        parsed = [endpoints.parse_endpoint(item) for item in items]
    except (httpx.HTTPError, ValueError, KeyError, TypeError) as exc:
        logs.event(_LOG, "platform_unread", level=logging.DEBUG, why=repr(exc))
        return None
    apply_instances(runtime, items)
    # A platform that has just restarted lists nothing; the previous list is
    # then more accurate.
    return [ep for ep in parsed if ep is not None] or None


def apply_instances(
    runtime: runtime_lib.Runtime, items: abc.Iterable[object]
) -> None:
    """Record the addresses of listed instances and mark the leaving ones."""
    listed: list[ListedInstance] = []
    for item in items:
        try:
            listed.append(msgspec.convert(item, ListedInstance))
        except msgspec.ValidationError:
            # An endpoint, or an item of an unknown kind.
            continue
    runtime.members.listed_addresses = frozenset(
        item.address for item in listed
    )
    for item in listed:
        if item.state is endpoints.EndpointState.LEAVING:
            _mark(runtime, item.id, item.incarnation)


def publish(
    runtime: runtime_lib.Runtime, found: abc.Iterable[endpoints.Endpoint]
) -> None:
    """Publish the endpoints that differ from the facts of the zone."""
    # Encoded and decoded for comparison with received facts: to_builtins
    # alone keeps tuples.
    values: dict[str, typing.Any] = {
        ep.id: decoding.decode_msgpack(msgspec.msgpack.encode(ep))
        for ep in found
    }
    for known in runtime.facts.of_kind(KIND):
        values.setdefault(known.key, None)
    for key, value in values.items():
        current_fact = runtime.facts.get(KIND, key)
        if current_fact is not None and current_fact.value == value:
            continue
        version = time.time_ns() // 1_000_000
        if current_fact is not None:
            version = max(version, current_fact.version + 1)
        runtime.facts.publish(
            facts.Fact(KIND, key, version, runtime.cfg.instance, value)
        )


def mark_leaving_endpoints(
    runtime: runtime_lib.Runtime, found: abc.Iterable[endpoints.Endpoint]
) -> None:
    """Mark the endpoints that the platform lists as leaving."""
    for ep in found:
        if ep.state is endpoints.EndpointState.LEAVING:
            _mark(runtime, ep.id, ep.incarnation)


def _mark(runtime: runtime_lib.Runtime, target: str, incarnation: int) -> None:
    mark_table = runtime.directory.marks
    current = mark_table.get(target)
    # An operator's clear remains in force for its incarnation.
    if current is None or current.incarnation < incarnation:
        mark = leave_marks.create(
            runtime, target, incarnation, True, marks.Source.PLATFORM
        )
        leave_marks.publish(runtime, mark)


@shared_facts.applies(KIND)
def apply(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Add an endpoint to the directory, or remove it if its value is None."""
    if fact.value is None:
        runtime.directory.remove(fact.key)
    else:
        endpoint = msgspec.convert(fact.value, endpoints.Endpoint)
        runtime.directory.put(endpoint)
