"""Choice of the members that read from the store for their zone."""

from collections import abc
import typing
import zlib

from hibiscussaddle import members

# Two, so that a zone still gets the list after one reader has died or lost its
# connection.
READERS_PER_ZONE: typing.Final = 2


def choose(
    live: abc.Iterable[members.Member], zone: str, purpose: str
) -> tuple[str, ...]:
    """Return the ids of a zone's readers: those with the highest hashes.

    The hash includes the purpose, so that purposes get different readers.
    """
    ids = [member.id for member in live if member.zone == zone]
    ids.sort(
        key=lambda item: (zlib.crc32(f"{purpose}/{item}".encode()), item),
        reverse=True,
    )
    return tuple(ids[:READERS_PER_ZONE])
