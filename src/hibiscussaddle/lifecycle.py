"""Lifecycle of one instance: its phase and its running work."""

import collections
from collections import abc
import enum
import typing

import anyio
from anyio import abc as anyio_abc

_T = typing.TypeVar("_T")


class Phase(enum.Enum):
    """Enumerate the phases of an instance."""

    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"


class Lifecycle:
    """Hold the phase and count the running work."""

    def __init__(self, holds: abc.Iterable[str] = ()) -> None:
        """Start in phase STARTING; each hold delays the phase READY."""
        self.phase = Phase.STARTING
        self._holds = set(holds)
        self._ready_requested = False
        self.running: collections.Counter[str] = collections.Counter()
        self.stop_requested = anyio.Event()
        self.abort_requested = anyio.Event()
        self._idle = anyio.Event()
        self._tasks: anyio_abc.TaskGroup | None = None

    def set_ready(self) -> None:
        """Accept work once no hold is left, unless a stop was requested."""
        self._ready_requested = True
        if self.phase is Phase.STARTING and not self._holds:
            self.phase = Phase.READY

    def release(self, hold: str) -> None:
        """Release one hold on the phase READY."""
        self._holds.discard(hold)
        if self._ready_requested:
            self.set_ready()

    def request_stop(self) -> None:
        """Refuse new work from now on."""
        self.phase = Phase.STOPPING
        self.stop_requested.set()

    def request_abort(self) -> None:
        """Request the end of running work after a grace period."""
        self.abort_requested.set()

    def record_start(self, kind: str) -> None:
        """Count one more running request."""
        self.running[kind] += 1

    def record_end(self, kind: str) -> None:
        """Count one running request fewer."""
        self.running[kind] -= 1
        if self.total_running() == 0:
            idle, self._idle = self._idle, anyio.Event()
            idle.set()

    def total_running(self) -> int:
        """Return the number of running requests."""
        return sum(self.running.values())

    async def wait_until_idle(self) -> None:
        """Wait until no request is running."""
        while self.total_running() > 0:
            await self._idle.wait()

    def set_task_group(self, tasks: anyio_abc.TaskGroup) -> None:
        """Set the group for detached work; it ends with the instance."""
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
                self.record_end(kind)
                done.set()

        self.record_start(kind)
        self._tasks.start_soon(run)
        await done.wait()
        if errors:
            raise errors[0]
        return results[0]
