"""Confirm to the operator that instances to be retired are empty.

No instance keeps durable data on its own disk, so a request is confirmed as
soon as it arrives.
"""

import logging
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.platform import config_wire

_LOG = logging.getLogger(__name__)

_RETRY_SECONDS: typing.Final = 0.5


class Retirement:
    """Confirm the operator's requests while the weight lease is held."""

    def __init__(
        self,
        client: store.StoreClient,
        view: view_lib.View,
        lease: duty_lease.DutyLease,
    ) -> None:
        """Use the fleet-wide weight lease, so that one instance confirms."""
        self._client = client
        self._view = view
        self._lease = lease
        self._confirmed: set[str] = set()

    async def run(self) -> None:
        """Confirm requests until cancelled."""
        while True:
            if self._lease.fencing_number(guarded=True) is not None:
                for instance in (
                    self._view.retiring_instances - self._confirmed
                ):
                    await self._confirm(instance)
            with anyio.move_on_after(_RETRY_SECONDS):
                await self._view.wait_for_change()

    async def _confirm(self, instance: str) -> None:
        key, data = config_wire.encode_retirement_status(instance)
        committed = await self._client.commit({}, [store.Put(key, data)])
        logs.event(
            _LOG,
            "instance_retired",
            retired=instance,
            done=isinstance(committed, result.Ok),
        )
        if isinstance(committed, result.Ok):
            self._confirmed.add(instance)
