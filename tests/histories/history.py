"""What the clients of one run saw."""

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
    scored: bool
    # The newest version that the trainer had published at its pull.
    newest: int
    bound: int


@dataclasses.dataclass(frozen=True)
class Call:
    """Record one answer to a caller's chat completion."""

    name: str
    max_tokens: int
    status: int
    ran: str
    text: str
    # True when the answer claims to be whole.
    whole: bool


@dataclasses.dataclass(frozen=True)
class Booking:
    """Record one answer to one attempt of a booking."""

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
    # Slots each step should have delivered at the end.
    expected: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    # Unexpected errors of instances and clients.
    errors: list[str] = dataclasses.field(default_factory=list)

    def count_calls(self) -> int:
        """Return the answers that callers and booking clients got."""
        return len(self.calls) + len(self.bookings)


Executions: typing.TypeAlias = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True)
class Record:
    """Hold what the fakes really did."""

    # Names of the calls for which an engine generated anything.
    generated: frozenset[str]
    # Ticket and body of each execution of a service.
    executions: Executions
