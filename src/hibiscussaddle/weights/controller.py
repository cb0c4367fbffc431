"""Roll out the newest weight version of each model to all its engines.

The instance that holds the fleet's weight lease sends the orders.
"""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio
from anyio import abc as anyio_abc
import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle import containment
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import observations
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.policy import engine_demand
from hibiscussaddle.policy import lease
from hibiscussaddle.policy import model_shards
from hibiscussaddle.policy import rollout
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.relays import transport

_LOG = logging.getLogger(__name__)

# Fraction of the fleet's engines that load at once. The weight store serves
# about a third of them at full speed; with more, each loads more slowly.
_LOADING_FRACTION: typing.Final = 0.4
# Two engines load at full speed even in the smallest fleet. Loading one at a
# time, four engines would take longer than a step.
_MIN_LOADING_ENGINES: typing.Final = 2
# High enough to send the orders of all engines that may load at once.
_ORDERS_PER_SECOND: typing.Final = 1000.0
# Engines acknowledge an order within milliseconds.
ORDER_TIMEOUT_SECONDS: typing.Final = 0.6
# Loading takes about a second. Each report has a price, so the first one isn't
# read earlier.
_LOAD_SECONDS: typing.Final = 0.95
_REPORT_INTERVAL_SECONDS: typing.Final = 0.25
# Longest delay of an order or a report for an engine at its rate limit. They
# are few, and new weights are worth more than another item.
_PERMIT_DELAY_SECONDS: typing.Final = 2.0
# An order whose version no report shows within this time is sent again.
_MAX_ORDER_SECONDS: typing.Final = 4.0
# A model without a new version for this time isn't trained, and its shard is
# one engine.
_UNTRAINED_SECONDS: typing.Final = 60.0
# How often the controller checks for due orders without a change of the view.
_CHECK_SECONDS: typing.Final = 0.2

# Engines don't check fencing numbers, so a successor waits until the orders of
# the previous holder are three seconds old. The holder stops margin plus
# effect_seconds before its lease ends, 1.3 s after a renewal. As the store may
# remove the key right after that renewal, a successor waits 1.3 + 3.0 s, and
# 0.1 s more.
LEASE: typing.Final = lease.LeaseConfig(
    ttl=2.4,
    margin=0.5,
    effect_seconds=ORDER_TIMEOUT_SECONDS,
    successor_wait_seconds=4.4,
    released_wait_seconds=3.2,
    restart_wait_seconds=ORDER_TIMEOUT_SECONDS,
    retry_seconds=0.2,
    claim_interval_seconds=0.5,
)


@dataclasses.dataclass
class _AcceptedOrders:
    """Count the orders that an engine accepted, None while unknown."""

    count: int | None = None


