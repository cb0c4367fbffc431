"""Test the validation of settings and contracts."""

import dataclasses

import pytest
import result

import builders
from hibiscussaddle import codes
from hibiscussaddle import contracts
from hibiscussaddle import settings

BASE = {
    "instance": "entry-1",
    "zone": "zone-a",
    "operator_secret": builders.SECRET,
    "peer_secret": builders.SECRET,
}


def test_flag_overrides_environment() -> None:
    """Fails when the environment overrides a flag."""
    env = {"HIBISCUSSADDLE_CALLER_PORT": "9000"}
    loaded = settings.load({**BASE, "caller_port": 9001}, env).unwrap()
    assert loaded.caller_port == 9001
    assert settings.load(BASE, env).unwrap().caller_port == 9000


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("caller_port", "0"),
        ("caller_port", "abc"),
        ("host", "localhost"),
        ("peers", "10.0.0.1"),
        ("peers", "10.0.0.1:70000"),
        ("peer_secret", "short"),
        ("log_level", "loud"),
        ("store_url", "ftp://store"),
        ("tls_ca", "no-such-file.pem"),
        ("callerport", "1"),
        ("max_body_bytes", "nan"),
    ],
)
def test_error_names_the_invalid_setting(name: str, value: str) -> None:
    """Fails when an instance starts with an invalid setting."""
    refused = settings.load({**BASE, name: value}, {})
    assert isinstance(refused, result.Err)
    assert refused.err_value.code is codes.Code.SETTING_INVALID
    assert name in refused.err_value.message
    assert "allowed" in refused.err_value.message


def test_unknown_environment_variable_is_refused() -> None:
    """Fails when a misspelled variable is silently ignored."""
    refused = settings.load(BASE, {"HIBISCUSSADDLE_CALER_PORT": "1"})
    assert isinstance(refused, result.Err)


def test_secrets_are_hidden_when_printed() -> None:
    """Fails when a secret can reach a log or a terminal."""
    shown = str(settings.load(BASE, {}).unwrap().to_dict())
    assert builders.SECRET not in shown


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("share", 1.5),
        ("share", "half"),
        ("share", True),
        ("share", float("nan")),
        ("staleness_versions", -1),
        ("staleness_versions", 1.5),
        ("idempotent", ["quotes"]),
        ("models", "base"),
        ("customer", ""),
        ("key_hash", "abc"),
        ("colour", "red"),
    ],
)
def test_error_names_the_malformed_contract_field(
    name: str, value: object
) -> None:
    """Fails when a malformed contract is accepted."""
    document = {**builders.contract().to_dict(), name: value}
    refused = contracts.parse(document)
    assert isinstance(refused, result.Err)
    assert repr(name) in refused.err_value.message


def test_contract_round_trip() -> None:
    """Fails when a contract changes between storing and reading."""
    contract = builders.contract()
    assert contracts.parse(dataclasses.asdict(contract)).unwrap() == contract


def test_idempotent_rule_matches_complete_path_segments() -> None:
    """Fails when the rule /quotes also matches /quotes-and-orders."""
    contract = builders.contract(idempotent=("GET /quotes",))
    assert contract.is_idempotent("GET", "/quotes/7")
    assert not contract.is_idempotent("POST", "/quotes")
    assert not contract.is_idempotent("GET", "/quotes-and-orders")
