"""Hold the plans of all services as the store or the zone reader passes them.

The store holds each plan under one key, which nothing else writes.
"""

import logging
import typing

from hibiscussaddle.adapters import store
from hibiscussaddle import clocks
from hibiscussaddle import containment
from hibiscussaddle import logs
from hibiscussaddle.software_versions import deduction
from hibiscussaddle.software_versions import plan as plan_lib
from hibiscussaddle.software_versions import plan_age

_LOG = logging.getLogger(__name__)

PREFIX: typing.Final = "software/"


def key(service: str) -> str:
    """Return the key of the plan of a service."""
    return PREFIX + service


def service_of(plan_key: str) -> str:
    """Return the service whose plan a key holds."""
    return plan_key.removeprefix(PREFIX)


class PlanTable:
    """Track the newest plan of each service."""

    def __init__(self, age: plan_age.PlanAge) -> None:
        """Start without plans until the first listing is applied."""
        self.has_listing = False
        # Increased by every change of a plan or of its revision.
        self.changes = 0
        self._age = age
        self._known: dict[str, deduction.KnownPlan] = {}
        # Revisions of the keys in the store, also of malformed plans.
        self._revisions: dict[str, int] = {}

    def find(self, service: str) -> deduction.KnownPlan | None:
        """Return the newest known plan of a service."""
        return self._known.get(service)

    def revision(self, service: str) -> int:
        """Return the revision of the stored plan; 0 if none is stored."""
        return self._revisions.get(service, 0)

    def apply_listing(self, entries: list[store.StoreEntry]) -> None:
        """Apply a complete listing of plans."""
        listed = {service_of(entry.key) for entry in entries}
        for service in self._revisions.keys() - listed:
            self._remove(service)
        self.apply_changes(entries)
        self.has_listing = True

    def apply_changes(self, entries: list[store.StoreEntry]) -> None:
        """Apply changes of plans; none confirms those that are known."""
        for entry in entries:
            with containment.contain("software_plan", entry.key):
                self._apply(entry)
        self._age.confirm(clocks.boot_seconds())

    def apply_written(self, entry: store.StoreEntry) -> None:
        """Apply a plan that this instance has written."""
        self._apply(entry)

    def apply_read(self, entry: store.StoreEntry) -> None:
        """Apply a plan that this instance has read for a taken-up stream."""
        with containment.contain("software_plan", entry.key):
            self._apply(entry)

    def _remove(self, service: str) -> None:
        if self._revisions.pop(service, None) is not None:
            self.changes += 1

    def _apply(self, entry: store.StoreEntry) -> None:
        service = service_of(entry.key)
        if entry.data is None:
            # The plan stays in force; the controller writes it again.
            self._remove(service)
            return
        if entry.revision <= self.revision(service):
            return
        self._revisions[service] = entry.revision
        self.changes += 1
        try:
            plan = plan_lib.decode(entry.data)
        except ValueError as exc:
            logs.event(
                _LOG,
                "store_entry_malformed",
                logging.WARNING,
                key=entry.key,
                revision=entry.revision,
                why=exc,
            )
            return
        self._known[service] = deduction.learn(
            self._known.get(service),
            plan,
            entry.revision,
            clocks.boot_seconds(),
        )
