"""Crowds of raw clients that stay outside the limits of the protocol."""

import base64
from collections import abc
import contextlib
import dataclasses
import json
import selectors
import socket
import time
import typing

# A crowd that makes no progress for this long has sent what it can.
_QUIET_SECONDS: typing.Final = 1.0
# Ends a crowd that never becomes quiet.
_MAX_SECONDS: typing.Final = 12.0
_PIECES_PER_TURN: typing.Final = 16

Pieces: typing.TypeAlias = abc.Callable[[int], abc.Iterator[bytes]]


@dataclasses.dataclass
class _Client:
    conn: socket.socket
    pieces: abc.Iterator[bytes]
    reads: bool
    pending: memoryview = dataclasses.field(
        default_factory=lambda: memoryview(b"")
    )
    is_done: bool = False
    sent_bytes: int = 0

    def send(self) -> bool:
        """Send some pieces; return whether any byte was taken."""
        before = self.sent_bytes
        try:
            for _ in range(_PIECES_PER_TURN):
                if not self.pending:
                    self.pending = memoryview(next(self.pieces))
                count = self.conn.send(self.pending)
                self.sent_bytes += count
                self.pending = self.pending[count:]
        except BlockingIOError:
            pass
        except (StopIteration, OSError):
            # All is sent, or the instance closed the connection.
            self.is_done = True
        return self.sent_bytes > before

    def read(self) -> None:
        """Read a single byte, as a client that hardly reads."""
        with contextlib.suppress(OSError):
            self.conn.recv(1)


class Crowd:
    """Hold open connections that each send their own pieces."""

    def __init__(
        self, port: int, count: int, pieces: Pieces, reads: bool = False
    ) -> None:
        """Connect all clients; each gets its number for its pieces."""
        self._clients = []
        for number in range(count):
            try:
                conn = socket.create_connection(("127.0.0.1", port), 5.0)
            except OSError:
                # An instance may refuse connections beyond its bound.
                continue
            conn.setblocking(False)
            self._clients.append(_Client(conn, pieces(number), reads))

    @property
    def sent_bytes(self) -> int:
        """Return the bytes that all clients have sent."""
        return sum(client.sent_bytes for client in self._clients)

    def press(self) -> None:
        """Send until all is sent or nothing is taken for a while."""
        selector = selectors.DefaultSelector()
        for client in self._clients:
            selector.register(client.conn, selectors.EVENT_WRITE, client)
        started = progress_at = time.monotonic()
        remaining = len(self._clients)
        while remaining:
            for key, _ in selector.select(0.05):
                client = key.data
                if client.send():
                    progress_at = time.monotonic()
                if client.is_done:
                    selector.unregister(client.conn)
                    remaining -= 1
            now = time.monotonic()
            if (
                now - progress_at > _QUIET_SECONDS
                or now - started > _MAX_SECONDS
            ):
                break
        selector.close()

    def linger(self, seconds: int) -> None:
        """Stay connected; readers take a byte each second."""
        for _ in range(seconds):
            time.sleep(1)
            for client in self._clients:
                if client.reads:
                    client.read()

    def received(self) -> list[bytes]:
        """Return what each client has received; empty after a reset."""
        found = []
        for client in self._clients:
            try:
                found.append(client.conn.recv(65_536))
            except OSError:
                found.append(b"")
        return found

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.conn.close()


def head(path: str, number: int, *more: str) -> bytes:
    """Return the head of a request."""
    lines = (
        f"POST {path}/{number} HTTP/1.1",
        "Host: desk.example",
        f"X-Request-Id: u-{number}",
        "X-Deadline-Ms: 20000",
        *more,
    )
    return "\r\n".join((*lines, "", "")).encode()


def announced(path: str, announced_bytes: int, sent_bytes: int) -> Pieces:
    """Return bodies with a length, of which a part is sent."""
    piece = b"x" * 65_536

    def send(number: int) -> abc.Iterator[bytes]:
        yield head(path, number, f"Content-Length: {announced_bytes}")
        for start in range(0, sent_bytes, len(piece)):
            yield piece[: sent_bytes - start]

    return send


def chunked(path: str, piece_bytes: int, sent_bytes: int) -> Pieces:
    """Return bodies in chunks without the last one."""
    piece = b"%x\r\n%b\r\n" % (piece_bytes, b"x" * piece_bytes)

    def send(number: int) -> abc.Iterator[bytes]:
        yield head(path, number, "Transfer-Encoding: chunked")
        for _ in range(0, sent_bytes, piece_bytes):
            yield piece

    return send


def sent_ahead(path: str, body_bytes: int, requests: int) -> Pieces:
    """Return many requests on one connection."""
    body = b"x" * body_bytes

    def send(number: int) -> abc.Iterator[bytes]:
        for index in range(requests):
            yield (
                head(
                    path,
                    number * requests + index,
                    f"Content-Length: {body_bytes}",
                )
                + body
            )

    return send


def batches(path: str, body_bytes: int, items: int) -> Pieces:
    """Return complete batches with large items."""
    data = base64.b64encode(b"x" * (body_bytes // items)).decode()

    def send(number: int) -> abc.Iterator[bytes]:
        body = json.dumps(
            {
                "step": number,
                "model": "base",
                "minVersion": 1,
                "groupCount": 1,
                "items": [
                    {
                        "id": f"u-{number}-{index}",
                        "path": f"{path}/{index}",
                        "headers": {"X-Model": "base"},
                        "body": data,
                        "tokens": 10,
                        "group": "g",
                    }
                    for index in range(items)
                ],
            }
        ).encode()
        yield head(path, number, f"Content-Length: {len(body)}") + body

    return send


def endless_head(sent_bytes: int) -> Pieces:
    """Return heads that never end."""
    line = b"X-More: " + b"x" * 1_000 + b"\r\n"

    def send(number: int) -> abc.Iterator[bytes]:
        yield head("/orders", number)[:-2]
        for _ in range(0, sent_bytes, len(line)):
            yield line

    return send


def silent() -> Pieces:
    """Return connections that send nothing."""
    return lambda number: iter(())
