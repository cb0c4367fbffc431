"""Pass the events of one caller's stream on, from one or more endpoints."""

from collections import abc
import dataclasses
import time
import typing

import anyio
import httpx
import result

from hibiscussaddle import codes
from hibiscussaddle import endpoints
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import routing_config
from hibiscussaddle.software_versions import continuation
from hibiscussaddle.software_versions import streams as stream_versions
from hibiscussaddle.streaming import event_splitter
from hibiscussaddle.streaming import progress as progress_lib
from hibiscussaddle.streaming import sink as sink_lib
from hibiscussaddle.streaming import takeup as takeup_lib

_EVENT_STREAM_TYPE: typing.Final = "text/event-stream"
# An endpoint that is silent for this long between two events is replaced by
# another one. Callers abandon a stream after 2 s, or 4 times the latency
# target if that is longer.
_MAX_SILENCE_SECONDS: typing.Final = 1.5
_MAX_SILENCE_TARGETS: typing.Final = 3.0
# How long after its last event a stream waits for an endpoint that may
# continue it: as long as callers do.
_MAX_GAP_SECONDS: typing.Final = 2.0
_MAX_GAP_TARGETS: typing.Final = 4.0


class SilentStreamError(Exception):
    """Signal that an endpoint sent nothing for too long."""


