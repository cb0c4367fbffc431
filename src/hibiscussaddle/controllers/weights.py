"""Roll out the newest weight versions to the engines of this zone."""

import logging
import secrets
import typing

import anyio

from hibiscussaddle.adapters import weight_store
from hibiscussaddle import controllers
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle import endpoints
from hibiscussaddle import engine_versions
from hibiscussaddle import logs
from hibiscussaddle.policy import lease as lease_policy
from hibiscussaddle.policy import readers
from hibiscussaddle.policy import rollout
from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)
TICK_SECONDS: typing.Final = 0.1
POLL_INTERVAL_SECONDS: typing.Final = 1.0
RELEASE_TIMEOUT_SECONDS: typing.Final = 1.0
# Upper bound of the counter that orders the facts of one fencing number.
_FACTS_PER_FENCING_NUMBER: typing.Final = 1 << 32


class WeightOrders:
    """Manage the lease and the rollouts of one zone."""

    def __init__(
        self,
        runtime: runtime_lib.Runtime,
        lease: duty_lease.DutyLease,
        cfg: lease_policy.LeaseConfig,
    ) -> None:
        """Initialize without holding the lease."""
        self.lease = lease
        self.rollouts: dict[str, rollout.Rollout] = {}
        self._runtime = runtime
        self._cfg = cfg
        self._client = weight_store.WeightStoreClient(
            runtime.client, runtime.cfg.weight_store_url
        )
        self._fact_count = 0
        self._published: dict[str, engine_versions.EngineFact] = {}
        # Latest time at which an order to an engine may be in flight; removed
        # once its outcome is known.
        self._in_flight_until: dict[str, float] = {}
        self._holder = ""

    def engines(self) -> dict[str, list[endpoints.Endpoint]]:
        """Return the live engines of this zone by model."""
        found: dict[str, list[endpoints.Endpoint]] = {}
        for endpoint in self._runtime.directory.all():
            if endpoint.kind is not endpoints.EndpointKind.ENGINE:
                continue
            if endpoint.zone != self._runtime.cfg.zone or not endpoint.models:
                continue
            if endpoint.state is endpoints.EndpointState.LIVE:
                found.setdefault(endpoint.models[0], []).append(endpoint)
        return found

    async def poll(self) -> None:
        """Fetch the newest versions and publish them to every instance."""
        for model in self.engines():
            version = await self._client.newest_version(model)
            if version:
                engine_versions.publish_newest_version(
                    self._runtime, model, version
                )

    def tick(self, tasks: anyio.abc.TaskGroup) -> None:
        """Update the rollouts and start the orders that are due."""
        if self.lease.fencing_number(guarded=True) is None:
            return
        if self._holder != self.lease.machine.holder:
            # Another holder may have sent orders in the meantime.
            self._holder = self.lease.machine.holder
            self.rollouts.clear()
            self._published.clear()
        now = self._runtime.clock()
        for model, found in self.engines().items():
            model_rollout = self._update_rollout(model, found, now)
            by_id = {endpoint.id: endpoint for endpoint in found}
            for order in model_rollout.due_orders(now, self._can_order):
                model_rollout.start_order(order)
                # Published first, so that no instance sends new work.
                self._publish(model_rollout)
                tasks.start_soon(
                    self._send_order,
                    model_rollout,
                    model,
                    by_id[order.endpoint_id],
                    order,
                )
            self._publish(model_rollout)

    def _update_rollout(
        self, model: str, found: list[endpoints.Endpoint], now: float
    ) -> rollout.Rollout:
        model_rollout = self.rollouts.get(model)
        if model_rollout is None:
            model_rollout = rollout.Rollout(self._rollout_config(), now)
            self.rollouts[model] = model_rollout
        model_rollout.retain_engines([endpoint.id for endpoint in found])
        model_rollout.record_newest(
            engine_versions.newest_version(self._runtime, model)
        )
        for endpoint in found:
            if endpoint.id not in model_rollout.engines:
                fact = engine_versions.engine_fact(self._runtime, endpoint.id)
                if fact is not None:
                    model_rollout.restore_engine(
                        endpoint.id, fact.incarnation, fact.serving
                    )
            report = self._runtime.dispatcher.load_tracker.last_report(
                endpoint.id
            )
            if report is not None:
                model_rollout.apply_report(
                    rollout.Report(
                        endpoint.id,
                        report.incarnation,
                        report.version,
                        report.taken_at,
                    )
                )
        return model_rollout

    def _rollout_config(self) -> rollout.RolloutConfig:
        zones = {
            endpoint.zone
            for endpoint in self._runtime.directory.all()
            if endpoint.kind is endpoints.EndpointKind.ENGINE
        }
        rate = self._runtime.cfg.weight_orders_per_second
        return rollout.RolloutConfig(
            orders_per_second=rate / max(1, len(zones)),
            order_seconds=self._cfg.effect_seconds,
        )

    def _checks_fencing(self, endpoint_id: str) -> bool:
        return any(
            endpoint_id in record.contract.fencing_endpoints
            for record in self._runtime.contracts.all()
        )

    def _can_order(self, endpoint_id: str) -> bool:
        checks_fencing = self._checks_fencing(endpoint_id)
        return self.lease.fencing_number(checks_fencing) is not None

    async def _send_order(
        self,
        model_rollout: rollout.Rollout,
        model: str,
        endpoint: endpoints.Endpoint,
        order: rollout.Order,
    ) -> None:
        outcomes = weight_store.OrderOutcome
        # Checked again, since the task may have started late.
        number = self.lease.fencing_number(self._checks_fencing(endpoint.id))
        sent_at = self._runtime.clock()
        if number is None:
            model_rollout.record_rejection(order, sent_at)
            return
        seconds = self._cfg.effect_seconds
        self._in_flight_until[endpoint.id] = sent_at + seconds
        response = await self._client.send_order(
            endpoint, model, order.version, number, seconds
        )
        now = self._runtime.clock()
        if response.outcome is not outcomes.UNKNOWN:
            self._in_flight_until.pop(endpoint.id, None)
        if response.outcome in (outcomes.NOT_RUN, outcomes.FENCED):
            model_rollout.record_rejection(order, now)
        else:
            model_rollout.finish_order(order, response.report, sent_at, now)
        logs.event(
            _LOG,
            "weight_order",
            endpoint=endpoint.id,
            version=order.version,
            fencing=number,
            outcome=response.outcome.value,
        )

    def _publish(self, model_rollout: rollout.Rollout) -> None:
        number = self.lease.fencing_number(guarded=True)
        if number is None:
            return
        for endpoint_id, state in model_rollout.engines.items():
            fact = engine_versions.EngineFact(
                state.incarnation, state.version, state.serving
            )
            if self._published.get(endpoint_id) == fact:
                continue
            self._published[endpoint_id] = fact
            self._fact_count += 1
            engine_versions.publish_engine_state(
                self._runtime,
                endpoint_id,
                fact,
                number * _FACTS_PER_FENCING_NUMBER + self._fact_count,
            )

    async def release(self) -> None:
        """Release the lease, unless an order may still be in flight."""
        now = self._runtime.clock()
        if all(until <= now for until in self._in_flight_until.values()):
            await self.lease.release()


