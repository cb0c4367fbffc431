"""Guard the parsing of an item's event stream."""

import hypothesis
from hypothesis import strategies
import pytest

from hibiscussaddle.batches import events

STREAM = (
    b"id: 1\ndata: first\n\n"
    b"x-weight-versions: 7\nid: 2\ndata: second\n\n"
    b"id: 3\r\ndata: third\r\n\r\n"
)


@hypothesis.given(strategies.lists(strategies.integers(1, len(STREAM))))
def test_chunk_boundaries_do_not_change_events(cuts: list[int]) -> None:
    """Fails when an event that arrives in pieces is lost or duplicated."""
    # A carriage return and its line feed arrive in one read.
    stream = STREAM.replace(b"\r", b"")
    parser = events.EventParser()
    found: list[events.Event] = []
    start = 0
    for cut in [*sorted(cuts), len(stream)]:
        found += parser.feed(stream[start:cut])
        start = max(start, cut)
    assert [event.id for event in found] == [1, 2, 3]
    assert [event.data for event in found] == ["first", "second", "third"]
    assert [event.version for event in found] == [None, 7, None]
    assert parser.is_between_events


def test_incomplete_event_is_held_back() -> None:
    """Fails when a truncated event of a crashed engine is added to a text."""
    parser = events.EventParser()
    assert parser.feed(b"id: 1\ndata: whole\n\nid: 2\ndata: ha") != []
    assert not parser.is_between_events


@pytest.mark.parametrize("ids", [(1, 3), (1, 1), (2, 1)])
def test_missing_or_repeated_event_is_rejected(ids: tuple[int, int]) -> None:
    """Fails when an event is missing from a text or added twice."""
    transcript = events.Transcript()
    transcript.add(events.Event(ids[0], "a"), 1)
    with pytest.raises(events.MalformedStreamError):
        transcript.add(events.Event(ids[1], "b"), 1)


@hypothesis.given(strategies.binary(max_size=100))
def test_corrupt_bytes_are_parsed_or_rejected(data: bytes) -> None:
    """Fails when a corrupt response of an engine ends the owner's task."""
    try:
        events.EventParser().feed(data)
    except events.MalformedStreamError:
        pass


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_reads_may_end_anywhere(line_end: bytes) -> None:
    """Fails when a CR and its LF arrive in two reads and the CR stays."""
    stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n".replace(b"\n", line_end)
    for split in range(len(stream) + 1):
        parser = events.EventParser()
        found = parser.feed(stream[:split]) + parser.feed(stream[split:])
        assert [(event.id, event.data) for event in found] == [
            (1, "a"),
            (2, "b"),
        ]
        assert parser.is_between_events
