"""Decide which endpoints may continue a text or stream that others began.

Servers of different software versions write texts that don't fit together, and
they don't check this themselves. Items of batches and streams of callers use
these functions; nothing else compares software versions.
"""

from collections import abc
import enum
import typing

from hibiscussaddle import endpoints

# Limits of the time that a text waits for an engine of its version while
# engines of other versions have capacity. An item must not wait for seconds
# at no engine.
MIN_WAIT_SECONDS: typing.Final = 0.1
MAX_WAIT_SECONDS: typing.Final = 1.0


class DiscardReason(enum.Enum):
    """Name why a text is discarded for an engine of another version."""

    NO_ENGINE_LEFT = "no_engine_left"
    # Engines of the version are left and had no capacity for too long.
    NO_CAPACITY = "no_capacity"


def may_continue(began: str | None, endpoint: endpoints.Endpoint) -> bool:
    """Return whether an endpoint may continue what a version began.

    With None nothing has begun, or an earlier build stored no version.
    """
    return began is None or endpoint.software_version == began


def filter_continuing(
    began: str | None, candidates: abc.Iterable[endpoints.Endpoint]
) -> list[endpoints.Endpoint]:
    """Return the endpoints that may continue what a version began."""
    return [ep for ep in candidates if may_continue(began, ep)]


def is_listed_version(
    endpoint: endpoints.Endpoint, listed: endpoints.Endpoint | None
) -> bool:
    """Return whether nothing contradicts the software version of an endpoint.

    An endpoint that restarts keeps its ID, and the entry from which it was
    chosen may be older than the restart. Requests name only the ID.
    """
    return (
        listed is None or listed.software_version == endpoint.software_version
    )


def max_wait_seconds(events: int, interval: float | None) -> float:
    """Return how long a text waits for an engine of its version.

    Waiting longer costs more than generating its events again. The interval
    between events is None while it is unknown.
    """
    if interval is None:
        return MAX_WAIT_SECONDS
    return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, events * interval))


def discard_reason(
    began: str | None,
    candidates: abc.Collection[endpoints.Endpoint],
    has_waited: bool,
) -> DiscardReason | None:
    """Return why a text gives way to one of another version, None if it waits.

    Without any candidate the list of endpoints may be incomplete.
    """
    if began is None or not candidates:
        return None
    if not filter_continuing(began, candidates):
        return DiscardReason.NO_ENGINE_LEFT
    return DiscardReason.NO_CAPACITY if has_waited else None
