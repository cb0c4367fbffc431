"""Free loopback ports, separate for each test process."""

import functools
import itertools
import socket

_FIRST_PORT = 10_000
_BLOCK_PORTS = 1000
_MAX_BLOCKS = 20


@functools.cache
def _claim_block() -> tuple[socket.socket, "itertools.cycle[int]"]:
    """Claim a block of ports by binding its first port.

    Without a claim, tests of several checkouts that run at the same time take
    each other's ports between the choice of a port and its use.
    """
    for number in range(_MAX_BLOCKS):
        first = _FIRST_PORT + number * _BLOCK_PORTS
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        return guard, itertools.cycle(range(first + 1, first + _BLOCK_PORTS))
    raise RuntimeError(f"all {_MAX_BLOCKS} blocks of ports are in use")


def free_ports(count: int) -> list[int]:
    """Return the next free ports of the block."""
    _, ports = _claim_block()
    found: list[int] = []
    for port in itertools.islice(ports, _BLOCK_PORTS):
        if is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError(f"fewer than {count} free ports")


def free_port_range(count: int) -> int:
    """Return the first of count consecutive free ports."""
    found = free_ports(1)
    while len(found) < count:
        port = free_ports(1)[0]
        found = [*found, port] if port == found[-1] + 1 else [port]
    return found[0]


def is_free(port: int) -> bool:
    """Return whether a socket can be bound to a port."""
    # Without SO_REUSEADDR, which nng does not set either: a port stays in use
    # for the minute in which its connections are in TIME_WAIT.
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def listening_socket() -> socket.socket:
    """Return a socket that listens on a free port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", free_ports(1)[0]))
    sock.listen(256)
    return sock
