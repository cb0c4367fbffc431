"""Client of the platform's key-value service."""

import collections
from collections import abc
import dataclasses
import enum
import random
import time
import typing

import anyio
import httpx
import result


class StoreFailure(enum.Enum):
    """List why a store call failed."""

    # The call had no effect: the store refused it or was not reached, or
    # the budget was spent.
    DOWN = "down"
    # The compare-and-swap lost; the current revision is given.
    CONFLICT = "conflict"
    # The call may have taken effect.
    UNKNOWN = "unknown"
    MISSING = "missing"


@dataclasses.dataclass(frozen=True)
class StoreError:
    """Carry a store failure and the current revision of the key."""

    failure: StoreFailure
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class StoreEntry:
    """Hold one key's value and revision; a deleted key has no value."""

    key: str
    value: typing.Any
    revision: int


# Seconds of budget that can be saved up for a burst.
_BURST_SECONDS: typing.Final = 2.0


class CallBudget:
    """Limit the store calls of this process; a token bucket."""

    def __init__(
        self,
        calls_per_second: float,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with a full bucket."""
        self._rate = calls_per_second
        self._burst = max(1.0, calls_per_second * _BURST_SECONDS)
        self._clock = clock
        self._tokens = self._burst
        self._at = clock()

    def reserve(self, longest_wait: float) -> float | None:
        """Take one call; return the wait in seconds, None when too long."""
        now = self._clock()
        refill = max(0.0, now - self._at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._at = now
        wait = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait > longest_wait:
            return None
        self._tokens -= 1.0
        return wait


class Backoff:
    """Give growing, jittered waits between attempts."""

    def __init__(
        self, rng: random.Random, first: float = 0.2, longest: float = 1.0
    ) -> None:
        """Start at the first wait; all waits are in seconds."""
        self._rng = rng
        self._first = first
        self._longest = longest
        self._wait = first

    def next(self) -> float:
        """Return the next wait, between half and all of its step."""
        wait = self._wait * (0.5 + 0.5 * self._rng.random())
        self._wait = min(self._longest, self._wait * 2)
        return wait

    def reset(self) -> None:
        """Start over after a success."""
        self._wait = self._first


Answer: typing.TypeAlias = result.Result[dict[str, typing.Any], StoreError]


class StoreClient:
    """Call the key-value service."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        url: str,
        timeout: float = 2.0,
        calls_per_second: float = 5.0,
    ) -> None:
        """Use a shared HTTP client; the timeout is in seconds."""
        self._client = client
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._budget = CallBudget(calls_per_second)
        # Calls sent by kind, and calls held back by the budget.
        self.calls: collections.Counter[str] = collections.Counter()
        # Monotonic seconds of the newest answer.
        self.answered_at: float | None = None

    async def get(self, key: str) -> result.Result[StoreEntry, StoreError]:
        """Return one entry."""
        answer = await self._call("read", "GET", f"/v1/kv/{key}")
        return answer.map(_to_entry)

    async def scan(
        self, prefix: str
    ) -> result.Result[tuple[list[StoreEntry], int], StoreError]:
        """Return the entries of a prefix and the store's revision."""
        answer = await self._call(
            "read", "GET", "/v1/kv", params={"prefix": prefix}
        )
        return answer.map(
            lambda body: (
                [_to_entry(item) for item in body["entries"]],
                int(body["revision"]),
            )
        )

    async def put(
        self,
        key: str,
        value: object,
        expected_revision: int,
        lease: str | None = None,
    ) -> result.Result[int, StoreError]:
        """Swap the value; return the new revision."""
        body = {
            "value": value,
            "expected_revision": expected_revision,
            "lease": lease,
        }
        answer = await self._call("write", "PUT", f"/v1/kv/{key}", json=body)
        return answer.map(lambda found: int(found["revision"]))

    async def grant(
        self, ttl: float, holder: str
    ) -> result.Result[str, StoreError]:
        """Create a lease of ttl seconds; return its id."""
        body = {"ttl": ttl, "holder": holder}
        answer = await self._call("lease", "POST", "/v1/leases", json=body)
        return answer.map(lambda found: str(found["lease"]))

    async def renew(self, lease: str) -> result.Result[None, StoreError]:
        """Extend a lease; MISSING when it has lapsed."""
        answer = await self._call("lease", "POST", f"/v1/leases/{lease}/renew")
        return answer.map(lambda _: None)

    async def revoke(self, lease: str) -> result.Result[None, StoreError]:
        """End a lease and delete its keys."""
        answer = await self._call("lease", "DELETE", f"/v1/leases/{lease}")
        return answer.map(lambda _: None)

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> result.Result[tuple[list[StoreEntry], int], StoreError]:
        """Wait for changes after a revision, at most timeout seconds."""
        params = {"prefix": prefix, "after": after, "timeout": timeout}
        answer = await self._call(
            "watch",
            "GET",
            "/v1/watch",
            params=params,
            timeout=timeout + self._timeout,
        )
        return answer.map(
            lambda body: (
                [_to_entry(item) for item in body["events"]],
                int(body["revision"]),
            )
        )

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        params: dict[str, typing.Any] | None = None,
        json: object = None,
        timeout: float | None = None,
    ) -> Answer:
        wait = self._budget.reserve(self._timeout)
        if wait is None:
            self.calls["held_back"] += 1
            return result.Err(StoreError(StoreFailure.DOWN))
        if wait > 0:
            await anyio.sleep(wait)
        self.calls[kind] += 1
        try:
            resp = await self._client.request(
                method,
                self._url + path,
                params=params,
                json=json,
                timeout=timeout or self._timeout,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return result.Err(StoreError(StoreFailure.DOWN))
        except httpx.HTTPError:
            return result.Err(StoreError(StoreFailure.UNKNOWN))
        try:
            answer = _to_answer(resp)
        except (ValueError, KeyError, TypeError):
            # Something between the store and this instance answered.
            return result.Err(StoreError(StoreFailure.UNKNOWN))
        if not resp.is_server_error:
            self.answered_at = time.monotonic()
        return answer


def _to_answer(resp: httpx.Response) -> Answer:
    if resp.status_code == httpx.codes.CONFLICT:
        revision = int(resp.json()["revision"])
        return result.Err(StoreError(StoreFailure.CONFLICT, revision))
    if resp.status_code == httpx.codes.NOT_FOUND:
        return result.Err(StoreError(StoreFailure.MISSING))
    if resp.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        return result.Err(StoreError(StoreFailure.DOWN))
    if resp.is_error:
        return result.Err(StoreError(StoreFailure.UNKNOWN))
    body = resp.json()
    if not isinstance(body, dict):
        raise TypeError(type(body).__name__)
    return result.Ok(body)


def _to_entry(item: dict[str, typing.Any]) -> StoreEntry:
    return StoreEntry(item["key"], item["value"], int(item["revision"]))
