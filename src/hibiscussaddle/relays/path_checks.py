"""Check by connecting whether an instance reaches the endpoints of a service.

In calm nothing runs: a timer is set only while attempts are under way, and
connections are opened only on a suspicion and while a service is cut off.
"""

import asyncio
from collections import abc
import logging
import random
import time
import typing

import anyio
from anyio import abc as anyio_abc

from hibiscussaddle.adapters import connect_probes
from hibiscussaddle import containment
from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.relays import paths

_LOG = logging.getLogger(__name__)

# Endpoints that a check connects to.
_CHECKED_ENDPOINTS: typing.Final = 3
# Time in which the first endpoint of a check mostly accepts, so that an open
# path costs a single connection.
_FIRST_ANSWER_SECONDS: typing.Final = 0.02
# A check that ends this much later than its timeout shows only that this
# process did not run.
_MAX_LATENESS_SECONDS: typing.Final = 0.1
# Time from a check without an answer to the next connection, which confirms
# the cut or ends it.
_CONFIRM_SECONDS: typing.Final = 0.15
# Interval at which one endpoint of a service that is cut off is tried.
_TRY_INTERVAL_SECONDS: typing.Final = 0.3
_UNEXPECTED_ERROR_DELAY_SECONDS: typing.Final = 1.0


