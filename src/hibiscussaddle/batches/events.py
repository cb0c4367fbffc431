"""Parse the event stream of one run of an item."""

import dataclasses
import typing

from hibiscussaddle.batches import model
from hibiscussaddle.platform import endpoint_wire

# Larger events than this are not the endpoint's, in bytes.
_MAX_EVENT_BYTES: typing.Final = 1 << 20


class MalformedStream(Exception):
    """Tell that the bytes of a stream are not events in order."""


@dataclasses.dataclass(frozen=True)
class Event:
    """Hold one event of a stream."""

    id: int
    data: str
    # Weight version from this event on, None when it did not change.
    version: int | None = None


class EventParser:
    """Turn bytes into events; an unfinished event is never returned."""

    def __init__(self) -> None:
        """Start at the begin of a stream."""
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete with these bytes."""
        self._buffer += data.replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise MalformedStream("an event exceeds a megabyte")
        return [_parse(block) for block in blocks if block]

    @property
    def is_between_events(self) -> bool:
        """Tell whether no part of an event is pending."""
        return not self._buffer.strip()


def _parse(block: bytes) -> Event:
    fields: dict[str, str] = {}
    data: list[str] = []
    try:
        lines = block.decode().split("\n")
    except UnicodeDecodeError as exc:
        raise MalformedStream(str(exc)) from exc
    for line in lines:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        else:
            fields[name] = value
    try:
        version = fields.get(endpoint_wire.WEIGHT_VERSION_HEADER)
        return Event(
            int(fields["id"]),
            "\n".join(data),
            None if version is None else int(version),
        )
    except (KeyError, ValueError) as exc:
        raise MalformedStream(f"event without a valid id: {exc}") from exc


@dataclasses.dataclass
class Transcript:
    """Collect the events of one item over its runs."""

    texts: list[str] = dataclasses.field(default_factory=list)
    last_id: int | None = None
    versions: set[int] = dataclasses.field(default_factory=set)
    # The engine ended the stream; the text is complete.
    is_whole: bool = False

    def add(self, event: Event, version: int) -> None:
        """Append the next event; MalformedStream when one is missing."""
        if self.last_id is not None and event.id != self.last_id + 1:
            raise MalformedStream(
                f"event {event.id} follows event {self.last_id}"
            )
        self.texts.append(event.data)
        self.last_id = event.id
        self.versions.add(version)

    def to_partial(self, item_id: str) -> model.TextCheckpoint | None:
        """Return what another instance needs to continue, if anything."""
        if self.last_id is None:
            return None
        return model.TextCheckpoint(
            item_id,
            tuple(self.texts),
            self.last_id,
            tuple(sorted(self.versions)),
            self.is_whole,
        )

    def clear(self) -> None:
        """Forget everything, so that the next run starts anew."""
        self.texts.clear()
        self.versions.clear()
        self.last_id = None
        self.is_whole = False


def create_transcript(
    partial: model.TextCheckpoint | None, min_version: int
) -> Transcript:
    """Return a transcript that continues a text if its versions fit."""
    if partial is None or min(partial.versions, default=0) < min_version:
        return Transcript()
    return Transcript(
        list(partial.texts),
        partial.last_event_id,
        set(partial.versions),
        partial.is_whole,
    )


def create_whole_transcript(found: model.Result) -> Transcript:
    """Return the transcript of a text that is complete already.

    No run continues it, so the id of its last event is not needed.
    """
    return Transcript([found.text], 0, set(found.versions), is_whole=True)
