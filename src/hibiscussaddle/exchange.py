"""Requests and responses as filters and handlers see them."""

from collections import abc
import dataclasses
import enum
import typing

import result

from hibiscussaddle import codes
from hibiscussaddle import contracts


class Kind(enum.Enum):
    """List the kinds of requests; each has its own handler."""

    MODEL = "model"
    SERVICE = "service"
    TICKET = "ticket"
    STEP_OPEN = "step_open"
    STEP_PULL = "step_pull"
    STEP_STATUS = "step_status"


@dataclasses.dataclass
class LogFields:
    """Collect the fields of a request's log line while it is handled."""

    customer: str = ""
    code: codes.Code = codes.Code.OK


@dataclasses.dataclass(frozen=True)
class Request:
    """Carry one request through the filter chain."""

    kind: Kind
    request_id: str
    method: str
    path: str
    headers: abc.Mapping[str, str]
    body: bytes
    # Monotonic seconds.
    received_at: float
    deadline: float
    params: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    query: str = ""
    log_fields: LogFields = dataclasses.field(default_factory=LogFields)
    # Set by the authenticate filter.
    record: contracts.ContractRecord | None = None

    @property
    def contract(self) -> contracts.Contract:
        """Return the caller's contract; valid only after authentication."""
        assert self.record is not None
        return self.record.contract


@dataclasses.dataclass(frozen=True)
class Response:
    """Carry one response back through the filter chain."""

    status: int
    body: bytes | abc.AsyncIterator[bytes]
    headers: tuple[tuple[str, str], ...] = ()
    media_type: str = "application/json"
    code: codes.Code = codes.Code.OK


Outcome: typing.TypeAlias = result.Result[Response, codes.Refusal]
Handler: typing.TypeAlias = abc.Callable[[Request], abc.Awaitable[Outcome]]


def refuse(
    code: codes.Code,
    message: str,
    retry_after: float | None = None,
    **details: str,
) -> result.Err[codes.Refusal]:
    """Return a refusal as the outcome of a request."""
    return result.Err(
        codes.Refusal(code, message, retry_after, tuple(details.items()))
    )
