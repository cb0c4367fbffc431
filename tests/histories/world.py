"""Several entry instances and their stand-ins in one process."""

from collections import abc
import contextlib
import dataclasses
import json
import random
import socket
import time
import typing

import anyio
import anyio.abc
import httpx

import builders
from hibiscussaddle import endpoints
from hibiscussaddle import entry
from hibiscussaddle.platform.standins import store
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import settings
from hibiscussaddle.standins import engine
from hibiscussaddle.standins import faults
from hibiscussaddle.standins import platform
from hibiscussaddle.standins import scorer
from hibiscussaddle.standins import service
from histories import history as history_lib
import loopback
import ports as ports_lib

INSTANCE_COUNT: typing.Final = 3
ENGINE_COUNT: typing.Final = 3
SERVICE_COUNT: typing.Final = 2
START_TIMEOUT_SECONDS: typing.Final = 5.0


class HistoryEngine(engine.Engine):
    """Write the request's name and the weight version into each token."""

    def token_text(self, prompt: str, number: int) -> str:
        """Return the name of the request, the number and the version."""
        name = json.loads(prompt)[0]["content"]
        return f"{name}#{number}@{self.version} "


@dataclasses.dataclass
class Instance:
    """Hold one entry instance through its restarts."""

    cfg: settings.Settings
    scope: anyio.CancelScope | None = None
    runtime: runtime_lib.Runtime | None = None
    is_stopping: bool = False

    @property
    def url(self) -> str:
        """Return the base URL of the caller port."""
        return f"http://127.0.0.1:{self.cfg.caller_port}"


