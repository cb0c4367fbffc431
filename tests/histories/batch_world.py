"""Gateway instances, a store and engines of one run, and their faults."""

from collections import abc
import contextlib
import dataclasses
import random
import time
import typing

import anyio
from anyio import abc as anyio_abc
import httpx
from starlette import applications
from starlette import requests

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import presence
from hibiscussaddle import gateway_components
from hibiscussaddle import gateway_process
from hibiscussaddle import gateway_settings
from hibiscussaddle.platform import config_wire
from hibiscussaddle.platform.standins import endpoint as fake_endpoint
from hibiscussaddle.platform.standins import store as fake_store
from histories import batch_checks

import loopback

EVENTS: typing.Final = 12
MODEL: typing.Final = "base"
ROUTE: typing.Final = "rollouts"
HOST: typing.Final = "desk.example"
CONFIG: typing.Final = {
    "version": 1,
    "routes": [
        {
            "name": ROUTE,
            "host": HOST,
            "prefix": "/rollouts/",
            "kind": "rollout",
            "timeoutMs": 10000,
            "targetLatencyMs": 500,
            "service": "engines",
            "maxAttempts": batch_checks.MAX_ATTEMPTS,
        },
        {
            "name": "checks",
            "host": HOST,
            "prefix": "/checks/",
            "kind": "idempotent",
            "timeoutMs": 1000,
            "targetLatencyMs": 200,
            "service": "desk",
            "maxAttempts": batch_checks.MAX_ATTEMPTS,
        },
    ],
}


class Engine(fake_endpoint.FakeEndpoint):
    """Name the version that makes each event."""

    async def stream(self, after: int) -> abc.AsyncIterator[bytes]:
        """Yield the events after a number."""
        named = self.version
        for number in range(after + 1, EVENTS + 1):
            await anyio.sleep(self.cfg.event_seconds)
            change = ""
            if self.version != named:
                named = self.version
                change = f"x-weight-versions: {named}\n"
            yield f"{change}id: {number}\ndata: {number}@{named}\n\n".encode()


class Desk(fake_endpoint.FakeEndpoint):
    """Score texts; each answer has a proof of its own."""

    def __init__(
        self, cfg: fake_endpoint.EndpointConfig, history: batch_checks.History
    ) -> None:
        """Note every call in the history."""
        super().__init__(cfg)
        self._history = history

    def proof(self, request_id: str) -> str:
        """Return the proof of the answer that is given next."""
        proof = f"{self.cfg.id}/{len(self._history.scorings)}"
        self._history.scorings.append(
            batch_checks.ScoringCall(
                request_id, proof, not self.failures_left, time.monotonic()
            )
        )
        return proof


class CutPath:
    """Lead to the store unless it is cut."""

    def __init__(self, inner: typing.Any) -> None:
        """Start whole."""
        self.cut = False
        self._inner = inner

    async def send(self, call: typing.Any, timeout: float) -> httpx.Response:
        """Pass a call on."""
        if self.cut:
            await anyio.sleep(min(timeout, 0.2))
            raise httpx.ReadTimeout("cut")
        return await self._inner.send(call, timeout)


class Instance:
    """Hold one running instance."""

    def __init__(self, parts: gateway_components.Components) -> None:
        """Put a path that can be cut before the store."""
        self.parts = parts
        self.path = CutPath(parts.store_transport._direct)
        parts.store_transport._direct = typing.cast(typing.Any, self.path)
        self.scope = anyio.CancelScope()


