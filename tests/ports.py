"""Give each test process loopback ports of its own."""

import functools
import itertools
import socket

_FIRST_PORT = 10_000
_BLOCK = 1000
_BLOCKS = 20


@functools.cache
def _claim() -> tuple[socket.socket, "itertools.cycle[int]"]:
    """Hold the first port of a block, so that no other process uses it.

    Tests of several checkouts once ran at the same time and took each
    other's ports between the choice of a port and its use.
    """
    for number in range(_BLOCKS):
        first = _FIRST_PORT + number * _BLOCK
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        return guard, itertools.cycle(range(first + 1, first + _BLOCK))
    raise RuntimeError("no free block of ports")


def free_ports(count: int) -> list[int]:
    """Return the next ports of the block that nobody listens at."""
    _, ports = _claim()
    found: list[int] = []
    for port in itertools.islice(ports, _BLOCK):
        if _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError(f"fewer than {count} free ports")


def free_port_range(count: int) -> int:
    """Return the first of consecutive ports that nobody listens at."""
    found = free_ports(1)
    while len(found) < count:
        port = free_ports(1)[0]
        found = [*found, port] if port == found[-1] + 1 else [port]
    return found[0]


def _is_free(port: int) -> bool:
    # Without SO_REUSEADDR, as nng binds the ports it is given; so a port
    # stays taken for the minute in which its connections are in TIME_WAIT.
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def listening_socket() -> socket.socket:
    """Return a listening socket."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", free_ports(1)[0]))
    sock.listen(256)
    return sock
