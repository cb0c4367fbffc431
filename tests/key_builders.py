"""Build configurations and an instance whose callers need keys."""

from collections import abc
import contextlib
import json
import typing

import anyio
import httpx

from hibiscussaddle.adapters import store
from hibiscussaddle import gateway_components
from hibiscussaddle import gateway_settings
from hibiscussaddle.platform import ingress
from hibiscussaddle.platform.standins import endpoint as fake_endpoint
from hibiscussaddle.platform.standins import store as fake_store
from hibiscussaddle.routes import routing_config

import batch_builders
import fake_services
import loopback

HOST: typing.Final = "desk.example"
KEY: typing.Final = "key-of-registar"
OTHER_KEY: typing.Final = "key-of-portal"


def workspace(
    name: str, *keys: str, priority: int | None = None
) -> routing_config.Workspace:
    """Return a workspace with the given keys."""
    return routing_config.Workspace(name, frozenset(keys), priority)


def config(
    *workspaces: routing_config.Workspace, **changes: typing.Any
) -> routing_config.RoutingConfig:
    """Return routes of batches and orders; those of 'open' are public."""
    kind = routing_config.RouteKind.IDEMPOTENT
    desk = (routing_config.Split("desk", 1.0),)
    orders = batch_builders.route(
        name="orders", prefix="/orders/", kind=kind, splits=desk
    )
    rollouts = batch_builders.route(retention=60.0, results_due_after=5.0)
    values: dict[str, typing.Any] = {
        "version": 1,
        "routes": (
            orders,
            rollouts,
            open_route(orders),
            open_route(rollouts),
        ),
        "workspaces": workspaces
        or (
            workspace("registar", KEY, "second-key-of-registar"),
            workspace("portal", OTHER_KEY),
        ),
    }
    return routing_config.RoutingConfig(**{**values, **changes})


def open_route(route: routing_config.Route) -> routing_config.Route:
    """Return a route that is like another one, but public."""
    return batch_builders.route(
        name=f"open-{route.name}",
        prefix=f"/open{route.prefix}",
        kind=route.kind,
        splits=route.splits,
        retention=route.retention,
        results_due_after=route.results_due_after,
        is_public=True,
    )


class Instance:
    """Hold an instance, its endpoints and its callers' client."""

    def __init__(
        self,
        url: str,
        caller: httpx.AsyncClient,
        components: gateway_components.Components,
        endpoints: tuple[fake_endpoint.FakeEndpoint, ...],
    ) -> None:
        """Use components that are connected and served."""
        self.url = url
        self.caller = caller
        self.components = components
        self.endpoints = endpoints

    async def call(
        self,
        method: str,
        path: str,
        *authorization: str,
        content: bytes = b"",
        request_id: str = "r-1",
        **headers: str,
    ) -> httpx.Response:
        """Send a call with the given Authorization headers."""
        sent = [("host", HOST), ("x-request-id", request_id)]
        sent += [("authorization", value) for value in authorization]
        sent += [(n.replace("_", "-"), v) for n, v in headers.items()]
        return await self.caller.request(
            method, self.url + path, headers=sent, content=content
        )

    async def submit(
        self,
        batch_id: str,
        *authorization: str,
        prefix: str = "/rollouts/",
        **item: typing.Any,
    ) -> httpx.Response:
        """Submit a batch of one item, whose text needs a score."""
        item_id = f"{batch_id}-item"
        values = {
            "id": item_id,
            "path": "/rollouts/1",
            "body": "eA==",
            "group": "g",
            "scoringCall": {
                "id": f"score-{item_id}",
                "host": HOST,
                "path": "/orders/check",
                "body": "eA==",
            },
        }
        body = {"model": "base", "items": [{**values, **item}]}
        return await self.call(
            "POST",
            prefix + batch_id,
            *authorization,
            content=json.dumps(body).encode(),
            request_id=batch_id,
        )

    async def read(self, batch_id: str, *authorization: str) -> httpx.Response:
        """Read the results of a batch."""
        return await self.call(
            "GET", f"/-/lots/{batch_id}", *authorization, x_wait_ms="1000"
        )

    def received(self) -> list[tuple[tuple[bytes, bytes], ...]]:
        """Return the headers of all requests that reached an endpoint."""
        return [
            headers for fake in self.endpoints for headers in fake.received
        ]

    def workspaces(self) -> dict[str, list[str]]:
        """Return the workspaces of all requests at endpoints, by ID."""
        found: dict[str, list[str]] = {}
        for fake in self.endpoints:
            found.update(fake.workspaces())
        return found


@contextlib.asynccontextmanager
async def serve() -> abc.AsyncIterator[Instance]:
    """Yield an instance in front of an engine and a plain service."""
    async with contextlib.AsyncExitStack() as stack:
        app = fake_store.create_app(fake_store.Store())
        store_url = await stack.enter_async_context(loopback.serve(app))
        http = await stack.enter_async_context(
            httpx.AsyncClient(trust_env=False)
        )
        components = gateway_components.create_components(
            gateway_settings.GatewaySettings(
                instance="gateway-1",
                zone="zone-a",
                store_address=store_url.removeprefix("http://"),
                store_calls_per_second=1000.0,
            )
        )
        stack.push_async_callback(components.client.aclose)
        fakes: list[fake_endpoint.FakeEndpoint] = []
        for name, service, model in (
            ("desk-1", "desk", ""),
            ("engine-1", "engines", "base"),
        ):
            cfg = fake_endpoint.EndpointConfig(
                name, service, "127.0.0.1:1", model=model, event_seconds=0.0
            )
            fakes.append(fake_endpoint.FakeEndpoint(cfg))
            url = await stack.enter_async_context(
                loopback.serve(
                    fake_endpoint.create_app(
                        fakes[-1], store.create_client(http, store_url)
                    )
                )
            )
            found = fake_services.endpoint(1, url)
            if model:
                found = batch_builders.engine(name, address=url)
            components.view.directory.put(found)
        components.view.config = config()
        tasks = await stack.enter_async_context(anyio.create_task_group())
        tasks.start_soon(components.batch_owners.run)
        tasks.start_soon(components.waiting_items.run)
        await anyio.wait_all_tasks_blocked()
        url = await stack.enter_async_context(
            loopback.serve(ingress.Ingress(components.gateway))
        )
        yield Instance(url, http, components, tuple(fakes))
        tasks.cancel_scope.cancel()


def run_scenario(
    scenario: abc.Callable[[Instance], abc.Awaitable[None]],
) -> None:
    """Run a test with an instance that has the default configuration."""

    async def main() -> None:
        async with serve() as instance:
            with anyio.fail_after(20):
                await scenario(instance)

    anyio.run(main)
