"""Client of model engines: streams of tokens with their versions."""

from collections import abc
import contextlib
import typing

import anyio
import httpx
import msgspec

from hibiscussaddle.adapters import services
from hibiscussaddle import endpoints

CONNECT_SECONDS: typing.Final = 2.0
# Longest silence after the first tokens before a stream counts as broken.
IDLE_SECONDS: typing.Final = 30.0
CANCEL_SECONDS: typing.Final = 2.0
MAX_EVENT_BYTES: typing.Final = 1 << 20
_DRAIN_SECONDS: typing.Final = 0.2
_DATA: typing.Final = b"data: "
_DONE: typing.Final = b"[DONE]"


class Chunk(msgspec.Struct, frozen=True):
    """Hold some tokens and the weight version that made them."""

    text: str
    first_token: int
    tokens: int
    # None while the engine does not know which weights it serves.
    version: int | None
    incarnation: int
    raw: bytes
    request_id: str = ""


class BrokenStreamError(Exception):
    """Report a stream that ended without its end mark."""


class NotRunError(Exception):
    """Report work that the engine reliably refused before it started."""


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta


class _Event(msgspec.Struct):
    first_token: int
    tokens: int
    weight_version: int | None
    incarnation: int
    choices: list[_Choice]
    id: str = ""


_EVENTS: typing.Final = msgspec.json.Decoder(_Event)


class EngineClient:
    """Call model engines."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Use a shared HTTP client."""
        self._client = client

    async def stream(
        self,
        endpoint: endpoints.Endpoint,
        body: abc.Mapping[str, typing.Any],
        timeout: float,
    ) -> abc.AsyncIterator[Chunk]:
        """Yield chunks until the end mark; raise when it does not come."""
        batches = self.stream_batches(endpoint, body, timeout)
        async with contextlib.aclosing(batches):
            async for batch in batches:
                for chunk in batch:
                    yield chunk

    async def stream_batches(
        self,
        endpoint: endpoints.Endpoint,
        body: abc.Mapping[str, typing.Any],
        timeout: float,
    ) -> abc.AsyncGenerator[list[Chunk], None]:
        """Yield the chunks of each network read together.

        Raises:
            NotRunError: the engine never started the work.
            BrokenStreamError: the end mark did not come.
        """
        request = self._client.stream(
            "POST",
            endpoint.address + "/v1/chat/completions",
            content=msgspec.json.encode({**body, "stream": True}),
            headers={"content-type": "application/json"},
            timeout=httpx.Timeout(
                timeout,
                connect=min(timeout, CONNECT_SECONDS),
                pool=min(timeout, CONNECT_SECONDS),
            ),
        )
        try:
            async with request as resp:
                if resp.headers.get(services.NOT_STARTED_HEADER):
                    raise NotRunError(
                        f"endpoint {endpoint.id} refused the work"
                    )
                if resp.status_code != httpx.codes.OK:
                    raise BrokenStreamError(
                        f"endpoint {endpoint.id}: status {resp.status_code}"
                    )
                async for batch in _read(resp):
                    if batch is None:
                        return
                    yield batch
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as exc:
            raise NotRunError(_describe(endpoint, exc)) from exc
        except (httpx.HTTPError, msgspec.MsgspecError) as exc:
            raise BrokenStreamError(_describe(endpoint, exc)) from exc
        raise BrokenStreamError(f"endpoint {endpoint.id}: no end mark")

    async def cancel(
        self, endpoint: endpoints.Endpoint, request_id: str
    ) -> None:
        """Cancel a stream at the engine; failures are ignored."""
        url = f"{endpoint.address}/v1/cancel/{request_id}"
        with (
            contextlib.suppress(httpx.HTTPError),
            anyio.move_on_after(CANCEL_SECONDS, shield=True),
        ):
            await self._client.post(url, timeout=CANCEL_SECONDS)


async def _read(
    resp: httpx.Response,
) -> abc.AsyncGenerator[list[Chunk] | None, None]:
    """Yield batches of chunks, then None at the end mark."""
    rest = b""
    parts = resp.aiter_raw()
    async for part in parts:
        *lines, rest = (rest + part).split(b"\n")
        if len(rest) > MAX_EVENT_BYTES:
            raise BrokenStreamError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes"
            )
        chunks: list[Chunk] = []
        is_done = False
        for line in lines:
            if not line.startswith(_DATA):
                continue
            data = line[len(_DATA) :].rstrip(b"\r")
            if data == _DONE:
                is_done = True
                break
            chunks.append(_to_chunk(data))
        if chunks:
            yield chunks
        if is_done:
            # The connection can be used again only after its last bytes.
            with anyio.move_on_after(_DRAIN_SECONDS):
                async for _ in parts:
                    pass
            yield None
            return


def _describe(endpoint: endpoints.Endpoint, exc: Exception) -> str:
    return f"endpoint {endpoint.id}: {exc or type(exc).__name__}"


def _to_chunk(data: bytes) -> Chunk:
    event = _EVENTS.decode(data)
    return Chunk(
        event.choices[0].delta.content if event.choices else "",
        event.first_token,
        event.tokens,
        event.weight_version,
        event.incarnation,
        data,
        event.id,
    )
