"""Wire format of endpoints: entries in the store and HTTP messages."""

from collections import abc
import dataclasses
import re
import typing

import msgspec

from hibiscussaddle import addresses
from hibiscussaddle import decoding
from hibiscussaddle import endpoints

# A "server" of the protocol is an endpoint.
ENDPOINT_PREFIX: typing.Final = "servers/"

# Weight orders, and the state of the weights that an engine has loaded.
ORDER_PATH: typing.Final = "/-/order"
REPORT_PATH: typing.Final = "/-/report"

REQUEST_ID_HEADER: typing.Final = "x-request-id"
DEADLINE_MS_HEADER: typing.Final = "x-deadline-ms"
# Holds an endpoint ID despite the name. Any other endpoint at the address
# rejects the request without running it.
EXPECTED_ENDPOINT_HEADER: typing.Final = "x-expect-instance"
NOT_RUN_HEADER: typing.Final = "x-not-run"
# Proves that the response comes from the endpoint itself.
PROOF_HEADER: typing.Final = "x-server-stamp"
# Requests a second that the endpoint takes from all instances together, for as
# long as its responses say so.
RATE_LIMIT_HEADER: typing.Final = "server-limit"
# "1" in every response of an endpoint that shuts down.
LEAVING_HEADER: typing.Final = "server-leaving"
# A single integer despite the plural; a response header, and a field of the
# events in a stream.
WEIGHT_VERSION_HEADER: typing.Final = "x-weight-versions"
# Name of the caller's workspace, which only this system sets.
WORKSPACE_HEADER: typing.Final = "x-tenant"
LAST_EVENT_ID_HEADER: typing.Final = "last-event-id"
# Request ID of the caller's attempt that brought the first event of the stream
# which this attempt continues. Only callers send it.
CONTINUED_REQUEST_HEADER: typing.Final = "resumes"
OUTPUT_TOKENS_ESTIMATE_HEADER: typing.Final = "x-length-hint"
PROMPT_AND_OUTPUT_TOKENS_HEADER: typing.Final = "x-token-counts"

_STATES: typing.Final = {
    "ready": endpoints.EndpointState.LIVE,
    "draining": endpoints.EndpointState.LEAVING,
}


# Values that are sent as a header: visible ASCII characters.
_HEADER_VALUE: typing.Final = re.compile(r"[!-~]+")
# Limits the work per endpoint that depends on its slots.
_Slots: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=1, le=1 << 20)
]


class _Model(msgspec.Struct):
    name: str
    version: decoding.Count


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: _Slots
    state: str
    models: list[_Model] = []
    # Version of the software; models carry those of the weights.
    version: str = ""
    # Start time in Unix milliseconds; it identifies the incarnation.
    born: decoding.Count = 0


class _Report(msgspec.Struct, rename="camel"):
    # True while a weight order is carried out, whatever the load.
    busy: bool
    # Number of orders accepted since the start. In an entry of the store, the
    # same name counts heartbeats.
    sequence: decoding.Count
    models: list[_Model] = []
    born: decoding.Count = 0


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """Describe an engine's state as reported by the engine."""

    incarnation: int
    # A weight order is being carried out.
    is_loading: bool
    orders_accepted: int
    weight_versions: tuple[tuple[str, int], ...]


def fits_header(text: str) -> bool:
    """Return whether a header can hold a text as it is."""
    return _HEADER_VALUE.fullmatch(text) is not None


def decode_endpoint(key: str, data: bytes) -> endpoints.Endpoint:
    """Return the endpoint of an entry; raise ValueError if malformed."""
    entry = decoding.decode_json(data, _Entry)
    state = _STATES.get(entry.state)
    if state is None:
        raise ValueError(
            f"unknown state {entry.state!r}; allowed: {', '.join(_STATES)}"
        )
    addresses.check_ip(entry.address)
    endpoint_id = key.removeprefix(ENDPOINT_PREFIX)
    if not fits_header(endpoint_id):
        raise ValueError(f"endpoint ID {endpoint_id!r} fits no header")
    kinds = endpoints.EndpointKind
    return endpoints.Endpoint(
        id=endpoint_id,
        kind=kinds.ENGINE if entry.models else kinds.SERVICE,
        zone=entry.zone,
        address=f"http://{entry.address}",
        incarnation=entry.born,
        state=state,
        models=tuple(model.name for model in entry.models),
        service=entry.service,
        slots=entry.slots,
        weight_versions=_weight_versions(entry.models),
        software_version=entry.version,
    )


def decode_rate_limit(values: abc.Iterable[str]) -> float | None:
    """Return the lowest rate limit among header values, None without one.

    The unit is requests per second. Raises ValueError when no value is a
    finite number of at least 0.
    """
    rates: list[float] = []
    malformed: list[str] = []
    for value in ",".join(values).split(","):
        text = value.strip()
        try:
            rates.append(_parse_rate(text))
        except ValueError:
            if text:
                malformed.append(text)
    if not rates and malformed:
        raise ValueError(f"{malformed[0]!r} is not a number of requests")
    return min(rates, default=None)


def _parse_rate(text: str) -> float:
    rate = decoding.parse_number(text)
    # A limit of 0 would keep all requests away.
    if rate < 0:
        raise ValueError(f"{text!r} is negative")
    return rate


def decode_leaving(values: abc.Iterable[str]) -> bool:
    """Return whether header values say that the endpoint shuts down."""
    return any(value.strip() == "1" for value in ",".join(values).split(","))


def decode_prompt_tokens(headers: abc.Mapping[str, str]) -> int:
    """Return the prompt tokens that an item names; 0 if it names none."""
    value = headers.get(PROMPT_AND_OUTPUT_TOKENS_HEADER, "")
    try:
        return decoding.parse_count(value.partition(",")[0].strip())
    except ValueError:
        # They affect only how engines are divided.
        return 0


def decode_total_tokens(headers: abc.Mapping[str, str]) -> int:
    """Return the prompt and output tokens that an item names, 0 for none.

    Engines reserve memory for them.
    """
    value = headers.get(PROMPT_AND_OUTPUT_TOKENS_HEADER, "")
    try:
        prompt, _, output = value.partition(",")
        return decoding.parse_count(prompt) + decoding.parse_count(output)
    except ValueError:
        # Engines refuse the item or take it as it is.
        return 0


def encode_weight_order(
    model: str,
    version: int,
    holder: str,
    fencing_number: int,
    orders_accepted: int,
) -> dict[str, object]:
    """Return an order to load a version without stopping running work.

    The engine rejects it if it has accepted another order since then.
    """
    return {
        "operation": "version",
        "model": model,
        "version": version,
        # Running requests continue with the new version once it is loaded.
        "switchMode": "retain",
        "holder": holder,
        "fencingToken": fencing_number,
        "expected": orders_accepted,
    }


def decode_report(data: bytes) -> EngineReport:
    """Return an engine's report; raise ValueError if malformed."""
    found = decoding.decode_json(data, _Report)
    return EngineReport(
        found.born, found.busy, found.sequence, _weight_versions(found.models)
    )


def _weight_versions(models: list[_Model]) -> tuple[tuple[str, int], ...]:
    return tuple((model.name, model.version) for model in models)
