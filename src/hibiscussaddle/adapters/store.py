"""Client of the platform's key-value service."""

import collections
from collections import abc
import dataclasses
import enum
import functools
import logging
import random
import time
import typing

import anyio
import httpx
import msgspec
import result

from hibiscussaddle.adapters import store_transports
from hibiscussaddle import logs
from hibiscussaddle.platform import store_wire

_LOG = logging.getLogger(__name__)
# Longest part of an answer that a log line repeats, in characters.
_SHOWN_CHARS: typing.Final = 80


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
    # The store no longer has the changes that a watch asked for.
    HISTORY_GONE = "history_gone"


@dataclasses.dataclass(frozen=True)
class StoreEntry:
    """Hold one key's bytes and revision; a deleted key has no bytes."""

    key: str
    data: bytes | None
    revision: int
    lease: int = 0

    @functools.cached_property
    def value(self) -> typing.Any:
        """Return the decoded JSON; None when deleted or not JSON."""
        if self.data is None:
            return None
        try:
            return msgspec.json.decode(self.data)
        except ValueError as exc:
            logs.event(
                _LOG,
                "store_value_malformed",
                logging.WARNING,
                key=self.key,
                revision=self.revision,
                why=exc,
            )
            return None


@dataclasses.dataclass(frozen=True)
class StoreError:
    """Carry a store failure and the current state of expected keys."""

    failure: StoreFailure
    revision: int = 0
    current: tuple[StoreEntry, ...] = ()


Put = store_wire.Put


# Lease calls are short and urgent: a holder whose call hangs needs time to
# repeat it before its lease ends, in seconds.
_LEASE_SECONDS: typing.Final = 0.6
# A watch that was to be answered and is not after this time more sits on a
# silent connection, in seconds; sixty times the usual answer is 0.24 s.
WATCH_GRACE_SECONDS: typing.Final = 0.6
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
    """Compute jittered, exponentially growing waits between attempts."""

    def __init__(
        self,
        rng: random.Random,
        initial_seconds: float = 0.2,
        max_seconds: float = 1.0,
    ) -> None:
        """Start at the initial wait."""
        self._rng = rng
        self._initial_seconds = initial_seconds
        self._max_seconds = max_seconds
        self._wait = initial_seconds

    def next(self) -> float:
        """Return the next wait in seconds, reduced by up to half."""
        wait = self._wait * (0.5 + 0.5 * self._rng.random())
        self._wait = min(self._max_seconds, self._wait * 2)
        return wait

    def reset(self) -> None:
        """Return to the initial wait after a success."""
        self._wait = self._initial_seconds


Answer: typing.TypeAlias = result.Result[bytes, StoreError]
_T = typing.TypeVar("_T")


