"""The components that count and report usage, and how they are wired."""

import dataclasses
import random

import httpx

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


@dataclasses.dataclass(frozen=True)
class Usage:
    """Hold the components of one instance."""

    counter: counter_lib.UsageCounter
    collector: collector_lib.Collector
    reporter: reporter_lib.Reporter

    async def stop(self) -> None:
        """Hand over all counts, before the duties are released."""
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
) -> Usage:
    """Create the components of an instance."""
    counter = counter_lib.UsageCounter(cfg.usage_window_seconds)
    table = totals.Table()
    collector = collector_lib.Collector(
        client, members, contention, counter, table
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
    )
    return Usage(counter, collector, reporter)
