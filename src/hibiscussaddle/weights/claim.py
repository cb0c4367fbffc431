"""Decide when this instance may contend for the lease of weight orders."""

import time
import typing

from hibiscussaddle.adapters import store
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import weight_lease

# Head start of each contender before the next one, in seconds: longer than
# one claim takes, so that the others see the key and make no calls.
_TURN_SECONDS: typing.Final = 0.4
# Contenders from this place on wait equally long.
_LAST_TURN: typing.Final = 6


class Claim:
    """Follow the lease's key and give each contender its turn."""

    def __init__(
        self, members: presence_lib.Members, zone: str, machine: str
    ) -> None:
        """Claim nothing until the key was listed once.

        Holders on this machine have names that start with it.
        """
        self._members = members
        self._machine = machine
        self._key = weight_lease.lease_key(zone)
        self._free_since: float | None = None
        # A process that ran here before left its key.
        self._is_left = False

    def put_listing(self, entries: list[store.StoreEntry]) -> None:
        """Take a complete listing of leases."""
        if not any(entry.key == self._key for entry in entries):
            self._set_free()
        self.put_changes(entries)

    def put_changes(self, entries: list[store.StoreEntry]) -> None:
        """Take changes of leases."""
        for entry in entries:
            if entry.key != self._key:
                continue
            if entry.data is None:
                self._set_free()
            else:
                self._free_since = None
                self._is_left = self._is_own(entry)

    def _is_own(self, entry: store.StoreEntry) -> bool:
        value = entry.value
        holder = value.get("holder") if isinstance(value, dict) else None
        return str(holder).startswith(f"{self._machine}/")

    def _set_free(self) -> None:
        self._is_left = False
        if self._free_since is None:
            self._free_since = time.monotonic()

    def may_claim(self) -> bool:
        """Tell whether it is this instance's turn."""
        me = self._members.me
        if me.leaving:
            return False
        if self._is_left:
            return True
        if self._free_since is None:
            return False
        name = me.instance
        names = sorted(m.instance for m in self._members.candidates())
        turn = names.index(name) if name in names else _LAST_TURN
        wait = min(turn, _LAST_TURN) * _TURN_SECONDS
        return time.monotonic() - self._free_since >= wait
