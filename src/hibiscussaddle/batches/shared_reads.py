"""Let calls for the same thing share one read."""

import collections
from collections import abc
import dataclasses
import typing

import anyio

_T = typing.TypeVar("_T")
ReadWanted: typing.TypeAlias = abc.Callable[
    [abc.Collection[str]], abc.Awaitable[abc.Mapping[str, _T]]
]


@dataclasses.dataclass(eq=False)
class _Flight:
    """Hold a read that is under way."""

    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    # The value, in a list that is empty without one.
    values: list[typing.Any] = dataclasses.field(default_factory=list)


class SharedReads:
    """Share the reads of equal keys."""

    def __init__(self) -> None:
        """Start without a read."""
        self._flights: dict[abc.Hashable, _Flight] = {}

    async def read(
        self, key: abc.Hashable, read: abc.Callable[[], abc.Awaitable[_T]]
    ) -> _T:
        """Return the value of the read under way, or of a new one.

        Where another call fails or is cancelled, this one reads itself.
        """
        while (flight := self._flights.get(key)) is not None:
            await flight.done.wait()
            if flight.values:
                return typing.cast(_T, flight.values[0])
        flight = self._flights[key] = _Flight()
        try:
            flight.values.append(await read())
        finally:
            del self._flights[key]
            flight.done.set()
        return typing.cast(_T, flight.values[0])


class _Group(typing.Generic[_T]):
    """Hold the calls for parts of one thing."""

    def __init__(self) -> None:
        self.lock = anyio.Lock()
        # Calls that wait for a part or take it.
        self.waiting: collections.Counter[str] = collections.Counter()
        self.found: dict[str, _T] = {}


class SharedParts(typing.Generic[_T]):
    """Share the reads of several parts of one thing.

    One read at a time returns all parts that are wanted when it begins.
    """

    def __init__(self) -> None:
        """Start without a read."""
        self._groups: dict[str, _Group[_T]] = {}

    async def read(
        self, key: str, part: str, read_wanted: ReadWanted[_T]
    ) -> _T:
        """Return one part; read_wanted() returns each part it is asked for."""
        group = self._groups.setdefault(key, _Group())
        group.waiting[part] += 1
        try:
            async with group.lock:
                if part not in group.found:
                    wanted = [
                        name
                        for name in group.waiting
                        if name not in group.found
                    ]
                    group.found.update(await read_wanted(wanted))
                return group.found[part]
        finally:
            group.waiting[part] -= 1
            if not group.waiting[part]:
                del group.waiting[part]
                group.found.pop(part, None)
            if not group.waiting and self._groups.get(key) is group:
                del self._groups[key]
