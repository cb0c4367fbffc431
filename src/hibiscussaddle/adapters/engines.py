"""Client of model engines: streams of tokens with their versions."""

from collections import abc
import dataclasses
import json
import typing

import httpx

from hibiscussaddle import endpoints

_DATA: typing.Final = "data: "
_DONE: typing.Final = "[DONE]"


@dataclasses.dataclass(frozen=True)
class Chunk:
    """Hold some tokens and the weight version that made them."""

    text: str
    first_token: int
    tokens: int
    # None while the engine does not know which weights it serves.
    version: int | None
    incarnation: int
    raw: str


class StreamBroken(Exception):
    """Report a stream that ended without its end mark."""


class NotRun(Exception):
    """Report work that the engine reliably refused before it started."""


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
        request = self._client.stream(
            "POST",
            endpoint.address + "/v1/chat/completions",
            json={**body, "stream": True},
            timeout=httpx.Timeout(timeout),
        )
        try:
            async with request as resp:
                if resp.headers.get("x-not-run"):
                    raise NotRun(endpoint.id)
                if resp.status_code != httpx.codes.OK:
                    raise StreamBroken(f"status {resp.status_code}")
                async for line in resp.aiter_lines():
                    if not line.startswith(_DATA):
                        continue
                    data = line[len(_DATA) :]
                    if data == _DONE:
                        return
                    yield _to_chunk(data)
        except httpx.ConnectError as exc:
            raise NotRun(str(exc)) from exc
        except httpx.HTTPError as exc:
            raise StreamBroken(str(exc)) from exc
        raise StreamBroken("stream ended without its end mark")

    async def cancel(
        self, endpoint: endpoints.Endpoint, request_id: str
    ) -> None:
        """Cancel a stream at the engine; failures are ignored."""
        try:
            await self._client.post(
                f"{endpoint.address}/v1/cancel/{request_id}", timeout=2.0
            )
        except httpx.HTTPError:
            return


def _to_chunk(data: str) -> Chunk:
    body = json.loads(data)
    return Chunk(
        text=body["choices"][0]["delta"].get("content", ""),
        first_token=int(body["first_token"]),
        tokens=int(body["tokens"]),
        version=body["weight_version"],
        incarnation=int(body["incarnation"]),
        raw=data,
    )
