"""Filters that every request passes, in order."""

from collections import abc
import typing

from hibiscussaddle import exchange
from hibiscussaddle import runtime as runtime_lib

Filter: typing.TypeAlias = abc.Callable[
    [exchange.Request, exchange.Handler], abc.Awaitable[exchange.Outcome]
]
Factory: typing.TypeAlias = abc.Callable[[runtime_lib.Runtime], Filter]

# The order in which a request passes the filters.
ORDER: typing.Final = ("repeats", "lifecycle", "authenticate", "admission")

_FACTORIES: dict[str, Factory] = {}


def request_filter(name: str) -> abc.Callable[[Factory], Factory]:
    """Register the factory of a filter."""

    def register(factory: Factory) -> Factory:
        _FACTORIES[name] = factory
        return factory

    return register


def create_chain(
    runtime: runtime_lib.Runtime, handler: exchange.Handler
) -> exchange.Handler:
    """Return a handler that passes every filter first."""
    for name in reversed(ORDER):
        handler = _link(_FACTORIES[name](runtime), handler)
    return handler


def _link(step: Filter, following: exchange.Handler) -> exchange.Handler:
    async def call(req: exchange.Request) -> exchange.Outcome:
        return await step(req, following)

    return call
