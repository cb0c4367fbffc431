"""Client of the scoring service."""

from collections import abc
import dataclasses
import math
import typing

import httpx
import result

from hibiscussaddle import decoding
from hibiscussaddle import steps

TIMEOUT_SECONDS: typing.Final = 30.0


class ScorerClient:
    """Request the rewards of a group's samples."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        """Create a client; url is the base URL of the scoring service."""
        self._client = client
        self._url = url.rstrip("/") + "/v1/score"

    async def score(
        self,
        service: str,
        messages: abc.Sequence[abc.Mapping[str, typing.Any]],
        samples: abc.Sequence[steps.Sample],
    ) -> result.Result[list[float], str]:
        """Return one reward per sample, in order; Err describes a failure."""
        body = {
            "service": service,
            "messages": messages,
            "samples": [dataclasses.asdict(sample) for sample in samples],
        }
        try:
            resp = await self._client.post(
                self._url, json=body, timeout=TIMEOUT_SECONDS
            )
            resp.raise_for_status()
            rewards = [
                float(reward)
                for reward in decoding.decode_json(resp.content)["rewards"]
            ]
        except (
            httpx.HTTPError,
            ValueError,
            KeyError,
            TypeError,
            OverflowError,
        ) as exc:
            return result.Err(f"{type(exc).__name__}: {exc}")
        if len(rewards) != len(samples):
            return result.Err(
                f"{len(rewards)} rewards for {len(samples)} samples"
            )
        if not all(math.isfinite(reward) for reward in rewards):
            return result.Err("a reward is not finite")
        return result.Ok(rewards)
