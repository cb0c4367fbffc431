"""Filter chain that every request passes."""

from collections import abc
import typing

from hibiscussaddle import exchange
from hibiscussaddle import runtime as runtime_lib

Filter: typing.TypeAlias = abc.Callable[
    [exchange.Request, exchange.Handler], abc.Awaitable[exchange.Outcome]
]
FilterFactory: typing.TypeAlias = abc.Callable[[runtime_lib.Runtime], Filter]

# The order in which a request passes the filters.
FILTER_ORDER: typing.Final = (
    "repeats",
    "lifecycle",
    "authenticate",
    "admission",
)

_FACTORIES: dict[str, FilterFactory] = {}


def request_filter(name: str) -> abc.Callable[[FilterFactory], FilterFactory]:
    """Register the factory of a filter."""

    def register(factory: FilterFactory) -> FilterFactory:
        _FACTORIES[name] = factory
        return factory

    return register


def create_chain(
    runtime: runtime_lib.Runtime, handler: exchange.Handler
) -> exchange.Handler:
    """Return a handler that applies the filters in order."""
    for name in reversed(FILTER_ORDER):
        handler = _apply_filter(_FACTORIES[name](runtime), handler)
    return handler


def _apply_filter(
    current: Filter, next_handler: exchange.Handler
) -> exchange.Handler:
    async def call(req: exchange.Request) -> exchange.Outcome:
        return await current(req, next_handler)

    return call
