"""Handlers behind the filters, one for each kind of request."""

from collections import abc
import typing

from hibiscussaddle import exchange
from hibiscussaddle import runtime as runtime_lib

Factory: typing.TypeAlias = abc.Callable[
    [runtime_lib.Runtime], exchange.Handler
]

_FACTORIES: dict[exchange.Kind, Factory] = {}


def handler(kind: exchange.Kind) -> abc.Callable[[Factory], Factory]:
    """Register the factory of a handler."""

    def register(factory: Factory) -> Factory:
        _FACTORIES[kind] = factory
        return factory

    return register


def create_dispatch(runtime: runtime_lib.Runtime) -> exchange.Handler:
    """Return a handler that calls the one of the request's kind."""
    known = {kind: make(runtime) for kind, make in _FACTORIES.items()}

    async def dispatch(req: exchange.Request) -> exchange.Outcome:
        return await known[req.kind](req)

    return dispatch