class World:
    """Hold the parts of one run."""

    def __init__(self, seed: int, tasks: anyio_abc.TaskGroup) -> None:
        """Start with nothing."""
        self.rng = random.Random(seed)
        self.history = batch_checks.History(EVENTS)
        self.store = fake_store.Store()
        self.engines: list[Engine] = []
        self.desks: list[Desk] = []
        self.instances: dict[str, Instance] = {}
        self.newest = 1
        self.store_url = ""
        self.stack = contextlib.AsyncExitStack()
        self._tasks = tasks
        self._running = 0

    async def start(self, instances: int, engines: int) -> None:
        """Start the store, the engines and the instances."""
        app = fake_store.create_app(self.store)
        enter = self.stack.enter_async_context
        self.store_url = await enter(loopback.serve(app))
        value = store.msgspec.json.encode(CONFIG)
        self.store.write(config_wire.CONFIG_KEY, value)
        for number in range(engines):
            await self._start_engine(f"engine-{number}")
        for number in range(2):
            cfg = fake_endpoint.EndpointConfig(f"desk-{number}", "desk", "")
            desk = Desk(cfg, self.history)
            self.desks.append(desk)
            await self._serve_endpoint(desk)
        for number in range(instances):
            self.start_instance(f"gateway-{number}")
        with anyio.fail_after(15):
            while not all(self.is_ready(name) for name in self.instances):
                await anyio.sleep(0.05)

    async def stop(self) -> None:
        """End the instances before what they call ends."""
        while self._running:
            for found in self.instances.values():
                found.scope.cancel()
            await anyio.sleep(0.02)

    def is_ready(self, name: str) -> bool:
        """Tell whether an instance is ready for callers."""
        return not self.instances[name].parts.gateway.not_ready_reason()

    async def _start_engine(self, name: str) -> None:
        engine = Engine(
            fake_endpoint.EndpointConfig(
                name, "engines", "", model=MODEL, event_seconds=0.06
            )
        )
        await self._serve_endpoint(engine)
        self.engines.append(engine)

    async def _serve_endpoint(
        self, endpoint: fake_endpoint.FakeEndpoint
    ) -> None:
        client = store.create_client(
            await self.stack.enter_async_context(
                httpx.AsyncClient(trust_env=False)
            ),
            self.store_url,
            calls_per_second=1000,
        )
        app: typing.Any = fake_endpoint.create_app(endpoint, client)
        if isinstance(endpoint, Engine):
            app = self._record(endpoint, app)
        url = await self.stack.enter_async_context(loopback.serve(app))
        endpoint.cfg = dataclasses.replace(
            endpoint.cfg, address=url.removeprefix("http://")
        )

    def _record(
        self, engine: Engine, app: applications.Starlette
    ) -> typing.Any:
        """Note orders and starts as they reach an engine."""

        async def recorded(
            scope: typing.Any, receive: typing.Any, send: typing.Any
        ) -> None:
            if scope["type"] == "http" and scope["method"] == "POST":
                receive = await self._note(engine, scope, receive)
                send = self._note_end(scope, send)
            await app(scope, receive, send)

        return recorded

    def _note_end(self, scope: typing.Any, send: typing.Any) -> typing.Any:
        item = requests.Request(scope).headers.get("x-request-id", "")

        async def noted(message: typing.Any) -> None:
            is_body = message["type"] == "http.response.body"
            if is_body and not message.get("more_body"):
                ends = self.history.text_ends
                ends.setdefault(item, time.monotonic())
            await send(message)

        return noted

    async def _note(
        self, engine: Engine, scope: typing.Any, receive: typing.Any
    ) -> typing.Any:
        message = await receive()
        now = time.monotonic()
        if scope["path"] == "/-/order":
            body = store.msgspec.json.decode(message["body"])
            self.history.orders.append(
                batch_checks.WeightOrder(
                    engine.cfg.id, body["holder"], body["fencingToken"], now
                )
            )
        elif not engine.is_loading:
            item = requests.Request(scope).headers["x-request-id"]
            self.history.starts.append(batch_checks.Start(item, now))
        rest = [message]

        async def again() -> typing.Any:
            return rest.pop() if rest else await receive()

        return again

    def start_instance(self, name: str) -> None:
        """Start a process of an instance."""
        cfg = gateway_settings.GatewaySettings(
            instance=name,
            zone="zone-a" if int(name[-1]) % 2 else "zone-b",
            store_address=self.store_url.removeprefix("http://"),
            store_calls_per_second=1000,
        )
        self._tasks.start_soon(self._run_instance, cfg)

    async def _run_instance(
        self, cfg: gateway_settings.GatewaySettings
    ) -> None:
        self._running += 1
        try:
            await self._serve_instance(cfg)
        finally:
            self._running -= 1

    async def _serve_instance(
        self, cfg: gateway_settings.GatewaySettings
    ) -> None:
        app = applications.Starlette()
        async with loopback.serve(app) as url:
            address = url.removeprefix("http://")
            cfg = dataclasses.replace(cfg, peer_address=address)
            found = Instance(gateway_components.create_components(cfg))
            # Calls that a killed process has sent may still take effect.
            self.stack.push_async_callback(found.parts.client.aclose)
            app.router.routes.extend(
                gateway_process.create_peer_app(found.parts).routes
            )
            self.instances[cfg.instance] = found
            try:
                with found.scope:
                    async with anyio.create_task_group() as tasks:
                        for loop in found.parts.background_loops:
                            tasks.start_soon(loop)
                        tasks.start_soon(
                            gateway_process.expire_endpoints, found.parts.view
                        )
            except Exception as exc:
                self.history.errors.append(f"{cfg.instance} ended: {exc!r}")

    def any_instance(self) -> Instance:
        """Return a random instance that runs."""
        return self.rng.choice(list(self.instances.values()))

    def name_version(self) -> None:
        """Name the next version of the weights."""
        self.newest += 1
        value = {"model": MODEL, "version": self.newest}
        key = f"{config_wire.OPERATOR_PREFIX}version/{MODEL}"
        self.store.write(key, store.msgspec.json.encode(value))


