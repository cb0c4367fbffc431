"""Run a coroutine on virtual time, which makes runs reproducible."""

import asyncio
from collections import abc
import selectors
import typing
from unittest import mock

_T = typing.TypeVar("_T")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advance the virtual time instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now


def run(
    main: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, _T]],
) -> _T:
    """Run a coroutine to completion; sleeps take no real time.

    The fake engines read time.monotonic, so it is patched to the virtual time.
    """
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        loop = runner.get_loop()
        with mock.patch("time.monotonic", loop.time):
            return runner.run(main())