class PathChecks:
    """Confirm or refute suspicions, and find the end of a cut."""

    def __init__(
        self,
        known: paths.Paths,
        find_endpoints: abc.Callable[[str], abc.Sequence[endpoints.Endpoint]],
        rng: random.Random,
        connect_to: connect_probes.Connect = connect_probes.connect,
    ) -> None:
        """Connect to the endpoints that are found for a service."""
        self._paths = known
        self._find_endpoints = find_endpoints
        self._rng = rng
        self._connect = connect_to
        # None while the checks don't run.
        self._tasks: anyio_abc.TaskGroup | None = None
        self._timers: dict[paths.ServicePath, asyncio.TimerHandle] = {}
        # Checks under way, each with its end.
        self._running: dict[paths.ServicePath, anyio.Event] = {}
        # Called with the service as it is cut off, and as it is reached.
        self.on_change: abc.Callable[[str], None] = lambda _: None

    async def run(self) -> None:
        """Run checks and timers until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            for timer in self._timers.values():
                timer.cancel()
            self._timers.clear()

    def begin(self, attempt: paths.Attempt) -> None:
        """Watch a direct attempt for silence."""
        attempt.path.begin(attempt)
        if self._tasks is not None and attempt.path not in self._timers:
            self._set_timer(attempt.path, attempt.path.silence_seconds)

    def end(self, attempt: paths.Attempt) -> None:
        """Stop watching an attempt."""
        path = attempt.path
        path.end(attempt, time.monotonic())
        if not path.has_attempts:
            timer = self._timers.pop(path, None)
            if timer is not None:
                timer.cancel()

    async def settle(self, path: paths.ServicePath) -> None:
        """Wait for a check that runs, or that failures call for."""
        if path not in self._running:
            now = time.monotonic()
            if not path.may_check(now):
                return
            suspicion = path.suspicion(now, self.endpoint_count(path))
            if suspicion is None or not self._start_check(path, suspicion):
                return
        await self._running[path].wait()

    async def check(self, service: str) -> bool:
        """Return whether a service is reached, by a new connection if need be.

        For an instance that has sent no attempts, and so knows of no cut.
        """
        path = self._paths.path(service)
        if not path.is_cut and path not in self._running:
            self._start_check(path, paths.Suspicion.NEEDED)
        running = self._running.get(path)
        if running is not None:
            await running.wait()
        return not path.is_cut

    def is_checking(self, path: paths.ServicePath) -> bool:
        """Return whether a check of the path is under way."""
        return path in self._running

    def endpoint_count(self, path: paths.ServicePath) -> int:
        """Return the number of endpoints of a service."""
        return len(self._find_endpoints(path.service))

    def _set_timer(self, path: paths.ServicePath, delay: float) -> None:
        self._timers[path] = asyncio.get_running_loop().call_later(
            delay, self._check_silence, path
        )

    def _check_silence(self, path: paths.ServicePath) -> None:
        """Check a path that is silent, and set the next timer."""
        self._timers.pop(path, None)
        if self._tasks is None or not path.has_attempts:
            return
        now = time.monotonic()
        path.record_idle(now)
        if path.is_cut:
            self._end_stalled(path, now)
        elif path.may_check(now) and path not in self._running:
            suspicion = path.suspicion(now, self.endpoint_count(path))
            if suspicion is not None:
                self._start_check(path, suspicion)
        silent_at = path.silent_at()
        if silent_at is None or silent_at <= now:
            silent_at = now + path.silence_seconds
        if not path.is_cut:
            silent_at = max(silent_at, path.next_check_at())
        self._set_timer(path, silent_at - now)

    def _start_check(
        self, path: paths.ServicePath, suspicion: paths.Suspicion
    ) -> bool:
        if self._tasks is None:
            return False
        self._running[path] = anyio.Event()
        self._tasks.start_soon(self._check, path, suspicion)
        return True

    async def _check(
        self, path: paths.ServicePath, suspicion: paths.Suspicion
    ) -> None:
        done = self._running[path]
        try:
            with containment.contain("path_check", path.service):
                await self._check_once(path, suspicion)
        finally:
            del self._running[path]
            done.set()

    async def _check_once(
        self, path: paths.ServicePath, suspicion: paths.Suspicion
    ) -> None:
        began_at = time.monotonic()
        checked = self._choose(path, began_at)
        if not checked:
            path.record_inconclusive(began_at)
            return
        answers = await self._connect_to_all(checked)
        accepted = [
            endpoint_id
            for endpoint_id, answer in answers.items()
            if answer is connect_probes.Answer.ACCEPTED
        ]
        now = time.monotonic()
        latest = connect_probes.TIMEOUT_SECONDS + _MAX_LATENESS_SECONDS
        if accepted:
            path.record_open(now, accepted)
        elif (
            now - began_at > latest
            or connect_probes.Answer.UNTRIED in answers.values()
        ):
            path.record_inconclusive(now)
        else:
            path.record_cut(
                now, connect_probes.Answer.SILENT in answers.values()
            )
        logs.event(
            _LOG,
            "service_cut" if path.is_cut else "path_checked",
            logging.WARNING if path.is_cut else logging.INFO,
            service=path.service,
            why=suspicion.value,
            seconds=now - began_at,
            answers=",".join(
                f"{endpoint_id}:{answer.value}"
                for endpoint_id, answer in answers.items()
            ),
        )
        if not path.is_cut or self._tasks is None:
            return
        self.on_change(path.service)
        self._end_stalled(path, now)
        if path.has_attempts and path not in self._timers:
            self._set_timer(path, path.silence_seconds)
        self._tasks.start_soon(self._try_until_reached, path)
        if suspicion is not paths.Suspicion.OTHER_SERVICE:
            self._check_others(now)

    def _check_others(self, now: float) -> None:
        """Check the services that the same cut may concern.

        Otherwise a request to each of them would be lost first.
        """
        for path in self._paths.all():
            if path.may_check(now) and path not in self._running:
                self._start_check(path, paths.Suspicion.OTHER_SERVICE)

    def _choose(
        self, path: paths.ServicePath, now: float
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints to check, preferably some that did not fail.

        The one that sent the newest byte comes first: where only a part of the
        service is reached, it belongs to that part.
        """
        found = list(self._find_endpoints(path.service))
        self._rng.shuffle(found)
        failed = path.failed_endpoints(now)
        found.sort(
            key=lambda endpoint: (
                endpoint.id in failed,
                endpoint.id != path.newest_byte_from,
            )
        )
        return found[:_CHECKED_ENDPOINTS]

    async def _connect_to_all(
        self, checked: abc.Sequence[endpoints.Endpoint]
    ) -> dict[str, connect_probes.Answer]:
        """Return the answers of endpoints up to the first that accepts."""
        answers: dict[str, connect_probes.Answer] = {}
        async with anyio.create_task_group() as tasks:

            async def try_one(endpoint: endpoints.Endpoint) -> None:
                answer = await self._connect(endpoint.address)
                answers[endpoint.id] = answer
                if answer is connect_probes.Answer.ACCEPTED:
                    tasks.cancel_scope.cancel()

            first, *others = checked
            with anyio.move_on_after(_FIRST_ANSWER_SECONDS):
                await try_one(first)
            if answers.get(first.id) is connect_probes.Answer.ACCEPTED:
                return answers
            if first.id not in answers:
                # It is slow, or gone without an answer.
                others.append(first)
            for endpoint in others:
                tasks.start_soon(try_one, endpoint)
        return answers

    def _end_stalled(self, path: paths.ServicePath, now: float) -> None:
        """End the attempts that wait for a service that is cut off."""
        assert self._tasks is not None
        for attempt in path.stalled(now):
            if not attempt.is_cut:
                attempt.is_cut = True
                self._tasks.start_soon(_close, attempt)

    async def _try_until_reached(self, path: paths.ServicePath) -> None:
        """Connect to one endpoint after another until one accepts."""
        tries = 0
        # Number of the newest try of each incarnation, 0 for those that the
        # check may have asked.
        tried = {
            (each.id, each.incarnation): 0
            for each in self._find_endpoints(path.service)
        }
        while path.is_cut:
            await anyio.sleep(
                _TRY_INTERVAL_SECONDS
                if path.is_confirmed
                else _CONFIRM_SECONDS
            )
            with containment.contain("path_check", path.service):
                found = self._find_endpoints(path.service)
                # New incarnations come first.
                endpoint = min(
                    found,
                    key=lambda each: tried.get(
                        (each.id, each.incarnation), -1
                    ),
                    default=None,
                )
                tries += 1
                if endpoint is not None:
                    lifetime = (endpoint.id, endpoint.incarnation)
                    tried[lifetime] = tries
                    answer = await self._connect(endpoint.address)
                    if answer is connect_probes.Answer.UNTRIED:
                        continue
                    if answer is not connect_probes.Answer.ACCEPTED:
                        path.record_still_cut()
                        self._end_stalled(path, time.monotonic())
                        continue
                self._record_reached(path, endpoint, tries)
                continue
            await anyio.sleep(_UNEXPECTED_ERROR_DELAY_SECONDS)

    def _record_reached(
        self,
        path: paths.ServicePath,
        endpoint: endpoints.Endpoint | None,
        tries: int,
    ) -> None:
        """End a cut; a service without endpoints has nothing to reach."""
        now = time.monotonic()
        logs.event(
            _LOG,
            "service_reached",
            logging.WARNING,
            service=path.service,
            endpoint=endpoint.id if endpoint else "-",
            after=now - path.cut_at,
            tries=tries,
        )
        path.record_reached(now)
        self.on_change(path.service)


async def _close(attempt: paths.Attempt) -> None:
    with containment.contain("attempt", attempt.endpoint_id):
        await attempt.close()