class World:
    """Hold the instances, the stand-ins and the history of one run."""

    def __init__(self, seed: int, staleness_bound: int = 1) -> None:
        """Create the stand-ins; enter() starts them."""
        self.rng = random.Random(seed)
        self.staleness_bound = staleness_bound
        self.published_version = 1
        self.history = history_lib.History()
        self.is_closing = False
        # Set once every instance was ready.
        self.is_started = False
        # Set once the trainers have every sample.
        self.are_trainers_done = False
        self.engines = [
            HistoryEngine(
                engine.EngineConfig(
                    id=f"engine-{number}",
                    slots=16,
                    token_seconds=0.001,
                    swap_seconds=0.02,
                    load_lag_seconds=0.05,
                    seed=seed,
                ),
                1,
            )
            for number in range(ENGINE_COUNT)
        ]
        self.services = [
            service.Service("booking") for _ in range(SERVICE_COUNT)
        ]
        self.store = store.Store()
        self.platform = platform.Platform()
        self.scorer = faults.Faults()
        self.instances: list[Instance] = []
        self.client: httpx.AsyncClient
        self.tasks: anyio.abc.TaskGroup

    def urls(self) -> list[str]:
        """Return the URLs of every instance, running or not."""
        return [instance.url for instance in self.instances]

    def running_runtimes(self) -> list[runtime_lib.Runtime]:
        """Return the components of the instances that run."""
        return [
            instance.runtime
            for instance in self.instances
            if instance.runtime is not None
        ]

    def ground_truth(self) -> history_lib.GroundTruth:
        """Return the work that the stand-ins really did."""
        return history_lib.GroundTruth(
            generated=frozenset(
                json.loads(gen.prompt)[0]["content"]
                for fake_engine in self.engines
                for gen in fake_engine.record.values()
                if gen.text
            ),
            executions=[
                (run.key, run.body)
                for fake_service in self.services
                for run in fake_service.executions
            ],
        )

    @contextlib.asynccontextmanager
    async def enter(self) -> abc.AsyncIterator[None]:
        """Run the stand-ins and the instances."""
        async with contextlib.AsyncExitStack() as stack:
            store_url = await self._serve(stack, store.create_app(self.store))
            platform_url = await self._serve(
                stack, platform.create_app(self.platform)
            )
            scorer_url = await self._serve(
                stack, scorer.create_app(self.scorer)
            )
            await self._register_endpoints(stack)
            self._put_contract()
            ports = ports_lib.free_ports(3 * INSTANCE_COUNT)
            peers = tuple(f"127.0.0.1:{port}" for port in ports[2::3])
            for number in range(INSTANCE_COUNT):
                cfg = builders.cfg(
                    instance=f"entry-{number}",
                    caller_port=ports[3 * number],
                    operator_port=ports[3 * number + 1],
                    peer_port=ports[3 * number + 2],
                    peers=peers,
                    store_url=store_url,
                    platform_url=platform_url,
                    scorer_url=scorer_url,
                    store_calls_per_second=100.0,
                )
                self.instances.append(Instance(cfg))
            headers = {"authorization": f"Bearer {builders.CUSTOMER_KEY}"}
            self.client = await stack.enter_async_context(
                httpx.AsyncClient(
                    headers=headers, trust_env=False, timeout=10.0
                )
            )
            async with anyio.create_task_group() as self.tasks:
                for instance in self.instances:
                    self.start(instance)
                await self._wait_until_ready()
                self.is_started = True
                yield
                self.is_closing = True
                self.tasks.cancel_scope.cancel()

    async def _serve(
        self, stack: contextlib.AsyncExitStack, app: typing.Any
    ) -> str:
        return await stack.enter_async_context(loopback.serve(app))

    async def _register_endpoints(
        self, stack: contextlib.AsyncExitStack
    ) -> None:
        for fake_engine in self.engines:
            url = await self._serve(stack, engine.create_app(fake_engine))
            self._register(fake_engine.cfg.id, "engine", url, models=["base"])
        for number, fake_service in enumerate(self.services):
            url = await self._serve(stack, service.create_app(fake_service))
            self._register(f"booking-{number}", "service", url)

    def _register(
        self, name: str, kind: str, url: str, **more: object
    ) -> None:
        entry_value = {
            "kind": kind,
            "zone": "zone-a",
            "address": url,
            "incarnation": 1,
            "state": endpoints.EndpointState.LIVE.value,
            "service": "booking" if kind == "service" else "",
            "slots": 16,
            **more,
        }
        self.platform.register(name, entry_value)

    def _put_contract(self) -> None:
        contract = builders.contract(staleness_versions=self.staleness_bound)
        document = documents.Document(contract=contract.to_dict(), revision=1)
        self.store.put("contract/cereza", documents.encode(document), 0, None)

    def start(self, instance: Instance) -> None:
        """Start an instance, again after a crash or a stop."""
        if not self.is_closing and instance.scope is None:
            instance.scope = anyio.CancelScope()
            self.tasks.start_soon(self._run, instance, instance.scope)

    async def _run(self, instance: Instance, scope: anyio.CancelScope) -> None:
        try:
            with scope:
                await _wait_for_free_ports(instance.cfg)
                instance.runtime = entry.create_runtime(instance.cfg)
                await entry.run_until_stopped(instance.runtime)
        except Exception as exc:
            # The HTTP server raises various exceptions when it is cancelled.
            if not scope.cancel_called and not self.is_closing:
                self.history.errors.append(f"{instance.cfg.instance}: {exc!r}")
        finally:
            instance.runtime = None
            instance.scope = None

    async def _wait_until_ready(self) -> None:
        until = time.monotonic() + START_TIMEOUT_SECONDS
        for instance in self.instances:
            while not await self._is_ready(instance):
                if time.monotonic() > until:
                    raise RuntimeError(f"{instance.cfg.instance} is not ready")
                await anyio.sleep(0.01)

    async def _is_ready(self, instance: Instance) -> bool:
        runtime = instance.runtime
        if runtime is None or not runtime.directory.all():
            return False
        try:
            resp = await self.client.get(instance.url + "/readyz")
        except httpx.HTTPError:
            return False
        return resp.status_code == 200


async def _wait_for_free_ports(cfg: settings.Settings) -> None:
    """Wait until the ports of the previous incarnation are closed.

    The exit of a process closes them; here, in one process, cancelled
    servers close them a little later.
    """
    for port in (cfg.caller_port, cfg.operator_port, cfg.peer_port):
        while True:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((cfg.host, port))
                    break
                except OSError:
                    await anyio.sleep(0.01)
