"""Bring every engine to the newest weight version of its model.

One instance of the fleet holds the lease and sends the orders.
"""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio
from anyio import abc as anyio_abc
import httpx

from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.policy import lease
from hibiscussaddle.policy import model_shards
from hibiscussaddle.policy import rollout
from hibiscussaddle import weight_lease

_LOG = logging.getLogger(__name__)

# Engines of the fleet that load at once. The weight store serves about a
# third of them at full speed; more load more slowly.
_LOADING_PART: typing.Final = 0.4
# Two engines load at full speed even in the smallest fleet; one after the
# other, four engines take longer than a step.
_LEAST_LOADING: typing.Final = 2
# The orders of one wave may all be sent at once.
_ORDERS_PER_SECOND: typing.Final = 1000.0
# An order is answered in milliseconds, in seconds.
ORDER_SECONDS: typing.Final = 0.6
# Loading takes about a second; reports are priced, so the first one is not
# read before, in seconds.
_LOAD_SECONDS: typing.Final = 0.95
_REPORT_SECONDS: typing.Final = 0.25
# After this time an order without effect is sent again, in seconds.
_GIVE_UP_SECONDS: typing.Final = 4.0
# How often the controller looks for work without a change, in seconds.
_TICK_SECONDS: typing.Final = 0.2

# Engines here do not check fencing numbers, so a successor waits until the
# orders of the holder before are three seconds old. The holder stops margin
# and effect_seconds before its lease ends, 1.3 s after a renewal; the store
# may take the key away right after that renewal.
LEASE: typing.Final = lease.LeaseConfig(
    ttl=2.4,
    margin=0.5,
    effect_seconds=ORDER_SECONDS,
    successor_wait_seconds=4.4,
    released_wait_seconds=3.2,
    restart_wait_seconds=ORDER_SECONDS,
    retry_seconds=0.2,
    claim_interval_seconds=0.5,
)


@dataclasses.dataclass
class _Accepted:
    """Count the orders of one engine incarnation, None while unknown."""

    count: int | None = None


