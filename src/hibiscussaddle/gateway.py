"""Decisions of a gateway instance for the calls that reach it."""

from collections import abc
import contextlib
import logging
import random
import time
import typing

import result

from hibiscussaddle.adapters import store
from hibiscussaddle.adapters import store_transports
from hibiscussaddle.batches import model
from hibiscussaddle.batches import owners
from hibiscussaddle.batches import reader as reader_lib
from hibiscussaddle.batches import storage
from hibiscussaddle import codes
from hibiscussaddle.fleet import feed
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.routes import forward
from hibiscussaddle.routes import routing_config

_LOG = logging.getLogger(__name__)

# An instance sends callers elsewhere when an answer of the store is overdue
# by this time, in seconds.
OVERDUE_SECONDS: typing.Final = 1.5
# Retry-After when this instance lost the store, in seconds: the next attempt
# reaches another instance, which may have it.
_ELSEWHERE_SECONDS: typing.Final = 0.2
# Retry-After while the store fails every instance: as long as it has failed
# already, within these bounds in seconds. Callers retry a few times only, and
# outages last several seconds.
_OUTAGE_RETRY: typing.Final = (0.8, 3.0)
# The same for a refused batch: trainers come back once only, and waiting
# longer than most of an outage delays a step less than losing it.
BATCH_OUTAGE_RETRY: typing.Final = (3.5, 4.0)
# Callers that were refused together come back spread over this part of
# their wait.
_SPREAD: typing.Final = 0.3
# Longest time of one attempt to keep a batch, in seconds.
_ACCEPT_SECONDS: typing.Final = 1.2
# Attempts to keep a batch while answers are lost.
_ACCEPT_ATTEMPTS: typing.Final = 3


