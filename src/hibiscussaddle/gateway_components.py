"""The components of one gateway instance and how they are wired."""

from collections import abc
import dataclasses
import math
import random
import time
import typing

import anyio
import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle.adapters import store
from hibiscussaddle.adapters import store_transports
from hibiscussaddle.batches import handoff
from hibiscussaddle.batches import owners
from hibiscussaddle.batches import peer_reads
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import room as room_lib
from hibiscussaddle.batches import runner
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import step_demand
from hibiscussaddle.batches import storage
from hibiscussaddle.batches import suspect_items as suspect_items_lib
from hibiscussaddle.batches import text_cache
from hibiscussaddle.batches import waiting_items
from hibiscussaddle.callers import bodies
from hibiscussaddle.callers import connections as callers_connections
from hibiscussaddle.callers import memory
from hibiscussaddle.callers import writing
from hibiscussaddle import containment
from hibiscussaddle.duties import contention as duty_contention
from hibiscussaddle.duties import control_client
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle.endpoint_ends import checker
from hibiscussaddle.endpoint_ends import factory as ends_factory
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import confirmation as confirmation_lib
from hibiscussaddle.fleet import feed
from hibiscussaddle.fleet import feed_sharing
from hibiscussaddle.fleet import key_age as key_age_lib
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle.fleet import retirement
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import gateway as gateway_lib
from hibiscussaddle import gateway_metrics
from hibiscussaddle import gateway_settings
from hibiscussaddle import loop_delay
from hibiscussaddle.platform import config_wire
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle import process_memory
from hibiscussaddle.rate_limits import holder as permit_holder
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.rate_limits import observed
from hibiscussaddle.rate_limits import permits
from hibiscussaddle.relays import path_checks
from hibiscussaddle.relays import paths
from hibiscussaddle.relays import peer_client
from hibiscussaddle.relays import service as relay_service_lib
from hibiscussaddle.relays import transport as relay_transport
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import suspect_spread
from hibiscussaddle.routes import suspects
from hibiscussaddle.scoring import scorer as scorer_lib
from hibiscussaddle.software_versions import plan_table
from hibiscussaddle.software_versions import stream_versions
from hibiscussaddle.usage import service as usage_service
from hibiscussaddle.weights import controller as weight_controller

# Longest waits of watches, long since each store response counts as a call.
# Connection probes detect a connection that loses packets silently sooner.
_OPERATOR_WAIT_SECONDS: typing.Final = 10.0
# The same where a revoked key must stop working within a time. The known keys
# are at most two waits old in calm, and half of the time is left for failures.
_STRICT_OPERATOR_WAIT_SECONDS: typing.Final = 1.5
_STRICT_WAIT_FRACTION: typing.Final = 0.3
# Short, so that a watch that is lost on such a connection is sent again early
# enough for the bound below.
ENDPOINT_WAIT_SECONDS: typing.Final = 0.5
_LEASE_WAIT_SECONDS: typing.Final = 15.0
# Short, so that a watch that is lost on such a connection is noticed within
# deduction.PROPAGATION_SECONDS.
_SOFTWARE_PLAN_WAIT_SECONDS: typing.Final = 3.0
# A watch may miss a change while the store drops its history.
_SOFTWARE_PLAN_RELIST_SECONDS: typing.Final = 9.0
# Endpoints change several times a second; one response coalesces the changes
# of this interval. A draining endpoint must get no work after 2 s, also when
# one watch is lost on such a connection and another one has to be sent.
ENDPOINT_PAUSE_SECONDS: typing.Final = 0.6
# All instances of a fleet register within a third of a second when it starts;
# without a pause each of them gets one response for each of the others.
_LEASE_PAUSE_SECONDS: typing.Final = 0.1
# A reachable store responds within this time.
_STORE_TIMEOUT_SECONDS: typing.Final = 1.2
# Cut after which an instance hands its duties over. Nobody sends weight orders
# for about four seconds then, which a shorter cut wouldn't cost.
_UNFIT_CUT_SECONDS: typing.Final = 1.0


