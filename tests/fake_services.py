"""Serve fake plain services over loopback behind a forwarder."""

from collections import abc
import contextlib
import random
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.adapters import connections
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import forward

import limit_builders
import loopback

Handler: typing.TypeAlias = abc.Callable[
    [requests.Request], abc.Awaitable[responses.Response]
]
# Recorded latency of every service but the first, so that the first is chosen.
_OTHER_LATENCY_SECONDS: typing.Final = 0.04


def endpoint(number: int, url: str) -> endpoints.Endpoint:
    """Return an endpoint of service 'desk'."""
    return endpoints.Endpoint(
        id=f"desk-{number}",
        kind=endpoints.EndpointKind.SERVICE,
        zone="zone-a",
        address=url,
        service="desk",
        slots=4,
    )


@contextlib.asynccontextmanager
async def serve(
    *handlers: Handler,
) -> abc.AsyncIterator[tuple[forward.Forwarder, view_lib.View]]:
    """Yield a forwarder in front of one fake service for each handler."""
    view = view_lib.create_view()
    balancer = balance.Balancer("zone-a", random.Random(1))
    async with contextlib.AsyncExitStack() as stack:
        for number, handler in enumerate(handlers):
            route = routing.Route("/{path:path}", handler, methods=["POST"])
            app = applications.Starlette(routes=[route])
            url = await stack.enter_async_context(loopback.serve(app))
            service_endpoint = endpoint(number, url)
            view.directory.put(service_endpoint)
            if number:
                balancer.record_success(
                    service_endpoint, _OTHER_LATENCY_SECONDS
                )
        client = connections.create_client()
        stack.push_async_callback(client.aclose)
        forwarder = forward.Forwarder(
            client, view, balancer, limit_builders.limiter()
        )
        yield forwarder, view
