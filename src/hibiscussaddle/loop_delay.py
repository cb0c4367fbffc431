"""Log when the event loop of an instance is late."""

from collections import abc
import logging
import time
import typing

import anyio

from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS: typing.Final = 0.2
# Runs that bring no event for 0.3 s are moved and leases last a few seconds,
# so that shorter delays change little.
MIN_DELAY_SECONDS: typing.Final = 0.5


class DelayLog:
    """Tell a process that was stopped from one that was busy."""

    def __init__(
        self,
        sleep: abc.Callable[
            [float], abc.Coroutine[typing.Any, typing.Any, None]
        ] = anyio.sleep,
        clock: abc.Callable[[], float] = time.monotonic,
        cpu_clock: abc.Callable[[], float] = time.process_time,
    ) -> None:
        """Both clocks return seconds, the second one of processor time."""
        self._sleep = sleep
        self._clock = clock
        self._cpu_clock = cpu_clock

    async def run(self) -> None:
        """Measure the delay of a timer until cancelled."""
        while True:
            started, cpu_started = self._clock(), self._cpu_clock()
            await self._sleep(CHECK_INTERVAL_SECONDS)
            delay = self._clock() - started - CHECK_INTERVAL_SECONDS
            if delay >= MIN_DELAY_SECONDS:
                logs.event(
                    _LOG,
                    "loop_delayed",
                    logging.WARNING,
                    seconds=delay,
                    cpu_seconds=self._cpu_clock() - cpu_started,
                )
