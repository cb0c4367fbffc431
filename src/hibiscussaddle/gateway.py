"""Request handling of a gateway instance, independent of the transport."""

from collections import abc
import contextlib
import logging
import random
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.adapters import store_transports
from hibiscussaddle.batches import footprint
from hibiscussaddle.batches import model
from hibiscussaddle.batches import owners
from hibiscussaddle.batches import parts
from hibiscussaddle.batches import reader as reader_lib
from hibiscussaddle.batches import slices
from hibiscussaddle.batches import storage
from hibiscussaddle.callers import bodies
from hibiscussaddle import codes
from hibiscussaddle.customers import keys as keys_lib
from hibiscussaddle.fleet import feed
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.policy import planned_stop
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import request_state
from hibiscussaddle.routes import routing_config
from hibiscussaddle.streaming import sink as sink_lib

_LOG = logging.getLogger(__name__)

# An instance is not ready for callers while a store response is overdue by
# more than this time.
MAX_OVERDUE_SECONDS: typing.Final = 1.5
# Retry-After when only this instance lost the store: the retry reaches another
# instance, which may still reach the store.
_OTHER_INSTANCE_RETRY_SECONDS: typing.Final = 0.2
# Bounds of Retry-After while the store fails for every instance: it is as long
# as the outage so far. Callers retry a few times only, and outages last
# several seconds.
_OUTAGE_RETRY_SECONDS: typing.Final = (0.8, 3.0)
# Bounds of Retry-After for a refused batch: trainers retry once only, and a
# wait longer than most outages delays a step less than losing the batch.
BATCH_OUTAGE_RETRY_SECONDS: typing.Final = (3.5, 4.0)
# Jitter added to Retry-After, as a fraction of it, so that callers that were
# refused together don't retry together.
_JITTER_FRACTION: typing.Final = 0.3
# Longest check whether a refused batch is accepted already, and the pause
# after each.
_ACCEPTANCE_CHECK_SECONDS: typing.Final = 0.5
_ACCEPTANCE_CHECK_PAUSE_SECONDS: typing.Final = 0.02
# Timeout of one attempt to store a batch.
_ACCEPT_TIMEOUT_SECONDS: typing.Final = 1.2
# Attempts to store a batch while the outcome is unknown.
_ACCEPT_ATTEMPTS: typing.Final = 3


