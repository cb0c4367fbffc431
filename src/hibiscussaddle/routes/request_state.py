"""The state of one forwarded request across its attempts."""

import dataclasses
import functools
import time
import typing

from hibiscussaddle import codes
from hibiscussaddle.policy import retries
from hibiscussaddle.routes import routing_config
from hibiscussaddle.routes import suspects
from hibiscussaddle.streaming import passage as passage_lib
from hibiscussaddle.usage import counter as usage_counter

# No attempt is sent with less time left, as no endpoint could respond.
_MIN_ATTEMPT_SECONDS: typing.Final = 0.005
# Retry-After of a request that no endpoint can serve now. Restarted endpoints
# are listed within about a second.
RETRY_AFTER_SECONDS: typing.Final = 0.3
# Lower limit of the Retry-After of a request that rate limits hold back.
_MIN_RETRY_AFTER_SECONDS: typing.Final = 0.03


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """Hold one request of a caller with its complete body."""

    id: str
    method: str
    # Absolute path with the query, as the caller sent it.
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    # Seconds from the arrival until the caller stops waiting.
    timeout: float
    # Monotonic seconds of the arrival.
    arrived_at: float
    # Workspace of the caller's key; empty without one.
    workspace: str = ""
    # 0 is the highest; that of the workspace goes before that of the route.
    priority: int = 5


@dataclasses.dataclass(frozen=True)
class EndpointResponse:
    """Hold the complete response of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    endpoint_id: str


@dataclasses.dataclass
class RequestState:
    """Hold the state of one request across its attempts."""

    req: CallerRequest
    route: routing_config.Route
    deadline: float
    # Limits hedges; with None every slow attempt is hedged.
    hedge_budget: retries.Budget | None = None
    # Counts the request for its workspace; None if it doesn't count.
    usage: usage_counter.CountedRequest | None = None
    # Passes the events of a stream on; None if the response is read whole.
    passage: passage_lib.Passage | None = None
    # Reason why a stream can't continue at any endpoint.
    stream_refusal: codes.Refusal | None = None
    tried: list[str] = dataclasses.field(default_factory=list)
    # Attempts that ended before an endpoint started the request.
    refusals: int = 0
    # Monotonic seconds at which endpoints that denied a permit take requests
    # again, by endpoint.
    denied_until: dict[str, float] = dataclasses.field(default_factory=dict)
    # Whether some endpoint may have run the request.
    may_have_run: bool = False
    # Whether the request is refused since endpoints ended under it.
    is_marked: bool = False
    # Responses with status 500.
    failures: int = 0
    response: EndpointResponse | None = None
    # Newest response with status 500 or above, returned when there is no
    # better one.
    error_response: EndpointResponse | None = None

    @property
    def seconds_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()

    @property
    def may_send(self) -> bool:
        """Return whether another attempt may be sent."""
        if (
            self.response is not None
            or self.seconds_left < _MIN_ATTEMPT_SECONDS
        ):
            return False
        if len(self.tried) >= self.route.max_attempts:
            return False
        return self.is_repeatable or not self.may_have_run

    @property
    def may_wait(self) -> bool:
        """Return whether a stream under way waits for an endpoint."""
        return self.passage is not None and self.passage.may_wait

    @functools.cached_property
    def fingerprint(self) -> suspects.Fingerprint:
        """Return what identifies the request across attempts."""
        req = self.req
        return suspects.fingerprint(req.method, req.host, req.target, req.body)

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        if self.passage is not None:
            return self.passage.may_continue
        return self.may_hedge

    @property
    def may_hedge(self) -> bool:
        """Return whether the request may run at two endpoints at a time."""
        return self.route.kind is routing_config.RouteKind.IDEMPOTENT

    @property
    def service(self) -> str:
        """Return the service whose endpoints may get the request."""
        if self.passage is not None:
            return self.passage.service
        return self.route.service_for(self.req.id)


Response: typing.TypeAlias = EndpointResponse | codes.Refusal


@dataclasses.dataclass(frozen=True)
class StreamResult:
    """Hold the end of a stream, or the response in its place."""

    # None if the caller has the head of the stream.
    response: Response | None
    # Endpoint that began the stream; empty if it did not begin.
    endpoint_id: str = ""
    software_version: str = ""
    is_complete: bool = False
    events: int = 0
    # Monotonic seconds.
    first_event_at: float | None = None


@dataclasses.dataclass(frozen=True)
class ForwardResult:
    """Hold the result of a request across all its attempts."""

    # Best response of an endpoint, which may be a failure.
    response: EndpointResponse | None
    # Reason when there is none.
    refusal: codes.Refusal | None
    # Endpoints that may have run the request.
    tried: tuple[str, ...]
    # Responses with status 500, and attempts that did not start the request.
    failures: int
    refusals: int


def refusal(state: RequestState) -> codes.Refusal:
    """Return the reason why a request has no response."""
    if state.stream_refusal is not None:
        return state.stream_refusal
    if state.is_marked:
        return codes.Refusal(
            codes.Code.ENDS_ENDPOINTS,
            "the endpoints that worked on this request have ended",
        )
    if state.may_have_run or state.tried:
        # An attempt that the deadline cancelled may have run, too.
        code = codes.Code.BACK_END_TIMEOUT
        if state.seconds_left > 0:
            code = codes.Code.OUTCOME_UNKNOWN
        return codes.Refusal(
            code,
            f"no response from {', '.join(state.tried) or 'an endpoint'}",
        )
    if state.denied_until:
        return_at = min(state.denied_until.values())
        return codes.Refusal(
            codes.Code.RATE_LIMITED,
            f"every endpoint of route {state.route.name!r} that accepts "
            "requests has reached its rate limit",
            max(_MIN_RETRY_AFTER_SECONDS, return_at - time.monotonic()),
        )
    return codes.Refusal(
        codes.Code.NO_ENDPOINT,
        f"no endpoint of route {state.route.name!r} accepts requests now",
        RETRY_AFTER_SECONDS,
    )
