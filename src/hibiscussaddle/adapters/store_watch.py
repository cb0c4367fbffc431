"""One watch of the store, shared by all subscribers of a process."""

from collections import abc
import typing

import result

from hibiscussaddle.adapters import store

# Also the interval at which a store without changes confirms the contracts.
WATCH_TIMEOUT_SECONDS: typing.Final = 5.0

Handler: typing.TypeAlias = abc.Callable[[list[store.StoreEntry]], None]


class StoreWatch:
    """Deliver entries and their changes to the subscribers of a prefix."""

    def __init__(self, client: store.StoreClient) -> None:
        """Create a watch without subscribers; poll() sends its calls."""
        self._client = client
        self._handlers: dict[str, Handler] = {}
        # Revision that the watch continues from; None requests a scan.
        self._after: int | None = None

    def subscribe(self, prefix: str, handler: Handler) -> None:
        """Call the handler with the entries of a prefix from the next poll."""
        self._handlers[prefix] = handler
        self._after = None

    def reset(self) -> None:
        """Scan all prefixes again at the next poll."""
        self._after = None

    async def poll(self) -> result.Result[None, store.StoreError]:
        """Scan the prefixes once, then wait for changes on each call."""
        if self._after is None:
            return await self._scan()
        after = self._after
        found = await self._client.watch("", after, WATCH_TIMEOUT_SECONDS)
        if isinstance(found, result.Err):
            if found.err_value.failure is store.StoreFailure.HISTORY_GONE:
                self._after = None
                return result.Ok(None)
            return found
        entries, revision = found.ok_value
        if self._after != after:
            return result.Ok(None)
        # A store that lost its state restarts at a lower revision.
        self._after = revision if revision >= after else None
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
        self._after = lowest_revision
        return result.Ok(None)
