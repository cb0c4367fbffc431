"""Test keys with separate processes: revoked keys and a killed instance."""

import base64
import pathlib
import signal
import typing

import httpx
import pytest

import processes
import test_gateway_path

pytestmark = pytest.mark.process

ITEMS: typing.Final = 30
OLD_KEY: typing.Final = "key-one"
NEW_KEY: typing.Final = "key-two"
OTHER_KEY: typing.Final = "key-of-portal"


def _config(version: int, key: str) -> dict[str, typing.Any]:
    workspaces = [
        {"name": "registar", "apiKeys": [key]},
        {"name": "portal", "apiKeys": [OTHER_KEY]},
    ]
    return {
        **test_gateway_path.CONFIG,
        "version": version,
        "tenants": workspaces,
    }


def _call(
    fleet: processes.Fleet,
    number: int,
    method: str,
    path: str,
    key: str,
    **options: typing.Any,
) -> httpx.Response:
    headers = {
        "host": test_gateway_path.HOST,
        "x-request-id": "b1",
        "authorization": f"Bearer {key}",
    }
    url = f"http://127.0.0.1:{fleet.port(f'gateway-{number}')}{path}"
    return fleet.client.request(method, url, headers=headers, **options)


def _submission() -> dict[str, typing.Any]:
    items = [
        {
            "id": f"item-{number}",
            "path": f"/rollouts/{number}",
            "headers": {"X-Tenant": "portal"},
            "body": base64.b64encode(b"prompt").decode(),
            "group": "g",
        }
        for number in range(ITEMS)
    ]
    return {"model": "base", "items": items}


def _results(
    fleet: processes.Fleet, number: int, key: str
) -> list[typing.Any]:
    resp = _call(fleet, number, "GET", "/-/lots/b1", key)
    resp.raise_for_status()
    return list(resp.json()["results"])


def test_batch_outlives_its_key_and_its_owner(tmp_path: pathlib.Path) -> None:
    """Fails when a takeover forgets the workspace, or a revoked key works."""
    with processes.run_fleet(tmp_path) as fleet:
        fleet.put_key("op/config", _config(3, OLD_KEY))
        engine = fleet.start_hosted(
            "engine-1", "engines", model="base", event_seconds=0.03
        )
        for number in (1, 2):
            fleet.start_gateway(number)
        for number in (1, 2):
            fleet.wait_until(
                lambda n=number: fleet.listed_endpoints(n) == {"engine-1"}
            )
        accepted = _call(
            fleet, 1, "POST", "/rollouts/b1", OLD_KEY, json=_submission()
        )
        assert accepted.status_code == 202
        fleet.wait_until(lambda: _results(fleet, 2, OLD_KEY) != [])
        before = _results(fleet, 2, OLD_KEY)
        fleet.put_key("op/config", _config(4, NEW_KEY))
        for number in (1, 2):
            fleet.wait_until(
                lambda n=number: (
                    _call(fleet, n, "GET", "/-/lots/b1", OLD_KEY).status_code
                    == 401
                )
            )
            other = _call(fleet, number, "GET", "/-/lots/b1", OTHER_KEY)
            assert other.status_code == 404
        # The first three processes are stand-ins.
        owner = next(
            number
            for number in (1, 2)
            if "batch_started" in fleet.processes[2 + number].log.read_text()
        )
        fleet.processes[2 + owner].signal(signal.SIGKILL)
        left = 3 - owner
        fleet.wait_until(lambda: len(_results(fleet, left, NEW_KEY)) == ITEMS)
        assert _results(fleet, left, NEW_KEY)[: len(before)] == before
        other = _call(fleet, left, "GET", "/-/lots/b1", OTHER_KEY)
        assert other.status_code == 404
        workspaces = fleet.client.get(f"{engine}/workspaces").json()
        assert len(workspaces) == ITEMS
        assert {name for names in workspaces.values() for name in names} == {
            "registar"
        }
        # Some items ran again, or went on, at the second instance.
        assert any(len(names) > 1 for names in workspaces.values())
        for process in fleet.processes:
            assert "key-" not in process.log.read_text()
