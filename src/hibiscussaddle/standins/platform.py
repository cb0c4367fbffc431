"""Fake of the platform's delayed list of instances and endpoints."""

import time
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.standins import faults as faults_lib


class Platform:
    """Store registrations, which readers see after the lag."""

    def __init__(self, lag_seconds: float = 0.0) -> None:
        """Create a platform without registrations."""
        self.lag_seconds = lag_seconds
        self.faults = faults_lib.Faults()
        self._changes: list[tuple[float, str, dict[str, typing.Any]]] = []

    def register(self, item_id: str, item: dict[str, typing.Any]) -> None:
        """Add or replace one registration."""
        self._changes.append((time.monotonic(), item_id, item))

    def visible_items(self) -> list[dict[str, typing.Any]]:
        """Return the registrations as of `lag_seconds` ago."""
        cutoff = time.monotonic() - self.lag_seconds
        items: dict[str, dict[str, typing.Any]] = {}
        for changed_at, item_id, item in self._changes:
            if changed_at <= cutoff:
                items[item_id] = {"id": item_id, **item}
        return [items[key] for key in sorted(items)]


def create_app(platform: Platform) -> applications.Starlette:
    """Return the HTTP application of the fake platform."""

    async def list_instances(_: requests.Request) -> responses.Response:
        error_response = await faults_lib.apply_request_faults(platform.faults)
        if error_response is not None:
            return error_response
        return responses.JSONResponse({"instances": platform.visible_items()})

    async def register(req: requests.Request) -> responses.Response:
        error_response = await faults_lib.apply_request_faults(platform.faults)
        if error_response is not None:
            return error_response
        platform.register(req.path_params["id"], await req.json())
        return responses.JSONResponse({})

    return applications.Starlette(
        routes=[
            routing.Route("/v1/instances", list_instances),
            routing.Route("/v1/instances/{id}", register, methods=["PUT"]),
            faults_lib.create_route(platform.faults),
        ]
    )
