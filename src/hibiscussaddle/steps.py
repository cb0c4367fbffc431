"""Steps that trainers open, and the samples generated for them."""

from collections import abc
import dataclasses
import typing

import msgspec
import result

from hibiscussaddle import codes
from hibiscussaddle import decoding
from hibiscussaddle.policy import versions as versions_lib

MAX_SLOTS: typing.Final = 65_536
MAX_SHARDS: typing.Final = 64
# Longer polls would exceed the idle timeout of common load balancers.
MAX_WAIT_SECONDS: typing.Final = 60.0
MAX_NAME_CHARS: typing.Final = 200


@dataclasses.dataclass(frozen=True)
class StepKey:
    """Identify one step; trainers of other customers cannot access it."""

    customer: str
    trainer: str
    step: str


@dataclasses.dataclass(frozen=True)
class StepSpec:
    """Define one step as its trainer opened it."""

    trainer: str
    step: str
    model: str
    # One list of chat messages per group.
    groups: tuple[tuple[dict[str, typing.Any], ...], ...]
    samples_per_group: int
    max_tokens: int = 16
    reward: str | None = None

    @property
    def slot_count(self) -> int:
        """Return the number of samples of the step."""
        return len(self.groups) * self.samples_per_group


@dataclasses.dataclass(frozen=True)
class Sample:
    """Hold one finished sample."""

    trainer: str
    step: str
    group: int
    index: int
    text: str
    tokens: int
    versions: tuple[versions_lib.VersionRange, ...]
    reward: float | None = None


@dataclasses.dataclass(frozen=True)
class PullRequest:
    """Hold the body of a pull."""

    # Number of the pull; a repeat of a pull has the same number.
    pull: int
    # Base64 of the bitmap of the slots that the trainer has received.
    have: str
    # The newest weight version that the trainer knows.
    newest_version: int
    max_samples: int = 64
    wait_seconds: float = 10.0
    shard: int = 0
    shards: int = 1


@dataclasses.dataclass(frozen=True)
class PullResponse:
    """Hold the response to a pull."""

    pull: int
    samples: tuple[Sample, ...]
    # Number of samples that the reader has yet to receive after these.
    remaining: int


_Body = typing.TypeVar("_Body")


def parse_body(
    raw: bytes, body_type: type[_Body]
) -> result.Result[_Body, codes.Refusal]:
    """Return the decoded body of a request from a trainer."""
    try:
        return result.Ok(decoding.decode_json(raw, body_type))
    except msgspec.MsgspecError as exc:
        return result.Err(codes.Refusal(codes.Code.BAD_REQUEST, str(exc)))


def _refuse_field(
    name: str, value: object, allowed: str
) -> result.Err[codes.Refusal]:
    return result.Err(
        codes.Refusal(
            codes.Code.BAD_REQUEST,
            f"field {name!r} has value {value!r}; allowed: {allowed}",
        )
    )


# Value, minimum and maximum, by field name.
_Limits: typing.TypeAlias = abc.Mapping[
    str, tuple[int | float, int | float, int | float]
]


def _check_limits(limits: _Limits) -> result.Result[None, codes.Refusal]:
    for name, (value, low, high) in limits.items():
        if not low <= value <= high:
            return _refuse_field(name, value, f"from {low} to {high}")
    return result.Ok(None)


def check_spec(spec: StepSpec) -> result.Result[StepSpec, codes.Refusal]:
    """Return the spec if it is within the limits."""
    for name in ("trainer", "step"):
        value = getattr(spec, name)
        # Both names are segments of the URL path of pulls.
        if not value or "/" in value or len(value) > MAX_NAME_CHARS:
            return _refuse_field(
                name, value, f"1 to {MAX_NAME_CHARS} characters without '/'"
            )
    limits: _Limits = {
        "groups": (len(spec.groups), 1, MAX_SLOTS),
        "samples_per_group": (spec.samples_per_group, 1, 1024),
        "max_tokens": (spec.max_tokens, 1, 1 << 20),
        "groups * samples_per_group": (spec.slot_count, 1, MAX_SLOTS),
    }
    return _check_limits(limits).map(lambda _: spec)


def check_pull(pull: PullRequest) -> result.Result[PullRequest, codes.Refusal]:
    """Return the pull if it is within the limits."""
    limits: _Limits = {
        "pull": (pull.pull, 0, 1 << 53),
        "newest_version": (pull.newest_version, 0, 1 << 53),
        "max_samples": (pull.max_samples, 1, MAX_SLOTS),
        "wait_seconds": (pull.wait_seconds, 0.0, MAX_WAIT_SECONDS),
        "shards": (pull.shards, 1, MAX_SHARDS),
        "shard": (pull.shard, 0, pull.shards - 1),
    }
    return _check_limits(limits).map(lambda _: pull)
