"""Hold what instances ask each other about an endpoint."""

import msgspec

from hibiscussaddle import decoding


class Question(msgspec.Struct, frozen=True):
    """Ask whether an instance reaches a lifetime of an endpoint."""

    endpoint_id: str
    incarnation: decoding.Int


class Answer(msgspec.Struct, frozen=True):
    """Say what an instance knows of an endpoint."""

    # Value of decision.Reach.
    reach: str
    # Incarnation that it lists, None if it lists none.
    incarnation: decoding.Int | None = None
    is_leaving: bool = False
    # Seconds after which the newest entry was surely written, before the
    # answer; None if that is unknown.
    renewed_ago: decoding.Amount | None = None
