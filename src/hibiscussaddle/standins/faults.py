"""Fault injection for the fakes, set over HTTP or in process."""

from collections import abc
import dataclasses
import typing

import anyio
from starlette import requests
from starlette import responses
from starlette import routing

ASGIApp = typing.Callable[..., abc.Awaitable[None]]


@dataclasses.dataclass
class Faults:
    """Configure the faults injected into one fake."""

    down: bool = False
    delay_seconds: float = 0.0
    # Number of next calls that take effect but lose their response.
    lose_answers: int = 0
    # Number of next calls that fail before any effect.
    fail_calls: int = 0

    def update(self, values: abc.Mapping[str, typing.Any]) -> None:
        """Set the named faults."""
        for name, value in values.items():
            if not hasattr(self, name):
                raise ValueError(f"unknown fault {name!r}")
            setattr(self, name, value)


def create_route(faults: Faults) -> routing.Route:
    """Return the route POST /faults, which sets faults."""

    async def set_faults(req: requests.Request) -> responses.Response:
        faults.update(await req.json())
        return responses.JSONResponse(dataclasses.asdict(faults))

    return routing.Route("/faults", set_faults, methods=["POST"])


class ResponseLostError(Exception):
    """Abort the connection after the call took effect."""


async def apply_request_faults(faults: Faults) -> responses.Response | None:
    """Delay a call; return an error response if it must fail."""
    if faults.delay_seconds > 0:
        await anyio.sleep(faults.delay_seconds)
    if faults.down:
        return responses.JSONResponse({"error": "down"}, status_code=503)
    if faults.fail_calls > 0:
        faults.fail_calls -= 1
        return responses.JSONResponse({"error": "failed"}, status_code=503)
    return None


async def apply_response_faults(faults: Faults) -> None:
    """Raise an error if the response of an executed call must be lost."""
    if faults.lose_answers > 0:
        faults.lose_answers -= 1
        raise ResponseLostError
