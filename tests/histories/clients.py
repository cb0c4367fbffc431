"""Concurrent trainers, callers and booking clients of one run."""

from collections import abc
import json
import random
import typing

import anyio
from examples import trainer as trainer_lib
import httpx

from histories import history as history_lib
from histories import world as world_lib

SAMPLES_PER_GROUP: typing.Final = 2
MAX_CALLS: typing.Final = 100
_NETWORK_ERRORS = (httpx.HTTPError, ValueError, KeyError)


async def run_trainer(world: world_lib.World, name: str, steps: int) -> None:
    """Read steps in sequence, each with one or two readers."""
    for number in range(steps):
        spec = {
            "trainer": name,
            "step": f"s{number}",
            "model": "base",
            "groups": [
                [{"role": "user", "content": f"{name}/s{number}/{group}"}]
                for group in range(world.rng.randint(2, 4))
            ],
            "samples_per_group": SAMPLES_PER_GROUP,
            "max_tokens": world.rng.choice([6, 12, 24]),
            "reward": world.rng.choice([None, "judge"]),
        }
        shards = world.rng.randint(1, 2)
        slots = len(spec["groups"]) * SAMPLES_PER_GROUP
        world.history.expected[name, spec["step"]] = slots
        async with anyio.create_task_group() as tasks:
            for shard in range(shards):
                reader = trainer_lib.StepReader(
                    world.client,
                    world.urls(),
                    spec,
                    lambda: world.published_version,
                    shard,
                    shards,
                )
                tasks.start_soon(_read_shard, world, reader, spec, shard)


async def _read_shard(
    world: world_lib.World,
    reader: trainer_lib.StepReader,
    spec: dict[str, typing.Any],
    shard: int,
) -> None:
    rng = random.Random(world.rng.random())
    while True:
        body = reader.create_body()
        body["max_samples"] = rng.choice([1, 2, 64])
        body["wait_seconds"] = rng.choice([0.1, 0.5])
        response = await _send_pull(world, reader, body, rng)
        if response is None:
            await anyio.sleep(0.02)
            continue
        for sample in reader.accept(response):
            world.history.deliveries.append(
                _to_delivery(world, spec, shard, body, sample)
            )
        if response["remaining"] == 0:
            return


async def _send_pull(
    world: world_lib.World,
    reader: trainer_lib.StepReader,
    body: dict[str, typing.Any],
    rng: random.Random,
) -> dict[str, typing.Any] | None:
    """Send a pull, at times through two instances or with a short timeout."""
    received: list[dict[str, typing.Any]] = []
    urls = rng.sample(world.urls(), rng.choice([1, 1, 2]))
    async with anyio.create_task_group() as tasks:

        async def send(url: str) -> None:
            # A response after the timeout is lost.
            with anyio.move_on_after(rng.choice([0.05, 2.0, 2.0, 2.0])):
                response = await reader.send(url, body)
                if response is not None:
                    received.append(response)
                    if rng.random() < 0.5:
                        tasks.cancel_scope.cancel()

        for url in urls:
            tasks.start_soon(send, url)
    return received[0] if received else None


def _to_delivery(
    world: world_lib.World,
    spec: dict[str, typing.Any],
    shard: int,
    body: dict[str, typing.Any],
    sample: dict[str, typing.Any],
) -> history_lib.Delivery:
    return history_lib.Delivery(
        trainer=sample["trainer"],
        step=sample["step"],
        pull=body["pull"],
        shard=shard,
        slot=sample["group"] * SAMPLES_PER_GROUP + sample["index"],
        group=sample["group"],
        text=sample["text"],
        tokens=sample["tokens"],
        max_tokens=spec["max_tokens"],
        versions=tuple(
            (part["version"], part["first_token"], part["last_token"])
            for part in sample["versions"]
        ),
        reward=sample["reward"],
        is_scored=spec["reward"] is not None,
        newest_version=body["newest_version"],
        staleness_bound=world.staleness_bound,
    )


async def _call_numbers(world: world_lib.World) -> abc.AsyncIterator[int]:
    """Yield increasing numbers with pauses until the trainers are done."""
    number = 0
    while not world.are_trainers_done and number < MAX_CALLS:
        yield number
        number += 1
        await anyio.sleep(world.rng.uniform(0.0, 0.04))


async def run_caller(world: world_lib.World, name: str) -> None:
    """Request chat completions, streamed or not."""
    async for number in _call_numbers(world):
        call = f"{name}/{number}"
        body = {
            "model": "base",
            "messages": [{"role": "user", "content": call}],
            "max_tokens": world.rng.choice([4, 10, 20]),
            "stream": world.rng.random() < 0.5,
        }
        url = world.rng.choice(world.urls())
        try:
            resp = await world.client.post(
                url + "/v1/chat/completions", json=body, timeout=5.0
            )
            found = _to_call(call, body, resp)
        except _NETWORK_ERRORS:
            continue
        world.history.calls.append(found)


def _to_call(
    name: str, body: dict[str, typing.Any], resp: httpx.Response
) -> history_lib.Call:
    status, limit = resp.status_code, body["max_tokens"]
    if status != 200:
        return history_lib.Call(
            name, limit, status, resp.json()["ran"], "", False
        )
    if not body["stream"]:
        text = resp.json()["choices"][0]["message"]["content"]
        return history_lib.Call(name, limit, status, "yes", text, True)
    parts: list[str] = []
    ran, is_complete = "yes", False
    for line in resp.text.splitlines():
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            is_complete = True
        elif line.startswith("data: "):
            event = json.loads(data)
            if "error" in event:
                ran = event["error"]["ran"]
            else:
                delta = event["choices"][0]["delta"]
                parts.append(delta.get("content", ""))
    return history_lib.Call(
        name, limit, status, ran, "".join(parts), is_complete
    )


async def run_booking_client(world: world_lib.World, name: str) -> None:
    """Send bookings and retry each with its ticket through any instance."""
    async for number in _call_numbers(world):
        ticket = await _get_ticket(world)
        if ticket is None:
            continue
        for attempt in range(world.rng.randint(1, 3)):
            body = f"{name}/{number}/{attempt}"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_book, world, ticket, body)
                if world.rng.random() < 0.3:
                    tasks.start_soon(_book, world, ticket, body + "b")


async def _get_ticket(world: world_lib.World) -> str | None:
    url = world.rng.choice(world.urls())
    try:
        resp = await world.client.post(url + "/v1/tickets", timeout=5.0)
        return str(resp.json()["ticket"])
    except _NETWORK_ERRORS:
        return None


async def _book(world: world_lib.World, ticket: str, body: str) -> None:
    url = world.rng.choice(world.urls())
    limit = world.rng.choice([0.02, 3.0, 3.0])
    try:
        resp = await world.client.post(
            url + "/v1/services/booking/orders",
            content=body,
            headers={"idempotency-key": ticket},
            timeout=limit,
        )
        response = resp.json()
    except _NETWORK_ERRORS:
        return
    refused = resp.status_code != 200
    world.history.bookings.append(
        history_lib.Booking(
            ticket=ticket,
            attempt=body,
            status=resp.status_code,
            code=response["code"] if refused and "code" in response else 0,
            ran=response.get("ran", "unknown") if refused else "yes",
            echo="" if refused else response["echo"],
        )
    )
