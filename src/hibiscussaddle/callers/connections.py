"""Bound the connections that callers and peers open to an instance."""

import collections
from collections import abc
import typing

from hibiscussaddle.callers import memory

# Descriptors that the platform reserves for files, and those of listeners,
# the store and watches.
_FILE_RESERVE: typing.Final = 200
_OWN_RESERVE: typing.Final = 64
# Each request of a caller may need a connection to an endpoint as well.
_CALLERS_FRACTION: typing.Final = 0.4
_PEERS_FRACTION: typing.Final = 0.2
MIN_CONNECTIONS: typing.Final = 16
# Resident bytes of a connection with a request under way and others sent
# ahead: 0.115 MB measured with 549 of them.
_CONNECTION_BYTES: typing.Final = 128 << 10
# Ordinary load of an instance has some hundred connections.
_MIN_CALLERS: typing.Final = 256
# Both an unknown number of descriptors and of bytes.
UNLIMITED: typing.Final = memory.UNLIMITED_BYTES // _CONNECTION_BYTES


class Closable(typing.Protocol):
    """Represent an open connection."""

    def close_idle(self) -> None:
        """Close the connection, on which no request is under way."""

    def abort(self) -> None:
        """Close the connection without sending what is buffered."""


def caller_limit(
    file_descriptors: int, budget: int = memory.UNLIMITED_BYTES
) -> int:
    """Return the bound of callers' connections; 0 descriptors is unknown.

    The budget is that of the account of what callers hold.
    """
    return min(
        _limit(file_descriptors, _CALLERS_FRACTION),
        max(_MIN_CALLERS, budget // _CONNECTION_BYTES),
    )


def peer_limit(file_descriptors: int) -> int:
    """Return the bound of connections to each other port."""
    return _limit(file_descriptors, _PEERS_FRACTION)


def _limit(file_descriptors: int, fraction: float) -> int:
    if not file_descriptors:
        return UNLIMITED
    sockets = file_descriptors - _FILE_RESERVE - _OWN_RESERVE
    return max(MIN_CONNECTIONS, int(fraction * sockets))


class ConnectionTable:
    """Hold the open connections of one port, by their last change."""

    def __init__(
        self,
        limit: int = UNLIMITED,
        end_slowest: abc.Callable[[], bool] = lambda: False,
        ends_oldest: bool = False,
    ) -> None:
        """Call end_slowest() when no connection is idle.

        With ends_oldest, the connection ends whose last request began or
        ended first, also if it is busy. That is for ports whose responses
        take no time.
        """
        self.limit = limit
        self.closed: collections.Counter[str] = collections.Counter()
        self._end_slowest = end_slowest
        self._ends_oldest = ends_oldest
        self._open: dict[Closable, None] = {}
        # Connections without a request so far, and others, oldest first.
        self._unused: dict[Closable, None] = {}
        self._idle: dict[Closable, None] = {}

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def admit(self, conn: Closable) -> bool:
        """Add a connection; return False if it must be closed."""
        if len(self._open) >= self.limit and not self._make_room():
            self.closed["refused"] += 1
            return False
        self._open[conn] = None
        self._unused[conn] = None
        return True

    def mark_busy(self, conn: Closable) -> None:
        """Record that a request has begun."""
        self._unused.pop(conn, None)
        self._idle.pop(conn, None)
        self._renew(conn)

    def mark_idle(self, conn: Closable) -> None:
        """Record that a request has ended."""
        if conn in self._open:
            self._idle[conn] = None
            self._renew(conn)

    def remove(self, conn: Closable) -> None:
        """Remove a connection that is closed."""
        self._open.pop(conn, None)
        self.mark_busy(conn)

    def _renew(self, conn: Closable) -> None:
        if conn in self._open:
            del self._open[conn]
            self._open[conn] = None

    def _make_room(self) -> bool:
        if self._ends_oldest:
            conn = next(iter(self._open))
            self.closed["oldest"] += 1
            self.remove(conn)
            conn.abort()
            return True
        for name, found in (("unused", self._unused), ("idle", self._idle)):
            if found:
                conn = next(iter(found))
                self.closed[name] += 1
                self.remove(conn)
                conn.close_idle()
                return True
        if self._end_slowest():
            self.closed["slowest"] += 1
            return True
        return False
