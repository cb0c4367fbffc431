"""A small HTTP/1.1 server and client for the stand-ins of the review."""

import asyncio
import dataclasses
import json
import urllib.parse


@dataclasses.dataclass
class Request:
    """Hold one request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the query's fields."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """Return the first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def serve(host, port, handle):
    """Serve connections; handle(request, reader, writer) writes the answer.

    It returns False to close the connection.
    """

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                req = Request(method, target, headers, body)
                if await handle(req, reader, writer) is False:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 26)


def answer(writer, status, body=b"", headers=()):
    """Write a complete answer."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = (*headers, ("content-type", "application/json"))
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"content-length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


@dataclasses.dataclass
class Answer:
    """Hold an answer; the status is 0 if the connection broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    why: str = ""

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


async def call(
    address, method, target, headers=(), body=b"", timeout=10.0
) -> Answer:
    """Send one request on a new connection and return the answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 26
            )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name.lower() == "host" for name, _ in headers):
                lines.append(f"host: {address}")
            lines += [f"content-length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b"", "closed without an answer")
            first, answered = head
            data = await read_body(reader, answered)
            return Answer(int(first.split(" ")[1]), answered, data)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        return Answer(0, {}, b"", type(exc).__name__)
    finally:
        if writer is not None:
            writer.close()
