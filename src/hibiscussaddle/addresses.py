"""Network addresses in the form host:port."""

import ipaddress
import typing

MAX_PORT: typing.Final = 65_535


def parse(text: str) -> tuple[str, int]:
    """Return the host and the port; raise ValueError if malformed."""
    host, _, port = text.rpartition(":")
    # str.isdigit() also accepts digits outside ASCII.
    if not host or not (port.isascii() and port.isdigit()):
        raise ValueError(f"address {text!r} is not host:port")
    check_port(int(port))
    return host, int(port)


def check_port(port: int) -> None:
    """Raise ValueError unless the port is valid."""
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is not in 1..{MAX_PORT}")


def check_ip(text: str) -> None:
    """Raise ValueError unless the host is an IPv4 or bracketed IPv6 address.

    Names are rejected: resolving a malformed one raises other errors.
    """
    host, _ = parse(text)
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
