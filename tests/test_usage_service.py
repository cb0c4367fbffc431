"""Test usage reports of two instances over loopback."""

from collections import abc
import contextlib
import time
import typing

import anyio
import httpx
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

import fleet
from hibiscussaddle.duties import control_client
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle import gateway_components
from hibiscussaddle import gateway_process
from hibiscussaddle import gateway_settings
from hibiscussaddle.platform import control_wire
from hibiscussaddle.platform.standins import control as control_standin
from hibiscussaddle.platform.standins import store as store_standin
from hibiscussaddle import serving
from hibiscussaddle.usage import counter
from hibiscussaddle.usage import reporter
from hibiscussaddle.usage import service as usage_service
from hibiscussaddle.weights import controller as weight_controller
import loopback
import ports

WINDOW_SECONDS: typing.Final = 1.0


def _settings(
    number: int, store_url: str, control_url: str, **changes: typing.Any
) -> gateway_settings.GatewaySettings:
    values = {
        "instance": f"gateway-{number}",
        "zone": "zone-a",
        "peer_address": f"127.0.0.1:{ports.free_ports(1)[0]}",
        "store_address": store_url.removeprefix("http://"),
        "control_address": control_url.removeprefix("http://"),
        "control_duties": (control_wire.USAGE_DUTY,),
        "control_calls_per_second": 50.0,
        "usage_window_seconds": WINDOW_SECONDS,
        "usage_late_seconds": 6.0,
    }
    return gateway_settings.GatewaySettings(**{**values, **changes})


class _Instance:
    """Run the components of one instance, with its peer port."""

    def __init__(self, cfg: gateway_settings.GatewaySettings) -> None:
        self.components = gateway_components.create_components(cfg)
        assert self.components.usage is not None
        self.usage: usage_service.Usage = self.components.usage
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Run until stopped."""
        app = gateway_process.create_peer_app(self.components)
        host, port = self.components.cfg.peer_address.split(":")
        server = serving.Server(app, host, int(port), anyio.sleep_forever)
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve)
                for loop in self.components.background_loops:
                    tasks.start_soon(loop)
        await self.components.client.aclose()

    def count(self, workspace: str) -> int:
        """Count a request that begins now; return its window."""
        now = time.time()
        counted = self.usage.counter.track(workspace)
        counted.record_send(now)
        counted.close()
        return counter.window_at(now, self.usage.counter.window_seconds)

    async def stop(self) -> None:
        """Stop as planned."""
        await self.usage.stop()
        await self.components.duty_lease.release()
        self.kill()

    def kill(self) -> None:
        """Stop without a hand-over."""
        self._scope.cancel()


@contextlib.asynccontextmanager
async def _run_pair(
    control: control_standin.FakeControl, **changes: typing.Any
) -> abc.AsyncIterator[tuple[_Instance, _Instance]]:
    """Yield the holder of the duties and another instance."""
    store_app = store_standin.create_app(store_standin.Store())
    async with (
        loopback.serve(store_app) as store_url,
        loopback.serve(control_standin.create_app(control)) as control_url,
        anyio.create_task_group() as tasks,
    ):
        instances = [
            _Instance(_settings(number, store_url, control_url, **changes))
            for number in (1, 2)
        ]
        for instance in instances:
            tasks.start_soon(instance.run)
        await fleet.wait_until(
            lambda: any(i.usage.reporter.is_holder for i in instances), 10
        )
        instances.sort(key=lambda i: not i.usage.reporter.is_holder)
        yield instances[0], instances[1]
        for instance in instances:
            instance.kill()


def test_counts_reach_the_reports_through_faults_and_a_planned_stop() -> None:
    """Fails when a report misses counts, differs or has an old number."""
    control = control_standin.FakeControl()
    faults = control_standin.Fault

    async def main() -> None:
        async with _run_pair(control) as (holder, other):
            control.faults += [faults.LOST_RESPONSE, faults.TOO_MANY]
            window = other.count("desk")
            await fleet.wait_until(lambda: window in control.reports(), 10)
            assert control.reports()[window] == [{"desk": 1}]
            last = holder.count("shop")
            await holder.stop()
            await fleet.wait_until(lambda: last in control.reports(), 15)
            assert control.reports()[last] == [{"shop": 1}]

    anyio.run(main)
    windows = sorted(control.reports())
    assert windows == list(range(windows[0], windows[-1] + 1))
    assert all(len(counts) == 1 for counts in control.reports().values())
    numbers = [call.fencing_number for call in control.calls]
    assert numbers == sorted(numbers) and len(set(numbers)) == 2
    assert control.calls[0].holder != control.calls[-1].holder


def test_slow_api_takes_each_report_once() -> None:
    """Fails when an API slower than weight orders blocks all reports."""
    control = control_standin.FakeControl()

    async def main() -> None:
        async with _run_pair(control, usage_window_seconds=2.0) as (
            holder,
            other,
        ):
            control.faults += [control_standin.Fault.SLOW] * 50
            window = other.count("desk")
            table = holder.usage.table
            await fleet.wait_until(
                lambda: table.reported_through >= window, 15
            )
            assert control.reports()[window] == [{"desk": 1}]

    anyio.run(main)
    windows = [call.body["window"] for call in control.calls]
    assert len(set(windows)) == len(windows)


def test_usage_call_ends_before_a_successor_may_call() -> None:
    """Fails when a change of the lease lets calls of two holders overlap."""
    cfg = weight_controller.LEASE
    latest_start = cfg.ttl - cfg.margin - cfg.effect_seconds
    seconds = reporter.CALL_TIMEOUT_SECONDS
    assert cfg.successor_wait_seconds is not None
    assert latest_start + seconds + 0.5 <= cfg.successor_wait_seconds
    assert seconds + 0.5 <= cfg.released_wait_seconds


def test_counts_of_a_killed_holder_are_reported() -> None:
    """Fails when what the holder itself counted is lost with it."""
    control = control_standin.FakeControl()

    async def main() -> None:
        async with _run_pair(control, usage_window_seconds=4.0) as (
            holder,
            other,
        ):
            # The window must not end before the holder does.
            await anyio.sleep(4.0 - time.time() % 4.0)
            window = holder.count("desk")
            source = holder.components.presence.members.me.instance
            await fleet.wait_until(
                lambda: any(
                    totals.instance == source and totals.windows
                    for totals in other.usage.table.all()
                ),
                5,
            )
            holder.kill()
            assert window not in control.reports()
            await fleet.wait_until(lambda: window in control.reports(), 20)
            assert control.reports()[window] == [{"desk": 1}]

    anyio.run(main)
    assert all(len(counts) == 1 for counts in control.reports().values())


class _Lease(duty_lease.DutyLease):
    """Hold a lease without a store."""

    def __init__(self, number: int | None) -> None:
        super().__init__(typing.cast(typing.Any, None), "fleet", "name")
        self.number = number

    def fencing_number(self, guarded: bool) -> int | None:
        """Return the given number to calls that aren't checked."""
        return None if guarded else self.number


