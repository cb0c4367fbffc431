"""Client of the platform's key-value store."""

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
from hibiscussaddle import decoding
from hibiscussaddle import logs
from hibiscussaddle.platform import store_wire

_LOG = logging.getLogger(__name__)
# Limits how much of a malformed response is copied into the log.
_MAX_LOGGED_CHARS: typing.Final = 80


class StoreFailure(enum.Enum):
    """List the reasons why a store call fails."""

    # The call had no effect: the store refused it or could not be reached,
    # or the call budget was exhausted.
    UNAVAILABLE = "down"
    # The compare-and-swap failed; the error has the current revision.
    CONFLICT = "conflict"
    # The call may have taken effect.
    UNKNOWN = "unknown"
    # The key or the lease does not exist.
    MISSING = "missing"
    # The store has compacted the changes that a watch requested.
    HISTORY_GONE = "history_gone"
    # This instance has no memory for the response; nothing was sent.
    NO_ROOM = "no_room"


@dataclasses.dataclass(frozen=True)
class StoreEntry:
    """Represent one key of the store; a deleted key has no data."""

    key: str
    data: bytes | None
    revision: int
    lease: int = 0

    @functools.cached_property
    def value(self) -> typing.Any:
        """Return the decoded JSON; None if deleted or malformed."""
        if self.data is None:
            return None
        try:
            return decoding.decode_json(self.data)
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
    """Describe a failed call.

    A conflict has the current entries and the revision of the first one.
    """

    failure: StoreFailure
    revision: int = 0
    current: tuple[StoreEntry, ...] = ()


# Alias, so that callers of commit() need not import the wire format.
Put = store_wire.Put


# Short, so that a holder whose call hangs can retry before its lease expires.
_LEASE_TIMEOUT_SECONDS: typing.Final = 0.6
# Added to a watch's timeout for the arrival of its response; after it, the
# connection counts as dead. A store that is sixty times slower than usual
# responds in 0.24 s.
WATCH_GRACE_SECONDS: typing.Final = 0.6
# Time over which unused calls accumulate for a burst.
_BURST_SECONDS: typing.Final = 2.0