class Gateway:
    """Answer requests, batches and reads."""

    def __init__(
        self,
        view: view_lib.View,
        forwarder: forward.Forwarder,
        batches: storage.BatchStorage,
        batch_owners: owners.OwnedBatches,
        reader: reader_lib.BatchReader,
        feeds: abc.Sequence[feed.Feed],
        path: store_transports.FailoverTransport,
        rng: random.Random,
    ) -> None:
        """Combine the parts of one instance."""
        self.reader = reader
        # Called with the route, status and seconds of each answer.
        self.on_answer: abc.Callable[[str, int, float], None]
        self.on_answer = lambda *_: None
        self.stopping = False
        self.running = 0
        self._view = view
        self._forwarder = forwarder
        self._batches = batches
        self._owners = batch_owners
        self._feeds = feeds
        self._path = path
        self._rng = rng

    @property
    def limits(self) -> routing_config.Limits:
        """Return the limits of callers in force."""
        cfg = self._view.config
        return cfg.limits if cfg else routing_config.Limits()

    @contextlib.contextmanager
    def count_request(self) -> abc.Iterator[None]:
        """Count a request while it is answered."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

    def why_not_ready(self) -> str:
        """Return why callers should go elsewhere; empty when ready."""
        if self.stopping:
            return "stopping"
        if self._view.config is None:
            return "no configuration yet"
        if not self._view.listed:
            return "no endpoints listed yet"
        if self._path.is_unreachable:
            return "no way to the store"
        now = time.monotonic()
        for followed in self._feeds:
            if followed.age(now) > OVERDUE_SECONDS:
                return f"the store does not answer for {followed.prefix}"
        return ""

    def find_route(
        self, host: str, path: str
    ) -> result.Result[routing_config.Route, codes.Refusal]:
        """Return the route of a request."""
        cfg = self._view.config
        if cfg is None:
            return result.Err(
                codes.Refusal(
                    codes.Code.NOT_READY,
                    "no configuration yet",
                    _ELSEWHERE_SECONDS,
                )
            )
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

    async def forward(
        self, req: forward.CallerRequest, route: routing_config.Route
    ) -> forward.Response:
        """Return an endpoint's answer, or why there is none."""
        answer = await self._forwarder.forward(req, route)
        if isinstance(answer, forward.EndpointResponse):
            logs.event(
                _LOG,
                "request_answered",
                request=req.id,
                route=route.name,
                endpoint=answer.endpoint_id,
                status=answer.status,
                seconds=time.monotonic() - req.arrived_at,
            )
        return answer

    async def submit(
        self, batch: model.Batch, patience: float
    ) -> codes.Refusal | None:
        """Keep a batch; return why it was not kept."""
        if self.stopping:
            return codes.Refusal(
                codes.Code.STOPPING,
                "this instance stops",
                _ELSEWHERE_SECONDS,
            )
        if len(model.encode_parts(batch)) > model.MAX_PARTS:
            return codes.Refusal(
                codes.Code.TOO_LARGE,
                f"a batch has at most {model.MAX_PARTS} parts of "
                f"{model.PART_BYTES} bytes",
            )
        until = time.monotonic() + patience
        may_be_kept = False
        for _ in range(_ACCEPT_ATTEMPTS):
            left = until - time.monotonic()
            if left <= 0:
                break
            answer = await self._owners.accept(
                batch, min(left, _ACCEPT_SECONDS)
            )
            if isinstance(answer, result.Ok):
                logs.event(
                    _LOG,
                    "batch_accepted",
                    batch=batch.id,
                    step=batch.step,
                    items=len(batch.items),
                    min_version=batch.min_version,
                )
                return None
            failure = answer.err_value.failure
            if failure is store.StoreFailure.UNKNOWN:
                may_be_kept = True
            elif not may_be_kept:
                return self._store_refusal(failure, BATCH_OUTAGE_RETRY)
        return codes.Refusal(
            codes.Code.ACCEPTANCE_UNKNOWN,
            "the store did not say whether it kept the batch",
        )

    async def end_batch(self, batch_id: str) -> codes.Refusal | None:
        """End a batch; return why it was not ended."""
        head = await self.reader.head(batch_id)
        if isinstance(head, result.Err):
            return self.read_refusal(head.err_value, batch_id)
        answer = await self._batches.end(batch_id)
        if isinstance(answer, result.Err):
            if answer.err_value.failure is not store.StoreFailure.UNKNOWN:
                return self.read_refusal(answer.err_value, batch_id)
            return codes.Refusal(
                codes.Code.ACCEPTANCE_UNKNOWN,
                "the store did not say whether it ended the batch",
            )
        self._owners.notify_end(batch_id, head.ok_value.route)
        logs.event(_LOG, "batch_ended", batch=batch_id)
        return None

    def read_refusal(
        self, error: store.StoreError, batch_id: str
    ) -> codes.Refusal:
        """Return the refusal of a read that the store did not answer."""
        if error.failure is store.StoreFailure.MISSING:
            return codes.Refusal(
                codes.Code.NOT_FOUND,
                f"batch {batch_id!r} or its item is unknown",
            )
        return self._store_refusal(error.failure)

    def _store_refusal(
        self,
        failure: store.StoreFailure,
        bounds: tuple[float, float] = _OUTAGE_RETRY,
    ) -> codes.Refusal:
        outage = self._path.outage_seconds()
        return codes.Refusal(
            codes.Code.STORE_UNAVAILABLE,
            f"the store failed: {failure.value}; outage of {outage:.1f} s",
            store_retry_seconds(outage, self._rng, bounds),
        )


def store_retry_seconds(
    outage: float,
    rng: random.Random,
    bounds: tuple[float, float] = _OUTAGE_RETRY,
) -> float:
    """Return when to come back after a refusal for want of the store.

    The outage is how long the store has failed every instance; the wait is
    as long, within bounds. All are in seconds.
    """
    if outage <= 0:
        return _ELSEWHERE_SECONDS
    shortest, longest = bounds
    wait = min(longest, max(shortest, outage))
    return wait * (1 + _SPREAD * rng.random())
