"""A small HTTP/1.1 server and client for stand-ins (asyncio, no packages)."""

import asyncio
import json
import urllib.parse


class Request:
    """Hold one request as received."""

    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = {
            k: v[0] for k, v in urllib.parse.parse_qs(query).items()
        }
        self.headers = headers
        self.body = body
        self.writer = writer

    def header(self, name, default=""):
        return self.headers.get(name, default)

    def json(self):
        return json.loads(self.body)


async def read_head(reader):
    """Return the start line and the headers; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, until_close=False):
    """Return a body that has a length or chunks, or ends with the channel."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                continue
            while (await reader.readline()).strip():
                pass
            return b"".join(parts)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def encode(status, headers=(), body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in dict(headers).items()]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def serve(handler, host, port):
    """Serve until cancelled; the handler returns bytes, or None to close.

    A handler may write to request.writer itself and return b"".
    """

    async def connected(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                if headers.get("expect", "").lower() == "100-continue":
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = await read_body(reader, headers)
                req = Request(method, target, headers, body, writer)
                answer = await handler(req)
                if answer is None:
                    return
                if answer:
                    writer.write(answer)
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(
        connected, host, port, limit=1 << 20, backlog=512
    )
    return server


async def call(
    port, method, path, headers=None, body=b"", timeout=10.0, host="127.0.0.1"
):
    """Make one call on a new channel; return status, headers and body.

    The status is 0 when there is no complete answer.
    """

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            given = {"Host": f"{host}:{port}", **(headers or {})}
            if body or method in ("POST", "PUT"):
                given["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            writer.write(body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            first, got = head
            data = await read_body(reader, got, until_close=True)
            return int(first.split(" ")[1]), got, data
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
