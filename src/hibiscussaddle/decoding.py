"""Decode data from outside the process.

Every decoder raises a ValueError for data that it rejects, whatever the data
holds.
"""

import typing

import msgspec

_T = typing.TypeVar("_T")


class NestingError(msgspec.DecodeError):
    """Signal that data is nested too deeply to be decoded."""


@typing.overload
def decode_json(data: bytes | str) -> typing.Any: ...


@typing.overload
def decode_json(data: bytes | str, data_type: type[_T]) -> _T: ...


def decode_json(
    data: bytes | str, data_type: typing.Any = typing.Any
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


def _nesting_error(data: bytes | str) -> NestingError:
    return NestingError(f"{len(data)} bytes of data are nested too deeply")
