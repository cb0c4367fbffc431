"""Write the plan of each service when its software versions change."""

from collections import abc
import logging
import time
import typing

import anyio
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import containment
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle.fleet import roles
from hibiscussaddle.fleet import view as view_lib
from hibiscussaddle import logs
from hibiscussaddle.software_versions import deduction
from hibiscussaddle.software_versions import plan as plan_lib
from hibiscussaddle.software_versions import plan_table

_LOG = logging.getLogger(__name__)

_CHECK_SECONDS: typing.Final = 0.2
# Shortest time between two changes of the shares of one service.
_CHANGE_INTERVAL_SECONDS: typing.Final = 1.0
# Shortest time between two attempts to write the plan of one service.
_RETRY_SECONDS: typing.Final = 0.5
# A change that is still due after this time is written by the next member.
_STEP_IN_SECONDS: typing.Final = 2.0
# Longest time from the moment at which an instance loses the store until its
# member key expires and the other members know.
_VANISH_SECONDS: typing.Final = 12.0
# Delay after the first listing of endpoints. Those whose entries expired in an
# outage of the store are listed again by then.
_SETTLE_SECONDS: typing.Final = 1.0


class PlanController:
    """Keep the stored plans in line with the listed endpoints."""

    def __init__(
        self,
        client: store.StoreClient,
        view: view_lib.View,
        members: presence_lib.Members,
        table: plan_table.PlanTable,
        clock: abc.Callable[[], float] = time.monotonic,
        unix_clock: abc.Callable[[], float] = time.time,
    ) -> None:
        """Write through a shared store client."""
        self._client = client
        self._view = view
        self._members = members
        self._table = table
        self._clock = clock
        self._unix_clock = unix_clock
        # Clock time since which a change of a service is due.
        self._due_since: dict[str, float] = {}
        # Clock time of the latest write of a service.
        self._written_at: dict[str, float] = {}
        self._listed_at: float | None = None
        # Revisions of the endpoints and the plans, and the number of missing
        # members, at the latest check.
        self._checked: tuple[int, int, int] | None = None
        # Members at the latest check.
        self._present: dict[str, presence_lib.Member] = {}
        # Clock time at which members vanished that did not announce it. They
        # may still run and begin streams by the plan that they know.
        self._missing: dict[str, float] = {}

    async def run(self) -> None:
        """Write the plans that this instance is to write until cancelled."""
        while True:
            with containment.contain("software_plans", "all"):
                await self.write_due()
            await anyio.sleep(_CHECK_SECONDS)

    async def write_due(self) -> None:
        """Write each plan whose change is due, if it is up to this member."""
        if not self._knows_fleet():
            return
        self._track_missing()
        current = (
            self._view.directory.revision,
            self._table.changes,
            len(self._missing),
        )
        if current == self._checked and not self._due_since:
            return
        self._checked = current
        slots = self._slots_by_service()
        for service in self._due_since.keys() - slots.keys():
            del self._due_since[service]
        for service, by_version in sorted(slots.items()):
            changed = self._changed_plan(service, by_version)
            if changed is None:
                self._due_since.pop(service, None)
            elif self._may_write(service, by_version):
                await self._write(service, changed)

    def _knows_fleet(self) -> bool:
        return (
            self._view.has_endpoint_listing
            and self._table.has_listing
            and self._members.me.instance in self._members.all
        )

    def _track_missing(self) -> None:
        now = self._clock()
        members = dict(self._members.all)
        for name in self._present.keys() - members.keys():
            if not self._present[name].leaving:
                self._missing[name] = now
        self._present = members
        for name, since in list(self._missing.items()):
            is_over = now - since > deduction.MAX_UNCONFIRMED_SECONDS
            if is_over or name in members:
                del self._missing[name]

    def _late_seconds(self) -> float:
        if self._missing:
            return deduction.MAX_UNCONFIRMED_SECONDS
        return deduction.PROPAGATION_SECONDS

    def _slots_by_service(self) -> dict[str, dict[str, int]]:
        """Return the slots of routable endpoints by service and version."""
        directory = self._view.directory
        slots: dict[str, dict[str, int]] = {}
        for endpoint in directory.filter_routable(directory.all()):
            if endpoint.service:
                versions = slots.setdefault(endpoint.service, {})
                version = endpoint.software_version
                versions[version] = versions.get(version, 0) + endpoint.slots
        return slots

    def _versions(self, service: str) -> set[str]:
        """Return the listed versions of a service, with those that leave."""
        return {
            endpoint.software_version
            for endpoint in self._view.directory.all()
            if endpoint.service == service
        }

    def _changed_plan(
        self, service: str, slots: abc.Mapping[str, int]
    ) -> plan_lib.Plan | None:
        """Return the plan to write; None if the stored one may stay."""
        now = self._unix_clock()
        known = self._table.find(service)
        revision = self._table.revision(service)
        if known is None:
            # Streams may have begun at an endpoint that leaves.
            is_first = not revision and len(self._versions(service)) == 1
            if is_first:
                return plan_lib.create_plan(slots, 0.0, 0.0)
            return plan_lib.create_plan(slots, now, self._late_seconds())
        changed = plan_lib.next_plan(
            known.plan, slots, now, self._late_seconds()
        )
        if self._missing:
            # Members that are missing now did not get the newest changes.
            missing = self._clock() - min(self._missing.values())
            changed = plan_lib.extend_recent(
                changed,
                now - missing - _VANISH_SECONDS,
                deduction.MAX_UNCONFIRMED_SECONDS,
            )
        is_stored = known.revision == revision
        return None if is_stored and changed == known.plan else changed

    def _may_write(self, service: str, slots: abc.Mapping[str, int]) -> bool:
        now = self._clock()
        due_since = self._due_since.setdefault(service, now)
        since_write = now - self._written_at.get(service, float("-inf"))
        known = self._table.find(service)
        if known is None or plan_lib.has_unserved_bucket(known.plan, slots):
            interval = _RETRY_SECONDS
        else:
            interval = _CHANGE_INTERVAL_SECONDS
        if since_write < interval:
            return False
        if known is not None and not self._is_settled(now):
            return False
        position = self._position(service)
        return (
            position is not None
            and now - due_since >= position * _STEP_IN_SECONDS
        )

    def _is_settled(self, now: float) -> bool:
        if self._listed_at is None:
            self._listed_at = now
        since = max(self._listed_at, self._view.recovered_at)
        return (
            now - since >= _SETTLE_SECONDS and not self._view.is_store_failing
        )

    def _position(self, service: str) -> int | None:
        """Return this member's position among those that may write a plan.

        The first one writes; others do when it doesn't. Their clocks need not
        agree, since each write is conditional on the stored revision.
        """
        names = [member.instance for member in self._members.candidates()]
        me = self._members.me.instance
        if me not in names:
            return None
        key = plan_table.key(service)
        own_rank = roles.rank(key, me)
        return sum(roles.rank(key, name) > own_rank for name in names)

    async def _write(self, service: str, plan: plan_lib.Plan) -> None:
        self._written_at[service] = self._clock()
        key = plan_table.key(service)
        data = plan_lib.encode(plan)
        written = await self._client.commit(
            {key: self._table.revision(service)}, [store.Put(key, data)]
        )
        # After a conflict or an unknown outcome the feed passes on what is
        # stored, and the change is considered again.
        if isinstance(written, result.Err):
            logs.event(
                _LOG,
                "software_plan_write_failed",
                service=service,
                why=written.err_value.failure.value,
            )
            return
        self._due_since.pop(service, None)
        entry = store.StoreEntry(key, data, written.ok_value)
        self._table.apply_written(entry)
        logs.event(
            _LOG,
            "software_plan_changed",
            service=service,
            shares=",".join(
                f"{version}:{count}"
                for version, count in sorted(plan.counts().items())
            ),
        )
