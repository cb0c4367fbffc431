"""Interface through which streams of callers keep to one software version."""

from collections import abc
import typing

import result

from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle.routes import routing_config


class StreamVersions(typing.Protocol):
    """Tell at which endpoints streams may begin and continue."""

    def filter_beginning(
        self,
        service: str,
        request_id: str,
        candidates: abc.Iterable[endpoints.Endpoint],
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints at which a new stream may begin."""

    def record_begin(
        self, request_id: str, endpoint: endpoints.Endpoint
    ) -> None:
        """Record the endpoint that sent the first event of a stream."""

    async def filter_continuing(
        self,
        route: routing_config.Route,
        service: str,
        continued_id: str,
        candidates: abc.Iterable[endpoints.Endpoint],
    ) -> result.Result[list[endpoints.Endpoint], codes.Refusal]:
        """Return the endpoints that may continue a stream.

        The ID is that of the caller's attempt that brought the first event,
        empty if the caller names none.
        An error tells that nothing of its version is left, or that the
        version isn't known.
        """
