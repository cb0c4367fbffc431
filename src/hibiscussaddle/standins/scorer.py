"""Fake scoring service: a reward for each sample of a finished group."""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.standins import faults as faults_lib


def create_app(faults: faults_lib.Faults) -> applications.Starlette:
    """Return the HTTP interface of the fake."""

    async def score(req: requests.Request) -> responses.Response:
        refused = await faults_lib.apply_before(faults)
        if refused is not None:
            return refused
        body = await req.json()
        rewards = [float(len(s["text"]) % 7) for s in body["samples"]]
        return responses.JSONResponse({"rewards": rewards})

    return applications.Starlette(
        routes=[
            routing.Route("/v1/score", score, methods=["POST"]),
            faults_lib.create_route(faults),
        ]
    )