@dataclasses.dataclass(frozen=True)
class Components:
    """Hold the components of one instance."""

    cfg: gateway_settings.GatewaySettings
    client: httpx.AsyncClient
    store_transport: store_transports.FailoverTransport
    store: store.StoreClient
    view: view_lib.View
    feeds: tuple[feed.Feed, ...]
    zone_reader: feed_sharing.ZoneReader
    follower: feed_sharing.Follower
    presence: presence_lib.Presence
    batch_owners: owners.OwnedBatches
    waiting_items: waiting_items.WaitingItems
    engines: placement.Placement
    duty_lease: duty_lease.DutyLease
    contention: duty_contention.LeaseContention
    weight_controller: weight_controller.WeightController
    retirement: retirement.Retirement
    limiter: limiter_lib.Limiter
    stream_versions: stream_versions.StreamVersionComponents
    suspects: suspects.Suspects
    suspect_spreader: suspect_spread.SuspectSpreader
    endpoint_ends: checker.EndChecker
    forwarder: forward.Forwarder
    # Sends attempts through peers, and runs those of peers.
    relay: peer_client.PeerRelay
    relay_service: relay_service_lib.RelayService
    path_checks: path_checks.PathChecks
    gateway: gateway_lib.Gateway
    metrics: gateway_metrics.GatewayMetrics
    memory_growth: process_memory.GrowthLog
    key_age: key_age_lib.KeyAge
    # None where the settings name no control API.
    control: control_client.ControlClient | None
    # None where usage isn't reported.
    usage: usage_service.Usage | None
    account: memory.Account
    caller_connections: callers_connections.ConnectionTable
    # Those to the port for peers.
    peer_connections: callers_connections.ConnectionTable

    @property
    def background_loops(
        self,
    ) -> tuple[
        abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]], ...
    ]:
        """Return the tasks that run until the instance stops."""
        return (
            *(prefix_feed.run for prefix_feed in self.feeds),
            self.follower.run,
            self.store_transport.run,
            self.presence.run,
            self.batch_owners.run,
            self.waiting_items.run,
            self.duty_lease.run,
            self.weight_controller.run,
            self.retirement.run,
            self.limiter.run,
            *self.stream_versions.background_loops,
            self.suspect_spreader.run,
            self.path_checks.run,
            self.endpoint_ends.run,
            self.memory_growth.run,
            loop_delay.DelayLog().run,
            self.key_age.run,
            *self._usage_loops(),
        )

    def _usage_loops(
        self,
    ) -> tuple[
        abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]], ...
    ]:
        if self.usage is None:
            return ()
        return (self.usage.collector.run, self.usage.reporter.run)


