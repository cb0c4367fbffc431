"""The totals that instances send each other, and the table that keeps them."""

from collections import abc
import typing

import msgspec

from hibiscussaddle import decoding

# Marks the totals of an instance that has stopped: no window changes any more.
ALL_WINDOWS: typing.Final = 1 << 53
# Bounds a peer's count, so that sums can be encoded.
_Requests: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=1 << 40)
]

# Instance and incarnation.
Source = tuple[str, int]


class Totals(msgspec.Struct, frozen=True):
    """Hold all that one process has counted in windows not yet reported."""

    instance: str
    incarnation: decoding.Count
    # Increases with each change, since messages may arrive out of order.
    sequence: decoding.Count
    # Newest window whose counts are final.
    final_through: decoding.Int
    windows: dict[decoding.Count, dict[str, _Requests]] = {}

    @property
    def source(self) -> Source:
        """Return the process that counted."""
        return self.instance, self.incarnation


class Table:
    """Keep the newest totals of each process."""

    def __init__(self) -> None:
        """Start without totals."""
        self.reported_through = -1
        self._totals: dict[Source, Totals] = {}

    def merge(self, totals: Totals) -> None:
        """Take newer totals of a process over."""
        known = self._totals.get(totals.source)
        if known is not None and known.sequence >= totals.sequence:
            return
        self._totals[totals.source] = self._without_reported(totals)

    def _without_reported(self, totals: Totals) -> Totals:
        windows = {
            window: counts
            for window, counts in totals.windows.items()
            if window > self.reported_through
        }
        return msgspec.structs.replace(totals, windows=windows)

    def all(self) -> list[Totals]:
        """Return the newest totals of each process."""
        return list(self._totals.values())

    def record_reported(self, through: int) -> None:
        """Drop the windows up to one whose report was accepted."""
        if through <= self.reported_through:
            return
        self.reported_through = through
        for source, totals in list(self._totals.items()):
            kept = self._without_reported(totals)
            # Processes that run send their totals again.
            if kept.windows or kept.final_through < ALL_WINDOWS:
                self._totals[source] = kept
            else:
                del self._totals[source]

    def drop_before(self, window: int) -> None:
        """Drop windows too old for a report."""
        for source, totals in self._totals.items():
            if any(w < window for w in totals.windows):
                kept = {
                    w: counts
                    for w, counts in totals.windows.items()
                    if w >= window
                }
                self._totals[source] = msgspec.structs.replace(
                    totals, windows=kept
                )

    def retain(self, sources: abc.Container[Source]) -> None:
        """Drop processes without counts, other than those that run."""
        for source, totals in list(self._totals.items()):
            if not totals.windows and source not in sources:
                del self._totals[source]

    def sum(self, window: int) -> dict[str, int]:
        """Return the requests of each workspace in a window."""
        counts: dict[str, int] = {}
        for totals in self._totals.values():
            for name, number in totals.windows.get(window, {}).items():
                counts[name] = counts.get(name, 0) + number
        return {name: number for name, number in counts.items() if number}

    def has_unfinished(self, window: int) -> bool:
        """Return whether any known process may still count in a window."""
        return any(t.final_through < window for t in self._totals.values())

    def final_count(self, window: int, sources: abc.Collection[Source]) -> int:
        """Return how many of some processes have final counts of a window."""
        return sum(
            source in self._totals
            and self._totals[source].final_through >= window
            for source in sources
        )