class Gateway:
    """Handle requests, batch submissions and batch reads."""

    def __init__(
        self,
        view: view_lib.View,
        forwarder: forward.Forwarder,
        batches: storage.BatchStorage,
        batch_owners: owners.OwnedBatches,
        batch_reader: reader_lib.BatchReader,
        feeds: abc.Sequence[feed.Feed],
        store_transport: store_transports.FailoverTransport,
        rng: random.Random,
        grace_seconds: float,
    ) -> None:
        """Handle requests with the given components of one instance."""
        self.batch_reader = batch_reader
        # Called with the route, status and seconds of each response.
        self.on_response: abc.Callable[[str, int, float], None]
        self.on_response = lambda *_: None
        # Returns whether the known keys are recent enough to rely on.
        self.keys_are_fresh: abc.Callable[[], bool] = lambda: True
        # Monotonic seconds at which SIGTERM arrived; None before it.
        self.stopped_at: float | None = None
        self.running_requests = 0
        self._view = view
        self._forwarder = forwarder
        self._batches = batches
        self._owners = batch_owners
        self._feeds = feeds
        self._store_transport = store_transport
        self._rng = rng
        self._grace_seconds = grace_seconds
        self._keys = keys_lib.CurrentKeys()
        self._acceptance_checks = anyio.Lock()

    @property
    def is_stopping(self) -> bool:
        """Return whether this instance was asked to stop."""
        return self.stopped_at is not None

    @property
    def limits(self) -> routing_config.Limits:
        """Return the caller limits of the current configuration."""
        cfg = self._view.config
        return cfg.limits if cfg else routing_config.Limits()

    @contextlib.contextmanager
    def track_request(self) -> abc.Iterator[None]:
        """Count a request as running while it is handled."""
        self.running_requests += 1
        try:
            yield
        finally:
            self.running_requests -= 1

    def not_ready_reason(self) -> str:
        """Return why this instance is not ready; empty when it is ready."""
        if self.is_stopping:
            return "stopping"
        if self._view.config is None:
            return "no configuration yet"
        if not self._view.has_endpoint_listing:
            return "no endpoints listed yet"
        if self._store_transport.is_unreachable:
            return "the store is unreachable"
        now = time.monotonic()
        for prefix_feed in self._feeds:
            is_overdue = prefix_feed.overdue_seconds(now) > MAX_OVERDUE_SECONDS
            if is_overdue and prefix_feed.is_needed():
                return f"store response for {prefix_feed.prefix} is overdue"
        return ""

    def find_route(
        self, host: str, path: str
    ) -> result.Result[routing_config.Route, codes.Refusal]:
        """Return the route of a request."""
        cfg = self._view.config
        if cfg is None:
            return result.Err(keys_lib.no_configuration())
        route = cfg.match(host, path)
        if route is None:
            return result.Err(
                codes.Refusal(
                    codes.Code.NOT_FOUND,
                    f"configuration {cfg.version} has no route for "
                    f"{host}{path}",
                )
            )
        return result.Ok(route)

    @property
    def needs_keys(self) -> bool:
        """Return whether callers need a key."""
        cfg = self._view.config
        return cfg is not None and cfg.workspaces is not None

    def identify(
        self,
        route: routing_config.Route | None,
        authorization: abc.Sequence[str],
    ) -> keys_lib.Identity:
        """Return the workspace of a call, None where it needs no key.

        Calls for batches have no route. The authorization has the values of
        all headers of that name.
        """
        is_fresh = self.keys_are_fresh()
        retry_after = 0.0
        if not is_fresh:
            bounds = _OUTAGE_RETRY_SECONDS
            if (
                route is not None
                and route.kind is routing_config.RouteKind.BATCH
            ):
                bounds = BATCH_OUTAGE_RETRY_SECONDS
            retry_after = store_retry_seconds(
                self._store_transport.outage_seconds(), self._rng, bounds
            )
        return self._keys.identify(
            self._view.config, route, authorization, is_fresh, retry_after
        )

    async def identify_for_batch(
        self, batch_id: str, authorization: abc.Sequence[str]
    ) -> result.Result[str | None, codes.Refusal]:
        """Return the workspace whose batches a caller may use; None for all.

        An empty one may use the batches of public routes.
        """
        identity = self.identify(None, authorization)
        if isinstance(identity, result.Ok):
            workspace = identity.ok_value
            return result.Ok(workspace.name if workspace else None)
        if await self._is_public_batch(batch_id):
            return result.Ok("")
        return identity

    async def _is_public_batch(self, batch_id: str) -> bool:
        cfg = self._view.config
        if cfg is None or not cfg.has_public_batches:
            return False
        head = await self.batch_reader.head(batch_id, "")
        if isinstance(head, result.Err):
            return False
        route = cfg.route(head.ok_value.route)
        return route is not None and route.is_public

    async def forward(
        self, req: request_state.CallerRequest, route: routing_config.Route
    ) -> request_state.Response:
        """Forward a request; return an endpoint's response or a refusal."""
        if not self._accepts_request(min(req.timeout, route.timeout)):
            return self._stopping_refusal()
        response = await self._forwarder.forward(req, route)
        if isinstance(response, request_state.EndpointResponse):
            logs.event(
                _LOG,
                "request_answered",
                request=req.id,
                route=route.name,
                endpoint=response.endpoint_id,
                status=response.status,
                seconds=time.monotonic() - req.arrived_at,
            )
        return response

    async def forward_stream(
        self,
        req: request_state.CallerRequest,
        route: routing_config.Route,
        sink: sink_lib.Sink,
    ) -> request_state.StreamResult:
        """Pass on a stream; return its end, or another response."""
        if not self._accepts_request(min(req.timeout, route.timeout)):
            return request_state.StreamResult(self._stopping_refusal())
        stream = await self._forwarder.forward_stream(req, route, sink)
        if stream.response is None:
            first_event_at = stream.first_event_at or time.monotonic()
            logs.event(
                _LOG,
                "stream_ended" if stream.is_complete else "stream_broken",
                request=req.id,
                route=route.name,
                endpoint=stream.endpoint_id,
                software_version=stream.software_version,
                events=stream.events,
                first_event=first_event_at - req.arrived_at,
                seconds=time.monotonic() - req.arrived_at,
            )
        return stream

    def _accepts_request(self, timeout: float) -> bool:
        if self.stopped_at is None:
            return True
        elapsed = time.monotonic() - self.stopped_at
        return planned_stop.accepts_request(
            elapsed, self._grace_seconds, timeout
        )

    def _stopping_refusal(self) -> codes.Refusal:
        return codes.Refusal(
            codes.Code.STOPPING,
            "this instance is stopping",
            _OTHER_INSTANCE_RETRY_SECONDS,
        )

    async def submit(
        self, batch: model.Batch, timeout: float
    ) -> codes.Refusal | None:
        """Store a batch; return the refusal if it was not accepted."""
        if self.is_stopping:
            return self._stopping_refusal()
        deadline = time.monotonic() + timeout
        values = await slices.run(parts.encode(batch))
        if len(values) > parts.MAX_PARTS:
            return codes.Refusal(
                codes.Code.TOO_LARGE,
                f"an encoded batch has at most {parts.MAX_PARTS} parts of "
                f"{parts.PART_BYTES} bytes each",
            )
        size = footprint.batch_bytes(sum(map(len, values)), len(batch.items))
        room = self._owners.room
        hold = room.accept(size) if room.fits(size) else None
        if hold is None:
            return await self.refuse_batch(
                batch.id,
                batch.workspace,
                self._no_room(len(batch.items), size),
            )
        is_accepted = False
        try:
            refusal = await self._store_batch(
                owners.Submission(batch, values, hold), deadline
            )
            is_accepted = refusal is None
        finally:
            if not is_accepted:
                hold.close()
        return refusal

    def _no_room(self, items: int, size: int) -> codes.Refusal:
        """Return the refusal of a batch with some items and a footprint."""
        if self._owners.room.fits(size):
            return bodies.memory_full()
        return codes.Refusal(
            codes.Code.TOO_LARGE,
            f"a batch of {items} items takes {size} bytes, more than an "
            "instance accepts",
        )

    async def refuse_batch(
        self, batch_id: str, workspace: str, refusal: codes.Refusal
    ) -> codes.Refusal | None:
        """Return the refusal of a batch; None if it is accepted already.

        A repeated submission must not be told that its batch won't run.
        """
        head: result.Result[model.Head, store.StoreError] | None = None
        with anyio.move_on_after(_ACCEPTANCE_CHECK_SECONDS):
            async with self._acceptance_checks:
                head = await self.batch_reader.head(
                    batch_id, workspace if self.needs_keys else None
                )
                # A crowd of refused batches must leave the store's calls to
                # others.
                await anyio.sleep(_ACCEPTANCE_CHECK_PAUSE_SECONDS)
        if isinstance(head, result.Ok):
            return None
        if head is not None and (
            head.err_value.failure is store.StoreFailure.MISSING
        ):
            return refusal
        return codes.Refusal(
            codes.Code.ACCEPTANCE_UNKNOWN,
            f"{refusal.message}; whether the batch was accepted before is "
            "unknown",
        )

    async def _store_batch(
        self, submission: owners.Submission, deadline: float
    ) -> codes.Refusal | None:
        batch = submission.batch
        may_be_stored = False
        for _ in range(_ACCEPT_ATTEMPTS):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            accepted = await self._owners.accept(
                submission, min(remaining, _ACCEPT_TIMEOUT_SECONDS)
            )
            if isinstance(accepted, result.Ok):
                logs.event(
                    _LOG,
                    "batch_accepted",
                    batch=batch.id,
                    step=batch.step,
                    items=len(batch.items),
                    min_version=batch.min_version,
                )
                return None
            failure = accepted.err_value.failure
            if failure is store.StoreFailure.CONFLICT:
                return codes.Refusal(
                    codes.Code.BATCH_ID_TAKEN,
                    f"another workspace has batch {batch.id!r}",
                )
            if failure is store.StoreFailure.UNKNOWN:
                may_be_stored = True
            elif not may_be_stored:
                return self._store_refusal(failure, BATCH_OUTAGE_RETRY_SECONDS)
        return codes.Refusal(
            codes.Code.ACCEPTANCE_UNKNOWN,
            "the store did not confirm whether it stored the batch",
        )

    async def end_batch(
        self, batch_id: str, workspace: str | None = None
    ) -> codes.Refusal | None:
        """End a batch; return the refusal if it was not ended.

        With None callers need no key.
        """
        head = await self.batch_reader.head(batch_id, workspace)
        if isinstance(head, result.Err):
            return self.read_refusal(head.err_value, batch_id)
        ended = await self._batches.end(batch_id)
        if isinstance(ended, result.Err):
            if ended.err_value.failure is not store.StoreFailure.UNKNOWN:
                return self.read_refusal(ended.err_value, batch_id)
            return codes.Refusal(
                codes.Code.ACCEPTANCE_UNKNOWN,
                "the store did not confirm whether it ended the batch",
            )
        self._owners.notify_end(batch_id, head.ok_value.route)
        logs.event(_LOG, "batch_ended", batch=batch_id)
        return None

    def read_refusal(
        self, error: store.StoreError, batch_id: str
    ) -> codes.Refusal:
        """Return the refusal for a failed read of a batch."""
        if error.failure is store.StoreFailure.MISSING:
            return codes.Refusal(
                codes.Code.NOT_FOUND,
                f"batch {batch_id!r} or its item is unknown",
            )
        if error.failure is store.StoreFailure.NO_ROOM:
            return bodies.memory_full()
        return self._store_refusal(error.failure)

    def _store_refusal(
        self,
        failure: store.StoreFailure,
        bounds: tuple[float, float] = _OUTAGE_RETRY_SECONDS,
    ) -> codes.Refusal:
        outage = self._store_transport.outage_seconds()
        return codes.Refusal(
            codes.Code.STORE_UNAVAILABLE,
            f"the store failed: {failure.value}; outage of {outage:.1f} s",
            store_retry_seconds(outage, self._rng, bounds),
        )


def store_retry_seconds(
    outage: float,
    rng: random.Random,
    bounds: tuple[float, float] = _OUTAGE_RETRY_SECONDS,
) -> float:
    """Return the Retry-After seconds of a refusal due to a store failure.

    The outage is the time for which the store has failed for every instance;
    the wait is as long, within the bounds. All are in seconds.
    """
    if outage <= 0:
        return _OTHER_INSTANCE_RETRY_SECONDS
    shortest, longest = bounds
    wait = min(longest, max(shortest, outage))
    return wait * (1 + _JITTER_FRACTION * rng.random())
