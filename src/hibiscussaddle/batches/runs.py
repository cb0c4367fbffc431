"""Run one item on one engine and collect its events."""

from collections import abc
import dataclasses
import enum
import functools
import logging
import time
import typing

import anyio
import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle.batches import events
from hibiscussaddle.batches import item_waits
from hibiscussaddle.batches import model
from hibiscussaddle.batches import placement
from hibiscussaddle.batches import suspect_items as suspect_items_lib
from hibiscussaddle import containment
from hibiscussaddle import decoding
from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.rate_limits import limiter as limiter_lib
from hibiscussaddle.relays import messages
from hibiscussaddle.relays import transport
from hibiscussaddle.software_versions import continuation

_LOG = logging.getLogger(__name__)

# A reachable engine accepts a connection within milliseconds.
_CONNECT_TIMEOUT_SECONDS: typing.Final = 0.5
_UNEXPECTED_ERROR_DELAY_SECONDS: typing.Final = 1.0
# Engines explain a refusal in a few words.
_MAX_REFUSAL_BYTES: typing.Final = 64 << 10


class RunEnd(enum.Enum):
    """Name how one run of an item ended."""

    COMPLETE = "complete"
    # The engine did not start the run.
    NOT_RUN = "not_run"
    # The address belongs to another engine now.
    OTHER_ENDPOINT = "other_endpoint"
    # The service is cut off, and no peer took the run.
    NOT_RELAYED = "not_relayed"
    # The engine failed the run, which counts as an attempt of the item.
    FAILED = "failed"
    # The engine reports that the item can never succeed.
    IMPOSSIBLE = "impossible"
    # Interrupted; the next run resumes after the last event.
    BROKEN = "broken"
    # The weights are older than the batch allows.
    STALE_WEIGHTS = "stale_weights"
    # The engine restarted with another software version.
    OTHER_SOFTWARE = "other_software"


_END_BY_STATUS: typing.Final = {
    422: RunEnd.IMPOSSIBLE,
    421: RunEnd.OTHER_ENDPOINT,
    500: RunEnd.FAILED,
}


@dataclasses.dataclass
class Progress:
    """Hold the state of an item across all its runs."""

    item: model.Item
    transcript: events.Transcript
    failures: int = 0
    runs: int = 0
    # Seconds in which the item waited for engines.
    waited: float = 0.0
    endpoint: endpoints.Endpoint | None = None
    # Monotonic seconds of the start of the run and of its newest event.
    started_at: float = 0.0
    last_event_at: float | None = None
    # Monotonic seconds of the run's first event, and the events after it.
    first_event_at: float = 0.0
    interval_count: int = 0
    # Cancels the current run, so that another engine resumes it.
    cancel_scope: anyio.CancelScope | None = None
    # Monotonic seconds since which the item got no event, waiting or in runs;
    # None until it waits after an event.
    idle_since: float | None = None
    # Seconds in which the item waited apart from other suspects since the
    # newest end under it, and the monotonic seconds of that end.
    alone_seconds: float = 0.0
    alone_after: float = float("-inf")
    # Engine that the item was moved off; the next choice excludes it.
    excluded_endpoint_id: str = ""
    # Where the item is, for logs and metrics.
    track: item_waits.Track = dataclasses.field(
        default_factory=item_waits.Track
    )

    @functools.cached_property
    def tokens(self) -> int:
        """Return the tokens for which an engine needs memory."""
        return endpoint_wire.decode_total_tokens(self.item.headers)

    def mean_interval(self) -> float | None:
        """Return the mean seconds between events, None for too few of them."""
        if (
            self.last_event_at is None
            or self.interval_count < placement.MIN_RUN_EVENTS
        ):
            return None
        return (self.last_event_at - self.first_event_at) / self.interval_count


