"""Fake weight store with newest versions and rate-limited downloads."""

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.standins import faults as faults_lib


class WeightStore:
    """Keep the newest version of each model."""

    def __init__(self, downloads_per_second: float = 100.0) -> None:
        """Create a store without models."""
        self.versions: dict[str, int] = {}
        self.faults = faults_lib.Faults()
        self._interval_seconds = 1.0 / downloads_per_second
        self._next_download_at = 0.0

    async def wait_for_download(self) -> None:
        """Wait until the rate limit allows the next download."""
        now = anyio.current_time()
        download_at = max(now, self._next_download_at)
        self._next_download_at = download_at + self._interval_seconds
        await anyio.sleep(download_at - now)


def create_app(weights: WeightStore) -> applications.Starlette:
    """Return the HTTP application of the fake weight store."""

    async def newest_version(req: requests.Request) -> responses.Response:
        error_response = await faults_lib.apply_request_faults(weights.faults)
        if error_response is not None:
            return error_response
        version = weights.versions.get(req.path_params["model"], 0)
        return responses.JSONResponse({"version": version})

    async def publish(req: requests.Request) -> responses.Response:
        model = req.path_params["model"]
        version = weights.versions.get(model, 0) + 1
        weights.versions[model] = version
        return responses.JSONResponse({"version": version})

    async def download(req: requests.Request) -> responses.Response:
        error_response = await faults_lib.apply_request_faults(weights.faults)
        if error_response is not None:
            return error_response
        await weights.wait_for_download()
        return responses.Response(b"weights")

    return applications.Starlette(
        routes=[
            routing.Route("/v1/models/{model}", newest_version),
            routing.Route("/v1/models/{model}", publish, methods=["POST"]),
            routing.Route("/v1/models/{model}/{version}/blob", download),
            faults_lib.create_route(weights.faults),
        ]
    )
