"""Requests to a scoring service for the score of one text."""

from collections import abc
import dataclasses
import enum

from hibiscussaddle.scoring import admission


@dataclasses.dataclass(frozen=True)
class ScoringCall:
    """Describe the request whose response scores an item's text."""

    id: str
    host: str
    # Absolute path; host and path select the route.
    path: str
    body: bytes


class Outcome(enum.Enum):
    """Classify the end of one attempt to get a score."""

    SCORED = "scored"
    # The service responded with a failure; counts against the attempts.
    FAILED = "failed"
    # Refused, timed out or without a valid response to this call.
    NO_RESPONSE = "unanswered"


@dataclasses.dataclass(frozen=True)
class Score:
    """Hold the score of one text and the endpoint that responded.

    The score is the proof in the response, which only the service can create.
    """

    proof: str
    endpoint_id: str


@dataclasses.dataclass(frozen=True)
class Job:
    """Describe one text to score, with the limits of its batch."""

    call: ScoringCall
    item_id: str
    # Route of the batch; the instance that owns it makes the call.
    batch_route: str
    # Attempts that the batch's route allows an item.
    max_attempts: abc.Callable[[], int]
    # Seconds until the results of the batch are due.
    seconds_left: abc.Callable[[], float]
    # Rank among the waiting calls; changes as other items are scored.
    rank: abc.Callable[[], admission.Rank]
    # Whether the ownership of the batch is confirmed at this moment.
    may_send: abc.Callable[[], bool]
    # Whether the item's retention time has passed.
    is_expired: abc.Callable[[], bool]
    # Workspace of the batch; empty without one.
    workspace: str = ""
