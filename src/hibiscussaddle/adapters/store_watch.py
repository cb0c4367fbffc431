"""One watch of the store, shared by the parts of a process."""

from collections import abc
import typing

import result

from hibiscussaddle.adapters import store

# Also the interval at which a quiet store confirms the contracts.
WATCH_TIMEOUT_SECONDS: typing.Final = 5.0

Handler: typing.TypeAlias = abc.Callable[[list[store.StoreEntry]], None]


class StoreWatch:
    """Give subscribers the entries of their prefixes and each change."""

    def __init__(self, client: store.StoreClient) -> None:
        """Start without subscribers; nothing is called until step()."""
        self._client = client
        self._handlers: dict[str, Handler] = {}
        self._after: int | None = None

    def subscribe(self, prefix: str, handler: Handler) -> None:
        """Call the handler with entries of a prefix, from the next step."""
        self._handlers[prefix] = handler
        self._after = None

    def reset(self) -> None:
        """Read everything again at the next step."""
        self._after = None

    async def poll(self) -> result.Result[None, store.StoreError]:
        """Scan at first, then wait for the next changes."""
        if self._after is None:
            return await self._scan()
        after = self._after
        answer = await self._client.watch("", after, WATCH_TIMEOUT_SECONDS)
        if isinstance(answer, result.Err):
            if answer.err_value.failure is store.StoreFailure.HISTORY_GONE:
                self._after = None
                return result.Ok(None)
            return answer
        entries, revision = answer.ok_value
        if self._after != after:
            return result.Ok(None)
        # A lower revision comes from a store that lost its state.
        self._after = revision if revision >= after else None
        for prefix, handler in self._handlers.items():
            found = [e for e in entries if e.key.startswith(prefix)]
            if found:
                handler(found)
        return result.Ok(None)

    async def _scan(self) -> result.Result[None, store.StoreError]:
        first: int | None = None
        for prefix, handler in list(self._handlers.items()):
            answer = await self._client.scan(prefix)
            if isinstance(answer, result.Err):
                return answer
            entries, revision = answer.ok_value
            first = revision if first is None else min(first, revision)
            handler(entries)
        self._after = first
        return result.Ok(None)
