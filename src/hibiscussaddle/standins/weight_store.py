"""Fake weight store: newest versions and rate-limited downloads."""

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.standins import faults as faults_lib


class WeightStore:
    """Keep the newest version of each model."""

    def __init__(self, downloads_per_second: float = 100.0) -> None:
        """Start without models."""
        self.versions: dict[str, int] = {}
        self.faults = faults_lib.Faults()
        self._interval = 1.0 / downloads_per_second
        self._next_slot = 0.0

    async def download(self) -> None:
        """Wait for the next download slot."""
        now = anyio.current_time()
        slot = max(now, self._next_slot)
        self._next_slot = slot + self._interval
        await anyio.sleep(slot - now)


def create_app(weights: WeightStore) -> applications.Starlette:
    """Return the HTTP interface of the fake."""

    async def newest(req: requests.Request) -> responses.Response:
        refused = await faults_lib.apply_before(weights.faults)
        if refused is not None:
            return refused
        version = weights.versions.get(req.path_params["model"], 0)
        return responses.JSONResponse({"version": version})

    async def publish(req: requests.Request) -> responses.Response:
        model = req.path_params["model"]
        version = weights.versions.get(model, 0) + 1
        weights.versions[model] = version
        return responses.JSONResponse({"version": version})

    async def blob(req: requests.Request) -> responses.Response:
        refused = await faults_lib.apply_before(weights.faults)
        if refused is not None:
            return refused
        await weights.download()
        return responses.Response(b"weights")

    return applications.Starlette(
        routes=[
            routing.Route("/v1/models/{model}", newest),
            routing.Route("/v1/models/{model}", publish, methods=["POST"]),
            routing.Route("/v1/models/{model}/{version}/blob", blob),
            faults_lib.create_route(weights.faults),
        ]
    )
