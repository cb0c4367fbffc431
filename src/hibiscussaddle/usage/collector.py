"""Bring the totals of all instances to the holder of the duties.

Each instance sends its totals to the holder, and the holder sends its own to
an heir. An instance that stops hands all that it knows over; whoever receives
it passes it on in the same way.
"""

from collections import abc
import logging
import time
import typing

import anyio
import httpx
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from hibiscussaddle import containment
from hibiscussaddle import decoding
from hibiscussaddle.duties import contention as duty_contention
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import presence as presence_lib
from hibiscussaddle import logs
from hibiscussaddle.usage import counter as counter_lib
from hibiscussaddle.usage import totals as totals_lib

_LOG = logging.getLogger(__name__)

_TOTALS_PATH: typing.Final = "/v1/usage/totals"
# A live peer responds within milliseconds.
_TIMEOUT_SECONDS: typing.Final = 0.3
# How often an instance checks for changes to send. A killed instance loses the
# counts of this time at most.
_SEND_INTERVAL_SECONDS: typing.Final = 1.0
# Instances that get what a stopping instance knows: one of them may end before
# it has passed it on.
_RECEIVERS: typing.Final = 2
# Windows after the present one whose counts are taken from peers, whose clocks
# may be ahead.
_MAX_WINDOWS_AHEAD: typing.Final = 2


class TotalsMessage(msgspec.Struct, frozen=True):
    """Hold the totals of the sender and those entrusted to it."""

    totals: list[totals_lib.Totals]
    # Newest window whose report was accepted, as the sender knows.
    reported_through: decoding.Int = -1


class TotalsResponse(msgspec.Struct, frozen=True):
    """Confirm that the receiver keeps the totals."""

    reported_through: decoding.Int = -1


