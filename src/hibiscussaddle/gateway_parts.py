"""The parts of one gateway instance and how they are combined."""

from collections import abc
import dataclasses
import random
import time
import typing

import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle.adapters import store
from hibiscussaddle.adapters import store_transports
from hibiscussaddle.batches import handoff
from hibiscussaddle.batches import owners
from hibiscussaddle.batches import peer_reads
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import reader
from hibiscussaddle.batches import runner
from hibiscussaddle.batches import runs
from hibiscussaddle.batches import storage
from hibiscussaddle.batches import text_cache
from hibiscussaddle.batches import waiting_items
from hibiscussaddle.fleet import change_log
from hibiscussaddle.fleet import feed
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle.fleet import retirement
from hibiscussaddle.fleet import sharing
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import gateway as gateway_lib
from hibiscussaddle import gateway_metrics
from hibiscussaddle import gateway_settings
from hibiscussaddle.platform import config_wire
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import balance
from hibiscussaddle.routes import forward
from hibiscussaddle.scoring import scorer as scorer_lib
from hibiscussaddle import weight_lease
from hibiscussaddle.weights import controller as weight_controller
from hibiscussaddle.weights import lease_contention

# Longest waits of watches, in seconds. Probes of the connection find one
# that went silent sooner, and each answer of the store has a price.
_OPERATOR_WAIT: typing.Final = 10.0
ENDPOINT_WAIT: typing.Final = 0.5
_LEASE_WAIT: typing.Final = 15.0
# Endpoints change several times a second; one answer gathers the changes of
# this time. A leaving endpoint must get no work after 2 s, also when one watch
# is lost on a silent connection and another one has to be sent.
ENDPOINT_PAUSE: typing.Final = 0.6
# All instances of a fleet register within a third of a second when it starts;
# without a pause each of them gets an answer for each of the others.
_LEASE_PAUSE: typing.Final = 0.1
# A store that answers at all answers within this time, in seconds.
_STORE_SECONDS: typing.Final = 1.2


@dataclasses.dataclass(frozen=True)
class Parts:
    """Hold the parts of one instance."""

    cfg: gateway_settings.GatewaySettings
    client: httpx.AsyncClient
    path: store_transports.FailoverTransport
    store: store.StoreClient
    view: view_lib.View
    feeds: tuple[feed.Feed, ...]
    reader: sharing.Reader
    follower: sharing.Follower
    presence: presence_lib.Presence
    batch_owners: owners.OwnedBatches
    waiting: waiting_items.WaitingItems
    engines: placement.Placement
    lease: weight_lease.WeightLease
    weights: weight_controller.WeightController
    retirement: retirement.Retirement
    gateway: gateway_lib.Gateway
    metrics: gateway_metrics.GatewayMetrics

    @property
    def loops(
        self,
    ) -> tuple[
        abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]], ...
    ]:
        """Return what runs until the instance stops."""
        return (
            *(followed.run for followed in self.feeds),
            self.follower.run,
            self.path.run,
            self.presence.run,
            self.batch_owners.run,
            self.waiting.run,
            self.lease.run,
            self.weights.run,
            self.retirement.run,
        )


