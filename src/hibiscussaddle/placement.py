"""Work to be placed on endpoints, and the placements it gets."""

import dataclasses
import enum
import json
import math
import typing

from hibiscussaddle import contracts
from hibiscussaddle import endpoints

if typing.TYPE_CHECKING:
    from hibiscussaddle import dispatcher

PREFIX_CHARS: typing.Final = 64


class WorkKind(enum.Enum):
    """Tell what kind of work asks for an endpoint."""

    CHAT = "chat"
    TRAINER = "trainer"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Work:
    """Describe one piece of work."""

    kind: WorkKind
    contract: contracts.Contract
    # Model of an engine or name of a plain service.
    target: str
    # Monotonic seconds.
    deadline: float
    # Most tokens the work may generate; 1 for a plain service.
    max_tokens: float = 1.0
    # Start of the prompt, for the prefix cache.
    prefix: str = ""
    min_version: int | None = None
    avoid: frozenset[str] = frozenset()
    # False for a retry, a hedge or a part of moved work.
    is_first: bool = True

    @property
    def length_kind(self) -> str:
        """Return the kind by which lengths are learnt.

        It holds the magnitude of the limit: one caller's small and large
        limits differ more in length than two callers do.
        """
        return f"{self.kind.value}/{int(self.max_tokens).bit_length()}"


def prefix_of(messages: object) -> str:
    """Return the start of a prompt as the engines' cache events name it."""
    return json.dumps(messages, sort_keys=True)[:PREFIX_CHARS]


class Placement:
    """Hold one endpoint for one piece of work, and report back on it."""

    def __init__(
        self,
        owner: "dispatcher.Dispatcher",
        work: Work,
        endpoint: endpoints.Endpoint,
        engine_priority: int,
        now: float,
        is_short: bool,
    ) -> None:
        """Start when the work is sent."""
        self._owner = owner
        self.work = work
        self.endpoint = endpoint
        self.engine_priority = engine_priority
        self.is_short = is_short
        self.started_at = now
        self.tokens = 0
        self.chunk_tokens = 0
        self.succeeded: bool | None = None
        self._last_at = now

    def got_tokens(self, count: int) -> None:
        """Report tokens that just arrived."""
        now = self._owner.clock()
        detector = self._owner.detector
        if self.tokens == 0:
            detector.observe_first_token(
                self.endpoint.id, now - self.started_at, now
            )
        elif count > 0:
            gap = (now - self._last_at) / count
            detector.observe_token_interval(self.endpoint.id, gap, now)
        self.tokens += count
        self.chunk_tokens = count
        self._last_at = now

    def resume(self) -> None:
        """Leave out the time since the last tokens from their gap."""
        self._last_at = self._owner.clock()

    def answered(self) -> None:
        """Report the answer of a plain service."""
        self.got_tokens(1)
        self.finish()

    def finish(self) -> None:
        """Report success."""
        self.succeeded = True

    def fail(self) -> None:
        """Report that the endpoint refused or broke off the work."""
        self.succeeded = False

    def patience(self) -> float:
        """Return the seconds from now after which progress is overdue."""
        since = self._owner.clock() - self._last_at
        limit = self._owner.stall_seconds(
            self.endpoint.zone, self.chunk_tokens
        )
        return math.inf if limit is None else max(0.0, limit - since)

    def is_overdue(self) -> bool:
        """Tell whether the endpoint is too slow to wait for."""
        if self.patience() <= 0.0:
            return True
        return self.endpoint.id in self._owner.detector.ejected_ids()
