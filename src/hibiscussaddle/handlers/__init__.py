"""Handlers that run after the filters, one for each kind of request."""

from collections import abc
import typing

from hibiscussaddle import exchange
from hibiscussaddle import runtime as runtime_lib

HandlerFactory: typing.TypeAlias = abc.Callable[
    [runtime_lib.Runtime], exchange.Handler
]

_FACTORIES: dict[exchange.Kind, HandlerFactory] = {}


def handler(
    kind: exchange.Kind,
) -> abc.Callable[[HandlerFactory], HandlerFactory]:
    """Return a decorator that registers the handler factory of a kind."""

    def register(factory: HandlerFactory) -> HandlerFactory:
        _FACTORIES[kind] = factory
        return factory

    return register


def create_dispatch_handler(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return a handler that dispatches by the kind of the request."""
    handlers_by_kind = {
        kind: make(runtime) for kind, make in _FACTORIES.items()
    }

    async def dispatch(req: exchange.Request) -> exchange.Outcome:
        return await handlers_by_kind[req.kind](req)

    return dispatch
