"""Fake of the platform's lagging list of instances and endpoints."""

import time
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.standins import faults as faults_lib


class Platform:
    """Keep registrations; readers see them after the lag."""

    def __init__(self, lag_seconds: float = 0.0) -> None:
        """Start with an empty list."""
        self.lag_seconds = lag_seconds
        self.faults = faults_lib.Faults()
        self._changes: list[tuple[float, str, dict[str, typing.Any]]] = []

    def register(self, item_id: str, item: dict[str, typing.Any]) -> None:
        """Add or replace one registration."""
        self._changes.append((time.monotonic(), item_id, item))

    def visible(self) -> list[dict[str, typing.Any]]:
        """Return the list as it was before the lag."""
        horizon = time.monotonic() - self.lag_seconds
        items: dict[str, dict[str, typing.Any]] = {}
        for changed_at, item_id, item in self._changes:
            if changed_at <= horizon:
                items[item_id] = {"id": item_id, **item}
        return [items[key] for key in sorted(items)]


def create_app(platform: Platform) -> applications.Starlette:
    """Return the HTTP interface of the fake."""

    async def listing(_: requests.Request) -> responses.Response:
        refused = await faults_lib.apply_before(platform.faults)
        if refused is not None:
            return refused
        return responses.JSONResponse({"instances": platform.visible()})

    async def register(req: requests.Request) -> responses.Response:
        refused = await faults_lib.apply_before(platform.faults)
        if refused is not None:
            return refused
        platform.register(req.path_params["id"], await req.json())
        return responses.JSONResponse({})

    return applications.Starlette(
        routes=[
            routing.Route("/v1/instances", listing),
            routing.Route("/v1/instances/{id}", register, methods=["PUT"]),
            faults_lib.create_route(platform.faults),
        ]
    )
