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

PER_GROUP: typing.Final = 2
MAX_CALLS: typing.Final = 100
_NETWORK = (httpx.HTTPError, ValueError, KeyError)


async def run_trainer(world: world_lib.World, name: str, steps: int) -> None:
    """Read steps one after another, each with one or two readers."""
    for number in range(steps):
        spec = {
            "trainer": name,
            "step": f"s{number}",
            "model": "base",
            "groups": [
                [{"role": "user", "content": f"{name}/s{number}/{group}"}]
                for group in range(world.rng.randint(2, 4))
            ],
            "samples_per_group": PER_GROUP,
            "max_tokens": world.rng.choice([6, 12, 24]),
            "reward": world.rng.choice([None, "judge"]),
        }
        shards = world.rng.randint(1, 2)
        slots = len(spec["groups"]) * PER_GROUP
        world.history.expected[name, spec["step"]] = slots
        async with anyio.create_task_group() as tasks:
            for shard in range(shards):
                reader = trainer_lib.StepReader(
                    world.client,
                    world.urls(),
                    spec,
                    lambda: world.published,
                    shard,
                    shards,
                )
                tasks.start_soon(_read, world, reader, spec, shard)


async def _read(
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
        answer = await _pull(world, reader, body, rng)
        if answer is None:
            await anyio.sleep(0.02)
            continue
        for sample in reader.accept(answer):
            world.history.deliveries.append(
                _to_delivery(world, spec, shard, body, sample)
            )
        if answer["remaining"] == 0:
            return


async def _pull(
    world: world_lib.World,
    reader: trainer_lib.StepReader,
    body: dict[str, typing.Any],
    rng: random.Random,
) -> dict[str, typing.Any] | None:
    """Send a pull, sometimes through two instances at once or impatiently."""
    answers: list[dict[str, typing.Any]] = []
    urls = rng.sample(world.urls(), rng.choice([1, 1, 2]))
    async with anyio.create_task_group() as tasks:

        async def send(url: str) -> None:
            # An answer that arrives after the limit is lost.
            with anyio.move_on_after(rng.choice([0.05, 2.0, 2.0, 2.0])):
                answer = await reader.send(url, body)
                if answer is not None:
                    answers.append(answer)
                    if rng.random() < 0.5:
                        tasks.cancel_scope.cancel()

        for url in urls:
            tasks.start_soon(send, url)
    return answers[0] if answers else None


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
        slot=sample["group"] * PER_GROUP + sample["index"],
        group=sample["group"],
        text=sample["text"],
        tokens=sample["tokens"],
        max_tokens=spec["max_tokens"],
        versions=tuple(
            (part["version"], part["first_token"], part["last_token"])
            for part in sample["versions"]
        ),
        reward=sample["reward"],
        scored=spec["reward"] is not None,
        newest=body["newest_version"],
        bound=world.bound,
    )


async def _numbers(world: world_lib.World) -> abc.AsyncIterator[int]:
    """Yield numbers with pauses until the trainers are done."""
    number = 0
    while not world.trained and number < MAX_CALLS:
        yield number
        number += 1
        await anyio.sleep(world.rng.uniform(0.0, 0.04))


async def run_caller(world: world_lib.World, name: str) -> None:
    """Ask for chat completions, streamed or whole."""
    async for number in _numbers(world):
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
        except _NETWORK:
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
    ran, whole = "yes", False
    for line in resp.text.splitlines():
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            whole = True
        elif line.startswith("data: "):
            event = json.loads(data)
            if "error" in event:
                ran = event["error"]["ran"]
            else:
                delta = event["choices"][0]["delta"]
                parts.append(delta.get("content", ""))
    return history_lib.Call(name, limit, status, ran, "".join(parts), whole)


async def run_booker(world: world_lib.World, name: str) -> None:
    """Book, and repeat each booking by its ticket through any instance."""
    async for number in _numbers(world):
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
    except _NETWORK:
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
        answer = resp.json()
    except _NETWORK:
        return
    refused = resp.status_code != 200
    world.history.bookings.append(
        history_lib.Booking(
            ticket=ticket,
            attempt=body,
            status=resp.status_code,
            code=answer["code"] if refused and "code" in answer else 0,
            ran=answer.get("ran", "unknown") if refused else "yes",
            echo="" if refused else answer["echo"],
        )
    )
