"""Send one attempt of a request to an endpoint."""

from collections import abc
import contextlib
import dataclasses
import enum
import typing

import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle.callers import bodies
from hibiscussaddle import endpoints
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.relays import transport
from hibiscussaddle.routes import request_state

# A reachable endpoint accepts a connection within milliseconds.
_CONNECT_TIMEOUT_SECONDS: typing.Final = 0.25

# Hop-by-hop headers, and those that are set again for each attempt.
_NOT_FORWARDED: typing.Final = connections.HOP_BY_HOP_HEADERS | {
    endpoint_wire.DEADLINE_MS_HEADER,
    endpoint_wire.EXPECTED_ENDPOINT_HEADER,
}


class AttemptEnd(enum.Enum):
    """Say what is known of an attempt that has ended."""

    RESPONDED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class AttemptOutcome:
    """Hold how an attempt ended."""

    end: AttemptEnd
    response: request_state.EndpointResponse | None = None


def open_response(
    client: httpx.AsyncClient,
    state: request_state.RequestState,
    endpoint: endpoints.Endpoint,
) -> contextlib.AbstractAsyncContextManager[httpx.Response]:
    """Send a request to one endpoint; the block reads the response."""
    req = state.req
    headers = [
        (name, value)
        for name, value in req.headers
        if name not in _NOT_FORWARDED
    ]
    deadline_ms = max(1, int(state.seconds_left * 1000))
    headers.append((endpoint_wire.DEADLINE_MS_HEADER, str(deadline_ms)))
    headers.append((endpoint_wire.EXPECTED_ENDPOINT_HEADER, endpoint.id))
    if req.workspace:
        headers.append((endpoint_wire.WORKSPACE_HEADER, req.workspace))
    content: bytes | abc.AsyncIterable[bytes]
    if len(req.body) <= bodies.PIECE_BYTES:
        content = bytes(req.body)
    else:
        # The client's transport copies what it can't send at once.
        content = bodies.Pieces(req.body)
        headers.append(("content-length", str(len(req.body))))
    # In a URL, the client would change the percent-encoding.
    extensions: dict[str, typing.Any] = {
        "target": req.target.encode("latin-1"),
        transport.ENDPOINT: endpoint,
        transport.KIND: state.route.name,
    }
    if state.passage is not None:
        headers = state.passage.replace_headers(headers)
        extensions[connections.PASSED_ON] = state.passage.is_event_stream
    return client.stream(
        req.method,
        endpoint.address,
        content=content,
        # As the bytes that the caller sent.
        headers=[
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ],
        timeout=httpx.Timeout(
            state.seconds_left, connect=_CONNECT_TIMEOUT_SECONDS
        ),
        extensions=extensions,
    )


def forwarded_headers(resp: httpx.Response) -> tuple[tuple[str, str], ...]:
    """Return the headers of a response that the caller gets."""
    # The client would decode some values as UTF-8; callers get their bytes.
    decoded = (
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in resp.headers.raw
    )
    return tuple(
        (name, value) for name, value in decoded if name not in _NOT_FORWARDED
    )


def to_endpoint_response(
    endpoint: endpoints.Endpoint, resp: httpx.Response, body: bytes
) -> request_state.EndpointResponse:
    """Return a complete response as the caller gets it."""
    return request_state.EndpointResponse(
        resp.status_code, forwarded_headers(resp), body, endpoint.id
    )
