"""Test with separate processes that an endpoint's rate limit is kept."""

import concurrent.futures
import pathlib
import time
import typing

import httpx
import pytest

import processes

pytestmark = pytest.mark.process

HOST: typing.Final = "desk.example"
CONFIG: typing.Final = {
    "version": 3,
    "routes": [
        {
            "name": "orders",
            "host": HOST,
            "prefix": "/orders/",
            "kind": "idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 200,
            "service": "desk",
            "maxAttempts": 2,
        },
    ],
    "services": [],
}
GATEWAYS: typing.Final = (1, 2, 3)
LIMIT: typing.Final = 2.0
REQUESTS_PER_SECOND: typing.Final = 15.0
# The promise: from STABLE_SECONDS after the limit was first named, no window
# has more requests than 1.5 times the limit, and 5 more.
STABLE_SECONDS: typing.Final = 3.0
WINDOW_SECONDS: typing.Final = 4.0
MAX_IN_WINDOW: typing.Final = 1.5 * LIMIT * WINDOW_SECONDS + 5


def _order(
    fleet: processes.Fleet, gateway: int, request_id: str
) -> httpx.Response:
    headers = {
        "host": HOST,
        "x-request-id": request_id,
        "x-deadline-ms": "1000",
    }
    url = f"http://127.0.0.1:{fleet.port(f'gateway-{gateway}')}/orders/7"
    return fleet.client.post(url, content=b"nets", headers=headers)


def _send_orders(
    fleet: processes.Fleet, seconds: float
) -> list[httpx.Response]:
    """Send orders through all gateways in turn at a fixed rate."""
    futures = []
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            due = started + number / REQUESTS_PER_SECOND
            time.sleep(max(0.0, due - time.monotonic()))
            gateway = GATEWAYS[number % len(GATEWAYS)]
            futures.append(pool.submit(_order, fleet, gateway, f"r-{number}"))
        return [future.result() for future in futures]


def _most_in_window(arrivals: list[float]) -> int:
    judged = [at for at in arrivals if at > arrivals[0] + STABLE_SECONDS]
    return max(
        sum(start <= at < start + WINDOW_SECONDS for at in judged)
        for start in judged
    )


def test_limit_holds_for_the_sum_of_all_gateways(
    tmp_path: pathlib.Path,
) -> None:
    """Fails when gateways together send more than an endpoint's limit."""
    with processes.run_fleet(tmp_path) as fleet:
        fleet.put_key("op/config", CONFIG)
        desk = fleet.start_hosted("desk-1", "desk", rate_limit=LIMIT)
        for number in GATEWAYS:
            fleet.start_gateway(number)
        for number in GATEWAYS:
            fleet.wait_until(
                lambda n=number: _order(fleet, n, "warm-up").is_success
            )
        responses = _send_orders(fleet, 9.0)
        arrivals = fleet.client.get(desk + "/arrivals").json()
    assert _most_in_window(arrivals) <= MAX_IN_WINDOW
    refused = [resp for resp in responses if not resp.is_success]
    assert {resp.status_code for resp in refused} <= {503}
    assert all(float(resp.headers["retry-after"]) > 0 for resp in refused)
    # The limit is used, not only kept.
    assert len(responses) - len(refused) >= 0.7 * LIMIT * 9.0
