"""Run one stand-in as a process."""

from collections import abc
import time
import typing

import anyio
import httpx
from starlette import applications

from hibiscussaddle.platform.standins import endpoint
from hibiscussaddle.platform.standins import store
from hibiscussaddle import serving
from hibiscussaddle.standins import engine
from hibiscussaddle.standins import faults
from hibiscussaddle.standins import platform
from hibiscussaddle.standins import scorer
from hibiscussaddle.standins import service
from hibiscussaddle.standins import weight_store

Options: typing.TypeAlias = abc.Mapping[str, typing.Any]
Factory: typing.TypeAlias = abc.Callable[[Options], applications.Starlette]

FACTORIES: typing.Final[dict[str, Factory]] = {}


def register_factory(name: str) -> abc.Callable[[Factory], Factory]:
    """Register the factory of a stand-in under its command-line name."""

    def register(factory: Factory) -> Factory:
        FACTORIES[name] = factory
        return factory

    return register


@register_factory("engine")
def create_engine(options: Options) -> applications.Starlette:
    """Return the application of a fake model engine."""
    cfg = engine.EngineConfig(
        id=str(options["id"]),
        model=str(options.get("model", "base")),
        slots=int(options.get("slots", 8)),
        token_seconds=float(options.get("token_seconds", 0.002)),
        tokens_per_chunk=int(options.get("tokens_per_chunk", 4)),
        keep_record=bool(int(options.get("keep_record", 1))),
        seed=int(options.get("seed", 0)),
    )
    return engine.create_app(
        engine.Engine(cfg, int(options.get("version", 1)))
    )


@register_factory("service")
def create_service(options: Options) -> applications.Starlette:
    """Return the application of a fake HTTP service."""
    return service.create_app(service.Service(str(options["service"])))


@register_factory("store")
def create_store(_: Options) -> applications.Starlette:
    """Return the application of a fake key-value store."""
    return store.create_app(store.Store())


@register_factory("platform")
def create_platform(options: Options) -> applications.Starlette:
    """Return the application of a fake platform."""
    lag_seconds = float(options.get("lag_seconds", 0.0))
    return platform.create_app(platform.Platform(lag_seconds))


@register_factory("weight_store")
def create_weight_store(_: Options) -> applications.Starlette:
    """Return the application of a fake weight store."""
    return weight_store.create_app(weight_store.WeightStore())


@register_factory("scorer")
def create_scorer(_: Options) -> applications.Starlette:
    """Return the application of a fake scoring service."""
    return scorer.create_app(faults.Faults())


@register_factory("hosted")
def create_endpoint(options: Options) -> applications.Starlette:
    """Return the application of a fake hosted endpoint."""
    cfg = endpoint.EndpointConfig(
        id=str(options["id"]),
        service=str(options["service"]),
        address=f"127.0.0.1:{options['own_port']}",
        model=str(options.get("model", "")),
        slots=int(options.get("slots", 4)),
        events=int(options.get("events", 10)),
        event_seconds=float(options.get("event_seconds", 0.01)),
        rate_limit=float(options.get("rate_limit", -1.0)),
        response_seconds=float(options.get("response_seconds", 0.0)),
        echoed_bytes=int(options.get("echoed_bytes", 1 << 30)),
        first_event_seconds=float(options.get("first_event_seconds", 0.0)),
        software_version=str(options.get("software_version", "v1")),
        texts_name_version=bool(options.get("texts_name_version", False)),
    )
    return endpoint.create_registered_app(cfg, str(options["store_url"]))


async def run(name: str, host: str, port: int, options: Options) -> None:
    """Serve a stand-in and register it with the platform, if one is set."""
    app = FACTORIES[name](options)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serving.serve_forever, app, host, port)
        if options.get("platform_url"):
            await _register(name, f"http://{host}:{port}", options)


async def _register(name: str, address: str, options: Options) -> None:
    item = {
        "kind": name,
        "zone": options.get("zone", "zone-a"),
        "address": address,
        "incarnation": time.time_ns() // 1_000_000,
        "state": "live",
        "models": [options.get("model", "base")] if name == "engine" else [],
        "service": options.get("service", ""),
        "slots": int(options.get("slots", 8)),
    }
    url = f"{options['platform_url']}/v1/instances/{options['id']}"
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            try:
                resp = await client.put(url, json=item)
                resp.raise_for_status()
                return
            except httpx.HTTPError:
                await anyio.sleep(0.2)
