"""Client of model engines: token streams with weight versions."""

from collections import abc
import contextlib
import logging
import typing

import anyio
import httpx
import msgspec

from hibiscussaddle.adapters import services
from hibiscussaddle import decoding
from hibiscussaddle import endpoints
from hibiscussaddle import logs

_LOG = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS: typing.Final = 2.0
# Maximum silence after the first tokens before a stream counts as broken.
IDLE_TIMEOUT_SECONDS: typing.Final = 30.0
CANCEL_TIMEOUT_SECONDS: typing.Final = 2.0
MAX_EVENT_BYTES: typing.Final = 1 << 20
_TRAILING_READ_TIMEOUT_SECONDS: typing.Final = 0.2
_DATA_PREFIX: typing.Final = b"data: "
_END_MARK: typing.Final = b"[DONE]"


class Chunk(msgspec.Struct, frozen=True):
    """Hold consecutive tokens and the weight version that generated them."""

    text: str
    # Index of the first token in the response.
    first_token: int
    # Number of tokens.
    tokens: int
    # Weight version; None while the engine does not know which weights it
    # has loaded.
    version: int | None
    incarnation: int
    # The event as received, without its prefix.
    raw: bytes
    request_id: str = ""


class BrokenStreamError(Exception):
    """Signal that a stream ended without its end mark."""


class NotRunError(Exception):
    """Signal that the engine did not start the request."""


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


class EngineClient:
    """Call model engines."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Create a client over a shared HTTP client."""
        self._client = client

    async def stream(
        self,
        endpoint: endpoints.Endpoint,
        body: abc.Mapping[str, typing.Any],
        timeout: float,
    ) -> abc.AsyncIterator[Chunk]:
        """Yield chunks until the end mark.

        The timeout in seconds limits each network read, not the stream.

        Raises:
            NotRunError: the engine did not start the request.
            BrokenStreamError: the stream ended without the end mark.
        """
        batches = self.stream_chunk_batches(endpoint, body, timeout)
        async with contextlib.aclosing(batches):
            async for batch in batches:
                for chunk in batch:
                    yield chunk

    async def stream_chunk_batches(
        self,
        endpoint: endpoints.Endpoint,
        body: abc.Mapping[str, typing.Any],
        timeout: float,
    ) -> abc.AsyncGenerator[list[Chunk], None]:
        """Yield the chunks of each network read as one list.

        The timeout in seconds limits each network read, not the stream.

        Raises:
            NotRunError: the engine did not start the request.
            BrokenStreamError: the stream ended without the end mark.
        """
        request = self._client.stream(
            "POST",
            endpoint.address + "/v1/chat/completions",
            content=msgspec.json.encode({**body, "stream": True}),
            headers={"content-type": "application/json"},
            timeout=httpx.Timeout(
                timeout,
                connect=min(timeout, CONNECT_TIMEOUT_SECONDS),
                pool=min(timeout, CONNECT_TIMEOUT_SECONDS),
            ),
        )
        try:
            async with request as resp:
                if resp.headers.get(services.NOT_STARTED_HEADER):
                    raise NotRunError(
                        f"endpoint {endpoint.id} refused the request"
                    )
                if resp.status_code != httpx.codes.OK:
                    raise BrokenStreamError(
                        f"endpoint {endpoint.id}: status {resp.status_code}"
                    )
                async for batch in _read_chunks(resp):
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
        raise BrokenStreamError(
            f"endpoint {endpoint.id}: stream ended without the end mark"
        )

    async def cancel(
        self, endpoint: endpoints.Endpoint, request_id: str
    ) -> None:
        """Cancel a stream at the engine, ignoring failures."""
        url = f"{endpoint.address}/v1/cancel/{request_id}"
        with (
            contextlib.suppress(httpx.HTTPError),
            anyio.move_on_after(CANCEL_TIMEOUT_SECONDS, shield=True),
        ):
            await self._client.post(url, timeout=CANCEL_TIMEOUT_SECONDS)


async def _read_chunks(
    resp: httpx.Response,
) -> abc.AsyncGenerator[list[Chunk] | None, None]:
    """Yield lists of chunks, then None at the end mark."""
    incomplete_line = b""
    reads = resp.aiter_raw()
    async for read in reads:
        *lines, incomplete_line = (incomplete_line + read).split(b"\n")
        if len(incomplete_line) > MAX_EVENT_BYTES:
            raise BrokenStreamError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes"
            )
        chunks: list[Chunk] = []
        is_done = False
        for line in lines:
            if not line.startswith(_DATA_PREFIX):
                continue
            event = line[len(_DATA_PREFIX) :].rstrip(b"\r")
            if event == _END_MARK:
                is_done = True
                break
            chunks.append(_to_chunk(event))
        if chunks:
            yield chunks
        if is_done:
            # The connection can be reused only after its last bytes are read.
            with anyio.move_on_after(_TRAILING_READ_TIMEOUT_SECONDS):
                async for _ in reads:
                    pass
            yield None
            return


def _describe(endpoint: endpoints.Endpoint, exc: Exception) -> str:
    """Return the reason for callers and log the details.

    The text of an exception may contain the bytes that an engine sent, such as
    the head of an error response.
    """
    logs.event(
        _LOG,
        "engine_stream_failed",
        endpoint=endpoint.id,
        why=str(exc) or type(exc).__name__,
    )
    return f"endpoint {endpoint.id}: {type(exc).__name__}"


def _to_chunk(data: bytes) -> Chunk:
    event = decoding.decode_json(data, _Event)
    return Chunk(
        event.choices[0].delta.content if event.choices else "",
        event.first_token,
        event.tokens,
        event.weight_version,
        event.incarnation,
        data,
        event.id,
    )
