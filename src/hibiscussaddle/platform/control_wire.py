"""Wire format of the platform's control API: the calls that are duties."""

from collections import abc
import enum
import typing

import httpx
import msgspec

from hibiscussaddle import decoding

# Responses that say that the call itself is wrong.
_MALFORMED_STATUSES: typing.Final = frozenset(
    {httpx.codes.BAD_REQUEST, httpx.codes.UNPROCESSABLE_ENTITY}
)

# Names of the duties in the settings.
USAGE_DUTY: typing.Final = "usage_report"
CAPACITY_DUTY: typing.Final = "autoscale"

USAGE_PATH: typing.Final = "/usage"
CAPACITY_PATH: typing.Final = "/scale"
# Name of the instance that holds the duty, and its fencing number.
HOLDER_HEADER: typing.Final = "x-duty-holder"
FENCING_NUMBER_HEADER: typing.Final = "x-fencing-token"

Counts: typing.TypeAlias = abc.Mapping[str, int]


class Outcome(enum.Enum):
    """Enumerate the outcomes of a call."""

    ACCEPTED = "accepted"
    # Had no effect, may succeed later: too many calls, or a failure.
    REFUSED = "refused"
    # None of what was ordered is available there now.
    UNAVAILABLE = "unavailable"
    # Would be rejected again.
    REJECTED = "rejected"
    # Rejected for a reason outside the call, such as the caller's access or
    # the path, which the API's operators may mend.
    DENIED = "denied"
    # May have taken effect.
    UNKNOWN = "unknown"
    # The duty isn't held, so nothing was sent.
    NOT_HELD = "not_held"


class _Usage(msgspec.Struct):
    window: decoding.Count
    counts: dict[str, decoding.Count]


class _CapacityOrder(msgspec.Struct, rename="camel", omit_defaults=True):
    service: str
    zone: str
    group_count: int
    spot: bool = False


def encode_usage(window: int, counts: Counts) -> bytes:
    """Return a usage report; equal counts give equal bytes."""
    return msgspec.json.encode(_Usage(window, dict(sorted(counts.items()))))


def decode_usage(data: bytes) -> tuple[int, dict[str, int]]:
    """Return window and counts of a report; raise ValueError if malformed."""
    found = decoding.decode_json(data, _Usage)
    return found.window, found.counts


def encode_capacity_order(
    service: str, zone: str, endpoints: int, is_reclaimable: bool
) -> bytes:
    """Return an order for a number of endpoints of a service in a zone."""
    return msgspec.json.encode(
        _CapacityOrder(service, zone, endpoints, is_reclaimable)
    )


def encode_headers(instance: str, fencing_number: int) -> dict[str, str]:
    """Return the headers of a call by the holder of a duty."""
    return {
        HOLDER_HEADER: instance,
        FENCING_NUMBER_HEADER: str(fencing_number),
        "content-type": "application/json",
    }


def decode_status(status: int) -> Outcome:
    """Return the outcome that a response's status tells."""
    if httpx.codes.is_success(status):
        return Outcome.ACCEPTED
    if status == httpx.codes.CONFLICT:
        return Outcome.UNAVAILABLE
    if status == httpx.codes.SERVICE_UNAVAILABLE:
        return Outcome.REFUSED
    if httpx.codes.is_server_error(status):
        # A proxy may have lost the response of the API.
        return Outcome.UNKNOWN
    if status in (httpx.codes.TOO_MANY_REQUESTS, httpx.codes.REQUEST_TIMEOUT):
        return Outcome.REFUSED
    is_denied = httpx.codes.is_client_error(status)
    if is_denied and status not in _MALFORMED_STATUSES:
        return Outcome.DENIED
    return Outcome.REJECTED
