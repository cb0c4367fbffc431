"""Routing configuration: which requests go to which service, and limits."""

import dataclasses
import enum
import hashlib


class RouteKind(enum.Enum):
    """Tell what may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    # Runs at most once for each request id.
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    # Items of batches, which may run again.
    BATCH = "batch"


@dataclasses.dataclass(frozen=True)
class Split:
    """Send a part of a route's requests to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Describe one route; all times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    # Longest time that a request may stay unanswered.
    timeout: float
    # Time within which an answer is worth most.
    target: float
    # 0 is the most urgent.
    priority: int = 5
    # Endpoints to which one request may be sent.
    max_attempts: int = 1
    resumable: bool = False
    # Batches: when results are due, and when items may be given up.
    results_due: float = 0.0
    retention: float = 0.0
    # All events of an item must come from one weight version.
    single_version: bool = False

    def service_for(self, request_id: str) -> str:
        """Return the service of a request, stable for its id."""
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
    """Bound what a caller may send; times are in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """Hold one version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: Limits = Limits()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        found = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        ]
        return max(found, key=lambda route: len(route.prefix), default=None)

    def route(self, name: str) -> Route | None:
        """Return a route by name."""
        return next((r for r in self.routes if r.name == name), None)

    def batch_routes(self) -> tuple[str, ...]:
        """Return the names of the routes that take batches."""
        return tuple(
            route.name
            for route in self.routes
            if route.kind is RouteKind.BATCH
        )
