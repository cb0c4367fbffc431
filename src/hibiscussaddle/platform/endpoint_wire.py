"""Endpoints' entries in the store and their HTTP messages."""

import dataclasses
import typing

import msgspec

from hibiscussaddle import endpoints

ENDPOINT_PREFIX: typing.Final = "servers/"

ORDER_PATH: typing.Final = "/-/order"
REPORT_PATH: typing.Final = "/-/report"

REQUEST_ID_HEADER: typing.Final = "x-request-id"
DEADLINE_HEADER: typing.Final = "x-deadline-ms"
# Any other endpoint at the address refuses the request as not run.
EXPECTED_ENDPOINT_HEADER: typing.Final = "x-expect-instance"
NOT_RUN_HEADER: typing.Final = "x-not-run"
# The endpoint's proof that a response is its own.
PROOF_HEADER: typing.Final = "x-server-stamp"
# One integer in a response header and inside a stream, despite the plural.
WEIGHT_VERSION_HEADER: typing.Final = "x-weight-versions"
LAST_EVENT_ID_HEADER: typing.Final = "last-event-id"
OUTPUT_TOKENS_ESTIMATE_HEADER: typing.Final = "x-length-hint"
PROMPT_AND_OUTPUT_TOKENS_HEADER: typing.Final = "x-token-counts"

_STATES: typing.Final = {
    "ready": endpoints.EndpointState.LIVE,
    "draining": endpoints.EndpointState.LEAVING,
}


class _Model(msgspec.Struct):
    name: str
    version: int


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    models: list[_Model] = []
    # Unix milliseconds of the start.
    born: int = 0


class _Report(msgspec.Struct, rename="camel"):
    busy: bool
    # Orders accepted since the start; the same name in an endpoint's entry
    # counts its heartbeats.
    sequence: int
    models: list[_Model] = []
    born: int = 0


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """Hold what an engine says of itself."""

    incarnation: int
    # An order is being carried out.
    is_loading: bool
    orders_accepted: int
    weight_versions: tuple[tuple[str, int], ...]


def decode_endpoint(key: str, data: bytes) -> endpoints.Endpoint:
    """Return the endpoint of an entry; ValueError when it is malformed."""
    entry = msgspec.json.decode(data, type=_Entry)
    state = _STATES.get(entry.state)
    if state is None:
        raise ValueError(
            f"state {entry.state!r} is unknown; allowed: {', '.join(_STATES)}"
        )
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdigit() or entry.slots < 1:
        raise ValueError(
            f"address {entry.address!r} or slots {entry.slots} is invalid"
        )
    kind = endpoints.EndpointKind
    return endpoints.Endpoint(
        id=key.removeprefix(ENDPOINT_PREFIX),
        kind=kind.ENGINE if entry.models else kind.SERVICE,
        zone=entry.zone,
        address=f"http://{entry.address}",
        incarnation=entry.born,
        state=state,
        models=tuple(model.name for model in entry.models),
        service=entry.service,
        slots=entry.slots,
        weight_versions=_versions(entry.models),
    )


def encode_weight_order(
    model: str,
    version: int,
    holder: str,
    fencing_number: int,
    orders_accepted: int,
) -> dict[str, object]:
    """Return an order to load a version while running work continues.

    The engine refuses it when it has accepted other orders since.
    """
    return {
        "operation": "version",
        "model": model,
        "version": version,
        # Runs continue under the new version once it is loaded.
        "switchMode": "retain",
        "holder": holder,
        "fencingToken": fencing_number,
        "expected": orders_accepted,
    }


def decode_report(data: bytes) -> EngineReport:
    """Return an engine's report; ValueError when it is malformed."""
    found = msgspec.json.decode(data, type=_Report)
    return EngineReport(
        found.born, found.busy, found.sequence, _versions(found.models)
    )


def _versions(models: list[_Model]) -> tuple[tuple[str, int], ...]:
    return tuple((model.name, model.version) for model in models)
