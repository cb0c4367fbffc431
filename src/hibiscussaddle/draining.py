"""Planned stop: finish the running work, hand over, close the sockets."""

from collections import abc
import logging
import signal
import typing

import anyio

from hibiscussaddle.controllers import membership
from hibiscussaddle import logs
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import ticket_forwarding

_LOG = logging.getLogger(__name__)
# Time that running work still has after a second signal.
CUT_SECONDS: typing.Final = 5.0


async def handle_signals(runtime: runtime_lib.Runtime) -> None:
    """Stop at the first signal; cut running work after the second."""
    count = 0
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            count += 1
            logs.event(_LOG, "signal", number=int(signum), count=count)
            # An operator's stop over HTTP is no signal, so that a platform
            # that follows with its own does not cut a request.
            if count == 1:
                runtime.lifecycle.request_stop()
            else:
                runtime.lifecycle.request_cut()


async def drain(
    runtime: runtime_lib.Runtime,
    close_sockets: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    """Return when running work and its answers are finished or cut."""
    logs.event(_LOG, "stopping", running=runtime.lifecycle.total())
    runtime.ledger.close(runtime.clock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cut, runtime, tasks.cancel_scope)
        with anyio.move_on_after(runtime.cfg.drain_seconds) as limit:
            await runtime.lifecycle.wait_idle()
            # Sockets are still open: repeats get their kept results here
            # until peers know the successor.
            successor = await ticket_forwarding.hand_over(runtime)
            if successor:
                membership.update_self(runtime, successor=successor)
            # Written answers may still wait for a slow reader.
            await close_sockets()
        if limit.cancelled_caught:
            _log_cut(runtime, "drain_seconds")
        tasks.cancel_scope.cancel()


async def _cut(runtime: runtime_lib.Runtime, scope: anyio.CancelScope) -> None:
    await runtime.lifecycle.cut_requested.wait()
    _log_cut(runtime, "second_signal")
    await anyio.sleep(CUT_SECONDS)
    scope.cancel()


def _log_cut(runtime: runtime_lib.Runtime, why: str) -> None:
    running = {
        kind: count
        for kind, count in runtime.lifecycle.running.items()
        if count
    }
    logs.event(_LOG, "cut", logging.WARNING, why=why, **running)
