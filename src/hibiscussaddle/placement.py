"""Work to be placed on endpoints, and its placements."""

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
    """List the kinds of work that need an endpoint."""

    CHAT = "chat"
    TRAINER = "trainer"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class Work:
    """Describe one piece of work to be placed."""

    kind: WorkKind
    contract: contracts.Contract
    # Name of a model or of a plain service.
    target: str
    # Monotonic seconds.
    deadline: float
    # Limit on the generated tokens; 1 for a plain service.
    max_tokens: float = 1.0
    # Start of the prompt, for the prefix cache.
    prefix: str = ""
    min_version: int | None = None
    excluded_ids: frozenset[str] = frozenset()
    # False for a retry, a hedge or the remainder of moved work.
    is_first_attempt: bool = True

    @property
    def length_kind(self) -> str:
        """Return the key under which the length model learns.

        It includes the magnitude of the limit: lengths differ more between
        the small and large limits of one caller than between two callers.
        """
        return f"{self.kind.value}/{int(self.max_tokens).bit_length()}"


def prefix_key(messages: object) -> str:
    """Return the start of a prompt as named in the engines' cache events."""
    return json.dumps(messages, sort_keys=True)[:PREFIX_CHARS]


class Placement:
    """Hold one endpoint for one piece of work and record its progress."""

    def __init__(
        self,
        owner: "dispatcher.Dispatcher",
        work: Work,
        endpoint: endpoints.Endpoint,
        engine_priority: int,
        now: float,
        is_short: bool,
    ) -> None:
        """Create a placement for work that is sent now."""
        self._dispatcher = owner
        self.work = work
        self.endpoint = endpoint
        self.engine_priority = engine_priority
        self.is_short = is_short
        self.started_at = now
        # Tokens received in total, and with the last chunk.
        self.tokens = 0
        self.chunk_tokens = 0
        # None until an outcome is recorded, and for cancelled work.
        self.has_succeeded: bool | None = None
        self._last_tokens_at = now

    def record_tokens(self, count: int) -> None:
        """Record tokens that just arrived."""
        now = self._dispatcher.clock()
        detector = self._dispatcher.detector
        if self.tokens == 0:
            detector.observe_first_token(
                self.endpoint.id, now - self.started_at, now
            )
        elif count > 0:
            interval = (now - self._last_tokens_at) / count
            detector.observe_token_interval(self.endpoint.id, interval, now)
        self.tokens += count
        self.chunk_tokens = count
        self._last_tokens_at = now

    def restart_interval(self) -> None:
        """Exclude the time since the last tokens from the next interval."""
        self._last_tokens_at = self._dispatcher.clock()

    def record_response(self) -> None:
        """Record the response of a plain service."""
        self.record_tokens(1)
        self.record_success()

    def record_success(self) -> None:
        """Record that the work succeeded."""
        self.has_succeeded = True

    def record_failure(self) -> None:
        """Record that the endpoint refused or aborted the work."""
        self.has_succeeded = False

    def seconds_until_overdue(self) -> float:
        """Return the seconds from now until progress is overdue."""
        since = self._dispatcher.clock() - self._last_tokens_at
        limit = self._dispatcher.stall_timeout(
            self.endpoint.zone, self.chunk_tokens
        )
        return math.inf if limit is None else max(0.0, limit - since)

    def is_overdue(self) -> bool:
        """Return whether the endpoint is too slow to wait for."""
        if self.seconds_until_overdue() <= 0.0:
            return True
        return self.endpoint.id in self._dispatcher.detector.ejected_ids()