async def _call(
    app: applications.Starlette, number: int | None
) -> control_client.CallResult:
    async with (
        loopback.serve(app) as url,
        httpx.AsyncClient(trust_env=False, follow_redirects=True) as client,
    ):
        address = url.removeprefix("http://")
        subject = control_client.ControlClient(
            client, address, "gateway-1", _Lease(number), 50.0
        )
        return await subject.call(control_wire.USAGE_PATH, b"{}")


def test_call_is_sent_only_while_the_duty_is_held() -> None:
    """Fails when an instance that lost the duty acts."""
    control = control_standin.FakeControl()
    app = control_standin.create_app(control)
    outcomes = control_wire.Outcome
    assert anyio.run(_call, app, None).outcome is outcomes.NOT_HELD
    assert control.arrived_count == 0
    assert anyio.run(_call, app, 7).outcome is outcomes.ACCEPTED
    assert control.calls[0].holder == "gateway-1"
    assert control.calls[0].fencing_number == 7


def test_redirect_is_not_followed() -> None:
    """Fails when a call goes to where a response sends it."""
    paths: list[str] = []

    async def redirect(req: requests.Request) -> responses.Response:
        paths.append(req.url.path)
        return responses.RedirectResponse("/elsewhere", 307)

    app = applications.Starlette(
        routes=[routing.Route("/{path:path}", redirect, methods=["POST"])]
    )
    sent = anyio.run(_call, app, 7)
    assert sent.outcome is control_wire.Outcome.REJECTED
    assert paths == [control_wire.USAGE_PATH]


def test_deployment_without_a_control_api_reports_nothing() -> None:
    """Fails when usage costs messages or calls where nobody asked for it."""

    async def main() -> None:
        for change in (
            {"control_address": ""},
            {"control_duties": ()},
            {"usage_window_seconds": 0.0},
        ):
            cfg = _settings(1, "127.0.0.1:1", "127.0.0.1:1", **change)
            components = gateway_components.create_components(cfg)
            assert components.usage is None
            app: applications.Starlette
            app = gateway_process.create_peer_app(components)
            paths = [getattr(route, "path", "") for route in app.routes]
            assert not any("usage" in path for path in paths)
            assert components.forwarder.usage is None
            await components.client.aclose()

    anyio.run(main)
