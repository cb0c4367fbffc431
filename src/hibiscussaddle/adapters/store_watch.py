"""One watch of the store, shared by all subscribers of a process."""

from collections import abc
import typing

import result

from hibiscussaddle.adapters import store

# A watch without changes ends after this time. Its response confirms that the
# cached contracts are current.
WATCH_TIMEOUT_SECONDS: typing.Final = 5.0

Handler: typing.TypeAlias = abc.Callable[[list[store.StoreEntry]], None]


class StoreWatch:
    """Deliver entries and their changes to the subscribers of a prefix."""

    def __init__(self, client: store.StoreClient) -> None:
        """Create a watch without subscribers; poll() sends its calls."""
        self._client = client
        self._handlers: dict[str, Handler] = {}
        # Revision from which the watch continues; None requests a scan.
        self._revision: int | None = None

    def subscribe(self, prefix: str, handler: Handler) -> None:
        """Call the handler with the entries of a prefix from the next poll."""
        self._handlers[prefix] = handler
        self._revision = None

    def reset(self) -> None:
        """Scan all prefixes again at the next poll."""
        self._revision = None

    async def poll(self) -> result.Result[None, store.StoreError]:
        """Wait for changes; the first poll and each after a reset scans."""
        if self._revision is None:
            return await self._scan()
        after = self._revision
        # One watch of all keys serves every subscriber.
        found = await self._client.watch("", after, WATCH_TIMEOUT_SECONDS)
        if isinstance(found, result.Err):
            if found.err_value.failure is store.StoreFailure.HISTORY_GONE:
                self._revision = None
                return result.Ok(None)
            return found
        entries, revision = found.ok_value
        # A subscription or a reset came meanwhile; the next poll scans.
        if self._revision != after:
            return result.Ok(None)
        # A store that lost its state restarts at a lower revision.
        self._revision = revision if revision >= after else None
        for prefix, handler in self._handlers.items():
            matching = [e for e in entries if e.key.startswith(prefix)]
            if matching:
                handler(matching)
        return result.Ok(None)

    async def _scan(self) -> result.Result[None, store.StoreError]:
        lowest_revision: int | None = None
        for prefix, handler in list(self._handlers.items()):
            found = await self._client.scan(prefix)
            if isinstance(found, result.Err):
                return found
            entries, revision = found.ok_value
            lowest_revision = (
                revision
                if lowest_revision is None
                else min(lowest_revision, revision)
            )
            handler(entries)
        self._revision = lowest_revision
        return result.Ok(None)
