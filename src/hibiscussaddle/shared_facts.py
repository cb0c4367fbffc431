"""Facts replicated between instances: publish, apply and forward."""

from collections import abc
import logging
import typing

import anyio

from hibiscussaddle.policy import facts as facts_policy

if typing.TYPE_CHECKING:
    from hibiscussaddle import runtime as runtime_lib

_LOG = logging.getLogger(__name__)

# Without a limit, one node sent 144 KB in a second after a partition of 128
# members healed.
REPAIR_BYTES_PER_SECOND: typing.Final = 16 * 1024
REPAIR_BURST_BYTES: typing.Final = 32 * 1024

Applier: typing.TypeAlias = abc.Callable[
    ["runtime_lib.Runtime", facts_policy.Fact], None
]

_APPLIERS: dict[str, list[Applier]] = {}


def applies(kind: str) -> abc.Callable[[Applier], Applier]:
    """Register a function that applies each newer fact of a kind."""

    def register(applier: Applier) -> Applier:
        _APPLIERS.setdefault(kind, []).append(applier)
        return applier

    return register


class SharedFacts:
    """Store the facts of one instance and queue those to forward."""

    def __init__(self) -> None:
        """Initialize without facts."""
        self.table = facts_policy.FactTable()
        self.queue = facts_policy.SpreadQueue()
        self.repair_budget = facts_policy.ByteBudget(
            REPAIR_BYTES_PER_SECOND, REPAIR_BURST_BYTES
        )
        self.changed = anyio.Event()
        self._outbox: dict[facts_policy.Key, facts_policy.Fact] = {}
        self._runtime: runtime_lib.Runtime | None = None

    def bind(self, runtime: "runtime_lib.Runtime") -> None:
        """Set the runtime that is passed to appliers."""
        self._runtime = runtime

    def get(self, kind: str, key: str) -> facts_policy.Fact | None:
        """Return the newest known fact about a key."""
        return self.table.get(kind, key)

    def of_kind(self, kind: str) -> tuple[facts_policy.Fact, ...]:
        """Return the facts of a kind, ordered by key."""
        return self.table.of_kind(kind)

    def publish(self, fact: facts_policy.Fact) -> bool:
        """Apply and forward a fact; return whether it was newer."""
        return self.receive((fact,)) == 1

    def receive(self, received: abc.Iterable[facts_policy.Fact]) -> int:
        """Apply and forward newer facts; return their number."""
        newer_count = 0
        for fact in received:
            if not self.table.put(fact):
                continue
            newer_count += 1
            if fact.is_pushed:
                self._outbox[fact.id] = fact
            elif fact.is_periodic:
                self.queue.add(fact)
            self._apply(fact)
        if self._outbox:
            self.changed.set()
        return newer_count

    def pop_outbox(self, max_bytes: int) -> tuple[facts_policy.Fact, ...]:
        """Remove and return the facts to push that fit in max_bytes."""
        batch = facts_policy.leading_facts(self._outbox.values(), max_bytes)
        for fact in batch:
            del self._outbox[fact.id]
        if not self._outbox:
            self.changed = anyio.Event()
        return batch

    def _apply(self, fact: facts_policy.Fact) -> None:
        if self._runtime is None:
            return
        for applier in _APPLIERS.get(fact.kind, ()):
            try:
                applier(self._runtime, fact)
            except Exception:
                # A malformed value from one peer must not stop the exchange
                # with other peers.
                _LOG.exception("event=fact_not_applied kind=%s", fact.kind)
