"""Check tickets over several instances: forwarding and handover."""

from collections import abc
import pathlib
import random
import signal

import httpx
import pytest

import ports
import processes

pytestmark = pytest.mark.process

ENTRIES = 3
# Port of the service, from the base of its fleet.
SERVICE_OFFSET = 11


@pytest.fixture(name="fleet")
def create_fleet(tmp_path: pathlib.Path) -> abc.Iterator[processes.Fleet]:
    """Run three instances and a service."""
    first = ports.take_range(processes.PORTS)
    with processes.run_fleet(tmp_path, first) as fleet:
        fleet.start_service(first + SERVICE_OFFSET)
        for number in range(1, ENTRIES + 1):
            fleet.start_entry(number)
        fleet.accept_contract(1)
        for number in range(1, ENTRIES + 1):
            _until_meshed(fleet, number)
        yield fleet


def _until_meshed(fleet: processes.Fleet, number: int) -> None:
    """Wait until an instance serves and forwards to every other one."""
    for issuer in range(1, ENTRIES + 1):

        def reaches(issuer: int = issuer) -> bool:
            answer = _book(fleet, number, _ticket(fleet, issuer), "warm-up")
            return answer.status_code == 200

        fleet.until(reaches)


def _ticket(fleet: processes.Fleet, number: int) -> str:
    resp = fleet.client.post(
        fleet.url(number) + "/v1/tickets", headers=processes.CALLER
    )
    return str(resp.json().get("ticket", ""))


def _book(
    fleet: processes.Fleet, number: int, key: str, body: str
) -> httpx.Response:
    return fleet.client.post(
        fleet.url(number) + "/v1/services/booking/orders",
        content=body,
        headers={**processes.CALLER, "idempotency-key": key},
    )


def _runs(fleet: processes.Fleet) -> dict[str, int]:
    runs: dict[str, int] = {}
    url = f"http://127.0.0.1:{fleet.base + SERVICE_OFFSET}/v1/record"
    for item in fleet.client.get(url).json():
        runs[item["key"]] = runs.get(item["key"], 0) + 1
    return runs


@pytest.mark.parametrize("seed", range(2))
def test_calls_through_any_instance_run_once(
    fleet: processes.Fleet, seed: int
) -> None:
    """Fails when a forwarded call runs twice, is lost or not true."""
    rng = random.Random(seed)
    names = range(1, ENTRIES + 1)
    keys = {_ticket(fleet, rng.choice(names)): f"net {n}" for n in range(20)}
    unused = [_ticket(fleet, 1) for _ in range(3)]
    other = _ticket(fleet, 2)
    answers = {}
    for key, body in keys.items():
        for _ in range(3):
            resp = _book(fleet, rng.choice(names), key, body)
            assert resp.status_code == 200, f"{resp.text} seed {seed}"
            assert resp.json()["echo"] == body
            assert answers.setdefault(key, resp.json()) == resp.json()
    entry = fleet.processes[3]
    entry.signal(signal.SIGTERM)
    assert entry.wait(20.0) == 0
    log = entry.log.read_text()
    assert "event=handed_over successor=entry-" in log
    for key, body in keys.items():
        for number in (2, 3):
            resp = _book(fleet, number, key, body)
            assert resp.json() == answers[key], f"seed {seed}"
    for key in unused:
        for number in (2, 3):
            resp = _book(fleet, number, key, "never run")
            assert resp.json()["code"] == 1205, resp.text
            assert resp.json()["ran"] == "no"
    assert _book(fleet, 3, other, "net 99").status_code == 200
    runs = _runs(fleet)
    assert all(runs[key] == 1 for key in keys)
    assert not any(key in runs for key in unused)
    # A second stop passes the inherited ledger on.
    heir = fleet.processes[4 if "successor=entry-2" in log else 5]
    left = 3 if "successor=entry-2" in log else 2
    heir.signal(signal.SIGTERM)
    assert heir.wait(20.0) == 0
    for key, body in keys.items():
        assert _book(fleet, left, key, body).json() == answers[key]


def test_killed_issuer_leaves_unknown(fleet: processes.Fleet) -> None:
    """Fails when a crash of the issuer leads to a second run."""
    key, unused = _ticket(fleet, 1), _ticket(fleet, 1)
    assert _book(fleet, 2, key, "net 7").status_code == 200
    fleet.processes[3].end()
    for ticket in (key, unused):
        resp = _book(fleet, 2, ticket, "net 7")
        assert (resp.json()["code"], resp.json()["ran"]) == (1203, "unknown")
    fleet.start_entry(1)
    fleet.until(lambda: bool(_ticket(fleet, 1)))
    for number in range(1, ENTRIES + 1):
        resp = _book(fleet, number, key, "net 7")
        assert resp.json()["ran"] == "unknown"
    assert _runs(fleet)[key] == 1
    assert unused not in _runs(fleet)
