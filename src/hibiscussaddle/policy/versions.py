"""Weight versions of a sample: token ranges, uncertainty, staleness."""

from collections import abc
import dataclasses
import enum
import typing

# Weight of the latest interval in the average interval between versions.
_SMOOTHING_FACTOR: typing.Final = 0.5


@dataclasses.dataclass(frozen=True)
class VersionRange:
    """Hold the weight version of a range of tokens, ends included."""

    version: int
    first_token: int
    last_token: int


class Uncertainty(enum.Enum):
    """Enumerate the reasons why the versions of a sample are uncertain."""

    GAP = "gap"
    UNKNOWN_VERSION = "unknown_version"
    RESTARTED = "engine_restarted"
    EMPTY = "empty"


class VersionTracker:
    """Collect the versions of one stream; the first uncertainty is final."""

    def __init__(self) -> None:
        """Start before the first token."""
        self.uncertainty: Uncertainty | None = None
        self.tokens = 0
        self._ranges: list[VersionRange] = []
        self._incarnation: int | None = None

    def add(
        self,
        first_token: int,
        tokens: int,
        version: int | None,
        incarnation: int,
    ) -> bool:
        """Add the tokens of a chunk; return whether all so far are certain."""
        if self.uncertainty is None:
            self.uncertainty = self._find_uncertainty(
                first_token, tokens, version, incarnation
            )
        if self.uncertainty is not None or tokens == 0 or version is None:
            return self.uncertainty is None
        last = first_token + tokens - 1
        self.tokens = last + 1
        if self._ranges and self._ranges[-1].version == version:
            first_token = self._ranges.pop().first_token
        self._ranges.append(VersionRange(version, first_token, last))
        return True

    def _find_uncertainty(
        self,
        first_token: int,
        tokens: int,
        version: int | None,
        incarnation: int,
    ) -> Uncertainty | None:
        if self._incarnation is None:
            self._incarnation = incarnation
        if incarnation != self._incarnation:
            return Uncertainty.RESTARTED
        if version is None:
            return Uncertainty.UNKNOWN_VERSION
        if tokens < 0 or first_token != self.tokens:
            return Uncertainty.GAP
        return None

    def finish(self) -> tuple[VersionRange, ...] | None:
        """Return the ranges of a complete stream; None when uncertain."""
        if self.uncertainty is None and not self._ranges:
            self.uncertainty = Uncertainty.EMPTY
        return None if self.uncertainty is not None else tuple(self._ranges)


def oldest_version(ranges: abc.Iterable[VersionRange]) -> int:
    """Return the oldest version of a sample."""
    return min(item.version for item in ranges)


def is_fresh(
    ranges: abc.Iterable[VersionRange], newest: int, bound: int
) -> bool:
    """Return whether the oldest version is within the staleness bound."""
    return newest - oldest_version(ranges) <= bound


class NewestVersion:
    """Track a model's newest version and the interval between versions."""

    def __init__(self) -> None:
        """Start with no version known."""
        self.version = 0
        self._changed_at: float | None = None
        self._interval_seconds: float | None = None

    def record(self, version: int, now: float) -> bool:
        """Record a version; return whether it is newer."""
        if version <= self.version:
            return False
        if self._changed_at is not None:
            interval = (now - self._changed_at) / (version - self.version)
            if self._interval_seconds is not None:
                interval = (
                    _SMOOTHING_FACTOR * interval
                    + (1 - _SMOOTHING_FACTOR) * self._interval_seconds
                )
            self._interval_seconds = interval
        self.version = version
        self._changed_at = now
        return True

    def expected_version(self, now: float, seconds: float) -> int:
        """Return the version expected to be newest after some seconds."""
        if self._interval_seconds is None or self._changed_at is None:
            return self.version
        elapsed = now + seconds - self._changed_at
        # Overdue versions count as one: trainers pause, and a long pause must
        # not stop all generation.
        due = (
            int(elapsed / self._interval_seconds)
            if self._interval_seconds > 0
            else 0
        )
        ahead = (
            int(seconds / self._interval_seconds)
            if self._interval_seconds > 0
            else 0
        )
        return self.version + min(due, ahead + 1)


def may_start(
    engine_version: int | None, newest: int, expected: int, bound: int
) -> bool:
    """Return whether a sample may start on an engine.

    A sample may always start on an engine with the newest weights, because
    waiting can't provide newer ones. An unknown engine version (None) does
    not prevent a start.
    """
    if engine_version is None:
        return True
    if newest - engine_version > bound:
        return False
    return engine_version >= newest or expected - engine_version <= bound