class CallBudget:
    """Limit the rate of store calls with a token bucket."""

    def __init__(
        self,
        calls_per_second: float,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a full bucket."""
        self._rate = calls_per_second
        self._burst = max(1.0, calls_per_second * _BURST_SECONDS)
        self._clock = clock
        self._tokens = self._burst
        self._refilled_at = clock()

    def reserve(self, max_wait: float) -> float | None:
        """Reserve one call and return the seconds to wait before it.

        Return None, and reserve nothing, if the wait exceeds max_wait.
        """
        now = self._clock()
        refill = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        wait = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait > max_wait:
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
        """Create a backoff that starts at the initial wait."""
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


CallResult: typing.TypeAlias = result.Result[bytes, StoreError]
_T = typing.TypeVar("_T")


class StoreClient:
    """Call the key-value store."""

    def __init__(
        self,
        transport: store_transports.Transport,
        timeout: float = 2.0,
        calls_per_second: float = 5.0,
    ) -> None:
        """Create a client; the timeout of a call is in seconds."""
        self._transport = transport
        self._timeout = timeout
        self._budget = CallBudget(calls_per_second)
        # Calls sent, by kind; "held_back" counts those over the budget.
        self.calls: collections.Counter[str] = collections.Counter()
        # Monotonic time of the latest response other than a server error.
        self.last_response_at: float | None = None

    async def get(self, key: str) -> result.Result[StoreEntry, StoreError]:
        """Return the entry of a key."""
        call_result = await self._call(store_wire.get(key))
        item = _decode(call_result, store_wire.decode_item)
        return item.map(_to_entry)

    async def scan(
        self, prefix: str, stale: bool = False, after: str = ""
    ) -> result.Result[tuple[list[StoreEntry], int], StoreError]:
        """Return a prefix's entries after a key, and the store's revision.

        The revision is that of the first page, so that a watch from it
        repeats changes made between the pages. A stale listing is cheaper
        and may be seconds old.
        """
        entries: list[StoreEntry] = []
        first_revision: int | None = None
        while True:
            page = await self._page(prefix, after, stale)
            if isinstance(page, result.Err):
                return page
            found = page.ok_value
            entries += [_to_entry(item) for item in found.items]
            first_revision = (
                found.revision if first_revision is None else first_revision
            )
            if not found.has_more or not found.items:
                return result.Ok((entries, first_revision))
            after = found.items[-1].key

    async def scan_pages(
        self, prefix: str
    ) -> abc.AsyncGenerator[result.Result[list[StoreEntry], StoreError], None]:
        """Yield a prefix's entries page by page, until the first error."""
        after = ""
        while True:
            page = await self._page(prefix, after, stale=False)
            if isinstance(page, result.Err):
                yield page
                return
            found = page.ok_value
            yield result.Ok([_to_entry(item) for item in found.items])
            if not found.has_more or not found.items:
                return
            after = found.items[-1].key

    async def _page(
        self, prefix: str, after: str, stale: bool
    ) -> result.Result[store_wire.Page, StoreError]:
        call = store_wire.scan(prefix, after, stale)
        return _decode(await self._call(call), store_wire.decode_page)

    async def put(
        self,
        key: str,
        value: object,
        expected_revision: int,
        lease: int = 0,
    ) -> result.Result[int, StoreError]:
        """Compare-and-swap a JSON value; return the new revision."""
        put = Put(key, msgspec.json.encode(value), lease)
        return await self.commit({key: expected_revision}, [put])

    async def commit(
        self,
        expected: abc.Mapping[str, int],
        puts: abc.Iterable[Put] = (),
        removes: abc.Iterable[str] = (),
        timeout: float | None = None,
    ) -> result.Result[int, StoreError]:
        """Change keys atomically if all have their expected revisions.

        An expected revision of 0 means that the key does not exist.
        """
        call = store_wire.commit(expected, puts, removes)
        call_result = await self._call(call, timeout)
        return _decode(call_result, store_wire.decode_revision)

    async def grant(self, ttl: float) -> result.Result[int, StoreError]:
        """Create a lease of ttl seconds; return its ID."""
        call_result = await self._call(store_wire.grant(ttl))
        return _decode(call_result, store_wire.decode_lease)

    async def renew(self, lease: int) -> result.Result[None, StoreError]:
        """Renew a lease; fail with MISSING if it has expired."""
        call_result = await self._call(store_wire.renew(lease))
        return call_result.map(lambda _: None)

    async def revoke(self, lease: int) -> result.Result[None, StoreError]:
        """Revoke a lease, which deletes its keys."""
        call_result = await self._call(store_wire.revoke(lease))
        return call_result.map(lambda _: None)

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> result.Result[tuple[list[StoreEntry], int], StoreError]:
        """Wait up to timeout seconds for changes after a revision.

        Return the changed entries and the revision to continue from.
        """
        call = store_wire.watch(prefix, after, timeout)
        call_result = await self._call(call, timeout + WATCH_GRACE_SECONDS)
        page = _decode(call_result, store_wire.decode_events)
        return page.map(
            lambda found: (
                [_to_entry(item) for item in found.items],
                found.revision,
            )
        )

    async def _call(
        self, call: store_wire.Call, timeout: float | None = None
    ) -> CallResult:
        wait = self._budget.reserve(self._timeout)
        if wait is None:
            self.calls["held_back"] += 1
            return result.Err(StoreError(StoreFailure.UNAVAILABLE))
        if wait > 0:
            await anyio.sleep(wait)
        self.calls[call.kind] += 1
        call_timeout = timeout or self._timeout
        if call.kind in ("lease", "renew"):
            call_timeout = min(call_timeout, _LEASE_TIMEOUT_SECONDS)
        try:
            resp = await self._transport.send(call, call_timeout)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return result.Err(StoreError(StoreFailure.UNAVAILABLE))
        except httpx.HTTPError:
            return result.Err(StoreError(StoreFailure.UNKNOWN))
        call_result = _to_call_result(resp)
        if not resp.is_server_error:
            self.last_response_at = time.monotonic()
        return call_result


def _to_call_result(resp: httpx.Response) -> CallResult:
    status = resp.status_code
    if resp.is_success:
        return result.Ok(resp.content)
    if status == httpx.codes.PRECONDITION_FAILED:
        return _to_conflict_error(resp.content)
    if status == httpx.codes.NOT_FOUND:
        return result.Err(StoreError(StoreFailure.MISSING))
    if status == httpx.codes.GONE:
        return result.Err(StoreError(StoreFailure.HISTORY_GONE))
    if status in (
        httpx.codes.SERVICE_UNAVAILABLE,
        httpx.codes.TOO_MANY_REQUESTS,
    ):
        return result.Err(StoreError(StoreFailure.UNAVAILABLE))
    return result.Err(StoreError(StoreFailure.UNKNOWN))


def _to_conflict_error(body: bytes) -> CallResult:
    items = _decode(result.Ok(body), store_wire.decode_conflict)
    if isinstance(items, result.Err):
        return items
    current = tuple(_to_entry(item) for item in items.ok_value)
    revision = current[0].revision if current else 0
    error = StoreError(StoreFailure.CONFLICT, revision, current)
    return result.Err(error)


def _decode(
    call_result: CallResult, decode: abc.Callable[[bytes], _T]
) -> result.Result[_T, StoreError]:
    if isinstance(call_result, result.Err):
        return call_result
    try:
        return result.Ok(decode(call_result.ok_value))
    except ValueError as exc:
        # A proxy between the store and this instance may have responded.
        log_decode_error(exc, call_result.ok_value)
        return result.Err(StoreError(StoreFailure.UNKNOWN))


def log_decode_error(why: ValueError, data: bytes = b"") -> None:
    """Log a stored value or a response that cannot be decoded."""
    excerpt = data[:_MAX_LOGGED_CHARS].decode("latin-1")
    logs.event(
        _LOG,
        "store_answer_malformed",
        logging.WARNING,
        why=why,
        answer=excerpt or "-",
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
    transport = store_transports.DirectTransport(client, url)
    return StoreClient(transport, timeout, calls_per_second)
