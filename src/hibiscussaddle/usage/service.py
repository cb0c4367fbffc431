"""The components that count and report usage, and how they are wired."""

from collections import abc
import dataclasses
import random

import anyio
import httpx
import msgspec

from hibiscussaddle.adapters import store
from hibiscussaddle.duties import contention as duty_contention
from hibiscussaddle.duties import control_client
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import gateway_settings
from hibiscussaddle.platform import control_wire
from hibiscussaddle.usage import collector as collector_lib
from hibiscussaddle.usage import counter as counter_lib
from hibiscussaddle.usage import reporter as reporter_lib
from hibiscussaddle.usage import reports
from hibiscussaddle.usage import totals


class UsageReport(msgspec.Struct, frozen=True):
    """Describe the usage reports as one instance knows them."""

    # Newest window whose report was accepted; -1 while unknown.
    reported_through: int
    # The rest is known to the holder only, since it took the duty over.
    windows_behind: int
    reports_accepted: int
    # Calls that were refused or had no response.
    calls_failed: int
    # Windows that were given up, since the API would not take their reports.
    windows_skipped: int


@dataclasses.dataclass(frozen=True)
class Usage:
    """Hold the components of one instance."""

    counter: counter_lib.UsageCounter
    collector: collector_lib.Collector
    reporter: reporter_lib.Reporter
    table: totals.Table

    def report(self) -> UsageReport:
        """Return the state for operators."""
        reports_state = self.reporter.reports
        return UsageReport(
            self.table.reported_through,
            self.reporter.windows_behind(),
            reports_state.reported_count,
            reports_state.refused_count,
            reports_state.skipped_count,
        )

    def gauges(self) -> dict[str, abc.Callable[[], float]]:
        """Return the gauges by metric name."""
        return {
            "duties_held": lambda: self.reporter.is_holder,
            "usage_windows_behind": lambda: self.report().windows_behind,
            "usage_reports_accepted": lambda: self.report().reports_accepted,
            "usage_calls_failed": lambda: self.report().calls_failed,
            "usage_windows_skipped": lambda: self.report().windows_skipped,
        }

    async def stop(self) -> None:
        """Hand over all counts, before the duties are released.

        They are sent once before the wait for a call in flight, which may take
        all the time that a stop has.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.collector.hand_over)
            await self.reporter.stop()
        await self.collector.stop()


def is_configured(cfg: gateway_settings.GatewaySettings) -> bool:
    """Return whether this deployment reports usage."""
    return (
        bool(cfg.control_address)
        and control_wire.USAGE_DUTY in cfg.control_duties
        and cfg.usage_window_seconds > 0
    )


def create_usage(
    cfg: gateway_settings.GatewaySettings,
    client: httpx.AsyncClient,
    store_client: store.StoreClient,
    members: presence_lib.Members,
    contention: duty_contention.LeaseContention,
    lease: duty_lease.DutyLease,
    control: control_client.ControlClient,
    steady_seconds: abc.Callable[[], float],
) -> Usage:
    """Create the components of an instance."""
    counter = counter_lib.UsageCounter(cfg.usage_window_seconds)
    table = totals.Table()
    collector = collector_lib.Collector(
        client, members, contention, counter, table, cfg.usage_late_seconds
    )
    report_cfg = reports.ReportConfig(
        cfg.usage_window_seconds, cfg.usage_late_seconds
    )
    reporter = reporter_lib.Reporter(
        store_client,
        control,
        lease,
        collector,
        reports.Reports(report_cfg, table, random.Random()),
        steady_seconds=steady_seconds,
    )
    return Usage(counter, collector, reporter, table)
