"""Client of the weight store, and weight orders to engines."""

import dataclasses
import enum
import time

import anyio
import httpx

from hibiscussaddle import endpoints
from hibiscussaddle.policy import rollout

TIMEOUT_SECONDS = 2.0


class OrderOutcome(enum.Enum):
    """Tell how a weight order ended."""

    # The engine reported its version, whether or not it is the wanted one.
    REPORTED = "reported"
    # Surely no effect.
    NOT_RUN = "not_run"
    # The engine knows a higher fencing number.
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class OrderResponse:
    """Carry the outcome and the engine's report, if it gave one."""

    outcome: OrderOutcome
    report: rollout.Report | None = None


class WeightStoreClient:
    """Read newest versions and order engines to load them."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Use a shared HTTP client."""
        self._client = client
        self._url = url.rstrip("/")

    async def newest_version(self, model: str) -> int | None:
        """Return the newest version; None when it cannot be read."""
        try:
            resp = await self._client.get(
                f"{self._url}/v1/models/{model}", timeout=TIMEOUT_SECONDS
            )
            resp.raise_for_status()
            return int(resp.json()["version"])
        except (httpx.HTTPError, ValueError, KeyError, TypeError):
            return None

    async def send_order(
        self,
        endpoint: endpoints.Endpoint,
        model: str,
        version: int,
        fencing: int,
        timeout: float,
    ) -> OrderResponse:
        """Send one order; it is in flight for at most timeout seconds."""
        body = {"model": model, "version": version, "fencing": fencing}
        answer = OrderResponse(OrderOutcome.UNKNOWN)
        # The client's own timeouts hold for each phase, not for the sum.
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
            answer = _to_answer(endpoint.id, resp)
        return answer


def _to_answer(endpoint_id: str, resp: httpx.Response) -> OrderResponse:
    if resp.status_code == httpx.codes.CONFLICT:
        return OrderResponse(OrderOutcome.FENCED)
    if resp.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        return OrderResponse(OrderOutcome.NOT_RUN)
    try:
        body = resp.json()
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
