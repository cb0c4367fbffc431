"""Fake plain service: bookings or orders, counted by ticket."""

import dataclasses
import itertools
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from hibiscussaddle.adapters import services
from hibiscussaddle.standins import faults as faults_lib

METHODS: typing.Final = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


@dataclasses.dataclass(frozen=True)
class Execution:
    """Record one call that truly ran."""

    number: int
    method: str
    path: str
    key: str
    body: str
    deadline: str


class Service:
    """Keep the record of executed calls."""

    def __init__(self, name: str) -> None:
        """Start with an empty record."""
        self.name = name
        self.executions: list[Execution] = []
        self.faults = faults_lib.Faults()
        self._numbers = itertools.count(1)

    def execute(self, req: requests.Request, body: str) -> int:
        """Run one call; it is never deduplicated here."""
        number = next(self._numbers)
        target = req.url.path
        if req.url.query:
            target += f"?{req.url.query}"
        self.executions.append(
            Execution(
                number,
                req.method,
                target,
                req.headers.get("idempotency-key", ""),
                body,
                req.headers.get("x-deadline-seconds", ""),
            )
        )
        return number


class _CutResponse(responses.Response):
    """End the connection before the answer is whole."""

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Announce a longer body than is sent."""
        headers = [(b"content-length", b"100")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send(
            {"type": "http.response.body", "body": b"{", "more_body": True}
        )


def create_app(service: Service) -> applications.Starlette:
    """Return the HTTP interface of the fake."""

    async def call(req: requests.Request) -> responses.Response:
        refused = await faults_lib.apply_before(service.faults)
        if refused is not None:
            refused.headers[services.NOT_STARTED_HEADER] = "1"
            return refused
        body = (await req.body()).decode()
        number = service.execute(req, body)
        try:
            await faults_lib.apply_after(service.faults)
        except faults_lib.AnswerLost:
            return _CutResponse()
        return responses.JSONResponse(
            {"service": service.name, "number": number, "echo": body}
        )

    async def record(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            [dataclasses.asdict(item) for item in service.executions]
        )

    return applications.Starlette(
        routes=[
            routing.Route("/v1/record", record),
            faults_lib.create_route(service.faults),
            routing.Route("/{path:path}", call, methods=METHODS),
        ]
    )
