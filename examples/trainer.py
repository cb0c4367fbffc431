"""Example trainer client that opens a step and reads each sample once.

These rules make the delivery exactly once:

* Accept only the first response to each pull number.
* Set the bits of its slots, then send the next pull number.
* When a response is lost, retry the same number and bitmap through any
  instance.
* Store number, bitmap and samples together: a restarted trainer that lost
  the samples opens a new step.
"""

import base64
from collections import abc
import dataclasses
import itertools
import typing

import anyio
import httpx

STEP_UNKNOWN_CODE: typing.Final = 1301
PULL_STALE_CODE: typing.Final = 1303
_RETRY_SECONDS: typing.Final = 0.05

Json: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass
class Position:
    """Store the state that must be saved together with the samples."""

    pull: int = 1
    have: int = 0


class RefusedError(Exception):
    """Report an error response that a retry cannot change."""


class StepReader:
    """Read one shard of one step through any of several instances."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        urls: abc.Sequence[str],
        spec: Json,
        newest_version: abc.Callable[[], int],
        shard: int = 0,
        shards: int = 1,
    ) -> None:
        """Create a reader; the client must send the customer's key."""
        self.position = Position()
        self._client = client
        self._urls = itertools.cycle(urls)
        self._spec = spec
        self._newest_version = newest_version
        self._shard = shard
        self._shards = shards

    @property
    def slots(self) -> int:
        """Return the number of slots of the complete step."""
        return len(self._spec["groups"]) * int(self._spec["samples_per_group"])

    async def read(self) -> abc.AsyncIterator[list[Json]]:
        """Yield the samples of each pull until the step is complete."""
        while True:
            body = self.create_body()
            response = await self.send(next(self._urls), body)
            if response is None:
                await anyio.sleep(_RETRY_SECONDS)
                continue
            samples = self.accept(response)
            if samples:
                yield samples
            if response["remaining"] == 0:
                # Acknowledges the last samples, so that the service frees
                # them early; without it, they are freed later.
                last_body = {**self.create_body(), "wait_seconds": 0.0}
                await self.send(next(self._urls), last_body)
                return

    def create_body(self) -> Json:
        """Return the request body of the current pull."""
        size = (self.slots + 7) // 8
        have = self.position.have.to_bytes(size, "little")
        return {
            "pull": self.position.pull,
            "have": base64.b64encode(have).decode(),
            "newest_version": self._newest_version(),
            "max_samples": 64,
            "wait_seconds": 5.0,
            "shard": self._shard,
            "shards": self._shards,
        }

    async def send(self, url: str, body: Json) -> Json | None:
        """Return the response to a pull, or None if it must be retried."""
        path = f"/v1/steps/{self._spec['trainer']}/{self._spec['step']}/pull"
        try:
            resp = await self._client.post(url + path, json=body, timeout=20.0)
            response: Json = resp.json()
            if resp.status_code == 200:
                return response
            if response["code"] == STEP_UNKNOWN_CODE:
                await self._open(url)
            elif 400 <= resp.status_code < 500 and resp.status_code != 429:
                raise RefusedError(f"{response['code']} {response['message']}")
        except (httpx.HTTPError, ValueError, KeyError):
            pass
        return None

    async def _open(self, url: str) -> None:
        resp = await self._client.post(
            url + "/v1/steps", json=self._spec, timeout=20.0
        )
        if 400 <= resp.status_code < 500 and resp.status_code != 429:
            raise RefusedError(resp.text)

    def accept(self, response: Json) -> list[Json]:
        """Accept the first response to the current pull; ignore others."""
        if response["pull"] != self.position.pull:
            return []
        per_group = int(self._spec["samples_per_group"])
        have = self.position.have
        for sample in response["samples"]:
            have |= 1 << sample["group"] * per_group + sample["index"]
        self.position = Position(self.position.pull + 1, have)
        samples: list[Json] = response["samples"]
        return samples


async def main(urls: list[str], key: str) -> None:
    """Read one step of four groups and print the progress."""
    spec: Json = {
        "trainer": "example",
        "step": "step-1",
        "model": "base",
        "groups": [
            [{"role": "user", "content": f"prompt {n}"}] for n in range(4)
        ],
        "samples_per_group": 4,
        "max_tokens": 16,
    }
    headers = {"authorization": f"Bearer {key}"}
    async with httpx.AsyncClient(headers=headers, trust_env=False) as client:
        reader = StepReader(client, urls, spec, lambda: 1)
        count = 0
        async for samples in reader.read():
            count += len(samples)
            print(f"{count} of {reader.slots} samples")


if __name__ == "__main__":
    import sys

    anyio.run(main, sys.argv[2:], sys.argv[1])
