"""Components that the modules of one entry instance share."""

from collections import abc
import dataclasses
import random

import httpx

from hibiscussaddle.adapters import peers as peers_lib
from hibiscussaddle.adapters import store as store_lib
from hibiscussaddle import caller_state
from hibiscussaddle import contract_cache
from hibiscussaddle import dispatcher
from hibiscussaddle import endpoints
from hibiscussaddle import lifecycle
from hibiscussaddle import members as members_lib
from hibiscussaddle.policy import membership
from hibiscussaddle.policy import tickets
from hibiscussaddle import settings
from hibiscussaddle import shared_facts
from hibiscussaddle import step_table


@dataclasses.dataclass(frozen=True)
class Runtime:
    """Hold the components of one entry instance."""

    cfg: settings.Settings
    # Wall-clock milliseconds at start, so that a restart has a higher value.
    incarnation: int
    # Monotonic seconds.
    clock: abc.Callable[[], float]
    rng: random.Random
    client: httpx.AsyncClient
    lifecycle: lifecycle.Lifecycle
    contracts: contract_cache.ContractCache
    directory: endpoints.Directory
    dispatcher: dispatcher.Dispatcher
    ledger: tickets.Ledger
    steps: step_table.StepTable
    peers: peers_lib.PeerTransport
    members: members_lib.Members
    detector: membership.Detector
    facts: shared_facts.SharedFacts
    store: store_lib.StoreClient | None = None
    callers: caller_state.CallerState = dataclasses.field(
        default_factory=caller_state.CallerState
    )
