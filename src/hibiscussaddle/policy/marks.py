"""Leave marks: which endpoints and instances get no new work."""

import dataclasses
import enum
import typing

_COUNTER_BITS: typing.Final = 16
MAX_COUNTER: typing.Final = (1 << _COUNTER_BITS) - 1


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
    # Raised by each change within an incarnation.
    counter: int
    left: bool
    source: Source = Source.OPERATOR
    who: str = ""
    reason: str = ""
    # Wall-clock seconds, for operators only.
    at: float = 0.0

    @property
    def version(self) -> int:
        """Return the rank; of a leave and a clear at once, leave wins."""
        order = self.incarnation << _COUNTER_BITS | self.counter
        return order << 1 | int(self.left)


class Board:
    """Hold the newest mark of each target."""

    def __init__(self) -> None:
        """Start without marks."""
        self._marks: dict[str, Mark] = {}
        # Targets whose mark was made here and is not in the store yet.
        self.unsaved: set[str] = set()

    def put(self, mark: Mark) -> bool:
        """Keep a mark if it is newer; tell whether it was."""
        current = self._marks.get(mark.target)
        if current is not None and current.version >= mark.version:
            return False
        self._marks[mark.target] = mark
        return True

    def get(self, target: str) -> Mark | None:
        """Return the newest mark of a target."""
        return self._marks.get(target)

    def all(self) -> tuple[Mark, ...]:
        """Return every mark, ordered by target."""
        return tuple(self._marks[key] for key in sorted(self._marks))

    def holds(self, target: str, incarnation: int) -> bool:
        """Tell whether this incarnation of a target is leaving."""
        mark = self._marks.get(target)
        if mark is None or not mark.left:
            return False
        return mark.incarnation >= incarnation

    def next(
        self,
        target: str,
        incarnation: int,
        left: bool,
        source: Source = Source.OPERATOR,
    ) -> Mark:
        """Return a mark that supersedes the present one."""
        current = self._marks.get(target)
        counter = 1
        if current is not None and current.incarnation >= incarnation:
            # The list lags: the mark may be of a newer incarnation.
            incarnation = current.incarnation
            counter = min(current.counter + 1, MAX_COUNTER)
        return Mark(target, incarnation, counter, left, source)
