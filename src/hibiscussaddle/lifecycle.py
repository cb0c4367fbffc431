"""Lifecycle of one instance: ready, stopping, work in progress."""

import collections
from collections import abc
import enum

import anyio


class Phase(enum.Enum):
    """List the phases of an instance."""

    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"


class Lifecycle:
    """Hold the phase and count the work in progress."""

    def __init__(self, holds: abc.Iterable[str] = ()) -> None:
        """Start in phase STARTING; stay there until each hold is released."""
        self.phase = Phase.STARTING
        self._holds = set(holds)
        self._wanted = False
        self.running: collections.Counter[str] = collections.Counter()
        self.stop_requested = anyio.Event()
        self._idle = anyio.Event()

    def set_ready(self) -> None:
        """Accept work once nothing holds, unless a stop was requested."""
        self._wanted = True
        if self.phase is Phase.STARTING and not self._holds:
            self.phase = Phase.READY

    def release(self, hold: str) -> None:
        """End one hold on readiness."""
        self._holds.discard(hold)
        if self._wanted:
            self.set_ready()

    def request_stop(self) -> None:
        """Refuse new work from now on."""
        self.phase = Phase.STOPPING
        self.stop_requested.set()

    def enter(self, kind: str) -> None:
        """Count one piece of work in."""
        self.running[kind] += 1

    def leave(self, kind: str) -> None:
        """Count one piece of work out."""
        self.running[kind] -= 1
        if self.total() == 0:
            idle, self._idle = self._idle, anyio.Event()
            idle.set()

    def total(self) -> int:
        """Return the work in progress."""
        return sum(self.running.values())

    async def wait_idle(self) -> None:
        """Wait until no work is in progress."""
        while self.total() > 0:
            await self._idle.wait()
