"""Wire format of the operator's documents in the store."""

import typing

import msgspec

from hibiscussaddle import decoding
from hibiscussaddle.routes import routing_config

CONFIG_KEY: typing.Final = "op/config"
OPERATOR_PREFIX: typing.Final = "op/"
_VERSION_PREFIX: typing.Final = "op/version/"
_RETIRE_PREFIX: typing.Final = "op/retire/"
_RETIRE_STATUS_PREFIX: typing.Final = "status/retire/"

_ROUTE_KINDS: typing.Final = {
    "idempotent": routing_config.RouteKind.IDEMPOTENT,
    "non_idempotent": routing_config.RouteKind.NON_IDEMPOTENT,
    "streaming": routing_config.RouteKind.STREAM,
    # The protocol names batches of rollouts and other batches separately.
    "rollout": routing_config.RouteKind.BATCH,
    "batch": routing_config.RouteKind.BATCH,
}


class _Split(msgspec.Struct):
    service: str
    weight: decoding.Amount = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: decoding.Amount
    target_latency_ms: decoding.Amount
    priority: decoding.Int = 5
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: decoding.Int = 1
    resumable: bool = False
    # Relative to the first submission of the batch.
    result_deadline_ms: decoding.Amount = 0.0
    retention_s: decoding.Amount = 0.0
    single_version: bool = False
    public: bool = False


class _Workspace(msgspec.Struct, rename="camel"):
    """Describe a "tenant" of the protocol."""

    name: str
    # Null as well once the last key was taken away.
    api_keys: list[str] | None = None
    priority: decoding.Int | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: decoding.WholeAmount = 16_384
    max_body_bytes: decoding.WholeAmount = 33_554_432
    header_timeout_ms: decoding.Amount = 3_000.0
    idle_timeout_ms: decoding.Amount = 15_000.0


class _Config(msgspec.Struct):
    version: decoding.Int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Callers need no keys without this field; null must not open all routes.
    tenants: list[_Workspace] | msgspec.UnsetType = msgspec.UNSET


class _Version(msgspec.Struct):
    model: str
    version: decoding.Int


def decode_config(data: bytes) -> routing_config.RoutingConfig:
    """Return the configuration; raise ValueError if malformed."""
    found = decoding.decode_json(data, _Config)
    limits = routing_config.Limits(
        found.limits.max_header_bytes,
        found.limits.max_body_bytes,
        found.limits.header_timeout_ms / 1000,
        found.limits.idle_timeout_ms / 1000,
    )
    routes = tuple(_to_route(route) for route in found.routes)
    workspaces = None
    if found.tenants is not msgspec.UNSET:
        workspaces = tuple(
            routing_config.Workspace(
                workspace.name,
                frozenset(workspace.api_keys or ()),
                workspace.priority,
            )
            for workspace in found.tenants
        )
    return routing_config.RoutingConfig(
        found.version, routes, limits, workspaces
    )


def decode_published_version(key: str, data: bytes) -> tuple[str, int] | None:
    """Return the model and version that a trainer has published.

    Return None for any other key.
    """
    if not key.startswith(_VERSION_PREFIX):
        return None
    found = decoding.decode_json(data, _Version)
    return found.model, found.version


def retired_instance(key: str) -> str | None:
    """Return the instance to drain for retirement; None for other keys."""
    if not key.startswith(_RETIRE_PREFIX):
        return None
    return key.removeprefix(_RETIRE_PREFIX)


def encode_retirement_status(instance: str) -> tuple[str, bytes]:
    """Return the key and value that report an instance as drained."""
    value = msgspec.json.encode({"state": "completed"})
    return _RETIRE_STATUS_PREFIX + instance, value


def _to_route(route: _Route) -> routing_config.Route:
    kind = _ROUTE_KINDS.get(route.kind)
    if kind is None:
        raise ValueError(
            f"route {route.name!r} has unknown kind {route.kind!r}; "
            f"allowed: {', '.join(_ROUTE_KINDS)}"
        )
    splits = tuple(
        routing_config.Split(split.service, split.weight)
        for split in route.traffic_split
    )
    return routing_config.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=kind,
        splits=splits or (routing_config.Split(route.service, 1.0),),
        timeout=route.timeout_ms / 1000,
        latency_target=route.target_latency_ms / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        resumable=route.resumable,
        results_due_after=route.result_deadline_ms / 1000,
        retention=route.retention_s,
        single_version=route.single_version,
        is_public=route.public,
    )
