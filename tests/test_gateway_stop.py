"""Test with real processes which requests a stopping gateway accepts."""

import concurrent.futures
import pathlib
import signal
import time
import typing

import httpx
import pytest

from hibiscussaddle.policy import planned_stop

import processes

pytestmark = pytest.mark.process

HOST: typing.Final = "desk.example"
GRACE_SECONDS: typing.Final = 8.0
CONFIG: typing.Final = {
    "version": 3,
    "routes": [
        {
            "name": "orders",
            "host": HOST,
            "prefix": "/orders/",
            "kind": "non_idempotent",
            "timeoutMs": 20000,
            "targetLatencyMs": 200,
            "service": "desk",
            "maxAttempts": 2,
        },
    ],
    "services": [],
}


def _order(
    fleet: processes.Fleet, request_id: str, deadline_ms: int
) -> httpx.Response:
    headers = {
        "host": HOST,
        "x-request-id": request_id,
        "x-deadline-ms": str(deadline_ms),
    }
    url = f"http://127.0.0.1:{fleet.port('gateway-1')}/orders/7"
    return httpx.post(
        url, content=b"nets", headers=headers, timeout=30.0, trust_env=False
    )


def _is_ready(fleet: processes.Fleet) -> bool:
    ready = f"http://127.0.0.1:{fleet.port('ready-1')}/ready"
    return fleet.client.get(ready).is_success


@pytest.fixture(name="fleet")
def create_fleet(tmp_path: pathlib.Path) -> typing.Iterator[processes.Fleet]:
    """Run a gateway before a service that takes half a minute."""
    with processes.run_fleet(tmp_path) as fleet:
        fleet.put_key("op/config", CONFIG)
        fleet.start_hosted("desk-1", "desk", response_seconds=30.0)
        fleet.start_gateway(1, f"--grace_seconds={GRACE_SECONDS}")
        fleet.wait_until(lambda: _is_ready(fleet))
        fleet.wait_until(lambda: fleet.listed_endpoints(1) == {"desk-1"})
        yield fleet


def test_late_request_of_a_planned_stop_is_refused_or_answered(
    fleet: processes.Fleet,
) -> None:
    """Fails when a stop cuts a request off without any response.

    A non-idempotent request that arrived late in the grace period was
    forwarded, and was still at its endpoint as the process ended.
    """
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        stopped_at = time.monotonic()
        fleet.processes[-1].signal(signal.SIGTERM)
        futures = {}
        for second in (0.5, 2.0, 3.5, 5.0):
            time.sleep(max(0.0, stopped_at + second - time.monotonic()))
            name = f"r-{second}"
            futures[name] = pool.submit(_order, fleet, name, 15_000)
            short = f"{name}-short"
            futures[short] = pool.submit(_order, fleet, short, 1000)
        responses = {n: future.result() for n, future in futures.items()}
        ended_at = time.monotonic()
    assert fleet.processes[-1].wait(10.0) == 0
    assert ended_at - stopped_at < GRACE_SECONDS
    desk = f"http://127.0.0.1:{fleet.port('desk-1')}/started"
    started = set(fleet.client.get(desk).json())
    for name, response in responses.items():
        is_refused = response.status_code == 503
        # "Not run" is true, and what ran is never told to be not run.
        assert is_refused == (name not in started), name
        assert response.status_code in (502, 503, 504), name
    # Early requests and those that end in time are accepted.
    assert {"r-0.5", "r-2.0", "r-3.5-short", "r-5.0-short"} <= started
    assert "r-5.0" not in started


@pytest.mark.parametrize(
    ("elapsed", "timeout", "is_accepted"),
    [
        (0.0, 20.0, True),
        (2.9, 20.0, True),
        (3.1, 20.0, False),
        (3.1, 4.0, True),
        (6.0, 1.0, True),
        (7.0, 1.0, False),
    ],
)
def test_late_request_is_accepted_only_if_it_ends_in_time(
    elapsed: float, timeout: float, is_accepted: bool
) -> None:
    """Fails when a request is accepted that the end of the grace may cut."""
    assert (
        planned_stop.accepts_request(elapsed, GRACE_SECONDS, timeout)
        is is_accepted
    )


def test_short_grace_period_still_refuses_late_requests() -> None:
    """Fails when every request of a short grace period is accepted."""
    assert planned_stop.accepts_request(0.9, 2.0, 5.0)
    assert not planned_stop.accepts_request(1.1, 2.0, 5.0)
