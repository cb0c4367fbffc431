"""Fake HTTP service that records every executed request."""

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
    """Record one executed request."""

    number: int
    method: str
    path: str
    key: str
    body: str
    deadline: str


class Service:
    """Record the executed requests of one service."""

    def __init__(self, name: str) -> None:
        """Create a service without executed requests."""
        self.name = name
        self.executions: list[Execution] = []
        self.faults = faults_lib.Faults()
        self._numbers = itertools.count(1)

    def execute(self, req: requests.Request, body: str) -> int:
        """Record a request and return its number, without deduplication."""
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


class _TruncatedResponse(responses.Response):
    """Close the connection before the response is complete."""

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send fewer bytes than the content length declares."""
        headers = [(b"content-length", b"100")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send(
            {"type": "http.response.body", "body": b"{", "more_body": True}
        )


def create_app(service: Service) -> applications.Starlette:
    """Return the HTTP application of the fake service."""

    async def call(req: requests.Request) -> responses.Response:
        error_response = await faults_lib.apply_request_faults(service.faults)
        if error_response is not None:
            error_response.headers[services.NOT_STARTED_HEADER] = "1"
            return error_response
        body = (await req.body()).decode()
        number = service.execute(req, body)
        try:
            await faults_lib.apply_response_faults(service.faults)
        except faults_lib.ResponseLostError:
            return _TruncatedResponse()
        return responses.JSONResponse(
            {"service": service.name, "number": number, "echo": body}
        )

    async def record(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            [dataclasses.asdict(execution) for execution in service.executions]
        )

    return applications.Starlette(
        routes=[
            routing.Route("/v1/record", record),
            faults_lib.create_route(service.faults),
            routing.Route("/{path:path}", call, methods=METHODS),
        ]
    )
