"""Leave marks: endpoints and instances that get no new work."""

import dataclasses
import enum


class Source(enum.Enum):
    """Enumerate who can set or clear a mark."""

    OPERATOR = "operator"
    PLATFORM = "platform"
    # The instance itself, during its planned stop.
    INSTANCE = "instance"
    # The endpoint itself, in its responses.
    ENDPOINT = "endpoint"


@dataclasses.dataclass(frozen=True)
class Mark:
    """Record whether one incarnation of a target is leaving."""

    target: str
    incarnation: int
    # Increases with each change within an incarnation. It starts from the
    # wall clock, so that a change made by an instance that has just started
    # is not overridden by an earlier change that it has not received yet.
    counter: int
    left: bool
    source: Source = Source.OPERATOR
    who: str = ""
    reason: str = ""
    # Wall-clock seconds, shown to operators; counters decide the order.
    at: float = 0.0

    @property
    def rank(self) -> int:
        """Return the sort key within an incarnation; leave beats clear."""
        return self.counter << 1 | int(self.left)

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key among all marks of a target."""
        return (self.incarnation, self.rank)


class MarkTable:
    """Hold the newest mark of each target."""

    def __init__(self) -> None:
        """Start without marks."""
        self._marks: dict[str, Mark] = {}
        # Targets whose mark was made by this instance and is not stored yet.
        self.unsaved_targets: set[str] = set()

    def put(self, mark: Mark) -> bool:
        """Store a mark if it is newer; return whether it was."""
        current = self._marks.get(mark.target)
        if current is not None and current.order >= mark.order:
            return False
        self._marks[mark.target] = mark
        return True

    def discard(self, target: str) -> None:
        """Forget the mark of a target."""
        self._marks.pop(target, None)

    def get(self, target: str) -> Mark | None:
        """Return the newest mark of a target."""
        return self._marks.get(target)

    def all(self) -> tuple[Mark, ...]:
        """Return all marks, ordered by target."""
        return tuple(self._marks[key] for key in sorted(self._marks))

    def is_marked(self, target: str, incarnation: int) -> bool:
        """Return whether an incarnation of a target is leaving.

        A leave mark also covers earlier incarnations.
        """
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
        """Return a mark that supersedes the current one.

        The wall-clock time is in milliseconds.
        """
        current = self._marks.get(target)
        counter = wall_ms
        if current is not None and current.incarnation >= incarnation:
            # The caller's incarnation may lag behind that of the mark.
            incarnation = current.incarnation
            counter = max(current.counter + 1, wall_ms)
        return Mark(target, incarnation, counter, left, source)
