"""Read the resident memory of this process and log its growth."""

from collections import abc
import logging
import resource
import typing

import anyio

from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

_STATM_PATH: typing.Final = "/proc/self/statm"
CHECK_INTERVAL_SECONDS: typing.Final = 1.0
# Bounds the lines of a process by its memory limit divided by this step, which
# is 16 lines at 128 MB.
GROWTH_STEP_BYTES: typing.Final = 8 << 20
_BYTES_PER_MIB: typing.Final = 1 << 20


class ResidentMemory:
    """Read the resident memory of this process."""

    def __init__(self, path: str = _STATM_PATH) -> None:
        """Read from a file in the format of /proc/self/statm."""
        self._path = path
        self._has_failed = False

    def read_bytes(self) -> int | None:
        """Return the resident bytes, None if they are unknown."""
        try:
            # The kernel generates the file, so reading it waits for no disk.
            with open(self._path, encoding="ascii") as statm:
                _, resident_pages, *_ = statm.read().split()
            return int(resident_pages) * resource.getpagesize()
        except (OSError, ValueError) as exc:
            if not self._has_failed:
                self._has_failed = True
                logs.event(
                    _LOG, "memory_unknown", logging.WARNING, why=str(exc)
                )
            return None


class GrowthLog:
    """Log new peaks of the resident memory and what holds it."""

    def __init__(
        self,
        read_bytes: abc.Callable[[], int | None],
        read_fields: abc.Callable[[], abc.Mapping[str, int]],
        sleep: abc.Callable[
            [float], abc.Coroutine[typing.Any, typing.Any, None]
        ] = anyio.sleep,
    ) -> None:
        """Call read_fields(), which may be slow, only for a due line."""
        self._read_bytes = read_bytes
        self._read_fields = read_fields
        self._sleep = sleep
        self._logged_bytes = 0

    async def run(self) -> None:
        """Check the memory at a fixed interval until cancelled."""
        while True:
            self._check()
            await self._sleep(CHECK_INTERVAL_SECONDS)

    def _check(self) -> None:
        resident = self._read_bytes()
        if resident is None:
            return
        if resident < self._logged_bytes + GROWTH_STEP_BYTES:
            return
        self._logged_bytes = resident
        logs.event(
            _LOG,
            "memory_grown",
            rss_mb=round(resident / _BYTES_PER_MIB, 1),
            **self._read_fields(),
        )
