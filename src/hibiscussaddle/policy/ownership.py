"""Choose the owner of a key by rendezvous hash."""

from collections import abc
import hashlib


def owner(key: str, members: abc.Iterable[str]) -> str | None:
    """Return the member with the highest hash; None without members.

    A member that comes or goes moves only the keys that it owns.
    """
    return max(members, key=lambda name: _weight(key, name), default=None)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
