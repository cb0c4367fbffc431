"""Guard against callers that end an instance by what they send or keep.

Each test runs one real instance with lowered limits and a crowd of clients on
loopback. The bounds follow from the stated memory and descriptors.
"""

from collections import abc
import contextlib
import dataclasses
import pathlib
import socket
import typing

import httpx
import pytest

from hibiscussaddle.callers import connections
from hibiscussaddle.callers import memory

import processes
import uncontrolled_clients as clients

pytestmark = pytest.mark.process

HOST: typing.Final = "desk.example"
MIB: typing.Final = 1 << 20
MEMORY_MB: typing.Final = 120
FILE_DESCRIPTORS: typing.Final = 400
MAX_BODY_BYTES: typing.Final = 4 * MIB
# Descriptors that the platform reserves for files.
FILE_RESERVE: typing.Final = 200
CROWD: typing.Final = 32
CONFIG: typing.Final = {
    "version": 3,
    "routes": [
        {
            "name": "rollouts",
            "host": HOST,
            "prefix": "/rollouts/",
            "kind": "rollout",
            "timeoutMs": 10000,
            "targetLatencyMs": 500,
            "service": "engines",
            "maxAttempts": 3,
            "retentionS": 40.0,
            "resultDeadlineMs": 7500,
            "resumable": True,
        },
        {
            "name": "orders",
            "host": HOST,
            "prefix": "/orders/",
            "kind": "idempotent",
            "timeoutMs": 20000,
            "targetLatencyMs": 5000,
            "service": "desk",
            "maxAttempts": 2,
        },
    ],
    "services": [],
    "limits": {"maxBodyBytes": MAX_BODY_BYTES},
}
# The smallest machine of the deployments and the largest legal body.
SMALLEST_MEMORY_MB: typing.Final = 150
LARGEST_BODY_BYTES: typing.Final = 33_554_432
# Small requests, as they are sent in calm.
SMALL_BODY: typing.Final = b"nets"


@dataclasses.dataclass(frozen=True)
class Case:
    """Describe one crowd."""

    pieces: clients.Pieces
    count: int = CROWD
    port: str = "gateway-1"
    reads: bool = False


ORDERS: typing.Final = "/orders"
ROLLOUTS: typing.Final = "/rollouts"
SHORT: typing.Final = MAX_BODY_BYTES - 1
CASES: typing.Final = {
    "announced over the limit": Case(
        clients.announced(ORDERS, 16 * MAX_BODY_BYTES, 2 * MAX_BODY_BYTES)
    ),
    "chunks over the limit": Case(
        clients.chunked(ORDERS, 65_536, 4 * MAX_BODY_BYTES)
    ),
    "batch chunks over the limit": Case(
        clients.chunked(ROLLOUTS, 65_536, 4 * MAX_BODY_BYTES)
    ),
    "legal bodies a byte short": Case(
        clients.announced(ORDERS, MAX_BODY_BYTES, SHORT)
    ),
    "legal batches a byte short": Case(
        clients.announced(ROLLOUTS, MAX_BODY_BYTES, SHORT)
    ),
    "complete legal batches": Case(clients.batches(ROLLOUTS, 2 * MIB, 8)),
    "legal bodies in tiny pieces": Case(
        clients.chunked(ORDERS, 1_024, SHORT), count=24
    ),
    "requests sent ahead": Case(
        clients.sent_ahead(ORDERS, 4_096, 4_000), count=8
    ),
    "large answers unread": Case(
        clients.announced(ORDERS, 3 * MIB, 3 * MIB), reads=True
    ),
    "large answers unread from the start": Case(
        clients.sent_ahead(ORDERS, 3 * MIB, 4), count=CROWD // 2
    ),
    "endless heads": Case(clients.endless_head(8 * MIB), count=128),
    "silent connections": Case(clients.silent(), count=FILE_DESCRIPTORS + 100),
    "peer bodies over the limit": Case(
        clients.chunked("/v1/batches?crowd=", 65_536, 4 * MAX_BODY_BYTES),
        port="gw-peers-1",
    ),
    "silent connections to the peer port": Case(
        clients.silent(), count=FILE_DESCRIPTORS + 100, port="gw-peers-1"
    ),
}


