"""Decide when this instance may try to acquire the weight lease."""

import time
import typing

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import weight_lease

# Delay between one contender and the next: longer than a claim takes, so that
# the others see the key and make no calls.
_STAGGER_SECONDS: typing.Final = 0.4
# Contenders from this position on wait equally long.
_MAX_POSITION: typing.Final = 6


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
        self._key = weight_lease.lease_key(zone)
        self._free_since: float | None = None
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
                self._is_stale = self._is_from_this_machine(entry)

    def _is_from_this_machine(self, entry: store.StoreEntry) -> bool:
        value = entry.value
        holder = value.get("holder") if isinstance(value, dict) else None
        return str(holder).startswith(f"{self._machine}/")

    def _set_free(self) -> None:
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
