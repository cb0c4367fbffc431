"""Choice of the owner of a key by rendezvous hashing."""

from collections import abc
import hashlib


def owner(key: str, members: abc.Iterable[str]) -> str | None:
    """Return the member with the highest hash; None without members.

    Adding or removing a member moves only the keys that it owns.
    """
    return max(members, key=lambda name: _weight(key, name), default=None)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