@contextlib.contextmanager
def _run(
    folder: pathlib.Path,
    cfg: dict[str, object],
    memory_mb: int,
    file_descriptors: int = FILE_DESCRIPTORS,
    **desk: object,
) -> abc.Iterator[processes.Fleet]:
    with processes.run_fleet(folder) as fleet:
        fleet.put_key("op/config", cfg)
        fleet.start_hosted("desk-1", "desk", **desk)
        fleet.start_gateway(
            1,
            f"--memory_mb={memory_mb}",
            f"--file_descriptors={file_descriptors}",
        )
        fleet.wait_until(lambda: _order(fleet).status_code == 200)
        yield fleet


@pytest.fixture(name="fleet")
def create_fleet(tmp_path: pathlib.Path) -> abc.Iterator[processes.Fleet]:
    """Run one instance with low limits, and a plain service."""
    with _run(tmp_path, CONFIG, MEMORY_MB) as fleet:
        yield fleet


def _order(fleet: processes.Fleet, body: bytes = SMALL_BODY) -> httpx.Response:
    headers = {
        "host": HOST,
        "x-request-id": "r-1",
        "x-deadline-ms": "20000",
        "connection": "close",
    }
    return fleet.client.post(
        f"http://127.0.0.1:{fleet.port('gateway-1')}/orders/7",
        content=body,
        headers=headers,
    )


@pytest.mark.parametrize("name", CASES)
def test_crowd_ends_no_instance(name: str, fleet: processes.Fleet) -> None:
    """Fails when a crowd takes more than the machine has."""
    case = CASES[name]
    gateway = fleet.processes[-1]
    calm_bytes = gateway.peak_bytes()
    crowd = clients.Crowd(
        fleet.port(case.port), case.count, case.pieces, case.reads
    )
    try:
        crowd.press()
        crowd.linger(3)
        descriptors = gateway.open_descriptors()
        # Ordinary callers still get responses beside the crowd.
        fleet.wait_until(lambda: _order(fleet).status_code == 200)
        peak_bytes = gateway.peak_bytes()
    finally:
        crowd.close()
    print(
        f"{name}: calm {calm_bytes / 1e6:.0f} MB, peak "
        f"{peak_bytes / 1e6:.0f} MB, {descriptors} descriptors, "
        f"{crowd.sent_bytes / 1e6:.0f} MB sent"
    )
    assert gateway.is_running()
    # The crowd is gone; the instance may still notice that.
    fleet.wait_until(lambda: _order(fleet).status_code == 200)
    peak_bytes = max(peak_bytes, gateway.peak_bytes())
    print(f"{name}: peak at the end {peak_bytes / 1e6:.0f} MB")
    assert peak_bytes <= MEMORY_MB * 1_000_000
    assert descriptors <= FILE_DESCRIPTORS - FILE_RESERVE
    # What the crowd sent is no longer held.
    fleet.wait_until(
        lambda: gateway.open_descriptors() <= FILE_DESCRIPTORS // 4
    )


def test_largest_body_is_served_on_the_smallest_machine(
    tmp_path: pathlib.Path,
) -> None:
    """Fails when a legal body is refused in calm or needs copies of itself.

    Twice, since pages of the first body may stay with the allocator.
    """
    cfg = {**CONFIG, "limits": {"maxBodyBytes": LARGEST_BODY_BYTES}}
    with _run(tmp_path, cfg, SMALLEST_MEMORY_MB, echoed_bytes=16) as fleet:
        gateway = fleet.processes[-1]
        body = b"x" * LARGEST_BODY_BYTES
        for _ in range(2):
            assert _order(fleet, body).status_code == 200
            print(f"largest body: peak {gateway.peak_bytes() / 1e6:.0f} MB")
        assert gateway.peak_bytes() <= SMALLEST_MEMORY_MB * 1_000_000


def test_peer_body_over_the_limit_of_callers_is_read(
    fleet: processes.Fleet,
) -> None:
    """Fails when a lower limit for callers keeps peers from their batches.

    The body is no batch, so it is refused once it was read.
    """
    response = fleet.client.post(
        f"http://127.0.0.1:{fleet.port('gw-peers-1')}/v1/batches",
        content=b"x" * (MAX_BODY_BYTES + MIB),
    )
    assert response.status_code == 400


