"""Batches, their items and results, and their keys and values in the store."""

from collections import abc
import dataclasses
import enum
import sys
import typing

import msgspec

from hibiscussaddle import decoding
from hibiscussaddle.scoring import model as scoring_model


@dataclasses.dataclass(frozen=True)
class Item:
    """Describe one request of a batch."""

    id: str
    # Absolute path at the endpoint.
    path: str
    headers: dict[str, str]
    body: bytes
    # Prompt tokens plus the maximum of output tokens.
    tokens: int
    # Items of one group share a prompt and are counted together.
    group: str = ""
    # Estimate of output tokens, None when the caller gave none.
    expected_output: float | None = None
    # Sent once the text is complete; the proof in the response is the score.
    scoring: scoring_model.ScoringCall | None = None


@dataclasses.dataclass(frozen=True)
class Batch:
    """Describe one accepted batch."""

    id: str
    route: str
    host: str
    items: tuple[Item, ...]
    # Wall-clock seconds.
    submitted_at: float
    model: str = ""
    step: int | None = None
    # Oldest weight version that may generate events of its items.
    min_version: int = 0
    # Complete groups that the trainer waits for; 0 waits for all items.
    groups_wanted: int = 0
    # Workspace whose callers may read the batch; empty without workspaces.
    workspace: str = ""


class Outcome(enum.Enum):
    """Name how an item ended."""

    COMPLETED = "completed"
    # Abandoned; the item does not run again.
    DEAD = "dead"


@dataclasses.dataclass(frozen=True)
class Result:
    """Hold the result of one item; a logged result never changes."""

    item_id: str
    outcome: Outcome
    # Data of all events in order, separated by line feeds.
    text: str = ""
    # Weight versions that generated the events, ascending.
    versions: tuple[int, ...] = ()
    # Proof in the scoring service's response, empty without a scoring call.
    score: str = ""


@dataclasses.dataclass(frozen=True)
class TextCheckpoint:
    """Hold the events that an unfinished item has generated so far."""

    item_id: str
    texts: tuple[str, ...]
    # Id of the newest event, after which the next run continues.
    last_event_id: int
    versions: tuple[int, ...]
    # Whether the text is complete and only its score is missing.
    is_whole: bool = False
    # Software version of the engines that wrote the text; None in checkpoints
    # of earlier builds, which ignore the field.
    software_version: str | None = None


@dataclasses.dataclass(frozen=True)
class Head:
    """Hold the metadata of a batch that reads need."""

    # Number of items.
    total: int
    # Wall-clock seconds.
    submitted_at: float
    route: str = ""
    workspace: str = ""


@dataclasses.dataclass(frozen=True)
class Owner:
    """Name the instance that runs a batch and logs its results."""

    instance: str
    incarnation: int


def held_bytes(texts: abc.Iterable[str | bytes]) -> int:
    """Return the memory that texts hold, without that of their containers.

    Includes the header of each string, which counts for texts that arrive as
    many short events.
    """
    return sum(map(sys.getsizeof, texts))


def head_key(batch_id: str) -> str:
    """Return the key of a batch's head."""
    return f"batch/{batch_id}/head"


def parts_prefix(batch_id: str) -> str:
    """Return the key prefix of a batch's parts."""
    return f"batch/{batch_id}/part/"


def part_key(batch_id: str, number: int) -> str:
    """Return the key of one part of an encoded batch."""
    return f"{parts_prefix(batch_id)}{number:02}"


def log_prefix(batch_id: str) -> str:
    """Return the key prefix of a batch's result log."""
    return f"batch/{batch_id}/log/"


def log_key(batch_id: str, number: int) -> str:
    """Return the key of one entry of a batch's result log."""
    return f"{log_prefix(batch_id)}{number:06}"


def checkpoints_key(batch_id: str) -> str:
    """Return the key of a batch's text checkpoints."""
    return f"batch/{batch_id}/partials"


def end_key(batch_id: str) -> str:
    """Return the key that exists once a batch has ended."""
    return f"batch/{batch_id}/end"


OWNER_PREFIX: typing.Final = "owner/"


def owner_key(batch_id: str) -> str:
    """Return the key of the record that names a batch's owner."""
    return OWNER_PREFIX + batch_id


def may_use(workspace: str | None, head: Head) -> bool:
    """Return whether callers of a workspace may use a batch.

    With None callers need no key. A batch without a workspace was submitted
    where no key was needed.
    """
    return workspace is None or head.workspace in ("", workspace)


def is_repeat(batch: Batch, stored: Head) -> bool:
    """Return whether a batch under the ID of a stored one is the same batch.

    Routes may have begun or ceased to need keys since it was stored.
    """
    if batch.workspace == stored.workspace:
        return True
    is_keyless = "" in (batch.workspace, stored.workspace)
    return is_keyless and batch.route == stored.route


def create_head(batch: Batch) -> Head:
    """Return the head of a batch."""
    return Head(
        len(batch.items), batch.submitted_at, batch.route, batch.workspace
    )


def encode_results(results: list[Result]) -> bytes:
    """Return the value of one entry of the result log."""
    return msgspec.msgpack.encode(results)


def encode_checkpoints(checkpoints: list[TextCheckpoint]) -> bytes:
    """Return the value of a batch's text checkpoints."""
    return msgspec.msgpack.encode(checkpoints)


def decode_checkpoints(data: bytes) -> list[TextCheckpoint]:
    """Return a batch's text checkpoints; ValueError if malformed."""
    return decoding.decode_msgpack(data, list[TextCheckpoint])


def decode_results(data: bytes) -> list[Result]:
    """Return the results of a log entry; ValueError if malformed."""
    return decoding.decode_msgpack(data, list[Result])
