"""Test which workspace a call is made for, and that no key is accepted else.

These tests need neither a network nor a clock.
"""

import hypothesis
from hypothesis import strategies
import pytest
import result

from hibiscussaddle import auth
from hibiscussaddle import codes
from hibiscussaddle.customers import headers as customer_headers
from hibiscussaddle.customers import keys
from hibiscussaddle.customers import priority
from hibiscussaddle.platform import config_wire
from hibiscussaddle.routes import routing_config

import batch_builders
import key_builders

BEARER = f"Bearer {key_builders.KEY}"
CONFIG = key_builders.config()
ROUTE = batch_builders.route()
PUBLIC = key_builders.open_route(ROUTE)


def _identify(
    *authorization: str,
    cfg: routing_config.RoutingConfig | None = CONFIG,
    route: routing_config.Route | None = ROUTE,
    is_fresh: bool = True,
) -> str:
    """Return the name of the workspace, '' for none, or the refusal's code."""
    found = keys.CurrentKeys().identify(cfg, route, authorization, is_fresh, 1)
    if isinstance(found, result.Ok):
        return found.ok_value.name if found.ok_value else ""
    refusal = found.err_value
    assert key_builders.KEY not in refusal.message
    is_unauthorized = refusal.code is codes.Code.UNAUTHORIZED
    assert is_unauthorized or refusal.retry_after
    return str(refusal.code.value.number)


@pytest.mark.parametrize(
    ("authorization", "expected"),
    [
        ((BEARER,), "registar"),
        (("bearer \t key-of-registar ",), "registar"),
        ((BEARER, BEARER), "registar"),
        ((f"Bearer {key_builders.OTHER_KEY}",), "portal"),
        ((), "1110"),
        (("",), "1110"),
        (("Bearer",), "1110"),
        (("Bearer none",), "1110"),
        ((key_builders.KEY,), "1110"),
        ((f"Basic {key_builders.KEY}",), "1110"),
        ((BEARER, f"Bearer {key_builders.OTHER_KEY}"), "1110"),
        ((BEARER, "Basic eA=="), "1110"),
        ((f"{BEARER}, {BEARER}",), "1110"),
        (("Bearer " + "k" * 100_000,), "1110"),
    ],
)
def test_key_decides(authorization: tuple[str, ...], expected: str) -> None:
    """Fails when a caller gets another workspace, or one without a key."""
    assert _identify(*authorization) == expected
    assert _identify(*authorization, route=None) == expected
    # What this instance knows may be outdated either way.
    assert _identify(*authorization, is_fresh=False) == "1103"
    assert _identify(*authorization, cfg=None) == "1102"
    for is_fresh in (False, True):
        assert _identify(*authorization, route=PUBLIC, is_fresh=is_fresh) == ""


@pytest.mark.parametrize(
    ("workspaces", "expected"),
    [
        ((), "1110"),
        ((key_builders.workspace("empty"),), "1110"),
        ((key_builders.workspace("a", "", key_builders.KEY),), "a"),
        (
            (
                key_builders.workspace("a", key_builders.KEY),
                key_builders.workspace("b", key_builders.KEY),
            ),
            "1110",
        ),
        (
            (
                key_builders.workspace("a", key_builders.KEY),
                key_builders.workspace("a", key_builders.KEY, "other"),
            ),
            "a",
        ),
        *(
            ((key_builders.workspace(name, key_builders.KEY),), "1110")
            for name in ("", "a b", "a\r\nb", "\u20ac", "a" * 3 + "\x00")
        ),
    ],
)
def test_odd_workspaces_are_clear(
    workspaces: tuple[routing_config.Workspace, ...], expected: str
) -> None:
    """Fails when a workspace is guessed or its name breaks a request."""
    cfg = routing_config.RoutingConfig(2, (ROUTE,), workspaces=workspaces)
    assert _identify(BEARER, cfg=cfg) == expected


def test_deployment_without_workspaces_needs_no_key() -> None:
    """Fails when callers of a deployment without keys are refused."""
    cfg = routing_config.RoutingConfig(1, (ROUTE,))
    assert _identify(cfg=cfg, is_fresh=False) == ""


def test_newer_configuration_replaces_the_keys() -> None:
    """Fails when a key works on that a newer configuration took away."""
    current = keys.CurrentKeys()
    for version, expected in ((1, True), (2, False), (3, True)):
        listed = [key_builders.workspace("a", key_builders.KEY)]
        cfg = routing_config.RoutingConfig(
            version, (), workspaces=tuple(listed if expected else ())
        )
        found = current.identify(cfg, None, [BEARER], True, 0.0)
        assert found.is_ok() is expected


def test_only_blanks_separate_a_key() -> None:
    """Fails when keys that end in different bytes are taken for equal.

    The second byte of both, as Latin-1, counts as white space elsewhere.
    """
    sent = "Bearer  k\u00c3\u00a0\t"
    assert auth.bearer_token(sent) == "k\u00c3\u00a0"


def test_workspace_without_keys_is_read() -> None:
    """Fails when taking the last key away makes a configuration malformed.

    Its keys of before would work on.
    """
    cfg = config_wire.decode_config(
        b'{"version":3,"routes":[],"tenants":[{"name":"a","apiKeys":null}]}'
    )
    assert cfg.workspaces is not None
    assert cfg.workspaces[0].keys == frozenset()


_KEYS = strategies.text(max_size=40)


@hypothesis.given(key=_KEYS, others=strategies.lists(_KEYS, max_size=3))
def test_any_key_is_found_or_refused(key: str, others: list[str]) -> None:
    """Fails when an odd key raises, or opens another workspace."""
    index = keys.create_index(
        (
            key_builders.workspace("a", key),
            key_builders.workspace("b", *others),
        )
    )
    sent = key.encode("utf-8", "surrogatepass").decode("latin-1")
    tokens = {
        auth.bearer_token(
            "Bearer " + text.encode("utf-8", "surrogatepass").decode("latin-1")
        )
        for text in others
    }
    found = keys.identify(index, False, [f"Bearer {sent}"], True, 0.0)
    token = auth.bearer_token(f"Bearer {sent}")
    assert found.is_ok() is (bool(token) and token not in tokens)
    if isinstance(found, result.Ok) and found.ok_value:
        assert found.ok_value.name == "a"
    assert not token or len(token) < 8 or token not in repr(index)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["authorization", "x-tenant", "x-model"]),
            strategies.sampled_from(
                [BEARER, BEARER.lower(), f" BEARER\t{key_builders.KEY}", "m"]
            ),
        )
    )
)
def test_forwarded_headers_hold_no_key(headers: list[tuple[str, str]]) -> None:
    """Fails when a caller's key or workspace passes to an endpoint."""
    kept = customer_headers.forwarded(headers)
    assert all(name != "x-tenant" for name, _ in kept)
    assert [v for n, v in kept if n == "authorization" and v != "m"] == []
    assert [h for h in kept if h[0] == "x-model"] == [
        h for h in headers if h[0] == "x-model"
    ]


def test_priority_of_the_workspace_goes_first() -> None:
    """Fails when a route's priority hides the one of the workspace."""
    route = batch_builders.route(priority=3)
    urgent = key_builders.workspace("a", priority=0)
    assert priority.effective_priority(urgent, route) == 0
    plain = key_builders.workspace("b")
    assert priority.effective_priority(plain, route) == 3
    assert priority.effective_priority(None, route) == 3