class WeightController:
    """Plan and send weight orders while this instance holds the lease."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        view: view_lib.View,
        lease_client: duty_lease.DutyLease,
        instance: str,
        allowed_lag: abc.Callable[[str], int],
        limiter: limiter_lib.Limiter,
        model_demands: abc.Callable[[], abc.Mapping[str, int]] = dict,
    ) -> None:
        """Send orders in the name of the instance.

        The callables return how many versions behind the newest one the
        batches of a model still accept, and the known demand of each model.
        """
        self._model_demands = model_demands
        self._client = client
        self._view = view
        self._lease = lease_client
        self._instance = instance
        self._allowed_lag = allowed_lag
        self._limiter = limiter
        self._plans: dict[str, rollout.Rollout] = {}
        # How models that the same engines hold share them, by these models.
        self._divisions: dict[frozenset[str], engine_demand.Division] = {}
        # Number of orders that each engine had accepted at its last report.
        self._accepted = observations.Observations(_AcceptedOrders)

    async def run(self) -> None:
        """Send due orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if self._fencing_number() is None:
                    self._plans.clear()
                    self._divisions.clear()
                else:
                    self._send_due_orders(tasks)
                with anyio.move_on_after(_CHECK_SECONDS):
                    await self._view.wait_for_change()

    def _fencing_number(self) -> int | None:
        # Engines don't check fencing numbers, so orders aren't guarded.
        return self._lease.fencing_number(guarded=False)

    def _send_due_orders(self, tasks: anyio_abc.TaskGroup) -> None:
        now = time.monotonic()
        for model, version in self._view.versions.items():
            plan = self._plans.get(model)
            if plan is None:
                cfg = rollout.RolloutConfig(
                    _ORDERS_PER_SECOND,
                    _LOADING_FRACTION,
                    order_seconds=ORDER_TIMEOUT_SECONDS,
                    min_out_count=_MIN_LOADING_ENGINES,
                )
                plan = self._plans[model] = rollout.Rollout(cfg, now)
            plan.record_newest(version)
            plan.allowed_lag = self._allowed_lag(model)
            self._update_plan(plan, model, now)
            # One lease covers all engines, so none is excluded.
            for order in plan.due_orders(now, lambda _: True):
                endpoint = self._view.directory.get(order.endpoint_id)
                if endpoint is None:
                    continue
                plan.start_order(order)
                tasks.start_soon(self._run_order, plan, model, order, endpoint)

    def _update_plan(
        self, plan: rollout.Rollout, model: str, now: float
    ) -> None:
        engines = self._view.directory.engines(model)
        plan.retain_engines([endpoint.id for endpoint in engines])
        plan.shard_engine_ids = self._shard_engine_ids(model, engines, now)
        for endpoint in engines:
            listed = endpoint.weight_version(model)
            known = plan.engines.get(endpoint.id)
            if known is not None and known.incarnation == endpoint.incarnation:
                # The endpoint listing lags behind the engine's own report.
                if known.version is not None and (listed or 0) < known.version:
                    continue
            plan.apply_report(
                rollout.Report(endpoint.id, endpoint.incarnation, listed, now)
            )

    def _shard_engine_ids(
        self,
        model: str,
        engines: abc.Collection[endpoints.Endpoint],
        now: float,
    ) -> frozenset[str]:
        """Return the model's shard among the engines that hold the model."""
        models = {name for endpoint in engines for name in endpoint.models}
        weights = self._weights(frozenset(models | {model}), len(engines), now)
        names = [endpoint.id for endpoint in engines]
        return model_shards.shard_engines(model, weights, names)

    def _weights(
        self, models: frozenset[str], engine_count: int, now: float
    ) -> abc.Mapping[str, int]:
        """Return the weights by which models share their engines."""
        division = self._divisions.get(models)
        if division is None:
            division = self._divisions[models] = engine_demand.Division()
        demands = dict(self._model_demands())
        for name, plan in self._plans.items():
            if name in demands and plan.newest_age(now) > _UNTRAINED_SECONDS:
                demands[name] = 0
        if division.update(models, demands, engine_count, now):
            logs.event(
                _LOG,
                "engines_divided",
                engines=engine_count,
                demands=",".join(
                    f"{name}:{weight}"
                    for name, weight in sorted(division.weights.items())
                ),
            )
        return division.weights

    async def _run_order(
        self,
        plan: rollout.Rollout,
        model: str,
        order: rollout.Order,
        endpoint: endpoints.Endpoint,
    ) -> None:
        is_done = False
        with containment.contain("weight_order", endpoint.id):
            await self._carry_out(plan, model, order, endpoint)
            is_done = True
        if not is_done:
            plan.record_rejection(order, time.monotonic())

    async def _carry_out(
        self,
        plan: rollout.Rollout,
        model: str,
        order: rollout.Order,
        endpoint: endpoints.Endpoint,
    ) -> None:
        sent_at = time.monotonic()
        accepted = self._accepted.for_endpoint(endpoint).count
        if accepted is None:
            accepted = await self._fetch_accepted_count(endpoint)
        # The lease may end during the delay, so it is checked afterwards.
        is_permitted = await self._acquire_permit(endpoint)
        number = self._fencing_number()
        if number is None or accepted is None or not is_permitted:
            plan.record_rejection(order, sent_at)
            return
        body = endpoint_wire.encode_weight_order(
            model, order.version, self._instance, number, accepted
        )
        status = await self._send_order(endpoint, body)
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
        if status == httpx.codes.MISDIRECTED_REQUEST:
            # Another endpoint has the address and carries out no order for
            # this one.
            plan.record_rejection(order, time.monotonic())
            return
        report = await self._wait_for_version(model, order, endpoint, status)
        now = time.monotonic()
        plan.finish_order(order, report, sent_at, now)

    async def _acquire_permit(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether the engine's rate limit allows a call."""
        retry_after = await self._limiter.acquire(
            endpoint, "control", "-", _PERMIT_DELAY_SECONDS
        )
        return retry_after is None

    async def _fetch_accepted_count(
        self, endpoint: endpoints.Endpoint
    ) -> int | None:
        """Return None when there is no report or the engine is loading."""
        report = await self._fetch_report(endpoint)
        if report is None or report.is_loading:
            return None
        return report.orders_accepted

    async def _send_order(
        self, endpoint: endpoints.Endpoint, body: dict[str, object]
    ) -> int | None:
        headers = {endpoint_wire.EXPECTED_ENDPOINT_HEADER: endpoint.id}
        try:
            with anyio.fail_after(ORDER_TIMEOUT_SECONDS):
                resp = await self._client.post(
                    endpoint.address + endpoint_wire.ORDER_PATH,
                    json=body,
                    headers=headers,
                    timeout=ORDER_TIMEOUT_SECONDS,
                    # Orders have no ID by which a repeated response to an
                    # earlier call could be recognised.
                    extensions={
                        connections.SINGLE_USE: True,
                        **_direct_to(endpoint),
                    },
                )
            self._limiter.observe(endpoint, resp, "-", is_run=False)
            return resp.status_code
        except (httpx.HTTPError, TimeoutError) as exc:
            logs.event(
                _LOG,
                "weight_order_unanswered",
                endpoint=endpoint.id,
                why=str(exc) or type(exc).__name__,
            )
            return None

    async def _wait_for_version(
        self,
        model: str,
        order: rollout.Order,
        endpoint: endpoints.Endpoint,
        status: int | None,
    ) -> rollout.Report | None:
        """Poll reports until one shows the end of the order.

        Return None after a timeout or when the endpoint was removed.
        """
        started = time.monotonic()
        if status == httpx.codes.ACCEPTED:
            await anyio.sleep(_LOAD_SECONDS)
        while True:
            read_at = time.monotonic()
            report = await self._fetch_report(endpoint)
            if report is not None:
                self._accepted.for_endpoint(
                    endpoint
                ).count = report.orders_accepted
                version = dict(report.weight_versions).get(model)
                done = version is not None and version >= order.version
                if done or not report.is_loading:
                    return rollout.Report(
                        endpoint.id, endpoint.incarnation, version, read_at
                    )
            if read_at - started > _MAX_ORDER_SECONDS:
                return None
            if self._view.directory.get(endpoint.id) is None:
                return None
            await anyio.sleep(_REPORT_INTERVAL_SECONDS)

    async def _fetch_report(
        self, endpoint: endpoints.Endpoint
    ) -> endpoint_wire.EngineReport | None:
        if not await self._acquire_permit(endpoint):
            return None
        headers = {endpoint_wire.EXPECTED_ENDPOINT_HEADER: endpoint.id}
        try:
            with anyio.fail_after(ORDER_TIMEOUT_SECONDS):
                resp = await self._client.get(
                    endpoint.address + endpoint_wire.REPORT_PATH,
                    headers=headers,
                    timeout=ORDER_TIMEOUT_SECONDS,
                    extensions=_direct_to(endpoint),
                )
            self._limiter.observe(endpoint, resp, "-", is_run=False)
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


def _direct_to(endpoint: endpoints.Endpoint) -> dict[str, typing.Any]:
    """Return the extensions of a request that no peer may send.

    Engines take the instance that sends an order for its holder.
    """
    return {transport.ENDPOINT: endpoint, transport.DIRECT_ONLY: True}
