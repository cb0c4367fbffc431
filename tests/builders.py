"""Build test data with sensible defaults."""

import os
import socket
import typing

from hibiscussaddle import auth
from hibiscussaddle import contracts
from hibiscussaddle import settings

CUSTOMER_KEY = "key-for-tests-0123456789"
SECRET = "secret-for-tests-0123456789"

_FIRST_PORT = 22200
_PORTS = 700


def free_ports(count: int) -> list[int]:
    """Return ports nobody listens at, apart from those of other test runs."""
    found: list[int] = []
    start = os.getpid() * 37
    for number in range(_PORTS):
        port = _FIRST_PORT + (start + number) % _PORTS
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError(f"fewer than {count} free ports")


def contract(**changes: typing.Any) -> contracts.Contract:
    """Return a contract of customer 'cereza'."""
    values: dict[str, typing.Any] = {
        "customer": "cereza",
        "key_hash": auth.hash_key(CUSTOMER_KEY),
        "staleness_versions": 1,
        "share": 0.5,
        "models": ("base",),
        "services": ("booking",),
        "idempotent": ("GET /quotes",),
    }
    values.update(changes)
    return contracts.Contract(**values)


def cfg(**changes: typing.Any) -> settings.Settings:
    """Return settings of instance 'entry-1' in zone 'zone-a'."""
    values: dict[str, typing.Any] = {
        "instance": "entry-1",
        "zone": "zone-a",
        "operator_secret": SECRET,
        "peer_secret": SECRET,
    }
    values.update(changes)
    return settings.Settings(**values)
