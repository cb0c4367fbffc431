"""The rate limits that endpoints name in their responses."""

import dataclasses
import logging

import httpx

from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass
class ObservedLimit:
    """Hold what one endpoint incarnation last said of its rate limit."""

    # Requests per second from all instances; None without a limit.
    rate: float | None = None
    # Monotonic seconds at which the response with it arrived.
    observed_at: float = float("-inf")


class ObservedLimits:
    """Track the rate limits of all endpoints."""

    def __init__(self) -> None:
        """Start without any limit."""
        self._limits = observations.Observations(ObservedLimit)

    def limit(self, endpoint: endpoints.Endpoint) -> ObservedLimit:
        """Return what an endpoint's incarnation last said."""
        return self._limits.for_endpoint(endpoint)

    def observe(
        self,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
        request_id: str,
        now: float,
    ) -> None:
        """Record the limit that a response names.

        Only a response of a run ends a limit by naming none: endpoints may
        leave the header out of refusals and reports.
        """
        if resp.status_code == httpx.codes.MISDIRECTED_REQUEST:
            # Another endpoint at the same address responded.
            return
        values = resp.headers.get_list(endpoint_wire.RATE_LIMIT_HEADER)
        try:
            rate = endpoint_wire.decode_rate_limit(values)
        except ValueError as exc:
            logs.event(
                _LOG,
                "endpoint_limit_malformed",
                logging.WARNING,
                endpoint=endpoint.id,
                request=request_id,
                why=exc,
            )
            return
        if rate is None and not resp.is_success:
            return
        known = self.limit(endpoint)
        if rate != known.rate:
            logs.event(
                _LOG,
                "endpoint_limit_changed",
                endpoint=endpoint.id,
                service=endpoint.service,
                request=request_id,
                rate="none" if rate is None else rate,
                rate_before="none" if known.rate is None else known.rate,
            )
        known.rate = rate
        known.observed_at = now
