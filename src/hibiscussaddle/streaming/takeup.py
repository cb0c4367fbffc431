"""Decide whether a request takes up a stream, and what it may continue at."""

from collections import abc
import dataclasses
import typing

import result

from hibiscussaddle import codes
from hibiscussaddle import decoding
from hibiscussaddle import endpoints
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import routing_config

# Endpoints that restart are listed again within about a second.
_GONE_RETRY_SECONDS: typing.Final = 0.5
# The caller should begin anew; waiting doesn't help it.
_UNKNOWN_RETRY_SECONDS: typing.Final = 0.2


@dataclasses.dataclass(frozen=True)
class TakeUp:
    """Describe the stream that a caller continues."""

    # Newest event that the caller has; None if it isn't a number.
    last_id: int | None
    # Request ID of the attempt that brought the first event; empty if the
    # caller doesn't name it.
    continued_id: str


def parse(
    route: routing_config.Route, headers: abc.Iterable[tuple[str, str]]
) -> TakeUp | None:
    """Return what a request continues, None if it begins a stream.

    A caller without any event names none, so that its stream begins anew.
    """
    if not is_resumable(route):
        return None
    first: dict[str, str] = {}
    for name, value in headers:
        first.setdefault(name, value.strip())
    last = first.get(endpoint_wire.LAST_EVENT_ID_HEADER)
    if not last:
        return None
    try:
        last_id = decoding.parse_count(last)
    except ValueError:
        last_id = None
    continued_id = first.get(endpoint_wire.CONTINUED_REQUEST_HEADER, "")
    return TakeUp(last_id, continued_id)


def is_resumable(route: routing_config.Route) -> bool:
    """Return whether streams of a route may go on at other endpoints."""
    return route.kind is routing_config.RouteKind.STREAM and route.resumable


def filter_single_version(
    service: str,
    listed: abc.Iterable[endpoints.Endpoint],
    candidates: abc.Iterable[endpoints.Endpoint],
) -> result.Result[list[endpoints.Endpoint], codes.Refusal]:
    """Return the endpoints that may continue a stream of unknown version.

    The listed endpoints are all of the service, with those that leave.
    """
    versions = {ep.software_version for ep in listed}
    if len(versions) > 1:
        return result.Err(
            codes.Refusal(
                codes.Code.STREAM_VERSION_UNKNOWN,
                f"service {service!r} has {len(versions)} software versions, "
                "and it isn't known which one began the stream",
                _UNKNOWN_RETRY_SECONDS,
            )
        )
    return result.Ok(list(candidates))


def version_gone(service: str) -> codes.Refusal:
    """Return the refusal of a stream that no endpoint may continue."""
    return codes.Refusal(
        codes.Code.STREAM_VERSION_GONE,
        f"no endpoint of service {service!r} that accepts requests has the "
        "software version that began the stream",
        _GONE_RETRY_SECONDS,
    )
