"""Guard gateways against settings that a deployment lacks or misstates."""

import pathlib
import tomllib
import typing

import pytest
import result

from hibiscussaddle import gateway_settings
from hibiscussaddle.platform import settings_file

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
VARIABLES: typing.Final = {
    "HIBISCUSSADDLE_INSTANCE": "gateway-1",
    "HIBISCUSSADDLE_ZONE": "zone-a",
    "HIBISCUSSADDLE_STORE_ADDRESS": "127.0.0.1:8266",
}
DOCUMENT: typing.Final = """
[limits]
cpuShare = 0.5
memoryMb = 300
fileDescriptors = 4100
[bounds]
strictRevocation = true
revokeMs = 5000
usageWindowS = 5
usageLateS = 10
[cloudApi]
address = "127.0.0.1:8182"
duties = ["usage_report","autoscale"]
dutyPerS = 50.0
"""


def _load(
    folder: pathlib.Path, text: str | None, **more: str
) -> result.Result[gateway_settings.GatewaySettings, typing.Any]:
    path = folder / "settings.toml"
    if text is not None:
        path.write_text(text)
    config = {"HIBISCUSSADDLE_CONFIG": str(path)}
    return gateway_settings.load({}, {**VARIABLES, **config, **more})


def test_limits_of_the_machine_are_read(tmp_path: pathlib.Path) -> None:
    """Fails when an instance doesn't know its memory or its duties."""
    cfg = _load(tmp_path, DOCUMENT).unwrap()
    assert (cfg.memory_mb, cfg.file_descriptors) == (300, 4100)
    assert (cfg.strict_revocation, cfg.revocation_ms) == ("true", 5000)
    assert cfg.control_address == "127.0.0.1:8182"
    assert cfg.control_duties == ("usage_report", "autoscale")
    assert cfg.control_calls_per_second == 50
    assert (cfg.usage_window_seconds, cfg.usage_late_seconds) == (5, 10)


def test_variables_go_before_the_file(tmp_path: pathlib.Path) -> None:
    """Fails when an operator can't override the platform."""
    cfg = _load(tmp_path, DOCUMENT, HIBISCUSSADDLE_MEMORY_MB="512").unwrap()
    assert cfg.memory_mb == 512


@pytest.mark.parametrize("text", [None, "", 'limits = 7\nx = "y"', "[bounds]"])
def test_gateway_starts_without_optional_settings(
    tmp_path: pathlib.Path, text: str | None
) -> None:
    """Fails when a deployment without newer settings can't start.

    The deploy file named settings that the platform of an earlier review
    didn't have, and no gateway started there.
    """
    cfg = _load(tmp_path, text).unwrap()
    assert (cfg.memory_mb, cfg.control_address) == (0, "")


@pytest.mark.parametrize(
    "text", ["x =", "[limits]\nmemoryMb = -1", "[limits]\nmemoryMb = nan"]
)
def test_malformed_file_is_refused(tmp_path: pathlib.Path, text: str) -> None:
    """Fails when an instance starts without a bound that was meant."""
    assert isinstance(_load(tmp_path, text), result.Err)


def test_deploy_file_names_only_settings_of_every_deployment() -> None:
    """Fails when the deploy file needs what some platform doesn't have."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    known = {
        "{{nodeName}}",
        "{{zone}}",
        "{{listenAddresses.front}}",
        "{{listenAddresses.ready}}",
        "{{ipAddress}}:{{internalPortRange.0}}",
        "{{ipAddress}}:{{internalPortRange.1}}",
        "{{platform.address}}",
        "{{limits.cpuShare}}",
        "{{limits.cpuCores}}",
        "{{bounds.graceS}}",
    }
    assert set(deploy["roles"]["gateway"]["env"].values()) <= known
    assert settings_file.decode("") == {}
