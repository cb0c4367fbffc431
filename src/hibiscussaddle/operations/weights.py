"""Report weight versions and the contenders for the weight lease."""

import typing

import result
from starlette import requests

from hibiscussaddle import endpoints
from hibiscussaddle import engine_versions
from hibiscussaddle import operations
from hibiscussaddle.policy import readers
from hibiscussaddle import runtime as runtime_lib


@operations.operation("GET", "/v1/weights")
async def get_weights(
    runtime: runtime_lib.Runtime, _: requests.Request
) -> operations.Outcome:
    """Return the newest and each engine's versions known to this instance."""
    engines = [
        _to_row(runtime, endpoint)
        for endpoint in runtime.directory.all()
        if endpoint.kind is endpoints.EndpointKind.ENGINE
    ]
    models = sorted(
        {
            model
            for endpoint in runtime.directory.all()
            for model in endpoint.models
        }
    )
    zone = runtime.cfg.zone
    return result.Ok(
        {
            "zone": zone,
            "contenders": list(
                readers.choose(runtime.members.live(), zone, "weights")
            ),
            "newest": {
                model: engine_versions.newest_version(runtime, model)
                for model in models
            },
            "engines": engines,
        }
    )


def _to_row(
    runtime: runtime_lib.Runtime, endpoint: endpoints.Endpoint
) -> dict[str, typing.Any]:
    report = runtime.dispatcher.load_tracker.last_report(endpoint.id)
    fact = engine_versions.engine_fact(runtime, endpoint.id)
    version = report.version if report is not None else None
    if fact is not None and report is None:
        version = fact.version
    is_out = engine_versions.has_uncertain_weights(runtime, endpoint, report)
    return {
        "endpoint": endpoint.id,
        "zone": endpoint.zone,
        "model": endpoint.models[0] if endpoint.models else "",
        "version": version,
        "state": "out_of_service" if is_out else "serving",
    }
