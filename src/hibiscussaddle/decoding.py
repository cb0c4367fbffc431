"""Decode data from outside the process.

Every decoder raises a ValueError for data that it rejects, whatever the data
holds.
"""

import math
import typing

import msgspec

# Largest integer in peers' messages and in the store's values, which have 64
# bits and a sign.
MAX_INT: typing.Final = (1 << 63) - 1
# Largest amount (of tokens, bytes, milliseconds or requests) that data from
# outside may name. Sums and products of such amounts stay finite.
MAX_AMOUNT: typing.Final = 10**12
_MAX_QUOTED_CHARS: typing.Final = 40

# Types of decoded numbers that can be encoded again and converted to a float.
Int: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=-MAX_INT, le=MAX_INT)
]
Count: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
# Types of decoded amounts, which rule out "not a number" and infinity.
Amount: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0, le=MAX_AMOUNT)
]
WholeAmount: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=MAX_AMOUNT)
]

_T = typing.TypeVar("_T")


class NestingError(msgspec.DecodeError):
    """Signal that data is nested too deeply to be decoded."""


@typing.overload
def decode_json(data: bytes | bytearray | str) -> typing.Any: ...


@typing.overload
def decode_json(data: bytes | bytearray | str, data_type: type[_T]) -> _T: ...


def decode_json(
    data: bytes | bytearray | str, data_type: typing.Any = typing.Any
) -> typing.Any:
    """Return decoded JSON; raise msgspec.DecodeError if malformed."""
    try:
        return msgspec.json.decode(data, type=data_type)
    except RecursionError as exc:
        raise _nesting_error(data) from exc


@typing.overload
def decode_msgpack(data: bytes) -> typing.Any: ...


@typing.overload
def decode_msgpack(data: bytes, data_type: type[_T]) -> _T: ...


def decode_msgpack(
    data: bytes, data_type: typing.Any = typing.Any
) -> typing.Any:
    """Return decoded msgpack; raise msgspec.DecodeError if malformed."""
    try:
        return msgspec.msgpack.decode(data, type=data_type)
    except RecursionError as exc:
        raise _nesting_error(data) from exc


def parse_count(text: str) -> int:
    """Return the non-negative number in a text of digits and outer spaces.

    Raises ValueError for any other text, and for numbers that peers' messages
    can't hold.
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{text[:_MAX_QUOTED_CHARS]!r} is not a number")
    number = int(text)
    if number > MAX_INT:
        raise ValueError(f"number of {len(text)} digits is too large")
    return number


def parse_number(text: str) -> float:
    """Return the finite number in a text.

    Raises ValueError for any other text; float() also parses "nan" and "inf".
    """
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text[:_MAX_QUOTED_CHARS]!r} is not finite")
    return number


def parse_amount(text: str) -> float:
    """Return the number in a text, limited to 0 and MAX_AMOUNT.

    Raises ValueError unless it is a finite number.
    """
    return min(max(0.0, parse_number(text)), float(MAX_AMOUNT))


def _nesting_error(data: bytes | bytearray | str) -> NestingError:
    return NestingError(f"{len(data)} bytes of data are nested too deeply")
