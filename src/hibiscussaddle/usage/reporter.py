"""Send the usage reports while this instance holds the duties."""

from collections import abc
import logging
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.duties import control_client
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle import logs
from hibiscussaddle.platform import control_wire
from hibiscussaddle.usage import collector as collector_lib
from hibiscussaddle.usage import counter
from hibiscussaddle.usage import reports as reports_lib

_LOG = logging.getLogger(__name__)

# Holds the newest report that was fixed, as it is sent.
REPORT_KEY: typing.Final = "usage/report"
# A call starts at most ttl - margin - effect_seconds = 1.3 s after a renewal,
# and a successor sends its first call no earlier than successor_wait_seconds =
# 4.4 s after it, so 3.1 s are left. After a planned release, which waits for a
# call in flight, they would be 3.2 s. The rest of 0.6 s covers the way to the
# API and a process that is scheduled late. The shorter wait after a process of
# the same instance bears it too, since connections end with their process.
CALL_TIMEOUT_SECONDS: typing.Final = 2.5
# How often the holder checks for a due step.
_CHECK_SECONDS: typing.Final = 0.1
# How often other instances check whether they hold the duties.
_IDLE_CHECK_SECONDS: typing.Final = 0.5


class Reporter:
    """Run the state machine of the reports with store and API calls."""

    def __init__(
        self,
        client: store.StoreClient,
        control: control_client.ControlClient,
        lease: duty_lease.DutyLease,
        collector: collector_lib.Collector,
        reports: reports_lib.Reports,
        wall_clock: abc.Callable[[], float] = time.time,
        steady_seconds: abc.Callable[[], float] = lambda: float("inf"),
    ) -> None:
        """Report what the collector brings together.

        The last function returns for how long the listing of members has been
        complete.
        """
        self._steady_seconds = steady_seconds
        self._client = client
        self._control = control
        self._lease = lease
        self._collector = collector
        self._wall_clock = wall_clock
        self.reports = reports
        # Held while a step is carried out.
        self._lock = anyio.Lock()
        self._is_stopped = False

    @property
    def is_holder(self) -> bool:
        """Return whether this instance may send reports now."""
        return self._control.is_holder

    def windows_behind(self) -> int:
        """Return the windows whose reports are due, as the holder knows."""
        return self.reports.windows_behind(self._wall_clock())

    async def run(self) -> None:
        """Send due reports until cancelled."""
        while True:
            did_step = await self._run_due_step()
            if did_step:
                continue
            is_holder = self._control.is_holder
            await anyio.sleep(
                _CHECK_SECONDS if is_holder else _IDLE_CHECK_SECONDS
            )

    async def stop(self) -> None:
        """Wait until no call is in flight, and begin none."""
        self._is_stopped = True
        async with self._lock:
            self.reports.reset()

    async def _run_due_step(self) -> bool:
        """Carry out the step that is due; return whether there was one."""
        async with self._lock:
            if self._is_stopped or not self._control.is_holder:
                self.reports.reset()
                return False
            self._collector.update_own_totals()
            step = self.reports.next_step(
                self._wall_clock(),
                self._collector.recent_sources(),
                self._steady_seconds(),
            )
            if step is None:
                return False
            await _HANDLERS[step.kind](self, step)
            return True

    async def _load(self, _: reports_lib.Step) -> None:
        found = await self._client.get(REPORT_KEY)
        now = self._wall_clock()
        body, revision = None, 0
        if isinstance(found, result.Ok):
            body, revision = found.ok_value.data, found.ok_value.revision
        elif found.err_value.failure is not store.StoreFailure.MISSING:
            self.reports.on_load_failed(now)
            return
        try:
            self.reports.on_loaded(body, revision, self._first_window(), now)
        except ValueError as exc:
            # Another report of the same window could differ from it.
            store.log_decode_error(exc, body or b"")
            self.reports.on_load_failed(now)

    def _first_window(self) -> int:
        """Return the window in which the system first ran."""
        started_times = sorted(
            incarnation for _, incarnation in self._collector.sources()
        )
        # The median, since the clock of one of them may be wrong.
        started = started_times[len(started_times) // 2]
        seconds = self.reports.cfg.window_seconds
        # Incarnations are Unix milliseconds.
        return counter.window_at(started / 1000, seconds)

    async def _fix(self, step: reports_lib.Step) -> None:
        outcomes = reports_lib.WriteOutcome
        committed = await self._client.commit(
            {
                REPORT_KEY: step.expected_revision,
                # Only the holder may write.
                self._lease.key: self._lease.key_revision,
            },
            [store.Put(REPORT_KEY, step.body)],
        )
        outcome, revision = outcomes.UNCLEAR, 0
        if isinstance(committed, result.Ok):
            outcome, revision = outcomes.OK, committed.ok_value
        elif committed.err_value.failure is store.StoreFailure.UNAVAILABLE:
            outcome = outcomes.FAILED
        self.reports.on_fixed(step, outcome, revision, self._wall_clock())

    async def _send(self, step: reports_lib.Step) -> None:
        sent = await self._control.call(
            control_wire.USAGE_PATH, step.body, CALL_TIMEOUT_SECONDS
        )
        now = self._wall_clock()
        is_skipped = self.reports.on_sent(step, sent.outcome, now)
        _, counts = control_wire.decode_usage(step.body)
        end = counter.window_end(step.window, self.reports.cfg.window_seconds)
        logs.event(
            _LOG,
            "usage_report",
            window=step.window,
            requests=sum(counts.values()),
            workspaces=len(counts),
            fencing_number=sent.fencing_number or "-",
            outcome=sent.outcome.value,
            status=sent.status or "no_answer",
            why=sent.why or "-",
            seconds_after_end=now - end,
        )
        if is_skipped:
            logs.event(
                _LOG,
                "usage_window_skipped",
                logging.WARNING,
                window=step.window,
                requests=sum(counts.values()),
                outcome=sent.outcome.value,
                status=sent.status or "no_answer",
            )


_Handler: typing.TypeAlias = abc.Callable[
    [Reporter, reports_lib.Step], abc.Awaitable[None]
]
_HANDLERS: typing.Final[dict[reports_lib.StepKind, _Handler]] = {
    reports_lib.StepKind.LOAD: Reporter._load,
    reports_lib.StepKind.FIX: Reporter._fix,
    reports_lib.StepKind.SEND: Reporter._send,
}
