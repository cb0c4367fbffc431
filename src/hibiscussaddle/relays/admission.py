"""Decide how many attempts of other instances an instance runs at a time.

This module only decides: the caller tells it when attempts begin and end.
"""

import dataclasses
import math
import typing

from hibiscussaddle.callers import connections
from hibiscussaddle.callers import memory

# A stream mostly waits for its endpoint, and a short attempt takes about 3 ms
# of a core. The rest is for the callers of this instance.
_ATTEMPTS_PER_CORE: typing.Final = 128
_ATTEMPTS_PER_SECOND_AND_CORE: typing.Final = 200.0
_MIN_ATTEMPTS_PER_SECOND: typing.Final = 10.0
# Tasks, parsers and buffers of the two connections of an attempt.
_ATTEMPT_BYTES: typing.Final = 256 << 10
_MEMORY_FRACTION: typing.Final = 0.25
# Part of the connections of peers; the others are for what else they ask.
_CONNECTIONS_FRACTION: typing.Final = 0.5
MIN_ATTEMPTS: typing.Final = 4
# Part that a sender may use while it is the only one, so that the next one is
# served at once.
_LONE_SENDER_FRACTION: typing.Final = 0.75
# Bounds of the time after which a refused sender may ask again.
MIN_RETRY_SECONDS: typing.Final = 0.1
MAX_RETRY_SECONDS: typing.Final = 2.0
# A sender that has nothing running is forgotten after this time.
_SENDER_SECONDS: typing.Final = 2.0
# Weight of the newest attempt in the mean duration.
_DURATION_WEIGHT: typing.Final = 0.1


@dataclasses.dataclass(frozen=True)
class Bound:
    """Hold how many attempts of others an instance runs."""

    # At a time.
    attempts: int
    attempts_per_second: float


def bound(cores: float, budget: int, file_descriptors: int) -> Bound:
    """Return the bound of an instance with some capacity.

    The cores are reference cores, and the budget is that of the account in
    bytes; 0 descriptors is unknown.
    """
    bounds = [
        cores * _ATTEMPTS_PER_CORE,
        _MEMORY_FRACTION * memory.usable_bytes(budget) / _ATTEMPT_BYTES,
        _CONNECTIONS_FRACTION * connections.peer_limit(file_descriptors),
    ]
    return Bound(
        max(MIN_ATTEMPTS, int(min(bounds))),
        max(_MIN_ATTEMPTS_PER_SECOND, cores * _ATTEMPTS_PER_SECOND_AND_CORE),
    )


@dataclasses.dataclass
class _Sender:
    """Hold the attempts of one sender."""

    # Attempts that it may begin at once, as of a time in seconds.
    tokens: float
    refilled_at: float
    running: int = 0


class Admission:
    """Count the attempts of others that run, and divide the bound."""

    def __init__(self, limit: Bound) -> None:
        """Start without attempts; the limit is that of all senders."""
        self.limit = limit
        self.running = 0
        self._senders: dict[str, _Sender] = {}
        self._mean_seconds = MIN_RETRY_SECONDS

    def admit(self, sender: str, now: float) -> float | None:
        """Count an attempt, or return when to ask again, in seconds."""
        self._forget(now)
        count = len(self._senders.keys() | {sender})
        # As many as may run may also begin at once.
        most_tokens = max(1.0, self.limit.attempts / count)
        state = self._senders.get(sender)
        if state is None:
            state = _Sender(most_tokens, now)
            self._senders[sender] = state
        rate = self.limit.attempts_per_second / count
        state.tokens = min(
            most_tokens, state.tokens + (now - state.refilled_at) * rate
        )
        state.refilled_at = now
        if self.running >= self.limit.attempts or (
            state.running >= self._share(state)
        ):
            return _retry_seconds(self._mean_seconds / max(1, self.running))
        if state.tokens < 1.0:
            return _retry_seconds((1.0 - state.tokens) / rate)
        state.tokens -= 1.0
        state.running += 1
        self.running += 1
        return None

    def release(self, sender: str, seconds: float) -> None:
        """Record that an attempt has ended after some time."""
        self._senders[sender].running -= 1
        self.running -= 1
        self._mean_seconds += _DURATION_WEIGHT * (seconds - self._mean_seconds)

    def _forget(self, now: float) -> None:
        for name, state in list(self._senders.items()):
            if not state.running and (
                now - state.refilled_at >= _SENDER_SECONDS
            ):
                del self._senders[name]

    def _share(self, asker: _Sender) -> int:
        """Return how many attempts a sender may have with the others."""
        others = sum(
            state.running > 0
            for state in self._senders.values()
            if state is not asker
        )
        if not others:
            return math.ceil(_LONE_SENDER_FRACTION * self.limit.attempts)
        return math.ceil(self.limit.attempts / (others + 1))


def _retry_seconds(estimate: float) -> float:
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, estimate))
