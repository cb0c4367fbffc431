"""Split the bytes of an event stream into whole events, kept as sent."""

import dataclasses
import re
import typing

from hibiscussaddle import decoding

# Servers send no larger events; a faulty one may send bytes without end.
MAX_EVENT_BYTES: typing.Final = 1 << 20
# Two line ends in a row. The group is atomic, since CR LF is one line end.
_EVENT_END: typing.Final = re.compile(rb"(?>\r\n|\n|\r){2}")
_LINE_END: typing.Final = re.compile(rb"\r\n|\n|\r")
# Bytes before new ones that may belong to the end of an event.
_END_OVERLAP: typing.Final = 3


class MalformedStreamError(Exception):
    """Signal that a stream isn't what its endpoint should send."""


@dataclasses.dataclass(frozen=True)
class Event:
    """Hold one event as its endpoint sent it."""

    raw: bytes
    # None without a valid one.
    id: int | None
    # A comment carries nothing for the caller.
    has_data: bool


class EventSplitter:
    """Hold back an incomplete event until its end arrives."""

    def __init__(self) -> None:
        """Start between two events."""
        self._buffer = bytearray()

    @property
    def buffered(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete."""
        search_from = max(0, len(self._buffer) - _END_OVERLAP)
        self._buffer += data
        events = []
        start = 0
        while end := _EVENT_END.search(self._buffer, search_from):
            events.append(_parse(bytes(self._buffer[start : end.end()])))
            start = search_from = end.end()
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise MalformedStreamError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes"
            )
        return events


def _parse(raw: bytes) -> Event:
    event_id = None
    has_data = False
    for line in _LINE_END.split(raw):
        name, _, value = line.partition(b":")
        if name == b"id":
            try:
                event_id = decoding.parse_count(
                    value.removeprefix(b" ").decode()
                )
            except ValueError:
                event_id = None
        elif name == b"data":
            has_data = True
    return Event(raw, event_id, has_data)
