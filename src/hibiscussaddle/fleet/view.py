"""The fleet as one instance knows it: configuration, endpoints, versions."""

from collections import abc
import dataclasses
import logging
import time
import typing

import anyio

from hibiscussaddle.adapters import store
from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.platform import config_wire
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.routes import routing_config

_LOG = logging.getLogger(__name__)

# Live endpoints whose entries lapsed in an outage of the store register again
# within about two seconds of its return, in seconds.
_REGISTER_SECONDS: typing.Final = 2.2


@dataclasses.dataclass
class View:
    """Hold the newest known state; callers read, the feeds write."""

    directory: endpoints.Directory
    clock: abc.Callable[[], float] = time.monotonic
    config: routing_config.RoutingConfig | None = None
    # Newest version that a trainer published, by model.
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    # Instances that the operator wants emptied.
    retired: set[str] = dataclasses.field(default_factory=set)
    # When entries that vanished in an outage are given up.
    vanished: dict[str, float] = dataclasses.field(default_factory=dict)
    listed: bool = False
    # The newest call of the store failed.
    is_failing: bool = False
    # When the store answered again after its newest failure.
    returned_at: float = float("-inf")
    _changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def batch_routes(self) -> tuple[str, ...]:
        """Return the routes that take batches, none while unknown."""
        return self.config.batch_routes() if self.config else ()

    async def wait_change(self) -> None:
        """Wait until something changes."""
        await self._changed.wait()

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def note_outage(self) -> None:
        """Remember that the store did not answer."""
        self.is_failing = True

    def _note_answer(self) -> None:
        if self.is_failing:
            self.is_failing = False
            self.returned_at = self.clock()

    def put_operator_entries(self, entries: list[store.StoreEntry]) -> None:
        """Take changes of the operator's documents."""
        for entry in entries:
            if entry.data is None:
                continue
            try:
                self._put_operator_entry(entry.key, entry.data)
            except ValueError as exc:
                _log_malformed(entry, exc)
        self._notify()

    def _put_operator_entry(self, key: str, data: bytes) -> None:
        if key == config_wire.CONFIG_KEY:
            self._put_config(config_wire.decode_config(data))
            return
        named = config_wire.decode_published_version(key, data)
        if named is not None:
            model, version = named
            if version > self.versions.get(model, 0):
                self.versions[model] = version
                logs.event(_LOG, "version_named", model=model, version=version)
        retired = config_wire.retired_instance(key)
        if retired is not None:
            self.retired.add(retired)

    def _put_config(self, newer: routing_config.RoutingConfig) -> None:
        if self.config is not None and newer.version <= self.config.version:
            return
        self.config = newer
        logs.event(
            _LOG,
            "config_in_force",
            version=newer.version,
            routes=len(newer.routes),
        )

    def put_endpoint_listing(self, entries: list[store.StoreEntry]) -> None:
        """Take a complete listing of endpoints."""
        self._note_answer()
        listed = {_endpoint_id(entry.key) for entry in entries}
        for endpoint in self.directory.all():
            if endpoint.id not in listed:
                self._vanish(endpoint.id)
        self.listed = True
        self.put_endpoint_entries(entries)

    def put_endpoint_entries(self, entries: list[store.StoreEntry]) -> None:
        """Take changes of endpoints' entries."""
        self._note_answer()
        for entry in entries:
            endpoint_id = _endpoint_id(entry.key)
            if entry.data is None:
                self._vanish(endpoint_id)
                continue
            try:
                endpoint = endpoint_wire.decode_endpoint(entry.key, entry.data)
            except ValueError as exc:
                _log_malformed(entry, exc)
                self._remove(endpoint_id, "malformed")
                continue
            self.vanished.pop(endpoint_id, None)
            self._put_endpoint(endpoint)
        self.expire(self.clock())
        self._notify()

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

    def _vanish(self, endpoint_id: str) -> None:
        endpoint = self.directory.get(endpoint_id)
        if endpoint is None:
            return
        until = self.returned_at + _REGISTER_SECONDS
        leaving = endpoint.state is endpoints.EndpointState.LEAVING
        if leaving or self.clock() >= until:
            self._remove(endpoint_id, "entry_removed")
        else:
            self.vanished.setdefault(endpoint_id, until)

    def expire(self, now: float) -> None:
        """Remove endpoints that did not register again in time."""
        for endpoint_id, until in list(self.vanished.items()):
            if now >= until:
                self._remove(endpoint_id, "not_registered_again")

    def _remove(self, endpoint_id: str, why: str) -> None:
        self.vanished.pop(endpoint_id, None)
        if self.directory.get(endpoint_id) is not None:
            self.directory.remove(endpoint_id)
            logs.event(_LOG, "endpoint_removed", endpoint=endpoint_id, why=why)


def create_view() -> View:
    """Return a view that knows nothing yet."""
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
