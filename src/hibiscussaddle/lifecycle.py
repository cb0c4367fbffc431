"""Lifecycle of one instance: ready, stopping, work in progress."""

import collections
from collections import abc
import enum
import typing

import anyio
from anyio import abc as anyio_abc

_T = typing.TypeVar("_T")


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
        self.cut_requested = anyio.Event()
        self._idle = anyio.Event()
        self._tasks: anyio_abc.TaskGroup | None = None

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

    def request_cut(self) -> None:
        """Give running work a last short time."""
        self.cut_requested.set()

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

    def attach(self, tasks: anyio_abc.TaskGroup) -> None:
        """Run detached work in this group; it ends with the instance."""
        self._tasks = tasks

    async def run_detached(
        self, kind: str, job: abc.Callable[[], abc.Awaitable[_T]]
    ) -> _T:
        """Run a job to its end, even when the caller is cancelled."""
        assert self._tasks is not None
        done = anyio.Event()
        results: list[_T] = []
        errors: list[Exception] = []

        async def run() -> None:
            try:
                results.append(await job())
            except Exception as exc:
                errors.append(exc)
            finally:
                self.leave(kind)
                done.set()

        self.enter(kind)
        self._tasks.start_soon(run)
        await done.wait()
        if errors:
            raise errors[0]
        return results[0]