class StoreClient:
    """Call the key-value service."""

    def __init__(
        self,
        path: store_transports.Transport,
        timeout: float = 2.0,
        calls_per_second: float = 5.0,
    ) -> None:
        """Call over a path; the timeout is in seconds."""
        self._path = path
        self._timeout = timeout
        self._budget = CallBudget(calls_per_second)
        # Calls sent by kind, and calls held back by the budget.
        self.calls: collections.Counter[str] = collections.Counter()
        # Monotonic seconds of the newest answer.
        self.answered_at: float | None = None

    async def get(self, key: str) -> result.Result[StoreEntry, StoreError]:
        """Return one entry."""
        answer = await self._call(store_wire.get(key))
        item = _decode(answer, store_wire.decode_item)
        return item.map(_to_entry)

    async def scan(
        self, prefix: str, stale: bool = False, after: str = ""
    ) -> result.Result[tuple[list[StoreEntry], int], StoreError]:
        """Return the entries of a prefix and the store's revision.

        The revision is that of the first page, so that a watch from it
        repeats what changed between the pages. A stale listing costs less
        and may be seconds old.
        """
        entries: list[StoreEntry] = []
        first: int | None = None
        while True:
            call = store_wire.scan(prefix, after, stale)
            page = _decode(await self._call(call), store_wire.decode_page)
            if isinstance(page, result.Err):
                return page
            found = page.ok_value
            entries += [_to_entry(item) for item in found.items]
            first = found.revision if first is None else first
            if not found.has_more or not found.items:
                return result.Ok((entries, first))
            after = found.items[-1].key

    async def put(
        self,
        key: str,
        value: object,
        expected_revision: int,
        lease: int = 0,
    ) -> result.Result[int, StoreError]:
        """Swap the value, encoded as JSON; return the new revision."""
        put = Put(key, msgspec.json.encode(value), lease)
        return await self.commit({key: expected_revision}, [put])

    async def commit(
        self,
        expected: abc.Mapping[str, int],
        puts: abc.Iterable[Put] = (),
        removes: abc.Iterable[str] = (),
        timeout: float | None = None,
    ) -> result.Result[int, StoreError]:
        """Change all keys if each has its revision; 0 means absent."""
        call = store_wire.commit(expected, puts, removes)
        answer = await self._call(call, timeout)
        return _decode(answer, store_wire.decode_revision)

    async def grant(self, ttl: float) -> result.Result[int, StoreError]:
        """Create a lease of ttl seconds; return its number."""
        answer = await self._call(store_wire.grant(ttl))
        return _decode(answer, store_wire.decode_lease)

    async def renew(self, lease: int) -> result.Result[None, StoreError]:
        """Extend a lease; MISSING when it has lapsed."""
        answer = await self._call(store_wire.renew(lease))
        return answer.map(lambda _: None)

    async def revoke(self, lease: int) -> result.Result[None, StoreError]:
        """End a lease and delete its keys."""
        answer = await self._call(store_wire.revoke(lease))
        return answer.map(lambda _: None)

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> result.Result[tuple[list[StoreEntry], int], StoreError]:
        """Wait for changes after a revision, at most timeout seconds."""
        call = store_wire.watch(prefix, after, timeout)
        answer = await self._call(call, timeout + WATCH_GRACE_SECONDS)
        page = _decode(answer, store_wire.decode_events)
        return page.map(
            lambda found: (
                [_to_entry(item) for item in found.items],
                found.revision,
            )
        )

    async def _call(
        self, call: store_wire.Call, timeout: float | None = None
    ) -> Answer:
        wait = self._budget.reserve(self._timeout)
        if wait is None:
            self.calls["held_back"] += 1
            return result.Err(StoreError(StoreFailure.DOWN))
        if wait > 0:
            await anyio.sleep(wait)
        self.calls[call.kind] += 1
        limit = timeout or self._timeout
        if call.kind in ("lease", "renew"):
            limit = min(limit, _LEASE_SECONDS)
        try:
            resp = await self._path.send(call, limit)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return result.Err(StoreError(StoreFailure.DOWN))
        except httpx.HTTPError:
            return result.Err(StoreError(StoreFailure.UNKNOWN))
        answer = _to_answer(resp)
        if not resp.is_server_error:
            self.answered_at = time.monotonic()
        return answer


def _to_answer(resp: httpx.Response) -> Answer:
    status = resp.status_code
    if resp.is_success:
        return result.Ok(resp.content)
    if status == httpx.codes.PRECONDITION_FAILED:
        return _to_conflict(resp.content)
    if status == httpx.codes.NOT_FOUND:
        return result.Err(StoreError(StoreFailure.MISSING))
    if status == httpx.codes.GONE:
        return result.Err(StoreError(StoreFailure.HISTORY_GONE))
    if status in (
        httpx.codes.SERVICE_UNAVAILABLE,
        httpx.codes.TOO_MANY_REQUESTS,
    ):
        return result.Err(StoreError(StoreFailure.DOWN))
    return result.Err(StoreError(StoreFailure.UNKNOWN))


def _to_conflict(body: bytes) -> Answer:
    items = _decode(result.Ok(body), store_wire.decode_conflict)
    if isinstance(items, result.Err):
        return items
    current = tuple(_to_entry(item) for item in items.ok_value)
    revision = current[0].revision if current else 0
    error = StoreError(StoreFailure.CONFLICT, revision, current)
    return result.Err(error)


def _decode(
    answer: Answer, decode: abc.Callable[[bytes], _T]
) -> result.Result[_T, StoreError]:
    if isinstance(answer, result.Err):
        return answer
    try:
        return result.Ok(decode(answer.ok_value))
    except ValueError as exc:
        # Something between the store and this instance answered.
        log_decode_error(exc, answer.ok_value)
        return result.Err(StoreError(StoreFailure.UNKNOWN))


def log_decode_error(why: ValueError, data: bytes = b"") -> None:
    """Log a value or an answer that can't be decoded."""
    shown = data[:_SHOWN_CHARS].decode("latin-1")
    logs.event(
        _LOG,
        "store_answer_malformed",
        logging.WARNING,
        why=why,
        answer=shown or "-",
    )


def _to_entry(item: store_wire.Item) -> StoreEntry:
    return StoreEntry(item.key, item.data, item.revision, item.lease)


def create_client(
    client: httpx.AsyncClient,
    url: str,
    timeout: float = 2.0,
    calls_per_second: float = 5.0,
) -> StoreClient:
    """Return a client that calls the store directly."""
    path = store_transports.DirectTransport(client, url)
    return StoreClient(path, timeout, calls_per_second)
