"""Test the complete request path with separate processes and stand-ins.

A plain request and a batch go through gateway instances to fake endpoints,
with the platform's messages on every connection.
"""

from collections import abc
import json
import pathlib
import signal
import typing

import fire
import httpx
import pytest

from hibiscussaddle import cli

import processes

pytestmark = pytest.mark.process

HOST: typing.Final = "desk.example"
CONFIG: typing.Final = {
    "version": 3,
    "routes": [
        {
            "name": "rollouts",
            "host": HOST,
            "prefix": "/rollouts/",
            "kind": "rollout",
            "timeoutMs": 10000,
            "targetLatencyMs": 500,
            "service": "engines",
            "maxAttempts": 3,
            "retentionS": 40.0,
            "resultDeadlineMs": 7500,
            "resumable": True,
        },
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
EVENTS: typing.Final = 10
TEXT: typing.Final = "\n".join(f"token {n}" for n in range(1, EVENTS + 1))


@pytest.fixture(name="fleet")
def create_fleet(tmp_path: pathlib.Path) -> abc.Iterator[processes.Fleet]:
    """Run two gateways, an engine and a plain service."""
    with processes.run_fleet(tmp_path) as fleet:
        fleet.put_key("op/config", CONFIG)
        fleet.start_hosted("engine-1", "engines", model="base", events=EVENTS)
        fleet.start_hosted("desk-1", "desk")
        for number in (1, 2):
            fleet.start_gateway(number)
        for number in (1, 2):
            fleet.wait_until(
                lambda n=number: _order(fleet, n).status_code == 200
            )
            ready = f"http://127.0.0.1:{fleet.port(f'ready-{number}')}/ready"
            fleet.wait_until(lambda u=ready: fleet.client.get(u).is_success)
            # The engine may register after the plain service.
            fleet.wait_until(
                lambda n=number: (
                    fleet.listed_endpoints(n) == {"engine-1", "desk-1"}
                )
            )
        yield fleet


def _url(fleet: processes.Fleet, number: int) -> str:
    return f"http://127.0.0.1:{fleet.port(f'gateway-{number}')}"


def _order(fleet: processes.Fleet, number: int) -> httpx.Response:
    headers = {"host": HOST, "x-request-id": "r-1", "x-deadline-ms": "1000"}
    return fleet.client.post(
        _url(fleet, number) + "/orders/7", content=b"nets", headers=headers
    )


def _scoring_call(item_id: str) -> dict[str, str]:
    return {
        "id": f"score-{item_id}",
        "host": HOST,
        "path": "/orders/check",
        "body": "bmV0cw==",
    }


def _submit(
    fleet: processes.Fleet,
    number: int,
    batch_id: str,
    items: int,
    scored: bool = False,
) -> httpx.Response:
    body = {
        "step": 1,
        "model": "base",
        "minVersion": 1,
        "groupCount": 1,
        "items": [
            {
                "id": f"{batch_id}-{index}",
                "path": f"/rollouts/{index}",
                "headers": {"X-Model": "base"},
                "body": "cHJvbXB0",
                "tokens": 10,
                "group": "g",
                **(
                    {"scoringCall": _scoring_call(f"{batch_id}-{index}")}
                    if scored
                    else {}
                ),
            }
            for index in range(items)
        ],
    }
    headers = {"host": HOST, "x-request-id": batch_id}
    return fleet.client.post(
        _url(fleet, number) + f"/rollouts/{batch_id}",
        json=body,
        headers=headers,
    )


def _page(
    fleet: processes.Fleet, number: int, batch_id: str, after: int
) -> dict[str, typing.Any]:
    resp = fleet.client.get(
        _url(fleet, number) + f"/-/lots/{batch_id}?after={after}",
        headers={"host": HOST, "x-wait-ms": "50"},
    )
    resp.raise_for_status()
    return resp.json()


def _results(
    fleet: processes.Fleet, number: int, batch_id: str
) -> list[dict[str, typing.Any]]:
    """Return all logged results; a page may contain only some of them."""
    results: list[dict[str, typing.Any]] = []
    while page := _page(fleet, number, batch_id, len(results))["results"]:
        results += page
    return results


def test_request_reaches_its_endpoint(fleet: processes.Fleet) -> None:
    """Fails when a response is not the endpoint's or a route isn't matched."""
    resp = _order(fleet, 1)
    assert resp.content == b"answer to nets"
    assert resp.headers["x-server-stamp"] == "desk-1/r-1"
    assert resp.headers["x-request-id"] == "r-1"
    not_found = fleet.client.get(
        _url(fleet, 1) + "/none", headers={"host": HOST}
    )
    assert not_found.status_code == 404


def test_batch_is_readable_at_every_instance(fleet: processes.Fleet) -> None:
    """Fails when a batch is accepted twice, lost or read differently."""
    assert _submit(fleet, 1, "b1", 3).status_code == 202
    assert _submit(fleet, 2, "b1", 3).status_code == 202
    fleet.wait_until(lambda: len(_results(fleet, 2, "b1")) == 3)
    first = _results(fleet, 1, "b1")
    assert first == _results(fleet, 2, "b1")
    page = _page(fleet, 1, "b1", 1)
    assert (page["total"], page["nextToken"]) == (3, 3)
    for entry in first:
        assert entry["state"] == "completed"
        assert entry["text"] == TEXT
        assert entry["versions"] == [1]
    body = fleet.client.get(_url(fleet, 2) + "/-/items/b1?id=b1-0")
    assert body.content == b"prompt"
    not_found = fleet.client.get(_url(fleet, 2) + "/-/lots/none")
    assert not_found.status_code == 404
    for _ in range(2):
        ended = fleet.client.delete(_url(fleet, 2) + "/-/lots/b1")
        assert ended.status_code == 200
    assert _results(fleet, 1, "b1") == first


def _kill_owner(fleet: processes.Fleet) -> int:
    """Kill the gateway that runs a batch; return the number of the other."""
    # The first four processes are stand-ins.
    owner = next(
        number
        for number in (1, 2)
        if "batch_started" in fleet.processes[3 + number].log.read_text()
    )
    fleet.processes[3 + owner].signal(signal.SIGKILL)
    return 3 - owner


def test_batch_continues_after_its_owner_is_killed(
    fleet: processes.Fleet,
) -> None:
    """Fails when a batch ends because the instance that runs it is killed."""
    items = 12
    assert _submit(fleet, 1, "b2", items).status_code == 202
    fleet.wait_until(lambda: _results(fleet, 2, "b2") != [])
    before = _results(fleet, 2, "b2")
    other = _kill_owner(fleet)
    fleet.wait_until(lambda: len(_results(fleet, other, "b2")) == items)
    after = _results(fleet, other, "b2")
    assert after[: len(before)] == before
    assert len({entry["id"] for entry in after}) == items


def test_scored_batch_continues_after_its_owner_is_killed(
    fleet: processes.Fleet,
) -> None:
    """Fails when a killed owner loses scores or a result has no score.

    The owner is killed while some texts wait for scores and others have them.
    """
    items = 12
    assert _submit(fleet, 1, "b6", items, scored=True).status_code == 202
    fleet.wait_until(lambda: _results(fleet, 2, "b6") != [])
    before = _results(fleet, 2, "b6")
    other = _kill_owner(fleet)
    fleet.wait_until(lambda: len(_results(fleet, other, "b6")) == items)
    after = _results(fleet, other, "b6")
    assert after[: len(before)] == before
    assert {entry["id"]: entry["score"] for entry in after} == {
        f"b6-{n}": f"desk-1/score-b6-{n}" for n in range(items)
    }
    assert {entry["text"] for entry in after} == {TEXT}


def test_published_version_is_loaded(fleet: processes.Fleet) -> None:
    """Fails when engines keep older weights than a trainer published."""
    fleet.put_key("op/version/base", {"model": "base", "version": 2})
    engine = f"http://127.0.0.1:{fleet.port('engine-1')}/-/report"

    def is_loaded() -> bool:
        models = fleet.client.get(engine).json()["models"]
        return models == [{"name": "base", "version": 2}]

    fleet.wait_until(is_loaded)
    assert _submit(fleet, 1, "b3", 1).status_code == 202
    fleet.wait_until(lambda: len(_results(fleet, 1, "b3")) == 1)
    assert _results(fleet, 1, "b3")[0]["versions"] == [2]


def _run_command(
    fleet: processes.Fleet, capsys: pytest.CaptureFixture[str], *words: str
) -> typing.Any:
    """Return the JSON output of a fleet command."""
    address = f"--address=127.0.0.1:{fleet.port('gw-peers-1')}"
    command = ["fleet", *words, address, "--output=json"]
    fire.Fire(cli.Commands(), command=command)
    return json.loads(capsys.readouterr().out)


def test_commands_show_the_fleet(
    fleet: processes.Fleet, capsys: pytest.CaptureFixture[str]
) -> None:
    """Fails when the commands don't show batches, instances or endpoints."""
    fleet.put_key("op/version/base", {"model": "base", "version": 2})
    assert _submit(fleet, 1, "b5", 200).status_code == 202
    rows: list[dict[str, typing.Any]] = []

    def is_running() -> bool:
        rows[:] = _run_command(fleet, capsys, "batches")
        return bool(rows)

    fleet.wait_until(is_running)
    assert (rows[0]["batch"], rows[0]["items"]) == ("b5", 200)
    groups = _run_command(fleet, capsys, "batch", "b5")
    assert [group["group"] for group in groups] == ["g"]
    instances = _run_command(fleet, capsys, "instances")
    assert {row["config_version"] for row in instances} == {3}
    assert {row["ready"] for row in instances} == {"yes"}
    assert [row["instance"] for row in instances] == sorted(
        row["instance"] for row in instances
    )
    endpoints = _run_command(fleet, capsys, "endpoints")
    assert {row["endpoint"] for row in endpoints} == {"engine-1", "desk-1"}
    fleet.wait_until(
        lambda: _run_command(fleet, capsys, "weights")[0]["newest"] == 2
    )
    duties = _run_command(fleet, capsys, "duties")
    assert len({row["holder"] for row in duties}) == 1
    assert sum(row["fencing_number"] is not None for row in duties) == 1
    status = _run_command(fleet, capsys, "status")
    assert (status["store"], status["members"]) == ("direct", 2)


def test_planned_stop_completes_requests_and_batches(
    fleet: processes.Fleet,
) -> None:
    """Fails when an instance that gets SIGTERM drops a batch or a request."""
    assert _submit(fleet, 1, "b4", 12).status_code == 202
    fleet.processes[4].signal(signal.SIGTERM)
    assert _order(fleet, 1).status_code == 200
    ready = f"http://127.0.0.1:{fleet.port('ready-1')}/ready"
    fleet.wait_until(lambda: fleet.client.get(ready).status_code == 503)
    assert fleet.processes[4].wait(10.0) == 0
    fleet.wait_until(lambda: len(_results(fleet, 2, "b4")) == 12)
