"""Calls that ask a scoring service for the score of one text."""

from collections import abc
import dataclasses
import enum

from hibiscussaddle.scoring import admission


@dataclasses.dataclass(frozen=True)
class ScoringCall:
    """Describe the request whose answer scores an item's text."""

    id: str
    host: str
    # Absolute path; host and path select the route.
    path: str
    body: bytes


class Outcome(enum.Enum):
    """Tell how one attempt to get a score ended."""

    SCORED = "scored"
    # The service ran it and failed; counts against the attempts.
    FAILED = "failed"
    # Refused, lost, late or not an answer to this call.
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True)
class Score:
    """Hold the service's proof of its answer and who gave it."""

    proof: str
    endpoint_id: str


@dataclasses.dataclass(frozen=True)
class Job:
    """Hold one text that needs a score, as its batch sees it."""

    call: ScoringCall
    item_id: str
    # Route of the batch, whose owner makes the call.
    batch_route: str
    # Attempts that the batch's route allows an item.
    max_attempts: abc.Callable[[], int]
    # Seconds until the results of the batch are due.
    seconds_left: abc.Callable[[], float]
    # Place among the waiting calls; changes as other items are scored.
    rank: abc.Callable[[], admission.Rank]
    # Whether the batch surely still wants the item now.
    may_send: abc.Callable[[], bool]
    # Whether the item is given up.
    is_over: abc.Callable[[], bool]
