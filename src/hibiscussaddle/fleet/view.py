"""The fleet state that one instance knows from the store.

It holds the configuration, the endpoints, and the published weight versions.
"""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio

from hibiscussaddle.adapters import store
from hibiscussaddle import containment
from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.platform import config_wire
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.policy import marks
from hibiscussaddle.routes import routing_config

_LOG = logging.getLogger(__name__)

# Live endpoints whose entries expired in a store outage register again within
# about two seconds of its recovery.
_REREGISTER_SECONDS: typing.Final = 2.2
# Marks of endpoints that are no longer listed. They are kept beyond the
# removal, since a listing may be older than a response. Four times the number
# of endpoints of the target fleet.
_MAX_LEAVING_MARKS: typing.Final = 4096


@dataclasses.dataclass
class View:
    """Hold the newest known state, which the feeds write."""

    directory: endpoints.Directory
    clock: abc.Callable[[], float] = time.monotonic
    config: routing_config.RoutingConfig | None = None
    # Newest weight version that a trainer published, by model.
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    # Instances whose retirement the operator requested.
    retiring_instances: set[str] = dataclasses.field(default_factory=set)
    # Times at which endpoints whose entries expired in an outage are removed.
    removal_deadlines: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    has_endpoint_listing: bool = False
    # Whether the latest store call failed.
    is_store_failing: bool = False
    # Time of the first store response after the latest failure.
    recovered_at: float = float("-inf")
    _changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def batch_routes(self) -> tuple[str, ...]:
        """Return the routes that take batches; empty while unknown."""
        return self.config.batch_routes() if self.config else ()

    async def wait_for_change(self) -> None:
        """Wait until the state changes."""
        await self._changed.wait()

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def record_outage(self) -> None:
        """Record that a store call failed."""
        self.is_store_failing = True

    def _record_response(self) -> None:
        if self.is_store_failing:
            self.is_store_failing = False
            self.recovered_at = self.clock()

    def apply_operator_entries(self, entries: list[store.StoreEntry]) -> None:
        """Apply changes to the operator's documents."""
        for entry in entries:
            if entry.data is None:
                continue
            with containment.contain("operator_entry", entry.key):
                try:
                    self._apply_operator_entry(entry.key, entry.data)
                except ValueError as exc:
                    _log_malformed(entry, exc)
        self._notify()

    def _apply_operator_entry(self, key: str, data: bytes) -> None:
        if key == config_wire.CONFIG_KEY:
            self._apply_config(config_wire.decode_config(data))
            return
        named = config_wire.decode_published_version(key, data)
        if named is not None:
            model, version = named
            if version > self.versions.get(model, 0):
                self.versions[model] = version
                logs.event(_LOG, "version_named", model=model, version=version)
        retired = config_wire.retired_instance(key)
        if retired is not None:
            self.retiring_instances.add(retired)

    def _apply_config(self, newer: routing_config.RoutingConfig) -> None:
        if self.config is not None and newer.version <= self.config.version:
            return
        self.config = newer
        logs.event(
            _LOG,
            "config_in_force",
            version=newer.version,
            routes=len(newer.routes),
        )

    def apply_endpoint_listing(self, entries: list[store.StoreEntry]) -> None:
        """Apply a complete listing of endpoints."""
        self._record_response()
        listed = {_endpoint_id(entry.key) for entry in entries}
        for endpoint in self.directory.all():
            if endpoint.id not in listed:
                self._handle_missing_entry(endpoint.id)
        self.has_endpoint_listing = True
        self.apply_endpoint_entries(entries)

    def apply_endpoint_entries(self, entries: list[store.StoreEntry]) -> None:
        """Apply changes to the entries of endpoints."""
        self._record_response()
        for entry in entries:
            with containment.contain("endpoint_entry", entry.key):
                self._apply_endpoint_entry(entry)
        self.expire(self.clock())
        self._notify()

    def _apply_endpoint_entry(self, entry: store.StoreEntry) -> None:
        endpoint_id = _endpoint_id(entry.key)
        if entry.data is None:
            self._handle_missing_entry(endpoint_id)
            return
        try:
            endpoint = endpoint_wire.decode_endpoint(entry.key, entry.data)
        except ValueError as exc:
            _log_malformed(entry, exc)
            self._remove(endpoint_id, "malformed")
            return
        self.removal_deadlines.pop(endpoint_id, None)
        self._put_endpoint(endpoint)

    def _put_endpoint(self, endpoint: endpoints.Endpoint) -> None:
        known = self.directory.get(endpoint.id)
        self.directory.put(endpoint)
        if known is None or known.state is not endpoint.state:
            logs.event(
                _LOG,
                "endpoint_listed",
                endpoint=endpoint.id,
                service=endpoint.service,
                state=endpoint.state.value,
                versions=endpoint.weight_versions,
            )

    def record_leaving(self, endpoint: endpoints.Endpoint) -> None:
        """Give an endpoint whose response says that it leaves no new work.

        The mark holds for this and earlier incarnations, whatever the store
        lists; a later incarnation is used again.
        """
        mark = marks.Mark(
            endpoint.id,
            endpoint.incarnation,
            counter=0,
            left=True,
            source=marks.Source.ENDPOINT,
        )
        if not self.directory.put_mark(mark):
            return
        logs.event(
            _LOG,
            "endpoint_leaving",
            endpoint=endpoint.id,
            service=endpoint.service,
            incarnation=endpoint.incarnation,
        )
        known = self.directory.marks.all()
        if len(known) > _MAX_LEAVING_MARKS:
            for old in known:
                if self.directory.get(old.target) is None:
                    self.directory.marks.discard(old.target)
        self._notify()

    def _handle_missing_entry(self, endpoint_id: str) -> None:
        endpoint = self.directory.get(endpoint_id)
        if endpoint is None:
            return
        deadline = self.recovered_at + _REREGISTER_SECONDS
        leaving = self.directory.is_draining(endpoint)
        if leaving or self.clock() >= deadline:
            self._remove(endpoint_id, "entry_removed")
        else:
            self.removal_deadlines.setdefault(endpoint_id, deadline)

    def expire(self, now: float) -> None:
        """Remove endpoints that have not registered again in time."""
        for endpoint_id, deadline in list(self.removal_deadlines.items()):
            if now >= deadline:
                self._remove(endpoint_id, "not_registered_again")

    def _remove(self, endpoint_id: str, why: str) -> None:
        self.removal_deadlines.pop(endpoint_id, None)
        if self.directory.get(endpoint_id) is not None:
            self.directory.remove(endpoint_id)
            logs.event(_LOG, "endpoint_removed", endpoint=endpoint_id, why=why)


def create_view() -> View:
    """Return an empty view."""
    return View(endpoints.Directory())


def _endpoint_id(key: str) -> str:
    return key.removeprefix(endpoint_wire.ENDPOINT_PREFIX)


def _log_malformed(entry: store.StoreEntry, exc: ValueError) -> None:
    logs.event(
        _LOG,
        "store_entry_malformed",
        logging.WARNING,
        key=entry.key,
        revision=entry.revision,
        why=exc,
    )