# The limit of the platform, which alone allows 549 connections of callers.
MANY_DESCRIPTORS: typing.Final = 1_638


@pytest.mark.parametrize(
    "pieces",
    [clients.sent_ahead(ORDERS, 4_096, 64), clients.endless_head(60_000)],
    ids=["requests sent ahead", "unfinished heads"],
)
def test_connections_are_bounded_by_memory(
    pieces: clients.Pieces, tmp_path: pathlib.Path
) -> None:
    """Fails when connections inside the descriptors exceed the memory."""
    with _run(tmp_path, CONFIG, MEMORY_MB, MANY_DESCRIPTORS) as fleet:
        gateway = fleet.processes[-1]
        calm = gateway.open_descriptors()
        port = fleet.port("gateway-1")
        crowd = clients.Crowd(port, MANY_DESCRIPTORS // 2, pieces)
        try:
            crowd.press()
            descriptors = gateway.open_descriptors()
            peak_bytes = gateway.peak_bytes()
        finally:
            crowd.close()
        print(f"peak {peak_bytes / 1e6:.0f} MB, {descriptors} descriptors")
        assert peak_bytes <= MEMORY_MB * 1_000_000
        # Requests that are under way have a connection to the desk as well.
        limit = connections.caller_limit(
            MANY_DESCRIPTORS, memory.budget_bytes(MEMORY_MB)
        )
        assert descriptors - calm <= limit + CROWD
        fleet.wait_until(lambda: _order(fleet).status_code == 200)


def test_check_gets_in_beside_unfinished_requests(
    fleet: processes.Fleet,
) -> None:
    """Fails when requests at the ready port keep the platform's check out."""
    port = fleet.port("ready-1")
    short = clients.head("/ready", 1, "Content-Length: 10") + b"short"
    with contextlib.ExitStack() as stack:
        for _ in range(connections.MIN_CONNECTIONS):
            conn = socket.create_connection(("127.0.0.1", port), 5.0)
            stack.enter_context(conn)
            conn.sendall(short)
            # The response has begun, so that the connection is busy.
            assert conn.recv(1)
        response = fleet.client.get(f"http://127.0.0.1:{port}/ready")
        assert response.status_code == 200


def _response(conn: socket.socket) -> bytes:
    """Return all bytes until the instance closes the connection."""
    found = []
    while data := conn.recv(65_536):
        found.append(data)
    return b"".join(found)


@pytest.mark.parametrize("is_announced", [True, False])
def test_sender_of_a_large_body_gets_the_refusal(
    is_announced: bool, fleet: processes.Fleet
) -> None:
    """Fails when the connection is reset before the refusal can be read."""
    pieces = clients.chunked(ORDERS, 65_536, MAX_BODY_BYTES + 65_536)
    if is_announced:
        pieces = clients.announced(ORDERS, MAX_BODY_BYTES + 1, 100_000)
    address = ("127.0.0.1", fleet.port("gateway-1"))
    with socket.create_connection(address, 20.0) as conn:
        for piece in pieces(1):
            conn.sendall(piece)
        response = _response(conn).lower()
    assert response.startswith(b"http/1.1 413 ")
    assert b"\r\nconnection: close\r\n" in response


def test_bodies_without_room_are_refused_as_not_run(
    fleet: processes.Fleet,
) -> None:
    """Fails when a request is dropped without saying that it didn't run."""
    crowd = clients.Crowd(
        fleet.port("gateway-1"),
        CROWD,
        clients.announced(ORDERS, MAX_BODY_BYTES, SHORT),
    )
    refusals: list[bytes] = []

    def has_most() -> bool:
        refusals.extend(data for data in crowd.received() if data)
        return len(refusals) > CROWD / 2

    try:
        crowd.press()
        # The bodies that fit into the memory wait for their last byte.
        fleet.wait_until(has_most)
    finally:
        crowd.close()
    for data in refusals:
        lower = data.lower()
        assert lower.startswith(b"http/1.1 503 "), data[:100]
        assert b"\r\nretry-after: " in lower
        assert b"\r\nconnection: close\r\n" in lower
        assert b"1124 memory_full" in lower
