"""Guard against one input whose unexpected error ends the process."""

import time
import typing

import anyio
import pytest

from hibiscussaddle.adapters import connections
from hibiscussaddle.batches import events
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import runs
from hibiscussaddle import containment
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import presence
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import gateway_components
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.rate_limits import limiter as limiter_lib

import batch_builders
import limit_builders
import platform_builders
import raw_server


class UnexpectedError(Exception):
    """Stand for an error that no handler expects."""


@pytest.fixture(name="odd_key")
def make_odd_key(monkeypatch: pytest.MonkeyPatch) -> str:
    """Return a key whose entry raises an unexpected error."""
    odd_key = "servers/odd"
    decode = endpoint_wire.decode_endpoint

    def fail(key: str, data: bytes) -> typing.Any:
        if key == odd_key:
            raise UnexpectedError
        return decode(key, data)

    monkeypatch.setattr(endpoint_wire, "decode_endpoint", fail)
    return odd_key


def test_entry_with_an_unexpected_error_hides_only_itself(
    odd_key: str,
) -> None:
    """Fails when an error in one entry ends the feed and the process."""
    entries = (
        platform_builders.endpoint_entry("odd"),
        platform_builders.endpoint_entry("i-1"),
    )
    assert entries[0].key == odd_key
    before = logs.EVENTS["input_failed"]
    view = view_lib.create_view()
    changes = change_log.ChangeLog(gateway_components.endpoint_content)
    changes.apply(change_log.Page(entries, 8, is_listing=True))
    view.apply_endpoint_listing(list(entries))
    assert [ep.id for ep in view.directory.all()] == ["i-1"]
    assert logs.EVENTS["input_failed"] == before + 2


def test_member_with_an_unexpected_error_hides_only_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when an error in one member's key ends the process."""
    members = presence.Members(presence.Member("me", "zone-a", 1))
    monkeypatch.setattr(presence.decoding, "decode_json", lambda *_: 1 / 0)
    entry = platform_builders.endpoint_entry("i-1")
    odd = presence.store.StoreEntry(presence.PREFIX + "x", entry.data, 7)
    members.apply_listing([odd])
    assert not members.all


def test_item_with_an_unexpected_error_is_tried_again_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails when an error of one run ends the owner of its batch."""
    monkeypatch.setattr(limiter_lib.Limiter, "observe", lambda *_, **__: 1 / 0)
    ends: list[runs.RunEnd] = []

    async def main() -> float:
        client = connections.create_client()
        response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        started = time.monotonic()
        async with raw_server.serve(response) as url:
            runner = runs.ItemRunner(
                client, placement.Placement(), limit_builders.limiter()
            )
            batch = batch_builders.batch()
            progress = runs.Progress(batch.items[0], events.Transcript())
            endpoint = batch_builders.engine("e-1", address=url)
            with anyio.fail_after(5):
                ends.append(await runner.run(progress, batch, endpoint))
        await client.aclose()
        return time.monotonic() - started

    # Without a pause the item would use up the processor.
    assert anyio.run(main) > 0.5
    assert ends == [runs.RunEnd.BROKEN]


def test_cancellation_is_not_contained() -> None:
    """Fails when a task that handles an input can't be cancelled."""
    reached: list[str] = []

    async def main() -> None:
        with anyio.move_on_after(0.05):
            with containment.contain("item", "i-1"):
                await anyio.sleep_forever()
            reached.append("after")

    anyio.run(main)
    assert not reached