def create_components(cfg: gateway_settings.GatewaySettings) -> Components:
    """Create and connect the components of an instance."""
    account = memory.Account(memory.budget_bytes(cfg.memory_mb))
    pool = connections.OriginTransport(
        id_header=endpoint_wire.REQUEST_ID_HEADER,
        max_held_bytes=min(connections.MAX_HELD_BYTES, account.budget // 3),
    )
    pool.on_held = account.open("endpoint_responses").force
    view = view_lib.create_view()
    incarnation = time.time_ns() // 1_000_000
    me = presence_lib.Member(
        cfg.instance,
        cfg.zone,
        incarnation,
        cfg.peer_address,
        cores=cfg.cpu_share * cfg.cpu_cores,
        batch_bytes=room_lib.largest_batch(account.budget),
    )
    members = presence_lib.Members(me)
    members.batch_routes = view.batch_routes
    # The requests to peers are no attempts themselves.
    relay = peer_client.create_relay(
        connections.create_client(pool), members, random.Random()
    )
    attempts = relay_transport.create_parts(
        pool, view.directory.listed, relay, random.Random()
    )
    client = connections.create_client(attempts.transport)
    transport = store_transports.FailoverTransport(
        store_transports.DirectTransport(
            client, f"http://{cfg.store_address}"
        ),
        client,
        members.peer_addresses,
    )
    store_client = store.StoreClient(
        transport, _STORE_TIMEOUT_SECONDS, cfg.store_calls_per_second
    )
    presence = presence_lib.Presence(store_client, members)
    machine = duty_contention.machine_name(cfg.instance, cfg.peer_address)
    holder = f"{machine}/{incarnation}"
    contention = duty_contention.LeaseContention(
        members, duty_lease.FLEET_SCOPE, machine
    )
    lease = duty_lease.DutyLease(
        store_client,
        duty_lease.FLEET_SCOPE,
        holder,
        weight_controller.LEASE,
        may_claim=contention.may_claim,
        instance=machine,
        is_fit=lambda: reaches_engines(attempts.paths, view, time.monotonic()),
        check_fit=lambda: _check_engines(attempts.checks, view),
    )
    confirmation = _create_confirmation(cfg)
    key_age = key_age_lib.KeyAge(confirmation)
    versions = stream_versions.create_stream_versions(
        client, store_client, view, members
    )
    feeds = _create_feeds(
        store_client,
        view,
        members,
        contention,
        versions.table,
        confirmation,
        _operator_wait_seconds(cfg),
    )
    limits = observed.ObservedLimits()
    known_suspects = suspects.Suspects()
    spreader = suspect_spread.SuspectSpreader(client, members, known_suspects)
    ends = ends_factory.create_fleet_checker(
        view,
        next(
            found
            for found in feeds
            if found.prefix == endpoint_wire.ENDPOINT_PREFIX
        ),
        client,
        members,
    )
    follower = feed_sharing.Follower(
        client, members, feeds, limits, known_suspects
    )
    follower.suspend_feeds()
    # A whole zone may lose the store, and followers make no store calls that
    # would detect it.
    follower.on_failure = transport.request_probe
    batches = storage.BatchStorage(store_client)
    engines = placement.Placement()
    balancer = balance.Balancer(cfg.zone, random.Random())
    limiter = limiter_lib.Limiter(
        permit_holder.PermitHolder(
            members, presence.holds_lease, limits, random.Random()
        ),
        permits.PermitClient(client),
        limits,
    )
    forwarder = forward.Forwarder(
        client, view, balancer, limiter, known_suspects, ends
    )
    ends_factory.connect(ends, known_suspects, engines, balancer)
    forwarder.stream_versions = versions.versions
    forwarder.paths = attempts.paths
    control = None
    if cfg.control_address:
        control = control_client.ControlClient(
            client,
            cfg.control_address,
            cfg.instance,
            lease,
            cfg.control_calls_per_second,
        )
    usage = None
    if control is not None and usage_service.is_configured(cfg):
        member_feed = next(
            found
            for found in feeds
            if presence_lib.PREFIX.startswith(found.prefix)
        )
        usage = usage_service.create_usage(
            cfg,
            client,
            store_client,
            members,
            contention,
            lease,
            control,
            lambda: member_feed.steady_seconds(time.monotonic()),
        )
        forwarder.usage = usage.counter
    batch_reader = reader.BatchReader(
        batches, peer_reads.PeerReadClient(client, members, view), account
    )
    suspect_items = suspect_items_lib.SuspectItems(known_suspects, ends)
    dependencies = runner.Dependencies(
        batches,
        view,
        engines,
        runs.ItemRunner(
            client, engines, limiter, suspect_items, view.directory.get
        ),
        text_cache.TextCache(),
        waiting_items.WaitingItems(engines),
        scorer_lib.Scorer(forwarder, view, random.Random()),
        batch_reader,
        limiter,
        suspect_items,
    )

    def forget_failures(service: str) -> None:
        listed = view.directory.listed(service)
        balancer.clear_failures(listed)
        engines.clear_failures(listed)
        dependencies.waiting_items.wake()

    attempts.checks.on_change = forget_failures
    limiter.on_leaving = view.record_leaving
    limiter.on_item_permit = dependencies.waiting_items.wake
    batch_owners = owners.OwnedBatches(
        dependencies,
        members,
        handoff.HandoffClient(client),
        room_lib.BatchRoom(account, members.batch_bytes),
    )
    transport.on_recover = batch_owners.scan_soon
    batch_owners.on_lag = presence.publish_allowed_lag
    batch_owners.on_step = step_demand.StepDemand(
        view.directory, presence.publish_demand
    ).record
    presence.has_work = lambda: bool(batch_owners.runners)
    gateway = gateway_lib.Gateway(
        view,
        forwarder,
        batches,
        batch_owners,
        batch_reader,
        feeds,
        transport,
        random.Random(),
        cfg.grace_seconds,
    )
    gateway.keys_are_fresh = key_age.is_fresh
    relay_service = relay_service_lib.create_service(
        cfg, client, view, limiter, account
    )
    relay_service.is_cut = attempts.paths.is_service_cut
    relay_service.is_stopping = lambda: gateway.stopped_at is not None
    caller_connections = callers_connections.ConnectionTable(
        callers_connections.caller_limit(cfg.file_descriptors, account.budget),
        lambda: account.evict_slowest(
            (bodies.HOLDER, writing.HOLDER), "descriptors"
        ),
    )
    peer_connections = callers_connections.ConnectionTable(
        callers_connections.peer_limit(cfg.file_descriptors)
    )
    resident = process_memory.ResidentMemory()
    gauges = gateway_metrics.create_gauges(
        running=lambda: gateway.running_requests,
        batches=lambda: len(batch_owners.runners),
        members=lambda: len(members.all),
        endpoints=lambda: len(view.directory.all()),
        endpoints_limited=lambda: sum(
            map(limiter.is_limited, view.directory.all())
        ),
        config_version=lambda: view.config.version if view.config else 0,
        holds_lease=lambda: lease.fencing_number(guarded=True) is not None,
        store_direct=lambda: transport.is_direct,
        memory=lambda: _number(resident.read_bytes()),
        cached_texts=lambda: (
            batch_reader.cached_bytes()
            + dependencies.text_cache.cached_bytes()
        ),
        running_texts=lambda: sum(
            owned.held_bytes() for owned in batch_owners.runners.values()
        ),
        idle_connections=lambda: pool.idle_count,
        held_responses=lambda: pool.held_bytes,
        marked_requests=known_suspects.marked_count,
        undecided_requests=known_suspects.pending_requests,
        suspected_endpoints=ends.table.suspected_count,
        tasks=lambda: len(anyio.get_running_tasks()),
        keys_age=key_age.seconds,
        longest_wait=lambda: batch_owners.wait_summary(0).longest_wait,
        services_cut=attempts.paths.cut_count,
    )
    gauges = {
        **gauges,
        "relayed_attempts_outstanding": lambda: relay.outstanding,
        "relayed_attempts_running": lambda: relay_service.running,
    }
    if usage is not None:
        gauges = {**gauges, **usage.gauges()}
    metrics = gateway_metrics.GatewayMetrics(
        gauges,
        dependencies.scorer.outcomes,
        limiter.outcomes,
        account,
        {"callers": caller_connections, "peers": peer_connections},
        dependencies.competition.waiting_seconds,
        dependencies.competition.events,
        lambda: batch_owners.wait_summary().counts,
        {"sender": relay.outcomes, "peer": relay_service.outcomes},
    )
    gateway.on_response = metrics.count_response
    return Components(
        cfg=cfg,
        account=account,
        caller_connections=caller_connections,
        peer_connections=peer_connections,
        client=client,
        store_transport=transport,
        store=store_client,
        view=view,
        feeds=feeds,
        zone_reader=feed_sharing.ZoneReader(feeds, limits, known_suspects),
        follower=follower,
        presence=presence,
        batch_owners=batch_owners,
        waiting_items=dependencies.waiting_items,
        engines=engines,
        duty_lease=lease,
        contention=contention,
        weight_controller=weight_controller.WeightController(
            client,
            view,
            lease,
            cfg.instance,
            members.allowed_lag,
            limiter,
            members.model_demands,
        ),
        retirement=retirement.Retirement(store_client, view, lease),
        limiter=limiter,
        stream_versions=versions,
        suspects=known_suspects,
        suspect_spreader=spreader,
        endpoint_ends=ends,
        forwarder=forwarder,
        relay=relay,
        relay_service=relay_service,
        path_checks=attempts.checks,
        gateway=gateway,
        metrics=metrics,
        memory_growth=process_memory.GrowthLog(
            resident.read_bytes,
            lambda: gateway_metrics.create_memory_fields(gauges),
        ),
        key_age=key_age,
        control=control,
        usage=usage,
    )


def reaches_engines(
    known: paths.Paths, view: view_lib.View, now: float
) -> bool:
    """Return whether no service with engines has been cut off for long."""
    return not known.cut_count() or not any(
        known.is_cut_since(endpoint.service, now - _UNFIT_CUT_SECONDS)
        for endpoint in view.directory.all()
        if endpoint.kind is endpoints.EndpointKind.ENGINE
    )


async def _check_engines(
    checks: path_checks.PathChecks, view: view_lib.View
) -> bool:
    """Return whether all services with engines are reached."""
    services = {
        endpoint.service
        for endpoint in view.directory.all()
        if endpoint.kind is endpoints.EndpointKind.ENGINE
    }
    return all([await checks.check(service) for service in sorted(services)])


def _number(value: int | None) -> float:
    """Return a gauge value, which is not a number if it is unknown."""
    return math.nan if value is None else value


def _revocation_seconds(cfg: gateway_settings.GatewaySettings) -> float:
    """Return the time within which a revoked key ends; 0 if unbounded."""
    return cfg.revocation_ms / 1000 if cfg.strict_revocation == "true" else 0.0


def _create_confirmation(
    cfg: gateway_settings.GatewaySettings,
) -> confirmation_lib.Confirmation | None:
    seconds = _revocation_seconds(cfg)
    return confirmation_lib.Confirmation(seconds) if seconds else None


def _operator_wait_seconds(cfg: gateway_settings.GatewaySettings) -> float:
    seconds = _revocation_seconds(cfg)
    if not seconds:
        return _OPERATOR_WAIT_SECONDS
    return min(_STRICT_OPERATOR_WAIT_SECONDS, _STRICT_WAIT_FRACTION * seconds)


def _create_feeds(
    client: store.StoreClient,
    view: view_lib.View,
    members: presence_lib.Members,
    contention: duty_contention.LeaseContention,
    plans: plan_table.PlanTable,
    confirmation: confirmation_lib.Confirmation | None,
    operator_wait: float,
) -> tuple[feed.Feed, ...]:
    def apply_lease_listing(entries: list[store.StoreEntry]) -> None:
        members.apply_listing(entries)
        contention.apply_listing(entries)

    def apply_lease_changes(entries: list[store.StoreEntry]) -> None:
        members.apply_changes(entries)
        contention.apply_changes(entries)

    plan_feed = feed.Feed(
        client,
        plan_table.PREFIX,
        plans.apply_listing,
        plans.apply_changes,
        _SOFTWARE_PLAN_WAIT_SECONDS,
        relist=_SOFTWARE_PLAN_RELIST_SECONDS,
    )
    plan_feed.is_needed = lambda: (
        view.config is not None and view.config.has_resumable_streams
    )
    return (
        feed.Feed(
            client,
            config_wire.OPERATOR_PREFIX,
            view.apply_operator_entries,
            view.apply_operator_entries,
            operator_wait,
            confirmation=confirmation,
        ),
        feed.Feed(
            client,
            endpoint_wire.ENDPOINT_PREFIX,
            view.apply_endpoint_listing,
            view.apply_endpoint_entries,
            ENDPOINT_WAIT_SECONDS,
            ENDPOINT_PAUSE_SECONDS,
            view.record_outage,
            change_log.ChangeLog(endpoint_content),
        ),
        feed.Feed(
            client,
            duty_lease.PREFIX,
            apply_lease_listing,
            apply_lease_changes,
            _LEASE_WAIT_SECONDS,
            _LEASE_PAUSE_SECONDS,
        ),
        plan_feed,
    )


def endpoint_content(entry: store.StoreEntry) -> object:
    """Return the content of an endpoint's entry without its heartbeat."""
    with containment.contain("endpoint_entry", entry.key):
        try:
            return endpoint_wire.decode_endpoint(entry.key, entry.data or b"")
        except ValueError:
            # The view of each instance logs the malformed entry.
            pass
    return entry.data
