"""Test tickets across instances: forwarding and handover."""

from collections import abc
import pathlib
import random
import signal

import httpx
import pytest

import processes

pytestmark = pytest.mark.process

INSTANCES = 3


@pytest.fixture(name="fleet")
def create_fleet(tmp_path: pathlib.Path) -> abc.Iterator[processes.Fleet]:
    """Run three instances and a service."""
    with processes.run_fleet(tmp_path) as fleet:
        fleet.start_service()
        for number in range(1, INSTANCES + 1):
            fleet.start_entry(number)
        fleet.accept_contract(1)
        for number in range(1, INSTANCES + 1):
            _wait_until_forwarding(fleet, number)
        yield fleet


def _wait_until_forwarding(fleet: processes.Fleet, number: int) -> None:
    """Wait until an instance serves and forwards to every other one."""
    for issuer in range(1, INSTANCES + 1):

        def is_forwarded(issuer: int = issuer) -> bool:
            resp = _book_order(
                fleet, number, _create_ticket(fleet, issuer), "warm-up"
            )
            return resp.status_code == 200

        fleet.wait_until(is_forwarded)


def _create_ticket(fleet: processes.Fleet, number: int) -> str:
    resp = fleet.client.post(
        fleet.url(number) + "/v1/tickets", headers=processes.CALLER_HEADERS
    )
    return str(resp.json().get("ticket", ""))


def _book_order(
    fleet: processes.Fleet, number: int, key: str, body: str
) -> httpx.Response:
    return fleet.client.post(
        fleet.url(number) + "/v1/services/booking/orders",
        content=body,
        headers={**processes.CALLER_HEADERS, "idempotency-key": key},
    )


def _run_counts(fleet: processes.Fleet) -> dict[str, int]:
    runs: dict[str, int] = {}
    url = f"http://127.0.0.1:{fleet.port('service')}/v1/record"
    for item in fleet.client.get(url).json():
        runs[item["key"]] = runs.get(item["key"], 0) + 1
    return runs


@pytest.mark.parametrize("seed", range(2))
def test_calls_through_any_instance_run_once(
    fleet: processes.Fleet, seed: int
) -> None:
    """Fails when a forwarded call runs twice, is lost or is altered."""
    rng = random.Random(seed)
    numbers = range(1, INSTANCES + 1)
    keys = {
        _create_ticket(fleet, rng.choice(numbers)): f"net {n}"
        for n in range(20)
    }
    unused = [_create_ticket(fleet, 1) for _ in range(3)]
    other = _create_ticket(fleet, 2)
    results = {}
    for key, body in keys.items():
        for _ in range(3):
            resp = _book_order(fleet, rng.choice(numbers), key, body)
            assert resp.status_code == 200, f"{resp.text} seed {seed}"
            assert resp.json()["echo"] == body
            assert results.setdefault(key, resp.json()) == resp.json()
    # Processes 0 to 2 are stand-ins, 3 to 5 are entry-1 to entry-3.
    entry = fleet.processes[3]
    entry.signal(signal.SIGTERM)
    assert entry.wait(20.0) == 0
    log = entry.log.read_text()
    assert "event=handed_over successor=entry-" in log
    for key, body in keys.items():
        for number in (2, 3):
            resp = _book_order(fleet, number, key, body)
            assert resp.json() == results[key], f"seed {seed}"
    for key in unused:
        for number in (2, 3):
            resp = _book_order(fleet, number, key, "never run")
            assert resp.json()["code"] == 1205, resp.text
            assert resp.json()["ran"] == "no"
    assert _book_order(fleet, 3, other, "net 99").status_code == 200
    runs = _run_counts(fleet)
    assert all(runs[key] == 1 for key in keys)
    assert not any(key in runs for key in unused)
    # The successor must hand over the ledger that it received, too.
    successor = fleet.processes[4 if "successor=entry-2" in log else 5]
    remaining = 3 if "successor=entry-2" in log else 2
    successor.signal(signal.SIGTERM)
    assert successor.wait(20.0) == 0
    for key, body in keys.items():
        assert _book_order(fleet, remaining, key, body).json() == results[key]


def test_outcome_is_unknown_after_a_crash_of_the_issuer(
    fleet: processes.Fleet,
) -> None:
    """Fails when a call runs again after a crash of the ticket's issuer."""
    key, unused = _create_ticket(fleet, 1), _create_ticket(fleet, 1)
    assert _book_order(fleet, 2, key, "net 7").status_code == 200
    # Processes 0 to 2 are stand-ins, 3 is entry-1.
    fleet.processes[3].kill()
    for ticket in (key, unused):
        resp = _book_order(fleet, 2, ticket, "net 7")
        assert (resp.json()["code"], resp.json()["ran"]) == (1203, "unknown")
    fleet.start_entry(1)
    fleet.wait_until(lambda: bool(_create_ticket(fleet, 1)))
    for number in range(1, INSTANCES + 1):
        resp = _book_order(fleet, number, key, "net 7")
        assert resp.json()["ran"] == "unknown"
    assert _run_counts(fleet)[key] == 1
    assert unused not in _run_counts(fleet)