def create_orders(
    runtime: runtime_lib.Runtime,
    cfg: lease_policy.LeaseConfig | None = None,
) -> WeightOrders | None:
    """Create the WeightOrders of the zone; None without either store."""
    if runtime.store is None or not runtime.cfg.weight_store_url:
        return None
    cfg = cfg or lease_policy.LeaseConfig()
    name = f"{runtime.cfg.instance}/{runtime.incarnation}"
    lease = duty_lease.DutyLease(
        runtime.store,
        runtime.cfg.zone,
        f"{name}/{secrets.token_hex(4)}",
        cfg,
    )
    return WeightOrders(runtime, lease, cfg)


def _is_contender(runtime: runtime_lib.Runtime) -> bool:
    zone = runtime.cfg.zone
    reader_ids = readers.choose(runtime.members.live(), zone, "weights")
    return runtime.cfg.instance in reader_ids


@controllers.controller("weights")
async def run(runtime: runtime_lib.Runtime) -> None:
    """Contend for the lease while this instance is one of two readers."""
    dispatcher = runtime.dispatcher
    # The controller of the leave marks sets its own check when it starts.
    await anyio.sleep(0)
    dispatcher.is_marked = engine_versions.create_mark_check(
        runtime, dispatcher.is_marked
    )
    stop = runtime.lifecycle.stop_requested
    while not stop.is_set():
        orders = create_orders(runtime)
        if orders is None:
            return
        if not _is_contender(runtime):
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            continue
        await run_orders(runtime, orders)


async def run_orders(
    runtime: runtime_lib.Runtime, orders: WeightOrders
) -> None:
    """Send orders under the lease until the instance stops contending."""
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(orders.lease.run)
            tasks.start_soon(_poll, orders)
            async with anyio.create_task_group() as order_tasks:
                while _is_contender(runtime):
                    if runtime.lifecycle.stop_requested.is_set():
                        break
                    orders.tick(order_tasks)
                    await anyio.sleep(TICK_SECONDS)
            tasks.cancel_scope.cancel()
    finally:
        # Otherwise the next holder would wait for the lease to expire.
        with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS, shield=True):
            await orders.release()


async def _poll(orders: WeightOrders) -> None:
    while True:
        await orders.poll()
        await anyio.sleep(POLL_INTERVAL_SECONDS)
