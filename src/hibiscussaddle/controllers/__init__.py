"""Background loops, each of which reconciles one kind of state."""

from collections import abc
import typing

from hibiscussaddle import runtime as runtime_lib

Loop: typing.TypeAlias = abc.Callable[
    [runtime_lib.Runtime], abc.Coroutine[typing.Any, typing.Any, None]
]

REGISTRY: typing.Final[dict[str, Loop]] = {}


def controller(name: str) -> abc.Callable[[Loop], Loop]:
    """Register the decorated function as the loop of a controller."""

    def register(loop: Loop) -> Loop:
        REGISTRY[name] = loop
        return loop

    return register
