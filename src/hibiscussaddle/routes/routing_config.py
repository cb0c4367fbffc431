"""Routing configuration: routes to services, and limits on callers."""

import dataclasses
import enum
import hashlib


class RouteKind(enum.Enum):
    """Classify routes by whether and how their requests may run again."""

    IDEMPOTENT = "idempotent"
    # Runs at most once for each request id.
    NON_IDEMPOTENT = "non_idempotent"
    # Forwarded like NON_IDEMPOTENT.
    STREAM = "stream"
    # Items of batches, which may run again.
    BATCH = "batch"


@dataclasses.dataclass(frozen=True)
class Split:
    """Send a fraction of a route's requests to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Describe one route; all durations are in seconds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    # Longest time until a request gets a response.
    timeout: float
    # A response within this time meets the latency target.
    latency_target: float
    # 0 is the highest priority.
    priority: int = 5
    # Number of endpoints to which one request may be sent.
    max_attempts: int = 1
    # Whether streams may go on at another endpoint.
    resumable: bool = False
    # For batches: time from the submission until the results are due, and
    # until items may be abandoned.
    results_due_after: float = 0.0
    retention: float = 0.0
    # Whether all events of an item must come from one weight version.
    single_version: bool = False
    # Whether requests need no key.
    is_public: bool = False

    def service_for(self, request_id: str) -> str:
        """Return the service for a request id, the same for each retry."""
        if len(self.splits) == 1:
            return self.splits[0].service
        total = sum(split.weight for split in self.splits)
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64 * total
        for split in self.splits:
            point -= split.weight
            if point < 0:
                return split.service
        return self.splits[-1].service


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limit what a caller may send; durations are in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Workspace:
    """Describe one workspace and the keys of its callers."""

    name: str
    # Not shown, so that no log line or error contains them.
    keys: frozenset[str] = dataclasses.field(repr=False)
    # 0 is the highest; it goes before the priority of a route. None when the
    # workspace has none.
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """Hold one version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: Limits = Limits()
    # None when callers need no keys.
    workspaces: tuple[Workspace, ...] | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        matching = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def route(self, name: str) -> Route | None:
        """Return a route by its name."""
        return next((r for r in self.routes if r.name == name), None)

    @property
    def has_public_batches(self) -> bool:
        """Return whether callers may submit batches without a key."""
        return any(
            route.is_public and route.kind is RouteKind.BATCH
            for route in self.routes
        )

    @property
    def has_resumable_streams(self) -> bool:
        """Return whether callers may take up streams of any route."""
        return any(
            route.resumable and route.kind is RouteKind.STREAM
            for route in self.routes
        )

    def batch_routes(self) -> tuple[str, ...]:
        """Return the names of the routes that accept batches."""
        return tuple(
            route.name
            for route in self.routes
            if route.kind is RouteKind.BATCH
        )
