"""Steps that trainers open, and the samples made for them."""

from collections import abc
import dataclasses
import typing

import msgspec
import result

from hibiscussaddle import codes

MAX_SLOTS: typing.Final = 65_536


@dataclasses.dataclass(frozen=True)
class StepSpec:
    """Describe one step as its trainer opened it."""

    trainer: str
    step: str
    model: str
    # One list of chat messages a group.
    groups: tuple[tuple[dict[str, typing.Any], ...], ...]
    samples_per_group: int
    max_tokens: int = 16
    reward: str | None = None

    @property
    def slots(self) -> int:
        """Return the number of samples of the step."""
        return len(self.groups) * self.samples_per_group

    @property
    def name(self) -> tuple[str, str]:
        """Return trainer and step."""
        return (self.trainer, self.step)


@dataclasses.dataclass(frozen=True)
class VersionRange:
    """Name the weight version of a range of tokens, ends included."""

    version: int
    first_token: int
    last_token: int


@dataclasses.dataclass(frozen=True)
class Sample:
    """Hold one finished sample."""

    trainer: str
    step: str
    group: int
    index: int
    text: str
    tokens: int
    versions: tuple[VersionRange, ...]
    reward: float | None = None


@dataclasses.dataclass(frozen=True)
class PullBody:
    """Describe one pull of a trainer."""

    pull: int
    have: str
    newest_version: int
    max_samples: int = 64
    wait_seconds: float = 10.0
    shard: int = 0
    shards: int = 1


@dataclasses.dataclass(frozen=True)
class PullAnswer:
    """Answer one pull."""

    pull: int
    samples: tuple[Sample, ...]
    remaining: int


_Body = typing.TypeVar("_Body")


def parse(
    raw: bytes, kind: type[_Body]
) -> result.Result[_Body, codes.Refusal]:
    """Return the typed body of a trainer's request."""
    try:
        return result.Ok(msgspec.json.decode(raw, type=kind))
    except msgspec.MsgspecError as exc:
        return result.Err(codes.Refusal(codes.Code.BAD_REQUEST, str(exc)))


def check(spec: StepSpec) -> result.Result[StepSpec, codes.Refusal]:
    """Return the spec if it is within the limits."""
    limits: abc.Mapping[str, tuple[int, int, int]] = {
        "groups": (len(spec.groups), 1, MAX_SLOTS),
        "samples_per_group": (spec.samples_per_group, 1, 1024),
        "max_tokens": (spec.max_tokens, 1, 1 << 20),
        "groups * samples_per_group": (spec.slots, 1, MAX_SLOTS),
    }
    for name, (value, low, high) in limits.items():
        if not low <= value <= high:
            return result.Err(
                codes.Refusal(
                    codes.Code.BAD_REQUEST,
                    f"field {name!r} has value {value}; "
                    f"allowed: from {low} to {high}",
                )
            )
    return result.Ok(spec)
