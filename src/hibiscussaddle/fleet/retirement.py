"""Tell the operator that instances to be emptied are empty.

No instance keeps anything that must last on its own disk, so each one is
empty as soon as it is asked for.
"""

import logging
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import config_wire
from hibiscussaddle import weight_lease

_LOG = logging.getLogger(__name__)

_RETRY_SECONDS: typing.Final = 0.5


class Retirement:
    """Answer the operator's requests while the fleet's lease is held."""

    def __init__(
        self,
        client: store.StoreClient,
        view: view_lib.View,
        held: weight_lease.WeightLease,
    ) -> None:
        """Use the one holder of the fleet, so that one instance answers."""
        self._client = client
        self._view = view
        self._lease = held
        self._answered: set[str] = set()

    async def run(self) -> None:
        """Answer until cancelled."""
        while True:
            if self._lease.fencing_number(guarded=True) is not None:
                for instance in self._view.retired - self._answered:
                    await self._answer(instance)
            with anyio.move_on_after(_RETRY_SECONDS):
                await self._view.wait_change()

    async def _answer(self, instance: str) -> None:
        key, data = config_wire.encode_retirement_status(instance)
        done = await self._client.commit({}, [store.Put(key, data)])
        logs.event(
            _LOG,
            "instance_retired",
            retired=instance,
            done=isinstance(done, result.Ok),
        )
        if isinstance(done, result.Ok):
            self._answered.add(instance)
