"""Run one item on one engine and collect its events."""

import dataclasses
import enum
import logging
import time
import typing

import anyio
import httpx

from hibiscussaddle.batches import events
from hibiscussaddle.batches import model
from hibiscussaddle.batches import placement
from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire

_LOG = logging.getLogger(__name__)

# A reachable engine accepts a connection in milliseconds, in seconds.
_CONNECT_SECONDS: typing.Final = 0.5


class RunEnd(enum.Enum):
    """Tell how one run of an item ended."""

    COMPLETE = "complete"
    # The engine did not start it.
    NOT_RUN = "not_run"
    # The engine at the address is another one.
    OTHER_ENDPOINT = "other_endpoint"
    # The engine failed it; counts against the attempts of the item.
    FAILED = "failed"
    # The engine says that the item can never be done.
    IMPOSSIBLE = "impossible"
    # Broken off; the next run continues after the last event.
    BROKEN = "broken"
    # The weights are older than the batch allows.
    STALE_WEIGHTS = "stale_weights"


_BY_STATUS: typing.Final = {
    422: RunEnd.IMPOSSIBLE,
    421: RunEnd.OTHER_ENDPOINT,
    500: RunEnd.FAILED,
}


@dataclasses.dataclass
class Progress:
    """Hold the state of an item over all its runs."""

    item: model.Item
    transcript: events.Transcript
    failures: int = 0
    runs: int = 0
    endpoint: endpoints.Endpoint | None = None
    # Monotonic seconds of the start of the run and of its newest event.
    started_at: float = 0.0
    event_at: float | None = None
    # Events of the run after its first, and the time of that one.
    first_at: float = 0.0
    gaps: int = 0
    # Ends the current run, so that another engine continues it.
    scope: anyio.CancelScope | None = None
    # Engine that was left because it was slow.
    left: str = ""

    def pace(self) -> float | None:
        """Return the run's seconds between events, None at its start."""
        if self.event_at is None or self.gaps < placement.MIN_RUN_EVENTS:
            return None
        return (self.event_at - self.first_at) / self.gaps


class ItemRunner:
    """Run items over a shared HTTP client."""

    def __init__(
        self, client: httpx.AsyncClient, engines: placement.Placement
    ) -> None:
        """Report what is observed to the placement."""
        self._client = client
        self._engines = engines

    async def run(
        self,
        progress: Progress,
        batch: model.Batch,
        endpoint: endpoints.Endpoint,
    ) -> RunEnd:
        """Run an item once, from where its transcript ends."""
        progress.endpoint = endpoint
        progress.started_at = time.monotonic()
        progress.event_at = None
        progress.runs += 1
        try:
            with anyio.CancelScope() as progress.scope:
                return await self._send(progress, batch, endpoint)
            return RunEnd.BROKEN
        finally:
            progress.scope = None

    async def _send(
        self,
        progress: Progress,
        batch: model.Batch,
        endpoint: endpoints.Endpoint,
    ) -> RunEnd:
        item = progress.item
        headers = {
            **item.headers,
            "host": batch.host,
            endpoint_wire.REQUEST_ID_HEADER: item.id,
            endpoint_wire.EXPECTED_ENDPOINT_HEADER: endpoint.id,
        }
        if progress.transcript.last_id is not None:
            last = str(progress.transcript.last_id)
            headers[endpoint_wire.LAST_EVENT_ID_HEADER] = last
        try:
            async with self._client.stream(
                "POST",
                endpoint.address,
                content=item.body,
                headers=headers,
                timeout=httpx.Timeout(None, connect=_CONNECT_SECONDS),
                # The client would change the escapes of a URL.
                extensions={"target": item.path.encode()},
            ) as resp:
                return await self._receive(progress, batch, endpoint, resp)
        except (httpx.HTTPError, events.MalformedStream) as exc:
            return self._broken(progress, endpoint, exc)

    def _broken(
        self,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        exc: Exception,
    ) -> RunEnd:
        self._engines.failed(endpoint, time.monotonic())
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
        echoed = resp.headers.get(endpoint_wire.REQUEST_ID_HEADER)
        if echoed not in (None, progress.item.id):
            raise events.MalformedStream(f"response belongs to {echoed}")
        if resp.status_code != httpx.codes.OK:
            # A connection whose answer is read to its end serves again.
            await resp.aread()
            return self._refused(progress, endpoint, resp)
        try:
            version = int(resp.headers[endpoint_wire.WEIGHT_VERSION_HEADER])
        except (KeyError, ValueError) as exc:
            raise events.MalformedStream("no weight version") from exc
        self._engines.accepted(endpoint)
        self._engines.state(endpoint).versions[batch.model] = version
        if version < batch.min_version:
            return RunEnd.STALE_WEIGHTS
        parser = events.EventParser()
        async for data in resp.aiter_raw():
            for event in parser.feed(data):
                version = event.version or version
                progress.transcript.add(event, version)
                self._note_event(progress, endpoint)
        if not parser.is_between_events:
            raise events.MalformedStream("the stream ends inside an event")
        return RunEnd.COMPLETE

    def _note_event(
        self, progress: Progress, endpoint: endpoints.Endpoint
    ) -> None:
        now = time.monotonic()
        if progress.event_at is not None:
            gap = now - progress.event_at
            self._engines.observe_gap(endpoint, gap, now)
            progress.gaps += 1
        else:
            progress.first_at = now
            progress.gaps = 0
        progress.event_at = now

    def _refused(
        self,
        progress: Progress,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
    ) -> RunEnd:
        status = resp.status_code
        now = time.monotonic()
        if status in _BY_STATUS:
            end = _BY_STATUS[status]
        elif resp.headers.get(endpoint_wire.NOT_RUN_HEADER):
            end = RunEnd.NOT_RUN
        else:
            end = RunEnd.BROKEN
            self._engines.failed(endpoint, now)
        logs.event(
            _LOG,
            "run_refused",
            item=progress.item.id,
            endpoint=endpoint.id,
            status=status,
            end=end.value,
        )
        return end
