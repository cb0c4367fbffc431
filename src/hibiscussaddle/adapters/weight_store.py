"""Client of the weight store and of engines that load its weights.

A weight order makes an engine load one version. Engines of the hosting
platform receive the orders of platform/endpoint_wire.py instead.
"""

import dataclasses
import enum
import time

import anyio
import httpx

from hibiscussaddle import decoding
from hibiscussaddle import endpoints
from hibiscussaddle.policy import rollout

# Applies to calls to the weight store; orders have their own timeout.
TIMEOUT_SECONDS = 2.0


class OrderOutcome(enum.Enum):
    """List the outcomes of a weight order."""

    # The engine reported its version, which may not be the ordered one.
    REPORTED = "reported"
    # The order certainly had no effect.
    NOT_RUN = "not_run"
    # The engine has seen a higher fencing number.
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class OrderResponse:
    """Hold the outcome and the engine's report, if it sent one."""

    outcome: OrderOutcome
    report: rollout.Report | None = None


class WeightStoreClient:
    """Read the newest weight versions and order engines to load them."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Create a client; url is the base URL of the weight store."""
        self._client = client
        self._url = url.rstrip("/")

    async def newest_version(self, model: str) -> int | None:
        """Return the newest version of a model; None if it is unavailable."""
        try:
            resp = await self._client.get(
                f"{self._url}/v1/models/{model}", timeout=TIMEOUT_SECONDS
            )
            resp.raise_for_status()
            return int(decoding.decode_json(resp.content)["version"])
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return None

    async def send_order(
        self,
        endpoint: endpoints.Endpoint,
        model: str,
        version: int,
        fencing_number: int,
        timeout: float,
    ) -> OrderResponse:
        """Send one order, which is in flight for at most timeout seconds."""
        body = {"model": model, "version": version, "fencing": fencing_number}
        response = OrderResponse(OrderOutcome.UNKNOWN)
        # The timeout of httpx applies to each phase of a request, not to the
        # whole.
        with anyio.move_on_after(timeout):
            try:
                resp = await self._client.post(
                    f"{endpoint.address}/v1/weights",
                    json=body,
                    timeout=timeout,
                )
            except (httpx.ConnectError, httpx.ConnectTimeout):
                return OrderResponse(OrderOutcome.NOT_RUN)
            except httpx.HTTPError:
                return OrderResponse(OrderOutcome.UNKNOWN)
            response = _to_response(endpoint.id, resp)
        return response


def _to_response(endpoint_id: str, resp: httpx.Response) -> OrderResponse:
    if resp.status_code == httpx.codes.CONFLICT:
        return OrderResponse(OrderOutcome.FENCED)
    if resp.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        return OrderResponse(OrderOutcome.NOT_RUN)
    try:
        body = decoding.decode_json(resp.content)
        version = body["version"]
        report = rollout.Report(
            endpoint_id,
            int(body["incarnation"]),
            None if version is None else int(version),
            time.monotonic(),
        )
    except (ValueError, KeyError, TypeError):
        return OrderResponse(OrderOutcome.UNKNOWN)
    return OrderResponse(OrderOutcome.REPORTED, report)
