"""Guard which operations the operator commands call."""

import fire
import pytest

from hibiscussaddle import cli
from hibiscussaddle.commands import console


@pytest.mark.parametrize(
    ("words", "method", "path"),
    [
        (["endpoint", "list"], "GET", "/v1/endpoints"),
        (["endpoint", "leave", "e1"], "POST", "/v1/endpoints/e1/leave"),
        (["endpoint", "clear", "e1"], "POST", "/v1/endpoints/e1/clear"),
        (["instance", "list"], "GET", "/v1/instances"),
        (["instance", "leave", "i1"], "POST", "/v1/instances/i1/leave"),
        (["instance", "clear", "i1"], "POST", "/v1/instances/i1/clear"),
        (["instance", "stop", "i1"], "POST", "/v1/instances/i1/stop"),
    ],
)
def test_command_calls_its_operation(
    words: list[str],
    method: str,
    path: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a command that changes the wrong kind of target."""
    called: list[tuple[str, str]] = []

    def call(_: str, verb: str, target: str, body: object = None) -> object:
        called.append((verb, target))
        return {"endpoints": [], "instances": [], "body": body}

    monkeypatch.setattr(console, "call", call)
    fire.Fire(cli.Commands(), command=words)
    assert called == [(method, path)]
