"""Parse the event stream of one run of an item."""

import dataclasses
import typing

from hibiscussaddle.batches import model
from hibiscussaddle import decoding
from hibiscussaddle.platform import endpoint_wire

# Longest text of an item, in bytes. A longer one fits neither a page of
# results nor an entry of the log.
MAX_TEXT_BYTES: typing.Final = 800_000
# Engines send no larger events.
_MAX_EVENT_BYTES: typing.Final = 1 << 20


class MalformedStreamError(Exception):
    """Signal that a stream is not a sequence of valid, consecutive events."""


@dataclasses.dataclass(frozen=True)
class Event:
    """Hold one event of a stream."""

    id: int
    data: str
    # Weight version from this event on, None when it did not change.
    version: int | None = None


class EventParser:
    """Parse bytes into events and buffer an incomplete event."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._buffer = b""
        # A CR at the end of a read, whose LF may begin the next one.
        self._held = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete."""
        data = self._held + data
        self._held = b"\r" if data.endswith(b"\r") else b""
        data = data.removesuffix(b"\r")
        self._buffer += data.replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise MalformedStreamError(
                f"event exceeds {_MAX_EVENT_BYTES} bytes"
            )
        return [_parse(block) for block in blocks if block]

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not (self._buffer + self._held).strip()


def _parse(block: bytes) -> Event:
    fields: dict[str, str] = {}
    data: list[str] = []
    try:
        lines = block.decode().split("\n")
    except UnicodeDecodeError as exc:
        raise MalformedStreamError(str(exc)) from exc
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
            decoding.parse_count(fields["id"]),
            "\n".join(data),
            None if version is None else decoding.parse_count(version),
        )
    except (KeyError, ValueError) as exc:
        raise MalformedStreamError(
            f"event has an invalid id or weight version: {exc}"
        ) from exc


@dataclasses.dataclass(frozen=True)
class Mark:
    """Hold the end of a text, to which a transcript can be reset."""

    event_count: int
    last_id: int | None
    versions: frozenset[int]
    added_bytes: int
    software_version: str | None


@dataclasses.dataclass
class Transcript:
    """Collect the events of one item across its runs."""

    texts: list[str] = dataclasses.field(default_factory=list)
    last_id: int | None = None
    versions: set[int] = dataclasses.field(default_factory=set)
    # Whether the engine ended the stream, so that the text is complete.
    is_complete: bool = False
    # Bytes of the events that were added, with the line feeds between them.
    added_bytes: int = 0
    # Software version of the engines that wrote the text, None while it is
    # empty or unknown.
    software_version: str | None = None

    def add(
        self,
        event: Event,
        version: int,
        software_version: str | None = None,
    ) -> None:
        """Append the next event, which an engine of a software version sent.

        Raises MalformedStreamError unless the ids are consecutive, and where
        the text becomes too long, which is discarded then.
        """
        if self.last_id is not None and event.id != self.last_id + 1:
            raise MalformedStreamError(
                f"event {event.id} follows event {self.last_id}"
            )
        self.added_bytes += len(event.data.encode()) + 1
        if self.added_bytes > MAX_TEXT_BYTES:
            self.clear()
            raise MalformedStreamError(
                f"text exceeds {MAX_TEXT_BYTES} bytes at event {event.id}"
            )
        self.texts.append(event.data)
        self.last_id = event.id
        self.versions.add(version)
        if self.software_version is None:
            self.software_version = software_version

    def mark(self) -> Mark:
        """Return the current end of the text."""
        return Mark(
            len(self.texts),
            self.last_id,
            frozenset(self.versions),
            self.added_bytes,
            self.software_version,
        )

    def reset(self, mark: Mark) -> None:
        """Discard the events after a mark."""
        if len(self.texts) < mark.event_count:
            # The text was discarded since then.
            return
        del self.texts[mark.event_count :]
        self.last_id = mark.last_id
        self.versions = set(mark.versions)
        self.added_bytes = mark.added_bytes
        self.software_version = mark.software_version
        self.is_complete = False

    def to_checkpoint(self, item_id: str) -> model.TextCheckpoint | None:
        """Return a checkpoint to resume from, None without any event."""
        if self.last_id is None:
            return None
        return model.TextCheckpoint(
            item_id,
            tuple(self.texts),
            self.last_id,
            tuple(sorted(self.versions)),
            self.is_complete,
            self.software_version,
        )

    def clear(self) -> None:
        """Discard the text, so that the next run starts from the prompt."""
        self.texts.clear()
        self.versions.clear()
        self.last_id = None
        self.is_complete = False
        self.added_bytes = 0
        self.software_version = None


def create_transcript(
    checkpoint: model.TextCheckpoint | None, min_version: int
) -> Transcript:
    """Return a transcript that resumes a checkpoint.

    The transcript is empty when the text has a version that is too old.
    """
    if checkpoint is None or min(checkpoint.versions, default=0) < min_version:
        return Transcript()
    return Transcript(
        list(checkpoint.texts),
        checkpoint.last_event_id,
        set(checkpoint.versions),
        checkpoint.is_whole,
        sum(len(text.encode()) + 1 for text in checkpoint.texts),
        checkpoint.software_version,
    )


def create_complete_transcript(result: model.Result) -> Transcript:
    """Return the transcript of a complete text.

    No run resumes it, so the id of its last event is not needed.
    """
    return Transcript([result.text], 0, set(result.versions), is_complete=True)