Fault: typing.TypeAlias = abc.Callable[[World], abc.Awaitable[None]]
FAULTS: typing.Final[dict[str, Fault]] = {}


def _fault(name: str) -> abc.Callable[[Fault], Fault]:
    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


@_fault("kill")
async def _kill(world: World) -> None:
    name = world.rng.choice(list(world.instances))
    world.instances.pop(name).scope.cancel()
    await anyio.sleep(world.rng.uniform(0.1, 0.8))
    world.start_instance(name)


@_fault("cut")
async def _cut(world: World) -> None:
    path = world.any_instance().path
    path.cut = True
    await anyio.sleep(world.rng.uniform(0.5, 4.0))
    path.cut = False


@_fault("store_down")
async def _store_down(world: World) -> None:
    world.store.faults.down = True
    await anyio.sleep(world.rng.uniform(0.2, 1.5))
    world.store.faults.down = False


@_fault("lost_answers")
async def _lose_answers(world: World) -> None:
    world.store.faults.lose_answers += world.rng.randint(1, 6)


@_fault("lapsed_leases")
async def _lapse(world: World) -> None:
    for lease in list(world.store.leases):
        world.store.revoke(lease)


@_fault("flapping")
async def _flap(world: World) -> None:
    """Let one instance look lost again and again while it runs."""
    key = presence.PREFIX + world.rng.choice(list(world.instances))
    for _ in range(4):
        entry = world.store.entries.get(key)
        if entry is not None:
            world.store.revoke(entry.lease)
        await anyio.sleep(0.4)


@_fault("history")
async def _forget(world: World) -> None:
    world.store.compact_history()


@_fault("scores_fail")
async def _fail_scores(world: World) -> None:
    world.rng.choice(world.desks).failures_left += world.rng.randint(1, 6)


@_fault("desk_restart")
async def _restart_desk(world: World) -> None:
    """Refuse scoring calls as not run for a while."""
    desk = world.rng.choice(world.desks)
    desk.is_loading = True
    await anyio.sleep(world.rng.uniform(0.2, 1.5))
    desk.is_loading = False


@_fault("engine_restart")
async def _restart_engine(world: World) -> None:
    engine = world.rng.choice(world.engines)
    engine.born += 1
    engine.orders_accepted = 0
    engine.is_loading = False
