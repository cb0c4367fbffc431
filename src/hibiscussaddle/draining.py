"""Planned stop: drain running work, hand over, close the sockets."""

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
ABORT_GRACE_SECONDS: typing.Final = 5.0


async def handle_signals(runtime: runtime_lib.Runtime) -> None:
    """Drain at the first signal; cancel running work after the second."""
    count = 0
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            count += 1
            logs.event(_LOG, "signal", number=int(signum), count=count)
            # An operator's stop over HTTP is not counted, so that the signal
            # that a platform sends afterwards does not cancel requests.
            if count == 1:
                runtime.lifecycle.request_stop()
            else:
                runtime.lifecycle.request_abort()


async def drain(
    runtime: runtime_lib.Runtime,
    close_sockets: abc.Callable[[], abc.Awaitable[None]],
) -> None:
    """Wait until running work and its responses are finished or cancelled."""
    logs.event(_LOG, "stopping", running=runtime.lifecycle.total_running())
    runtime.ledger.close(runtime.clock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_abort_after_grace, runtime, tasks.cancel_scope)
        with anyio.move_on_after(runtime.cfg.drain_seconds) as limit:
            await runtime.lifecycle.wait_until_idle()
            # The sockets stay open so that retries get their kept results
            # here until peers know the successor.
            successor = await ticket_forwarding.hand_over_ledger(runtime)
            if successor:
                membership.update_self(runtime, successor=successor)
            # Sent responses may still be buffered for a slow reader.
            await close_sockets()
        if limit.cancelled_caught:
            _log_abort(runtime, "drain_seconds")
        tasks.cancel_scope.cancel()


async def _abort_after_grace(
    runtime: runtime_lib.Runtime, scope: anyio.CancelScope
) -> None:
    await runtime.lifecycle.abort_requested.wait()
    _log_abort(runtime, "second_signal")
    await anyio.sleep(ABORT_GRACE_SECONDS)
    scope.cancel()


def _log_abort(runtime: runtime_lib.Runtime, reason: str) -> None:
    running = {
        kind: count
        for kind, count in runtime.lifecycle.running.items()
        if count
    }
    logs.event(_LOG, "cut", logging.WARNING, why=reason, **running)
