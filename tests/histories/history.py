"""Records of what the clients of one run observed."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Delivery:
    """Record one sample that a trainer accepted."""

    trainer: str
    step: str
    pull: int
    shard: int
    slot: int
    group: int
    text: str
    tokens: int
    max_tokens: int
    versions: tuple[tuple[int, int, int], ...]
    reward: float | None
    is_scored: bool
    # The newest version that the trainer had published at its pull.
    newest_version: int
    staleness_bound: int


@dataclasses.dataclass(frozen=True)
class Call:
    """Record one response to a caller's chat completion."""

    name: str
    max_tokens: int
    status: int
    ran: str
    text: str
    # Whether the response ended as a complete one.
    is_complete: bool


@dataclasses.dataclass(frozen=True)
class Booking:
    """Record one response to one attempt of a booking."""

    ticket: str
    attempt: str
    status: int
    code: int
    ran: str
    echo: str


@dataclasses.dataclass
class History:
    """Collect the records of one run."""

    deliveries: list[Delivery] = dataclasses.field(default_factory=list)
    calls: list[Call] = dataclasses.field(default_factory=list)
    bookings: list[Booking] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    # Slots that each step has to deliver.
    expected: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    # Unexpected errors of instances and clients.
    errors: list[str] = dataclasses.field(default_factory=list)

    def count_calls(self) -> int:
        """Return the number of responses to callers and booking clients."""
        return len(self.calls) + len(self.bookings)


Executions: typing.TypeAlias = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class GroundTruth:
    """Hold the work that the stand-ins really did."""

    # Names of the calls for which an engine generated any text.
    generated: frozenset[str]
    # Ticket and body of each execution of a service.
    executions: Executions