def create_parts(cfg: gateway_settings.GatewaySettings) -> Parts:
    """Return the parts of an instance."""
    client = connections.create_client()
    incarnation = time.time_ns() // 1_000_000
    me = presence_lib.Member(
        cfg.instance,
        cfg.zone,
        incarnation,
        cfg.peer_address,
        cores=cfg.cpu_share * cfg.cpu_cores,
    )
    view = view_lib.create_view()
    members = presence_lib.Members(me)
    members.batch_routes = view.batch_routes
    path = store_transports.FailoverTransport(
        store_transports.DirectTransport(
            client, f"http://{cfg.store_address}"
        ),
        client,
        members.peer_addresses,
    )
    store_client = store.StoreClient(
        path, _STORE_SECONDS, cfg.store_calls_per_second
    )
    presence = presence_lib.Presence(store_client, members)
    # A machine may be replaced under the same name at another address.
    machine = f"{cfg.instance}/{cfg.peer_address}"
    holder = f"{machine}/{incarnation}"
    claims = lease_contention.LeaseContention(
        members, weight_lease.FLEET, machine
    )
    held = weight_lease.WeightLease(
        store_client,
        weight_lease.FLEET,
        holder,
        weight_controller.LEASE,
        may_claim=claims.may_claim,
        instance=machine,
    )
    feeds = _create_feeds(store_client, view, members, claims)
    follower = sharing.Follower(client, members, feeds)
    follower.hold()
    # A whole zone may be cut off; followers have no calls that show it soon.
    follower.on_failure = path.request_probe
    batches = storage.BatchStorage(store_client)
    engines = placement.Placement()
    balancer = balance.Balancer(cfg.zone, random.Random())
    forwarder = forward.Forwarder(client, view, balancer)
    batch_reader = reader.BatchReader(
        batches, peer_reads.PeerReadClient(client, members, view)
    )
    tools = runner.Dependencies(
        batches,
        view,
        engines,
        runs.ItemRunner(client, engines),
        text_cache.TextCache(),
        waiting_items.WaitingItems(engines),
        scorer_lib.Scorer(forwarder, view, random.Random()),
        batch_reader,
    )
    batch_owners = owners.OwnedBatches(
        tools, members, handoff.HandoffClient(client)
    )
    path.on_recover = batch_owners.scan_soon
    batch_owners.on_lag = presence.note_lag
    presence.has_work = lambda: bool(batch_owners.runners)
    gateway = gateway_lib.Gateway(
        view,
        forwarder,
        batches,
        batch_owners,
        batch_reader,
        feeds,
        path,
        random.Random(),
    )
    gauges = gateway_metrics.create_gauges(
        running=lambda: gateway.running,
        batches=lambda: len(batch_owners.runners),
        members=lambda: len(members.all),
        endpoints=lambda: len(view.directory.all()),
        config_version=lambda: view.config.version if view.config else 0,
        holds_lease=lambda: held.fencing_number(guarded=True) is not None,
        store_direct=lambda: path.is_direct,
    )
    metrics = gateway_metrics.GatewayMetrics(gauges, tools.scorer.outcomes)
    gateway.on_answer = metrics.count_answer
    return Parts(
        cfg=cfg,
        client=client,
        path=path,
        store=store_client,
        view=view,
        feeds=feeds,
        reader=sharing.Reader(feeds),
        follower=follower,
        presence=presence,
        batch_owners=batch_owners,
        waiting=tools.waiting_items,
        engines=engines,
        lease=held,
        weights=weight_controller.WeightController(
            client, view, held, cfg.instance, members.allowed_lag
        ),
        retirement=retirement.Retirement(store_client, view, held),
        gateway=gateway,
        metrics=metrics,
    )


def _create_feeds(
    client: store.StoreClient,
    view: view_lib.View,
    members: presence_lib.Members,
    claims: lease_contention.LeaseContention,
) -> tuple[feed.Feed, ...]:
    def put_lease_listing(entries: list[store.StoreEntry]) -> None:
        members.put_listing(entries)
        claims.apply_listing(entries)

    def put_lease_changes(entries: list[store.StoreEntry]) -> None:
        members.put_changes(entries)
        claims.apply_changes(entries)

    return (
        feed.Feed(
            client,
            config_wire.OPERATOR_PREFIX,
            view.put_operator_entries,
            view.put_operator_entries,
            _OPERATOR_WAIT,
        ),
        feed.Feed(
            client,
            endpoint_wire.ENDPOINT_PREFIX,
            view.put_endpoint_listing,
            view.put_endpoint_entries,
            ENDPOINT_WAIT,
            ENDPOINT_PAUSE,
            view.note_outage,
            change_log.ChangeLog(_meaning_of_endpoint),
        ),
        feed.Feed(
            client,
            weight_lease.PREFIX,
            put_lease_listing,
            put_lease_changes,
            _LEASE_WAIT,
            _LEASE_PAUSE,
        ),
    )


def _meaning_of_endpoint(entry: store.StoreEntry) -> object:
    """Return what an endpoint's entry says apart from its heartbeats."""
    try:
        return endpoint_wire.decode_endpoint(entry.key, entry.data or b"")
    except ValueError:
        # The view of each instance logs what it can't read.
        return entry.data
