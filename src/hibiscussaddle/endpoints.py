"""Endpoints that the platform lists, and a directory of them."""

from collections import abc
import dataclasses
import enum
import typing

from hibiscussaddle.policy import marks as marks_policy


class EndpointKind(enum.Enum):
    """Distinguish model engines from plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointState(enum.Enum):
    """Say whether the platform allows new work on an endpoint."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """Describe one back-end server."""

    id: str
    kind: EndpointKind
    zone: str
    # Base URL, such as http://127.0.0.1:9000.
    address: str
    # Identifies one start of the server; grows with each start, such as its
    # time in Unix milliseconds.
    incarnation: int = 0
    state: EndpointState = EndpointState.LIVE
    models: tuple[str, ...] = ()
    service: str = ""
    slots: int = 8
    # Pairs of a model and its listed weight version.
    weight_versions: tuple[tuple[str, int], ...] = ()
    # Version of the endpoint's software, not of weights; versions have no
    # order. Empty where the list names none.
    software_version: str = ""

    def weight_version(self, model: str) -> int | None:
        """Return the listed weight version of a model."""
        return dict(self.weight_versions).get(model)


def parse_endpoint(item: abc.Mapping[str, typing.Any]) -> Endpoint | None:
    """Return an endpoint of the platform's list; None if it is invalid."""
    try:
        return Endpoint(
            id=str(item["id"]),
            kind=EndpointKind(item["kind"]),
            zone=str(item["zone"]),
            address=str(item["address"]),
            incarnation=int(item.get("incarnation", 0)),
            state=EndpointState(item.get("state", "live")),
            models=tuple(item.get("models", ())),
            service=str(item.get("service", "")),
            slots=int(item.get("slots", 8)),
        )
    except (KeyError, TypeError, ValueError):
        return None


class Directory:
    """Hold the endpoints known to one instance."""

    def __init__(self) -> None:
        """Start empty."""
        self._endpoints: dict[str, Endpoint] = {}
        self.marks = marks_policy.MarkTable()
        # Increased by every change.
        self.revision = 0

    def update(self, newer: abc.Iterable[Endpoint]) -> None:
        """Replace all endpoints by those of a newer list."""
        by_id = {ep.id: ep for ep in newer}
        if by_id != self._endpoints:
            self._endpoints = by_id
            self.revision += 1

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace one endpoint."""
        if self._endpoints.get(endpoint.id) != endpoint:
            self._endpoints[endpoint.id] = endpoint
            self.revision += 1

    def remove(self, endpoint_id: str) -> None:
        """Remove one endpoint."""
        if self._endpoints.pop(endpoint_id, None) is not None:
            self.revision += 1

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return one endpoint, None if it is unknown."""
        return self._endpoints.get(endpoint_id)

    def all(self) -> tuple[Endpoint, ...]:
        """Return every endpoint, ordered by id."""
        return tuple(self._endpoints[key] for key in sorted(self._endpoints))

    def listed(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service, also those that leave."""
        return tuple(
            ep for ep in self._endpoints.values() if ep.service == service
        )

    def put_mark(self, mark: marks_policy.Mark) -> bool:
        """Set a leave mark if it is newer; return whether it was."""
        if not self.marks.put(mark):
            return False
        self.revision += 1
        return True

    def is_draining(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint must get no new work."""
        if endpoint.state is EndpointState.LEAVING:
            return True
        return self.marks.is_marked(endpoint.id, endpoint.incarnation)

    def filter_routable(
        self, candidates: abc.Iterable[Endpoint]
    ) -> tuple[Endpoint, ...]:
        """Return those of the given endpoints that may get new work now."""
        return tuple(ep for ep in candidates if not self.is_draining(ep))

    def engines(self, model: str) -> tuple[Endpoint, ...]:
        """Return the engines that may get work of a model now."""
        return self.filter_routable(
            ep
            for ep in self._endpoints.values()
            if ep.kind is EndpointKind.ENGINE and model in ep.models
        )

    def services(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that may get calls now."""
        return self.filter_routable(
            ep
            for ep in self._endpoints.values()
            if ep.kind is EndpointKind.SERVICE and ep.service == service
        )