class WeightController:
    """Plan and send weight orders while this instance holds the lease."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        view: view_lib.View,
        held: weight_lease.WeightLease,
        instance: str,
        allowed_lag: abc.Callable[[str], int],
    ) -> None:
        """Name the instance as the holder of its orders.

        The callable tells how many versions behind the newest one the work
        of a model still accepts.
        """
        self._client = client
        self._view = view
        self._lease = held
        self._instance = instance
        self._allowed_lag = allowed_lag
        self._plans: dict[str, rollout.Rollout] = {}
        # Orders that each engine had accepted at its last report.
        self._accepted = observations.Observations(_Accepted)

    async def run(self) -> None:
        """Order until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if self._fencing_number() is None:
                    self._plans.clear()
                else:
                    self._send_due(tasks)
                with anyio.move_on_after(_TICK_SECONDS):
                    await self._view.wait_for_change()

    def _fencing_number(self) -> int | None:
        return self._lease.fencing_number(guarded=False)

    def _send_due(self, tasks: anyio_abc.TaskGroup) -> None:
        now = time.monotonic()
        for model, version in self._view.versions.items():
            plan = self._plans.get(model)
            if plan is None:
                cfg = rollout.RolloutConfig(
                    _ORDERS_PER_SECOND,
                    _LOADING_PART,
                    order_seconds=ORDER_SECONDS,
                    min_out_count=_LEAST_LOADING,
                )
                plan = self._plans[model] = rollout.Rollout(cfg, now)
            plan.record_newest(version)
            plan.allowed_lag = self._allowed_lag(model)
            self._observe(plan, model, now)
            for order in plan.due_orders(now, lambda _: True):
                endpoint = self._view.directory.get(order.endpoint_id)
                if endpoint is None:
                    continue
                plan.start_order(order)
                tasks.start_soon(self._order, plan, model, order, endpoint)

    def _observe(self, plan: rollout.Rollout, model: str, now: float) -> None:
        found = self._view.directory.engines(model)
        plan.retain_engines([endpoint.id for endpoint in found])
        plan.shard_engine_ids = self._home(model, found)
        for endpoint in found:
            listed = endpoint.weight_version(model)
            known = plan.engines.get(endpoint.id)
            if known is not None and known.incarnation == endpoint.incarnation:
                # The listing lags behind what the engine itself reported.
                if known.version is not None and (listed or 0) < known.version:
                    continue
            plan.apply_report(
                rollout.Report(endpoint.id, endpoint.incarnation, listed, now)
            )

    @staticmethod
    def _home(
        model: str, found: abc.Collection[endpoints.Endpoint]
    ) -> frozenset[str]:
        """Return the engines of a model among those that hold it."""
        models = {name for endpoint in found for name in endpoint.models}
        names = [endpoint.id for endpoint in found]
        return model_shards.shard_engines(model, models | {model}, names)

    async def _order(
        self,
        plan: rollout.Rollout,
        model: str,
        order: rollout.Order,
        endpoint: endpoints.Endpoint,
    ) -> None:
        sent_at = time.monotonic()
        accepted = self._accepted.for_endpoint(endpoint).count
        if accepted is None:
            accepted = await self._count_orders(endpoint)
        number = self._fencing_number()
        if number is None or accepted is None:
            plan.record_rejection(order, sent_at)
            return
        body = endpoint_wire.encode_weight_order(
            model, order.version, self._instance, number, accepted
        )
        status = await self._send(endpoint, body)
        logs.event(
            _LOG,
            "weight_order",
            endpoint=endpoint.id,
            model=model,
            version=order.version,
            fencing_number=number,
            orders_accepted=accepted,
            status=status or "no_answer",
        )
        report = await self._await_version(model, order, endpoint, status)
        now = time.monotonic()
        plan.finish_order(order, report, sent_at, now)

    async def _count_orders(self, endpoint: endpoints.Endpoint) -> int | None:
        report = await self._report(endpoint)
        if report is None or report.is_loading:
            return None
        return report.orders_accepted

    async def _send(
        self, endpoint: endpoints.Endpoint, body: dict[str, object]
    ) -> int | None:
        headers = {endpoint_wire.EXPECTED_ENDPOINT_HEADER: endpoint.id}
        try:
            with anyio.fail_after(ORDER_SECONDS):
                resp = await self._client.post(
                    endpoint.address + endpoint_wire.ORDER_PATH,
                    json=body,
                    headers=headers,
                    timeout=ORDER_SECONDS,
                )
            return resp.status_code
        except (httpx.HTTPError, TimeoutError) as exc:
            logs.event(
                _LOG,
                "weight_order_unanswered",
                endpoint=endpoint.id,
                why=str(exc) or type(exc).__name__,
            )
            return None

    async def _await_version(
        self,
        model: str,
        order: rollout.Order,
        endpoint: endpoints.Endpoint,
        status: int | None,
    ) -> rollout.Report | None:
        """Return the report that shows how an order ended."""
        started = time.monotonic()
        if status == httpx.codes.ACCEPTED:
            await anyio.sleep(_LOAD_SECONDS)
        while True:
            taken_at = time.monotonic()
            report = await self._report(endpoint)
            if report is not None:
                self._accepted.for_endpoint(
                    endpoint
                ).count = report.orders_accepted
                version = dict(report.weight_versions).get(model)
                done = version is not None and version >= order.version
                if done or not report.is_loading:
                    return rollout.Report(
                        endpoint.id, endpoint.incarnation, version, taken_at
                    )
            if taken_at - started > _GIVE_UP_SECONDS:
                return None
            if self._view.directory.get(endpoint.id) is None:
                return None
            await anyio.sleep(_REPORT_SECONDS)

    async def _report(
        self, endpoint: endpoints.Endpoint
    ) -> endpoint_wire.EngineReport | None:
        headers = {endpoint_wire.EXPECTED_ENDPOINT_HEADER: endpoint.id}
        try:
            with anyio.fail_after(ORDER_SECONDS):
                resp = await self._client.get(
                    endpoint.address + endpoint_wire.REPORT_PATH,
                    headers=headers,
                    timeout=ORDER_SECONDS,
                )
            resp.raise_for_status()
            return endpoint_wire.decode_report(resp.content)
        except (httpx.HTTPError, TimeoutError, ValueError) as exc:
            logs.event(
                _LOG,
                "engine_report_failed",
                endpoint=endpoint.id,
                why=str(exc) or type(exc).__name__,
            )
            return None