@dataclasses.dataclass(frozen=True)
class Head:
    """Hold the status and the headers that the caller gets."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Passage:
    """Hold the state of one caller's stream across endpoints."""

    def __init__(
        self,
        request_id: str,
        route: routing_config.Route,
        headers: abc.Iterable[tuple[str, str]],
        sink: sink_lib.Sink,
        versions: stream_versions.StreamVersions | None,
    ) -> None:
        """Begin a stream, or continue one that the headers name.

        Without versions it isn't known which version began a stream.
        """
        self._request_id = request_id
        self._route = route
        self._sink = sink
        self._versions = versions
        self._takeup = takeup_lib.parse(route, headers)
        self._progress = progress_lib.Progress(
            self._takeup.last_id if self._takeup else None, self.is_resumable
        )
        # Lifetimes of the endpoints that may continue the caller's stream;
        # None for a new one.
        self._allowed: set[tuple[str, int, str]] | None = None
        # Lifetimes of the endpoints whose connections broke under it.
        self._broken: set[tuple[str, int, str]] = set()
        # Endpoint that sent the first event of this response.
        self.began: endpoints.Endpoint | None = None
        # Whether the caller has the head, and whether it has the whole.
        self.is_started = False
        self.is_complete = False
        # Monotonic seconds.
        self.first_event_at: float | None = None
        self._last_event_at = 0.0
        self.events = 0

    @property
    def is_resumable(self) -> bool:
        """Return whether the route lets streams go on elsewhere."""
        return takeup_lib.is_resumable(self._route)

    @property
    def may_continue(self) -> bool:
        """Return whether another endpoint may send the rest."""
        return self._progress.may_continue

    @property
    def may_wait(self) -> bool:
        """Return whether the stream still waits for an endpoint."""
        most = max(
            _MAX_GAP_SECONDS, _MAX_GAP_TARGETS * self._route.latency_target
        )
        return (
            self.is_started
            and self.may_continue
            and time.monotonic() - self._last_event_at < most
        )

    @property
    def service(self) -> str:
        """Return the service, that of the attempt that began the stream."""
        continued_id = self._takeup.continued_id if self._takeup else ""
        return self._route.service_for(continued_id or self._request_id)

    async def prepare(
        self,
        listed: abc.Collection[endpoints.Endpoint],
        candidates: abc.Collection[endpoints.Endpoint],
    ) -> codes.Refusal | None:
        """Find out where a stream may continue; return why nowhere.

        The listed endpoints are all of the service, with those that leave.
        """
        if self._takeup is None:
            return None
        found: result.Result[list[endpoints.Endpoint], codes.Refusal]
        if self._versions is not None:
            found = await self._versions.filter_continuing(
                self._route,
                self.service,
                self._takeup.continued_id,
                candidates,
            )
        else:
            found = takeup_lib.filter_single_version(
                self.service, listed, candidates
            )
        if isinstance(found, result.Err):
            return found.err_value
        if candidates and not found.ok_value:
            return takeup_lib.version_gone(self.service)
        self._allowed = set(map(_lifetime, found.ok_value))
        return None

    def filter_candidates(
        self, candidates: abc.Collection[endpoints.Endpoint]
    ) -> tuple[endpoints.Endpoint, ...]:
        """Return the endpoints that may send the next event."""
        if self.began is not None:
            return self._without_broken(
                continuation.filter_continuing(
                    self.began.software_version, candidates
                )
            )
        if self._allowed is not None:
            return self._without_broken(
                ep for ep in candidates if _lifetime(ep) in self._allowed
            )
        if self._versions is not None and self.is_resumable:
            return tuple(
                self._versions.filter_beginning(
                    self.service, self._request_id, candidates
                )
            )
        return tuple(candidates)

    def _without_broken(
        self, candidates: abc.Iterable[endpoints.Endpoint]
    ) -> tuple[endpoints.Endpoint, ...]:
        # An endpoint whose connection broke may have started again with other
        # software, which its entry doesn't tell yet.
        return tuple(
            ep for ep in candidates if _lifetime(ep) not in self._broken
        )

    def record_break(self, endpoint: endpoints.Endpoint) -> None:
        """Record that the connection to an endpoint broke."""
        self._broken.add(_lifetime(endpoint))

    def replace_headers(
        self, headers: abc.Iterable[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the caller's headers with the event to continue after."""
        headers = list(headers)
        if self.began is None or self._progress.last_id is None:
            return headers
        name = endpoint_wire.LAST_EVENT_ID_HEADER
        replaced = [header for header in headers if header[0] != name]
        replaced.append((name, str(self._progress.last_id)))
        return replaced

    def is_event_stream(self, resp: httpx.Response) -> bool:
        """Return whether the events of a response are passed on."""
        media_type = resp.headers.get("content-type", "").partition(";")[0]
        return (
            resp.is_success
            and media_type.strip().lower() == _EVENT_STREAM_TYPE
            and resp.headers.get(endpoint_wire.REQUEST_ID_HEADER)
            == self._request_id
            and bool(resp.headers.get(endpoint_wire.PROOF_HEADER))
            and not resp.headers.get(endpoint_wire.NOT_RUN_HEADER)
        )

    async def pass_on(
        self,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
        head: Head,
        has_other: abc.Callable[[], bool],
        on_first_event: abc.Callable[[], None],
    ) -> None:
        """Pass on the events of one response until it is complete.

        The caller gets the head of the first response only. has_other()
        returns whether another endpoint may continue the stream.

        Raises:
            httpx.HTTPError: the response broke off.
            MalformedStreamError: the response is no stream, or it doesn't
                continue after the last event.
            SilentStreamError: another endpoint should continue.
        """
        splitter = event_splitter.EventSplitter()
        self._progress.begin_attempt()
        reads = resp.aiter_raw()
        is_first = True
        while True:
            may_move = not is_first and self.may_continue and has_other()
            data = await self._read(reads, may_move)
            if data is None:
                break
            events = splitter.feed(data)
            self._sink.keep(splitter.buffered_bytes)
            if not events:
                continue
            self._progress.add(events)
            if is_first:
                is_first = False
                on_first_event()
            await self._write(
                endpoint, head, b"".join(event.raw for event in events)
            )
            self.events += len(events)
        if not splitter.is_between_events:
            raise event_splitter.MalformedStreamError(
                "the response ends inside an event"
            )
        await self._write(endpoint, head, splitter.buffered)
        self.is_complete = True
        await self._sink.finish()

    async def _read(
        self, reads: abc.AsyncIterator[bytes], may_move: bool
    ) -> bytes | None:
        """Return the next bytes of a response, None at its end."""
        silence = max(
            _MAX_SILENCE_SECONDS,
            _MAX_SILENCE_TARGETS * self._route.latency_target,
        )
        with anyio.move_on_after(silence if may_move else None):
            return await anext(reads, None)
        raise SilentStreamError(f"no event for {silence:.1f} s")

    async def _write(
        self, endpoint: endpoints.Endpoint, head: Head, data: bytes
    ) -> None:
        now = time.monotonic()
        self._last_event_at = now
        if self.began is None:
            self.began = endpoint
            self.first_event_at = now
            is_new = self.is_resumable and self._takeup is None
            if self._versions is not None and is_new:
                self._versions.record_begin(self._request_id, endpoint)
        if not self.is_started:
            # A cancelled write may have reached the caller.
            self.is_started = True
            await self._sink.start(head.status, head.headers)
        if data:
            await self._sink.send(data)
        # The caller may have been slow to take it.
        self._last_event_at = time.monotonic()


def _lifetime(endpoint: endpoints.Endpoint) -> tuple[str, int, str]:
    return endpoint.id, endpoint.incarnation, endpoint.software_version
