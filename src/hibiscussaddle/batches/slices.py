"""Run long computations in slices, between which other tasks run."""

from collections import abc
import typing

import anyio

_T = typing.TypeVar("_T")
Steps: typing.TypeAlias = abc.Generator[None, None, _T]


async def run(steps: Steps[_T]) -> _T:
    """Return the result of a computation that yields after each slice."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return typing.cast(_T, stop.value)
        await anyio.sleep(0)


def run_at_once(steps: Steps[_T]) -> _T:
    """Return the same result without letting other tasks run."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return typing.cast(_T, stop.value)
