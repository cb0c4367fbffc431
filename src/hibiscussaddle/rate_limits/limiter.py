"""Keep the rate limits of endpoints together with the other instances.

Every request to an endpoint that named a limit needs a permit, for which the
endpoint's holder is asked; see shares.py for who that is when holders don't
answer.
"""

import collections
from collections import abc
import dataclasses
import logging
import time
import typing

import anyio
import httpx

from hibiscussaddle import containment
from hibiscussaddle import endpoints
from hibiscussaddle.fleet import member as member_lib
from hibiscussaddle.fleet import observations
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire
from hibiscussaddle.rate_limits import holder as holder_lib
from hibiscussaddle.rate_limits import observed
from hibiscussaddle.rate_limits import permits
from hibiscussaddle.rate_limits import schedule
from hibiscussaddle.rate_limits import shares

_LOG = logging.getLogger(__name__)

# An endpoint whose limit was last seen this long ago gets a request although
# others are available: only a response tells that the limit has ended.
RECHECK_SECONDS: typing.Final = 2.0
# After a denial the holder isn't asked before the endpoint is free, but for
# the first time at most, nor within the second one: all instances may want it.
_MAX_DENIAL_SECONDS: typing.Final = 1.0
_MIN_ASK_INTERVAL_SECONDS: typing.Final = 0.1
# A holder that didn't respond isn't asked for this long.
_HOLDER_RETRY_SECONDS: typing.Final = 1.0
# An item's permit lapses after this time; it may not be sent much later than
# granted.
_PERMIT_SECONDS: typing.Final = 0.5
# Longest delay of a permit that is fetched for an item.
_ITEM_DELAY_SECONDS: typing.Final = 0.2


@dataclasses.dataclass
class _AskState:
    """Hold what this instance was told as it asked for permits."""

    # Monotonic seconds before which the holder isn't asked again, at which the
    # endpoint is free again, and at which the denied caller should return.
    ask_at: float = float("-inf")
    free_at: float = float("-inf")
    return_at: float = float("-inf")
    # Permit for the next item, and whether one is being fetched.
    item_permit_until: float = float("-inf")
    is_fetching: bool = False