class ItemRunner:
    """Run items over a shared HTTP client."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        engines: placement.Placement,
        limiter: limiter_lib.Limiter,
        suspect_items: suspect_items_lib.SuspectItems | None = None,
        find_listed: abc.Callable[
            [str], endpoints.Endpoint | None
        ] = lambda _: None,
    ) -> None:
        """Record what is observed of the engines in the placement.

        find_listed() returns the endpoint that is listed under an ID now.
        """
        self._find_listed = find_listed
        self._suspect_items = suspect_items or suspect_items_lib.SuspectItems()
        self._client = client
        self._limiter = limiter
        self._engines = engines

    async def run(
        self,
        progress: Progress,
        batch: model.Batch,
        endpoint: endpoints.Endpoint,
    ) -> RunEnd:
        """Run an item once, resuming after the end of its transcript."""
        progress.endpoint = endpoint
        progress.started_at = time.monotonic()
        progress.last_event_at = None
        progress.runs += 1
        mark = progress.transcript.mark()
        end = RunEnd.BROKEN
        try:
            with anyio.CancelScope() as progress.cancel_scope:
                with containment.contain("item", progress.item.id):
                    end = await self._send(progress, batch, endpoint)
                    return self._checked_end(progress, endpoint, mark, end)
                # The next run may fail in the same way.
                await anyio.sleep(_UNEXPECTED_ERROR_DELAY_SECONDS)
            return self._checked_end(progress, endpoint, mark, end)
        except BaseException:
            self._checked_end(progress, endpoint, mark, end)
            raise
        finally:
            progress.cancel_scope = None

    def _is_listed_version(self, endpoint: endpoints.Endpoint) -> bool:
        return continuation.is_listed_version(
            endpoint, self._find_listed(endpoint.id)
        )

    def _checked_end(
        self,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        mark: events.Mark,
        end: RunEnd,
    ) -> RunEnd:
        """Discard the events of a run whose software version is uncertain."""
        if end is not RunEnd.OTHER_SOFTWARE and self._is_listed_version(
            endpoint
        ):
            return end
        transcript = progress.transcript
        logs.event(
            _LOG,
            "run_discarded",
            item=progress.item.id,
            endpoint=endpoint.id,
            software_version=endpoint.software_version,
            events=max(0, len(transcript.texts) - mark.event_count),
        )
        transcript.reset(mark)
        return RunEnd.OTHER_SOFTWARE if end is RunEnd.COMPLETE else end

    async def _send(
        self,
        progress: Progress,
        batch: model.Batch,
        endpoint: endpoints.Endpoint,
    ) -> RunEnd:
        item = progress.item
        headers = {
            name: value
            for name, value in item.headers.items()
            if name not in connections.HOP_BY_HOP_HEADERS
        } | {
            "host": batch.host,
            endpoint_wire.REQUEST_ID_HEADER: item.id,
            endpoint_wire.EXPECTED_ENDPOINT_HEADER: endpoint.id,
        }
        if progress.transcript.last_id is not None:
            last = str(progress.transcript.last_id)
            headers[endpoint_wire.LAST_EVENT_ID_HEADER] = last
        if batch.workspace:
            headers[endpoint_wire.WORKSPACE_HEADER] = batch.workspace
        try:
            async with self._client.stream(
                "POST",
                endpoint.address,
                content=item.body,
                headers=[
                    (name.encode(), value.strip().encode())
                    for name, value in headers.items()
                ],
                timeout=httpx.Timeout(None, connect=_CONNECT_TIMEOUT_SECONDS),
                # httpx would change the percent-encoding of a URL.
                extensions={
                    "target": item.path.encode(),
                    # A run that stalls is moved.
                    connections.NO_PROBES: True,
                    transport.ENDPOINT: endpoint,
                    transport.KIND: batch.route,
                },
            ) as resp:
                return await self._receive(progress, batch, endpoint, resp)
        except (httpx.HTTPError, events.MalformedStreamError) as exc:
            if isinstance(exc, messages.NotRelayedError):
                self._log_broken_run(progress, endpoint, exc)
                return RunEnd.NOT_RELAYED
            is_broken = isinstance(exc, connections.BROKEN_CONNECTION_ERRORS)
            if isinstance(exc, transport.PathCutError):
                is_broken = exc.is_connection_broken
                if exc.is_relayed:
                    # It may be the fault of the peer, so the engine is
                    # blocked as briefly as after a refusal.
                    self._engines.record_refusal(endpoint, time.monotonic())
            # A run that got an event survived its prompt. If it ends its
            # engine later, its next run resumes there and gets none.
            if progress.last_event_at is None and is_broken:
                await self._suspect_items.check_end(
                    batch, item, endpoint, progress.transcript.last_id or 0
                )
            if isinstance(exc, transport.PathCutError):
                # The engine needs no backoff, since peers may reach it.
                return self._log_broken_run(progress, endpoint, exc)
            return self._record_broken_run(progress, endpoint, exc)

    def _record_broken_run(
        self,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        exc: Exception,
    ) -> RunEnd:
        self._engines.record_failure(endpoint, time.monotonic())
        return self._log_broken_run(progress, endpoint, exc)

    def _log_broken_run(
        self,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        exc: Exception,
    ) -> RunEnd:
        logs.event(
            _LOG,
            "run_broken",
            item=progress.item.id,
            endpoint=endpoint.id,
            last_event=progress.transcript.last_id,
            why=str(exc) or type(exc).__name__,
        )
        return RunEnd.BROKEN

    async def _receive(
        self,
        progress: Progress,
        batch: model.Batch,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
    ) -> RunEnd:
        """Add the events of a response to the item's transcript."""
        echoed = resp.headers.get(endpoint_wire.REQUEST_ID_HEADER)
        if echoed not in (None, progress.item.id):
            raise events.MalformedStreamError(
                f"response has request id {echoed!r}, not {progress.item.id!r}"
            )
        self._limiter.observe(endpoint, resp, progress.item.id)
        if resp.status_code != httpx.codes.OK:
            await _read_to_end(resp)
            return self._refusal_end(progress, endpoint, resp)
        try:
            version = decoding.parse_count(
                resp.headers[endpoint_wire.WEIGHT_VERSION_HEADER]
            )
        except (KeyError, ValueError) as exc:
            raise events.MalformedStreamError(
                "response has no valid weight version"
            ) from exc
        if not self._is_listed_version(endpoint):
            return RunEnd.OTHER_SOFTWARE
        self._engines.record_acceptance(endpoint, progress.tokens)
        self._engines.state(endpoint).versions[batch.model] = version
        if version < batch.min_version:
            logs.event(
                _LOG,
                "run_refused",
                item=progress.item.id,
                endpoint=endpoint.id,
                status=resp.status_code,
                end=RunEnd.STALE_WEIGHTS.value,
                version=version,
                min_version=batch.min_version,
            )
            return RunEnd.STALE_WEIGHTS
        parser = events.EventParser()
        async for data in resp.aiter_raw():
            if not self._is_listed_version(endpoint):
                return RunEnd.OTHER_SOFTWARE
            for event in parser.feed(data):
                version = event.version or version
                progress.transcript.add(
                    event, version, endpoint.software_version
                )
                if progress.last_event_at is None:
                    self._suspect_items.record_first_event(
                        batch, progress.item, event.id
                    )
                self._record_event(progress, endpoint)
        if not parser.is_between_events:
            raise events.MalformedStreamError("stream ends inside an event")
        self._suspect_items.record_complete(batch, progress.item)
        return RunEnd.COMPLETE

    def _record_event(
        self, progress: Progress, endpoint: endpoints.Endpoint
    ) -> None:
        now = time.monotonic()
        if progress.last_event_at is not None:
            interval = now - progress.last_event_at
            self._engines.record_interval(endpoint, interval, now)
            progress.interval_count += 1
        else:
            progress.first_event_at = now
            progress.interval_count = 0
        progress.last_event_at = now
        progress.idle_since = None

    def _refusal_end(
        self,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
    ) -> RunEnd:
        """Return the end of a run whose response has an error status."""
        status = resp.status_code
        now = time.monotonic()
        if status in _END_BY_STATUS:
            end = _END_BY_STATUS[status]
        elif resp.headers.get(endpoint_wire.NOT_RUN_HEADER):
            end = RunEnd.NOT_RUN
        else:
            end = RunEnd.BROKEN
            self._engines.record_failure(endpoint, now)
        logs.event(
            _LOG,
            "run_refused",
            item=progress.item.id,
            endpoint=endpoint.id,
            status=status,
            end=end.value,
        )
        return end


async def _read_to_end(resp: httpx.Response) -> None:
    """Read a short body, so that its connection can be reused.

    Raises MalformedStreamError for a long body, which may have no end.
    """
    size = 0
    async for data in resp.aiter_raw():
        size += len(data)
        if size > _MAX_REFUSAL_BYTES:
            raise events.MalformedStreamError(
                f"response with status {resp.status_code} exceeds "
                f"{_MAX_REFUSAL_BYTES} bytes"
            )
