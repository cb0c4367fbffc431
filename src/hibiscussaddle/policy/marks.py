"""Leave marks: which endpoints and instances get no new work."""

import dataclasses
import enum


class Source(enum.Enum):
    """Tell who set or cleared a mark."""

    OPERATOR = "operator"
    PLATFORM = "platform"
    # The instance itself, at its planned stop.
    INSTANCE = "instance"


@dataclasses.dataclass(frozen=True)
class Mark:
    """State whether one incarnation of a target is leaving."""

    target: str
    incarnation: int
    # Raised by each change within an incarnation. It starts from the time:
    # an instance that has just started and has not heard of an earlier
    # change must not lose to it.
    counter: int
    left: bool
    source: Source = Source.OPERATOR
    who: str = ""
    reason: str = ""
    # Wall-clock seconds, for operators only.
    at: float = 0.0

    @property
    def rank(self) -> int:
        """Return the order within an incarnation; leave wins over clear."""
        return self.counter << 1 | int(self.left)

    @property
    def order(self) -> tuple[int, int]:
        """Return the order among all marks of a target."""
        return (self.incarnation, self.rank)


class MarkTable:
    """Hold the newest mark of each target."""

    def __init__(self) -> None:
        """Start without marks."""
        self._marks: dict[str, Mark] = {}
        # Targets whose mark was made here and is not in the store yet.
        self.unsaved_targets: set[str] = set()

    def put(self, mark: Mark) -> bool:
        """Keep a mark if it is newer; tell whether it was."""
        current = self._marks.get(mark.target)
        if current is not None and current.order >= mark.order:
            return False
        self._marks[mark.target] = mark
        return True

    def get(self, target: str) -> Mark | None:
        """Return the newest mark of a target."""
        return self._marks.get(target)

    def all(self) -> tuple[Mark, ...]:
        """Return every mark, ordered by target."""
        return tuple(self._marks[key] for key in sorted(self._marks))

    def is_marked(self, target: str, incarnation: int) -> bool:
        """Tell whether this incarnation of a target is leaving."""
        mark = self._marks.get(target)
        if mark is None or not mark.left:
            return False
        return mark.incarnation >= incarnation

    def superseding_mark(
        self,
        target: str,
        incarnation: int,
        left: bool,
        wall_ms: int,
        source: Source = Source.OPERATOR,
    ) -> Mark:
        """Return a mark that supersedes the present one.

        The wall-clock time is in milliseconds.
        """
        current = self._marks.get(target)
        counter = wall_ms
        if current is not None and current.incarnation >= incarnation:
            # The list lags: the mark may be of a newer incarnation.
            incarnation = current.incarnation
            counter = max(current.counter + 1, wall_ms)
        return Mark(target, incarnation, counter, left, source)