class Collector:
    """Keep the totals of this instance and pass them on."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        members: presence_lib.Members,
        contention: duty_contention.LeaseContention,
        counter: counter_lib.UsageCounter,
        table: totals_lib.Table,
        late_seconds: float,
        wall_clock: abc.Callable[[], float] = time.time,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Send what the counter and the table hold."""
        self._late_seconds = late_seconds
        self._clock = clock
        # When each process was last listed, in seconds of the clock.
        self._listed_at: dict[totals_lib.Source, float] = {}
        self._client = client
        self._members = members
        self._contention = contention
        self._counter = counter
        self._table = table
        self._wall_clock = wall_clock
        self._sequence = 0
        # Final window and version of the counter in the own totals.
        self._own_state = (-1, -1)
        self._is_stopped = False
        # Sequence of the totals of each process that the receiver has got.
        self._receiver: duty_contention.Holder | None = None
        self._delivered: dict[totals_lib.Source, int] = {}

    async def run(self) -> None:
        """Send changed totals to the holder until cancelled."""
        while True:
            self.update_own_totals()
            with containment.contain("usage_totals", "holder"):
                await self._deliver()
            await anyio.sleep(_SEND_INTERVAL_SECONDS)

    def update_own_totals(self) -> None:
        """Bring the totals of this instance in the table up to date."""
        self._record_listed()
        self._counter.forget(self._table.reported_through)
        # While nothing is reported, counts pile up here and in the table.
        oldest = counter_lib.oldest_window(
            self._wall_clock(), self._counter.window_seconds
        )
        self._counter.drop_before(oldest)
        self._table.drop_before(oldest)
        final_through = totals_lib.ALL_WINDOWS
        if not self._is_stopped:
            final_through = self._counter.final_through(self._wall_clock())
        state = (final_through, self._counter.version)
        if state == self._own_state:
            return
        self._own_state = state
        self._sequence += 1
        me = self._members.me
        self._table.merge(
            totals_lib.Totals(
                me.instance,
                me.incarnation,
                self._sequence,
                final_through,
                self._counter.counts(),
            )
        )

    def sources(self) -> frozenset[totals_lib.Source]:
        """Return the processes that run, as far as is known."""
        me = self._members.me
        members = {**self._members.all, me.instance: me}
        return frozenset(
            (member.instance, member.incarnation)
            for member in members.values()
        )

    def recent_sources(self) -> frozenset[totals_lib.Source]:
        """Return the processes that ran at any time in the late seconds.

        The leases of members end in an outage of the store, and those members
        send their totals once they have registered again.
        """
        self._record_listed()
        return frozenset(self._listed_at)

    def _record_listed(self) -> None:
        now = self._clock()
        oldest = now - self._late_seconds
        for source, at in list(self._listed_at.items()):
            if at < oldest:
                del self._listed_at[source]
        running = self.sources()
        self._listed_at |= dict.fromkeys(running, now)
        for totals in self._table.all():
            # A process that stopped as planned has handed over all counts.
            is_stopped = totals.final_through >= totals_lib.ALL_WINDOWS
            if is_stopped and totals.source not in running:
                self._listed_at.pop(totals.source, None)

    async def stop(self) -> None:
        """Hand over all that this instance knows; nothing may count later."""
        self._is_stopped = True
        if not await self.hand_over():
            if any(totals.windows for totals in self._table.all()):
                logs.event(_LOG, "usage_totals_lost", logging.WARNING)

    async def hand_over(self) -> int:
        """Send all totals to the holder and its heirs; return how many got it.

        Instances that don't keep them are replaced by the next heirs.
        """
        self.update_own_totals()
        totals = self._table.all()
        receivers = self._receivers()
        kept_count = 0

        async def send(receiver: duty_contention.Holder) -> None:
            nonlocal kept_count
            kept_count += await self._send(
                receiver.instance, receiver.peer_address, totals
            )

        while receivers and kept_count < _RECEIVERS:
            missing = _RECEIVERS - kept_count
            async with anyio.create_task_group() as tasks:
                for receiver in receivers[:missing]:
                    tasks.start_soon(send, receiver)
            receivers = receivers[missing:]
        return kept_count

    def _receivers(self) -> list[duty_contention.Holder]:
        """Return the holder, unless it is this one, and then its heirs."""
        holder = self._contention.holder
        heirs = [
            duty_contention.Holder(
                heir.instance, heir.peer_address, heir.incarnation
            )
            for heir in self._heirs()
        ]
        if holder is None or self._is_me(holder):
            return heirs
        return [holder, *(h for h in heirs if h.instance != holder.instance)]

    def _heirs(self) -> list[member_lib.Member]:
        """Return the instances that may get the duties next, in order."""
        me = self._members.me.instance
        return sorted(
            (
                member
                for member in self._members.candidates()
                if member.instance != me and member.peer_address
            ),
            key=lambda member: (member.leaving, member.instance),
        )

    def _is_me(self, holder: duty_contention.Holder) -> bool:
        me = self._members.me
        return holder.instance == me.instance and (
            holder.incarnation == me.incarnation
        )

    async def _deliver(self) -> None:
        """Send the holder, or its heir, what it has not got yet."""
        holder = self._contention.holder
        receiver = holder
        if holder is not None and self._is_me(holder):
            receiver = self._first_heir()
        if receiver != self._receiver:
            # The next one knows nothing.
            self._receiver = receiver
            self._delivered = {}
        if holder is None:
            return
        changed = [
            totals
            for totals in self._select_totals(holder)
            if self._delivered.get(totals.source, -1) < totals.sequence
        ]
        if receiver is None or not changed:
            return
        if await self._send(receiver.instance, receiver.peer_address, changed):
            self._delivered |= {
                totals.source: totals.sequence for totals in changed
            }

    def _first_heir(self) -> duty_contention.Holder | None:
        # The holder is this instance.
        return next(iter(self._receivers()), None)

    def _select_totals(
        self, holder: duty_contention.Holder
    ) -> list[totals_lib.Totals]:
        """Return the totals that the receiver may not get from others."""
        me = (self._members.me.instance, self._members.me.incarnation)
        if self._is_me(holder):
            # Processes that run send theirs to the next holder; those of the
            # holder, and what it was entrusted with, must survive its end.
            running = self.sources()
            self._table.retain(running)
            return [
                totals
                for totals in self._table.all()
                if totals.source == me or totals.source not in running
            ]
        self._table.retain({me})
        # The totals of the holder itself are here as its heir's.
        own = (holder.instance, holder.incarnation)
        return [t for t in self._table.all() if t.source != own]

    async def _send(
        self, instance: str, address: str, totals: list[totals_lib.Totals]
    ) -> bool:
        """Send totals to an instance; return whether it keeps them."""
        message = TotalsMessage(totals, self._table.reported_through)
        try:
            with anyio.fail_after(_TIMEOUT_SECONDS):
                resp = await self._client.post(
                    f"http://{address}{_TOTALS_PATH}",
                    content=msgspec.msgpack.encode(message),
                    timeout=_TIMEOUT_SECONDS,
                )
            resp.raise_for_status()
            answer = decoding.decode_msgpack(resp.content, TotalsResponse)
        except (httpx.HTTPError, TimeoutError, ValueError) as exc:
            logs.event(
                _LOG,
                "usage_totals_unsent",
                to=instance,
                why=str(exc) or type(exc).__name__,
            )
            return False
        self._record_reported(answer.reported_through)
        return True

    def receive(self, message: TotalsMessage) -> TotalsResponse | None:
        """Keep totals of other instances; None if this one has stopped."""
        if self._is_stopped:
            return None
        seconds = self._counter.window_seconds
        newest = counter_lib.window_at(self._wall_clock(), seconds)
        newest += _MAX_WINDOWS_AHEAD
        self._record_reported(message.reported_through)
        for totals in message.totals:
            windows = {
                window: counts
                for window, counts in totals.windows.items()
                if window <= newest
            }
            if windows.keys() != totals.windows.keys():
                logs.event(
                    _LOG,
                    "usage_window_ahead",
                    logging.WARNING,
                    member=totals.instance,
                    window=max(totals.windows),
                )
            self._table.merge(msgspec.structs.replace(totals, windows=windows))
        return TotalsResponse(self._table.reported_through)

    def _record_reported(self, through: int) -> None:
        self._table.record_reported(through)
        self._counter.forget(through)


def create_route(
    receive: abc.Callable[[TotalsMessage], TotalsResponse | None],
) -> routing.Route:
    """Return the HTTP route over which peers send their totals."""

    async def serve(req: requests.Request) -> responses.Response:
        try:
            message = decoding.decode_msgpack(await req.body(), TotalsMessage)
        except ValueError as exc:
            logs.event(
                _LOG, "usage_totals_malformed", logging.WARNING, why=exc
            )
            return responses.Response(status_code=400)
        answer = receive(message)
        if answer is None:
            return responses.Response(status_code=503)
        return responses.Response(msgspec.msgpack.encode(answer))

    return routing.Route(_TOTALS_PATH, serve, methods=["POST"])
