"""Test that data from outside the process can only be rejected."""

from collections import abc
import pathlib
import re
import typing

import pytest

from hibiscussaddle.adapters import store
from hibiscussaddle.batches import model
from hibiscussaddle import decoding
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import presence
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import gateway_components
from hibiscussaddle.platform import batch_wire
from hibiscussaddle.platform import config_wire
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.platform import store_wire
import platform_builders

SOURCES: typing.Final = pathlib.Path(decoding.__file__).parent
# Calls that decode data without the conversion of nesting errors.
_DIRECT_DECODING: typing.Final = re.compile(
    r"msgspec\.(json|msgpack)\.(decode|Decoder)\b"
    r"|\bjson\.loads?\("
    r"|\b(resp|req|request|response)\.json\(\)"
)

NESTED_ARRAYS: typing.Final = b'{"unknown": ' + b"[" * 100_000
NESTED_OBJECTS: typing.Final = b'{"unknown": ' + b'{"a":' * 100_000
# A map whose only key is unknown to every decoder.
NESTED_MSGPACK: typing.Final = b"\x81\xa1?" + b"\x91" * 100_000 + b"\xc0"

JSON_DECODERS: typing.Final[dict[str, abc.Callable[[bytes], object]]] = {
    "entry": lambda data: endpoint_wire.decode_endpoint("servers/i-1", data),
    "report": endpoint_wire.decode_report,
    "configuration": config_wire.decode_config,
    "version": lambda data: config_wire.decode_published_version(
        "op/version/base", data
    ),
    "batch": lambda data: batch_wire.decode_batch("b", "r", "h", data, 0.0),
    "item": store_wire.decode_item,
    "page": store_wire.decode_page,
    "events": store_wire.decode_events,
    "conflict": store_wire.decode_conflict,
    "revision": store_wire.decode_revision,
    "lease": store_wire.decode_lease,
}


@pytest.mark.parametrize("data", [NESTED_ARRAYS, NESTED_OBJECTS])
@pytest.mark.parametrize("name", JSON_DECODERS)
def test_deeply_nested_json_is_malformed(name: str, data: bytes) -> None:
    """Fails when nesting raises an error that no caller handles.

    RecursionError is no ValueError, and one such entry ended every gateway.
    """
    with pytest.raises(ValueError):
        JSON_DECODERS[name](data)


@pytest.mark.parametrize(
    "decode",
    [
        lambda data: model.decode_parts([data]),
        model.decode_results,
        model.decode_checkpoints,
        decoding.decode_msgpack,
    ],
)
def test_deeply_nested_msgpack_is_malformed(
    decode: abc.Callable[[bytes], object],
) -> None:
    """Fails when a nested message ends the task that decodes it."""
    with pytest.raises(ValueError):
        decode(NESTED_MSGPACK)


@pytest.mark.parametrize("data", [NESTED_ARRAYS, NESTED_OBJECTS])
def test_deeply_nested_entry_hides_only_itself(data: bytes) -> None:
    """Fails when an odd entry stops the listing of the other endpoints."""
    odd = store.StoreEntry("servers/s-other", data, 7)
    valid = platform_builders.endpoint_entry("i-1")
    changes = change_log.ChangeLog(gateway_components.endpoint_content)
    view = view_lib.create_view()
    for entries in ((odd, valid), (valid, odd)):
        page = change_log.Page(entries, 8, is_listing=True)
        changes.apply(page)
        view.apply_endpoint_listing(list(entries))
        assert [ep.id for ep in view.directory.all()] == ["i-1"]
    assert odd.value is None


def test_deeply_nested_member_is_ignored() -> None:
    """Fails when an odd entry stops the listing of the members."""
    members = presence.Members(presence.Member("me", "zone-a", 1, "h:1"))
    odd = store.StoreEntry(presence.PREFIX + "x", NESTED_ARRAYS, 7)
    members.apply_listing([odd])
    assert not members.all


def test_outside_data_is_decoded_in_one_module() -> None:
    """Fails when a module decodes data without converting nesting errors."""
    found = [
        f"{path.relative_to(SOURCES)}: {line.strip()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if path.name != "decoding.py" and "standins" not in path.parts
        for line in path.read_text().splitlines()
        if _DIRECT_DECODING.search(line)
    ]
    assert not found
