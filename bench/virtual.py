"""Run a coroutine on virtual time, so that runs repeat exactly."""

import asyncio
from collections import abc
import selectors
import typing
from unittest import mock

_T = typing.TypeVar("_T")


class _JumpingSelector(selectors.DefaultSelector):
    """Advance the loop's time in place of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run(
    main: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, _T]],
) -> _T:
    """Run to the end; sleeps take no real time.

    The engines read time.monotonic, which shows the loop's time meanwhile.
    """
    with asyncio.Runner(loop_factory=_Loop) as runner:
        loop = runner.get_loop()
        with mock.patch("time.monotonic", loop.time):
            return runner.run(main())
