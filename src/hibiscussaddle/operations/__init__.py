"""Operations of the operator port, registered by method and path."""

from collections import abc
import typing

import result
from starlette import requests

from hibiscussaddle import codes
from hibiscussaddle import runtime as runtime_lib

Outcome: typing.TypeAlias = result.Result[dict[str, typing.Any], codes.Refusal]
Operation: typing.TypeAlias = abc.Callable[
    [runtime_lib.Runtime, requests.Request], abc.Awaitable[Outcome]
]

REGISTRY: typing.Final[list[tuple[str, str, Operation]]] = []


def operation(method: str, path: str) -> abc.Callable[[Operation], Operation]:
    """Register an operation under its method and path."""

    def register(call: Operation) -> Operation:
        REGISTRY.append((method, path, call))
        return call

    return register
