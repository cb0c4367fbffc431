"""Fault switches shared by the fakes, set over HTTP or in process."""

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
    """Hold the switches of one fake."""

    down: bool = False
    delay_seconds: float = 0.0
    # Number of coming writes that take effect but lose their answer.
    lose_answers: int = 0
    # Number of coming calls that fail before any effect.
    fail_calls: int = 0

    def update(self, values: abc.Mapping[str, typing.Any]) -> None:
        """Set the named switches."""
        for name, value in values.items():
            if not hasattr(self, name):
                raise ValueError(f"fault {name!r} does not exist")
            setattr(self, name, value)


def create_route(faults: Faults) -> routing.Route:
    """Return POST /faults, which sets the switches."""

    async def set_faults(req: requests.Request) -> responses.Response:
        faults.update(await req.json())
        return responses.JSONResponse(dataclasses.asdict(faults))

    return routing.Route("/faults", set_faults, methods=["POST"])


class AnswerLost(Exception):
    """Abort the connection after the effect, so that no answer arrives."""


async def apply_before(faults: Faults) -> responses.Response | None:
    """Delay or refuse a call before it has any effect."""
    if faults.delay_seconds > 0:
        await anyio.sleep(faults.delay_seconds)
    if faults.down:
        return responses.JSONResponse({"error": "down"}, status_code=503)
    if faults.fail_calls > 0:
        faults.fail_calls -= 1
        return responses.JSONResponse({"error": "failed"}, status_code=503)
    return None


async def apply_after(faults: Faults) -> None:
    """Lose the answer of a call whose effect is done."""
    if faults.lose_answers > 0:
        faults.lose_answers -= 1
        raise AnswerLost
