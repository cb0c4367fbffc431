"""Stand-in for the platform's control API, which accepts usage reports.

It follows the platform's published protocol and records what it accepted.
"""

import dataclasses
import enum
import json
import typing

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing


class Fault(enum.Enum):
    """Enumerate how a call may fail."""

    TOO_MANY = "too_many"
    DOWN = "down"
    # The call takes effect, but its response doesn't arrive in time.
    LOST_RESPONSE = "lost_response"
    # The call takes effect, and its response arrives late.
    SLOW = "slow"


# Longer than callers wait for a response.
_LOST_RESPONSE_SECONDS: typing.Final = 3.0
# Longer than endpoints take to accept a weight order.
_SLOW_SECONDS: typing.Final = 1.2
_FAULT_STATUSES: typing.Final = {Fault.TOO_MANY: 429, Fault.DOWN: 503}


@dataclasses.dataclass(frozen=True)
class Call:
    """Record a call that took effect."""

    path: str
    holder: str
    fencing_number: int
    body: dict[str, typing.Any]


class FakeControl:
    """Hold the accepted calls, and the faults of the next ones."""

    def __init__(self) -> None:
        """Start without calls and faults."""
        self.calls: list[Call] = []
        # Every call that arrived, with or without effect.
        self.arrived_count = 0
        self.faults: list[Fault] = []

    def reports(self) -> dict[int, list[dict[str, int]]]:
        """Return the different counts accepted for each window."""
        found: dict[int, list[dict[str, int]]] = {}
        for call in self.calls:
            if call.path == "/usage":
                counts = found.setdefault(call.body["window"], [])
                if call.body["counts"] not in counts:
                    counts.append(call.body["counts"])
        return found


def create_app(control: FakeControl) -> applications.Starlette:
    """Return the HTTP interface of the control API."""

    async def accept(req: requests.Request) -> responses.Response:
        control.arrived_count += 1
        fault = control.faults.pop(0) if control.faults else None
        if fault in _FAULT_STATUSES:
            return responses.Response(status_code=_FAULT_STATUSES[fault])
        control.calls.append(
            Call(
                req.url.path,
                req.headers["x-duty-holder"],
                int(req.headers["x-fencing-token"]),
                json.loads(await req.body()),
            )
        )
        if fault is Fault.LOST_RESPONSE:
            await anyio.sleep(_LOST_RESPONSE_SECONDS)
        if fault is Fault.SLOW:
            await anyio.sleep(_SLOW_SECONDS)
        return responses.Response(status_code=200)

    async def list_reports(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            [dataclasses.asdict(call) for call in control.calls]
        )

    return applications.Starlette(
        routes=[
            *(
                routing.Route(path, accept, methods=["POST"])
                for path in ("/usage", "/scale")
            ),
            routing.Route("/calls", list_reports),
        ]
    )