class Limiter:
    """Grant and ask for permits to send requests to endpoints."""

    def __init__(
        self,
        holder: holder_lib.PermitHolder,
        client: permits.PermitClient,
        limits: observed.ObservedLimits,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without any limit; the holder is that of this instance."""
        # Permits by purpose and outcome since the start.
        self.outcomes: collections.Counter[tuple[str, str]]
        self.outcomes = collections.Counter()
        # Called when an item may get an endpoint that it didn't get before.
        self.on_item_permit: abc.Callable[[], None] = lambda: None
        # Called with each endpoint whose response says that it leaves.
        self.on_leaving: abc.Callable[[endpoints.Endpoint], None]
        self.on_leaving = lambda _: None
        self.holder = holder
        self._members = holder.members
        self._client = client
        self._clock = clock
        self._limits = limits
        self._asked = observations.Observations(_AskState)
        self._unreachable_until: dict[str, float] = {}
        # Id and incarnation of endpoints whose limit began or ended, which
        # other instances must know, and endpoints for which an item waits.
        self._changed: set[tuple[str, int]] = set()
        self._wanted: dict[str, endpoints.Endpoint] = {}
        self._wake = anyio.Event()
        holder.on_change = self._record_change

    async def run(self) -> None:
        """Pass changes on and fetch permits for items."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                changed, self._changed = self._changed, set()
                wanted, self._wanted = self._wanted, {}
                for key in changed:
                    tasks.start_soon(self._pass_change_on, *key)
                for endpoint in wanted.values():
                    state = self._asked.for_endpoint(endpoint)
                    if not state.is_fetching:
                        state.is_fetching = True
                        tasks.start_soon(self._fetch_for_item, endpoint)

    def observe(
        self,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
        request_id: str,
        is_run: bool = True,
    ) -> None:
        """Record what an endpoint's response says of the endpoint.

        It may name a rate limit, or say that the endpoint leaves.
        """
        now = self._clock()
        # Another endpoint at the same address may have responded.
        if resp.status_code != httpx.codes.MISDIRECTED_REQUEST:
            values = resp.headers.get_list(endpoint_wire.LEAVING_HEADER)
            if endpoint_wire.decode_leaving(values):
                self.on_leaving(endpoint)
        if self._limits.observe(endpoint, resp, request_id, now, is_run):
            self._record_change(endpoint.id, endpoint.incarnation)

    def _record_change(self, endpoint_id: str, incarnation: int) -> None:
        self._changed.add((endpoint_id, incarnation))
        self._wake.set()

    def rate(self, endpoint: endpoints.Endpoint) -> float | None:
        """Return the limit in force, in requests per second, None if none."""
        known = self._limits.limit(endpoint.id, endpoint.incarnation)
        return schedule.effective_rate(known.rate)

    def is_limited(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether requests to an endpoint need a permit."""
        return self.rate(endpoint) is not None

    def is_deferred(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether endpoints without a limit come first."""
        known = self._limits.limit(endpoint.id, endpoint.incarnation)
        return (
            schedule.effective_rate(known.rate) is not None
            and self._clock() - known.observed_at < RECHECK_SECONDS
        )

    async def acquire(
        self,
        endpoint: endpoints.Endpoint,
        purpose: str,
        request_id: str,
        max_delay: float,
    ) -> float | None:
        """Wait for a permit; return None, or when to return if it is denied.

        Both durations are in seconds.
        """
        if not self.is_limited(endpoint):
            return None
        decision = self._cached_denial(endpoint, max_delay)
        if decision is None:
            decision = await self._ask(endpoint, max_delay)
        outcome = "granted" if decision.is_granted else "denied"
        self.outcomes[purpose, outcome] += 1
        if decision.is_granted:
            await anyio.sleep(decision.delay)
            return None
        logs.event(
            _LOG,
            "request_held_back",
            request=request_id,
            endpoint=endpoint.id,
            purpose=purpose,
            rate=self.rate(endpoint) or 0.0,
            retry_after=decision.retry_after,
        )
        return decision.retry_after

    def prepare_item_permit(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether a permit is there; fetch one for later if not."""
        if self.has_item_permit(endpoint):
            return True
        now = self._clock()
        state = self._asked.for_endpoint(endpoint)
        if not state.is_fetching and now >= max(
            state.ask_at, state.free_at - _ITEM_DELAY_SECONDS
        ):
            self._wanted[endpoint.id] = endpoint
            self._wake.set()
        return False

    def has_item_permit(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether a permit for the next item is there."""
        state = self._asked.for_endpoint(endpoint)
        return self._clock() < state.item_permit_until

    def use_item_permit(self, endpoint: endpoints.Endpoint) -> None:
        """Record that an item is sent to an endpoint."""
        if self.is_limited(endpoint):
            state = self._asked.for_endpoint(endpoint)
            state.item_permit_until = float("-inf")

    def _cached_denial(
        self, endpoint: endpoints.Endpoint, max_delay: float
    ) -> schedule.Decision | None:
        now = self._clock()
        state = self._asked.for_endpoint(endpoint)
        if now >= state.ask_at and now + max_delay >= state.free_at:
            return None
        # Callers that are denied without asking return one after the other.
        interval = 1 / (self.rate(endpoint) or schedule.MIN_RATE)
        state.return_at = min(
            now + schedule.MAX_RETRY_SECONDS,
            max(now, state.return_at) + interval,
        )
        return schedule.Decision(
            False,
            retry_after=state.return_at - now,
            free_after=max(0.0, state.free_at - now),
        )

    async def _ask(
        self, endpoint: endpoints.Endpoint, max_delay: float
    ) -> schedule.Decision:
        """Ask the holders of ever fewer instances until one decides."""
        scope: shares.Scope | None = shares.Scope.FLEET
        while scope is not None:
            sent_at = self._clock()
            response = await self._ask_holder(scope, endpoint, max_delay)
            if response is not None:
                # The age was taken after the request was sent. Counted from
                # the arrival, a limit would get newer with each round trip.
                self._limits.apply(
                    endpoint.id,
                    endpoint.incarnation,
                    response.rate,
                    sent_at - response.age,
                    "holder",
                )
                if response.is_holder:
                    return self._apply_response(endpoint, response)
            scope = shares.next_scope(scope, response is not None)
        return schedule.Decision(False, retry_after=schedule.MAX_RETRY_SECONDS)

    def _apply_response(
        self, endpoint: endpoints.Endpoint, response: permits.PermitResponse
    ) -> schedule.Decision:
        if not response.is_granted:
            now = self._clock()
            state = self._asked.for_endpoint(endpoint)
            free_after = min(_MAX_DENIAL_SECONDS, response.free_after)
            state.free_at = now + free_after
            state.return_at = now + response.retry_after
            # Members that all want the endpoint ask about twice as often as
            # it takes a request.
            interval = len(self._members.all) / (2 * (response.rate or 1.0))
            state.ask_at = now + min(_MIN_ASK_INTERVAL_SECONDS, interval)
        return schedule.Decision(
            response.is_granted,
            response.delay,
            response.retry_after,
            response.free_after,
        )

    async def _ask_holder(
        self,
        scope: shares.Scope,
        endpoint: endpoints.Endpoint,
        max_delay: float | None,
    ) -> permits.PermitResponse | None:
        """Return the response of a scope's holder, None without one."""
        holder = self.holder.holder_of(scope, endpoint.id)
        if holder is None:
            return None
        message = self._message(
            scope, endpoint.id, endpoint.incarnation, max_delay
        )
        return await self._send(holder, message)

    def _message(
        self,
        scope: shares.Scope,
        endpoint_id: str,
        incarnation: int,
        max_delay: float | None,
    ) -> permits.PermitRequest:
        known = self._limits.limit(endpoint_id, incarnation)
        return permits.PermitRequest(
            endpoint_id,
            incarnation,
            scope,
            known.rate,
            self._clock() - known.observed_at,
            max_delay,
        )

    async def _send(
        self, member: member_lib.Member, message: permits.PermitRequest
    ) -> permits.PermitResponse | None:
        if member.instance == self._members.me.instance:
            return self.holder.serve(message)
        now = self._clock()
        if now < self._unreachable_until.get(member.instance, now):
            return None
        response = await self._client.ask(member, message)
        if response is None:
            until = self._clock() + _HOLDER_RETRY_SECONDS
            self._unreachable_until[member.instance] = until
        else:
            self._unreachable_until.pop(member.instance, None)
        return response

    async def _pass_change_on(
        self, endpoint_id: str, incarnation: int
    ) -> None:
        """Tell the holder that a limit began or ended, or as holder the zones.

        The readers of the zones tell the other instances.
        """
        scope = shares.Scope.FLEET
        holder = self.holder.holder_of(scope, endpoint_id)
        receivers = [holder] if holder is not None else []
        if self.holder.is_holder(scope, endpoint_id):
            receivers = list(self._members.zone_readers().values())
        message = self._message(scope, endpoint_id, incarnation, None)
        for member in receivers:
            with containment.contain("limit", endpoint_id):
                await self._send(member, message)

    async def _fetch_for_item(self, endpoint: endpoints.Endpoint) -> None:
        state = self._asked.for_endpoint(endpoint)
        try:
            denied = await self.acquire(
                endpoint, "item", "-", _ITEM_DELAY_SECONDS
            )
        finally:
            state.is_fetching = False
        if denied is None:
            state.item_permit_until = self._clock() + _PERMIT_SECONDS
            self.on_item_permit()
