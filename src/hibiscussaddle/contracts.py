"""Contracts: one document per customer that sets all of its limits."""

from collections import abc
import dataclasses
import typing

import result

from hibiscussaddle import codes

_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"))
_KEY_HASH_CHARS = 64
_MAX_LIST_ENTRIES = 1000


@dataclasses.dataclass(frozen=True)
class Contract:
    """Set the limits of one customer."""

    customer: str
    key_hash: str
    # Maximum age of any token of a delivered sample, in weight versions
    # behind the newest.
    staleness_versions: int = 1
    # Maximum wait of short requests before they start, in seconds.
    short_wait_seconds: float = 2.0
    # Fraction of a zone's engine slots that is guaranteed to the customer.
    share: float = 0.1
    # Requests with a higher number are served first and shed last.
    priority: int = 5
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    # Idempotent calls of plain services, as "METHOD /path-prefix".
    idempotent: tuple[str, ...] = ()
    # Endpoints that reject an order with an old fencing number.
    fencing_endpoints: tuple[str, ...] = ()

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a service call may be retried."""
        for rule in self.idempotent:
            rule_method, _, prefix = rule.partition(" ")
            if rule_method == method and _has_prefix(path, prefix):
                return True
        return False

    def to_dict(self) -> dict[str, typing.Any]:
        """Return the JSON document of the contract."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True)
class ContractRecord:
    """Pair a contract with the store revision that accepted it."""

    contract: Contract
    revision: int


def _has_prefix(path: str, prefix: str) -> bool:
    path_prefix = prefix.rstrip("/")
    return path == path_prefix or path.startswith(path_prefix + "/")


def _invalid_field(
    name: str, value: object, allowed: str
) -> result.Err[codes.Refusal]:
    return result.Err(
        codes.Refusal(
            codes.Code.CONTRACT_INVALID,
            f"field {name!r} has value {value!r}; allowed: {allowed}",
        )
    )


_NUMBER_RANGES: typing.Final = {
    "staleness_versions": (int, 0, 1000),
    "short_wait_seconds": (float, 0.01, 3600.0),
    "share": (float, 0.0, 1.0),
    "priority": (int, 0, 9),
}
_LIST_FIELDS: typing.Final = (
    "models",
    "services",
    "idempotent",
    "fencing_endpoints",
)


def _check_number(
    name: str, value: object
) -> result.Result[int | float, codes.Refusal]:
    kind, low, high = _NUMBER_RANGES[name]
    allowed = f"{kind.__name__} from {low} to {high}"
    accepted: tuple[type, ...] = (int,) if kind is int else (int, float)
    if isinstance(value, bool) or not isinstance(value, accepted):
        return _invalid_field(name, value, allowed)
    number = kind(typing.cast(float, value))
    if not low <= number <= high:
        return _invalid_field(name, value, allowed)
    return result.Ok(number)


def _check_list(
    name: str, value: object
) -> result.Result[tuple[str, ...], codes.Refusal]:
    if not isinstance(value, (list, tuple)) or len(value) > _MAX_LIST_ENTRIES:
        return _invalid_field(
            name, value, f"at most {_MAX_LIST_ENTRIES} strings"
        )
    for item in value:
        if not isinstance(item, str) or not item:
            return _invalid_field(name, item, "a non-empty string")
        if name == "idempotent" and not _is_call_rule(item):
            return _invalid_field(name, item, '"METHOD /path-prefix"')
    return result.Ok(tuple(value))


def _is_call_rule(rule: str) -> bool:
    method, _, prefix = rule.partition(" ")
    return method in _METHODS and prefix.startswith("/")


def parse(
    document: object,
) -> result.Result[Contract, codes.Refusal]:
    """Return a validated contract; the refusal names field and range."""
    if not isinstance(document, abc.Mapping):
        return _invalid_field("contract", document, "a JSON object")
    known = {fld.name for fld in dataclasses.fields(Contract)}
    values: dict[str, typing.Any] = {}
    for name, value in document.items():
        if name not in known:
            return _invalid_field(
                name, value, "one of " + ", ".join(sorted(known))
            )
        checked: result.Result[typing.Any, codes.Refusal] = result.Ok(value)
        if name in _NUMBER_RANGES:
            checked = _check_number(name, value)
        elif name in _LIST_FIELDS:
            checked = _check_list(name, value)
        if isinstance(checked, result.Err):
            return checked
        values[name] = checked.ok_value
    customer = values.get("customer")
    if not isinstance(customer, str) or not _is_name(customer):
        return _invalid_field(
            "customer", customer, "letters, digits, '-' and '_'"
        )
    if not _is_key_hash(values.get("key_hash")):
        return _invalid_field(
            "key_hash", "(hidden)", "64 hexadecimal characters"
        )
    return result.Ok(Contract(**values))


def _is_name(text: str) -> bool:
    return text.replace("-", "").replace("_", "").isalnum()


def _is_key_hash(value: object) -> bool:
    return (
        isinstance(value, str)
        and len(value) == _KEY_HASH_CHARS
        and all(char in "0123456789abcdef" for char in value)
    )
