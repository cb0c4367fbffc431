"""Fake scoring service that rewards each sample by its text length."""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle.standins import faults as faults_lib


def create_app(faults: faults_lib.Faults) -> applications.Starlette:
    """Return the HTTP application of the fake scoring service."""

    async def score(req: requests.Request) -> responses.Response:
        error_response = await faults_lib.apply_request_faults(faults)
        if error_response is not None:
            return error_response
        body = await req.json()
        rewards = [float(len(s["text"]) % 7) for s in body["samples"]]
        return responses.JSONResponse({"rewards": rewards})

    return applications.Starlette(
        routes=[
            routing.Route("/v1/score", score, methods=["POST"]),
            faults_lib.create_route(faults),
        ]
    )
