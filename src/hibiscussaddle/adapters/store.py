"""Client of the platform's key-value service."""

import dataclasses
import enum
import typing

import httpx
import result


class StoreFailure(enum.Enum):
    """List why a store call failed."""

    # The call had no effect.
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


Answer: typing.TypeAlias = result.Result[dict[str, typing.Any], StoreError]


class StoreClient:
    """Call the key-value service."""

    def __init__(
        self, client: httpx.AsyncClient, url: str, timeout: float = 2.0
    ) -> None:
        """Use a shared HTTP client; the timeout is in seconds."""
        self._client = client
        self._url = url.rstrip("/")
        self._timeout = timeout

    async def get(self, key: str) -> result.Result[StoreEntry, StoreError]:
        """Return one entry."""
        answer = await self._call("GET", f"/v1/kv/{key}")
        return answer.map(_to_entry)

    async def scan(
        self, prefix: str
    ) -> result.Result[tuple[list[StoreEntry], int], StoreError]:
        """Return the entries of a prefix and the store's revision."""
        answer = await self._call("GET", "/v1/kv", params={"prefix": prefix})
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
        answer = await self._call("PUT", f"/v1/kv/{key}", json=body)
        return answer.map(lambda found: int(found["revision"]))

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> result.Result[tuple[list[StoreEntry], int], StoreError]:
        """Wait for changes after a revision, at most timeout seconds."""
        params = {"prefix": prefix, "after": after, "timeout": timeout}
        answer = await self._call(
            "GET", "/v1/watch", params=params, timeout=timeout + self._timeout
        )
        return answer.map(
            lambda body: (
                [_to_entry(item) for item in body["events"]],
                int(body["revision"]),
            )
        )

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, typing.Any] | None = None,
        json: object = None,
        timeout: float | None = None,
    ) -> Answer:
        try:
            resp = await self._client.request(
                method,
                self._url + path,
                params=params,
                json=json,
                timeout=timeout or self._timeout,
            )
        except httpx.ConnectError:
            return result.Err(StoreError(StoreFailure.DOWN))
        except httpx.HTTPError:
            return result.Err(StoreError(StoreFailure.UNKNOWN))
        return _to_answer(resp)


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
    return result.Ok(resp.json())


def _to_entry(item: dict[str, typing.Any]) -> StoreEntry:
    return StoreEntry(item["key"], item["value"], int(item["revision"]))
