"""Account the responses that are written to callers."""

from collections import abc
import contextlib
import typing

import anyio

from hibiscussaddle.callers import memory

HOLDER: typing.Final = memory.RESPONSES
# Entry of the state of an ASGI scope: aborts the connection.
ABORT: typing.Final = "abort"

Scope: typing.TypeAlias = typing.MutableMapping[str, typing.Any]


@contextlib.contextmanager
def account_response(
    account: memory.Account, scope: Scope, size: int
) -> abc.Iterator[abc.Callable[[int], None]]:
    """Hold a response while the block writes it.

    The block calls the yielded function with the bytes that were taken. If
    the account needs the memory, the connection is aborted.
    """
    with hold_response(account, scope) as hold:

        def record(count: int) -> None:
            hold.moved_bytes += count

        hold.force(size)
        yield record


@contextlib.contextmanager
def hold_response(
    account: memory.Account, scope: Scope
) -> abc.Iterator[memory.Hold]:
    """Yield a hold without bytes for what the block writes.

    If the account needs the memory, the connection is aborted.
    """
    hold = account.open(HOLDER)
    with anyio.CancelScope() as cancel_scope:
        hold.on_evict = cancel_scope.cancel
        try:
            yield hold
        finally:
            hold.close()
    if cancel_scope.cancelled_caught:
        abort = scope.get("state", {}).get(ABORT)
        if abort is not None:
            abort()
