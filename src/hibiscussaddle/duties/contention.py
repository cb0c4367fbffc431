"""Know the holder of the duties and decide when to contend for them."""

import dataclasses
import time
import typing

from hibiscussaddle.adapters import store
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle.fleet import presence as presence_lib

# Delay between one contender and the next: longer than a claim takes, so that
# the others see the key and make no calls.
_STAGGER_SECONDS: typing.Final = 0.4
# Contenders from this position on wait equally long.
_MAX_POSITION: typing.Final = 6


@dataclasses.dataclass(frozen=True)
class Holder:
    """Name the process that holds the duties and where peers reach it."""

    instance: str
    peer_address: str
    incarnation: int


def machine_name(instance: str, peer_address: str) -> str:
    """Return the start of the names of all holders on a machine.

    The address is included because a machine may be replaced by another one
    under the same name.
    """
    return f"{instance}/{peer_address}"


def parse_holder(name: str) -> Holder | None:
    """Return the holder of a lease's key, None if the name is malformed."""
    parts = name.rsplit("/", 3)
    # Instance, address, incarnation and the attempt to claim the lease.
    if len(parts) != 4:
        return None
    try:
        incarnation = int(parts[2])
    except ValueError:
        return None
    return Holder(parts[0], parts[1], incarnation)


class LeaseContention:
    """Watch the lease's key and stagger the contenders."""

    def __init__(
        self, members: presence_lib.Members, zone: str, machine: str
    ) -> None:
        """Allow no claim before the key was listed or changed.

        Names of holders on this machine start with the machine's name.
        """
        self._members = members
        self._machine = machine
        self._key = duty_lease.lease_key(zone)
        self._free_since: float | None = None
        # None while the lease is free or its holder is unknown.
        self.holder: Holder | None = None
        # Whether the key still names a former process on this machine.
        self._is_stale = False

    def apply_listing(self, entries: list[store.StoreEntry]) -> None:
        """Apply a complete listing of leases."""
        if not any(entry.key == self._key for entry in entries):
            self._set_free()
        self.apply_changes(entries)

    def apply_changes(self, entries: list[store.StoreEntry]) -> None:
        """Apply changes of leases."""
        for entry in entries:
            if entry.key != self._key:
                continue
            if entry.data is None:
                self._set_free()
            else:
                self._free_since = None
                value = entry.value
                found = value.get("holder") if isinstance(value, dict) else ""
                self.holder = parse_holder(str(found))
                self._is_stale = str(found).startswith(f"{self._machine}/")

    def _set_free(self) -> None:
        self.holder = None
        self._is_stale = False
        if self._free_since is None:
            self._free_since = time.monotonic()

    def may_claim(self) -> bool:
        """Return whether this instance may try to acquire the lease now."""
        me = self._members.me
        if me.leaving:
            return False
        if self._is_stale:
            return True
        if self._free_since is None:
            return False
        name = me.instance
        names = sorted(m.instance for m in self._members.candidates())
        position = names.index(name) if name in names else _MAX_POSITION
        wait = min(position, _MAX_POSITION) * _STAGGER_SECONDS
        return time.monotonic() - self._free_since >= wait
