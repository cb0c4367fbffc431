"""Hold the lease for the duties of a zone or of the whole fleet.

Its fencing number accompanies weight orders, usage reports and capacity orders
alike.
"""

from collections import abc
import logging
import time
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import store
from hibiscussaddle import logs
from hibiscussaddle.policy import lease

_LOG = logging.getLogger(__name__)

# Shortest time between two checks of the state machine while no call is due.
_MIN_WAIT_SECONDS: typing.Final = 0.1
# Time in which an instance that stepped down leaves the lease to the others.
# If none of them claims it, the endpoints are probably out of reach for all.
_STEP_DOWN_SECONDS: typing.Final = 6.0
# An instance steps down once in this time, so that the duties don't move from
# one to the next while all are unfit.
_STEP_DOWN_INTERVAL_SECONDS: typing.Final = 30.0
# Time for which an unfit instance leaves a free lease to the others. The last
# of the fit ones claims it after 2.4 s.
_UNFIT_CLAIM_SECONDS: typing.Final = 4.0
# Prefix of the keys that are deleted when their lease expires.
PREFIX: typing.Final = "lease/"
# Scope of a lease for the whole fleet, in place of a zone.
FLEET_SCOPE: typing.Final = "fleet"


def lease_key(zone: str) -> str:
    """Return the key that exists while a zone's lease is held.

    The lease was first used for weight orders only.
    """
    return f"{PREFIX}weights/{zone}"


def clock() -> float:
    """Return the seconds since boot, including the time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def _assume_fit() -> bool:
    return True


class DutyLease:
    """Run the state machine of the lease with store calls."""

    def __init__(
        self,
        client: store.StoreClient,
        zone: str,
        name: str,
        cfg: lease.LeaseConfig | None = None,
        now: abc.Callable[[], float] = clock,
        may_claim: abc.Callable[[], bool] = lambda: True,
        instance: str = "",
        is_fit: abc.Callable[[], bool] = lambda: True,
        check_fit: abc.Callable[[], abc.Awaitable[bool]] = _assume_fit,
    ) -> None:
        """Contend for a zone under a name that is never reused.

        A contender that watches the lease's key claims the lease only while
        the key is absent, which saves reads of the store. This process takes
        over a lease that an earlier process of its instance held. An instance
        that is not fit for the duties any more releases the lease, and claims
        it only if no other one does. check_fit() finds out before a claim
        whether it is fit, which is_fit() tells from what is known.
        """
        cfg = cfg or lease.LeaseConfig()
        self.machine = lease.Lease(cfg, name, instance)
        self.clock = now
        self._client = client
        self._may_claim = may_claim
        self._is_fit = is_fit
        self._check_fit = check_fit
        self._is_stepping_down = False
        self._stepped_down_at = float("-inf")
        # Since when the lease is free for this instance to claim.
        self._claimable_since: float | None = None
        # Whether it was fit when it claimed the lease, or since then.
        self._was_fit = False
        self.key = lease_key(zone)
        self._fence_key = f"fence/weights/{zone}"
        self._logged_holder: str | None = None

    def fencing_number(self, guarded: bool) -> int | None:
        """Return the fencing number for an order that starts now.

        Return None if none may start. The endpoint of a guarded order checks
        the number.
        """
        if self._is_stepping_down:
            return None
        return self.machine.fencing_number(self.clock(), guarded)

    @property
    def key_revision(self) -> int:
        """Return the revision of the lease's key, 0 unless it is held.

        A write on this condition fails once another instance holds the lease.
        """
        return self.machine.key_revision

    async def run(self) -> None:
        """Claim and renew the lease until cancelled."""
        while True:
            if self._must_step_down():
                await self._step_down()
            may_claim = self._update_claimable()
            call = self.machine.next_call(self.clock())
            is_claim = (
                call is not None and call.kind is lease.CallKind.READ_KEY
            )
            if is_claim and may_claim:
                self._was_fit = await self._check_fit() and self._is_fit()
                may_claim = self._was_fit or self._is_left()
            if is_claim and not may_claim:
                await anyio.sleep(_MIN_WAIT_SECONDS)
                continue
            if call is None:
                wait = self.machine.wait_seconds(self.clock())
                await anyio.sleep(max(_MIN_WAIT_SECONDS, wait))
                continue
            sent_at = self.clock()
            reply = await self._send(call)
            self.machine.on_reply(call, reply, sent_at, self.clock())
            self._log_change()

    def _update_claimable(self) -> bool:
        """Return whether this instance may claim the lease now."""
        if self.machine.key_revision or not self._may_claim():
            self._claimable_since = None
            return False
        now = self.clock()
        if self._claimable_since is None:
            self._claimable_since = now
        return self._is_left() or self._is_fit()

    def _is_left(self) -> bool:
        """Return whether no other instance has claimed the lease for long."""
        since = self._claimable_since
        return (
            since is not None and self.clock() - since >= _UNFIT_CLAIM_SECONDS
        )

    def _must_step_down(self) -> bool:
        """Return whether another instance may be better fit.

        An unfit instance claims the lease only if no other one does.
        """
        if self.fencing_number(guarded=True) is None:
            return False
        if self._is_fit():
            self._was_fit = True
        if self._is_fit() or not self._was_fit:
            return False
        since = self.clock() - self._stepped_down_at
        return since >= _STEP_DOWN_INTERVAL_SECONDS

    async def _step_down(self) -> None:
        """Release the lease once the orders in flight have ended."""
        self._stepped_down_at = self.clock()
        self._is_stepping_down = True
        try:
            await anyio.sleep(self.machine.cfg.effect_seconds)
        finally:
            self._is_stepping_down = False
        call = self.machine.step_down(self.clock(), _STEP_DOWN_SECONDS)
        await self._release(call, "unfit")

    async def release(self) -> None:
        """Release the lease; no order may be in flight."""
        await self._release(self.machine.release(self.clock()), "stopping")

    async def _release(self, call: lease.Call | None, why: str) -> None:
        if call is None:
            return
        await self._send(call)
        await self._client.revoke(call.lease)
        logs.event(_LOG, "lease_released", key=self.key, why=why)

    def _log_change(self) -> None:
        held = self.fencing_number(guarded=True) is not None
        holder = self.machine.holder if held else None
        if holder != self._logged_holder:
            self._logged_holder = holder
            name = "lease_held" if held else "lease_lost"
            logs.event(_LOG, name, key=self.key, holder=holder or "-")

    async def _send(self, call: lease.Call) -> lease.Reply:
        kind = lease.CallKind
        if call.kind in (kind.READ_KEY, kind.CHECK_KEY):
            return _read_reply(await self._client.get(self.key))
        if call.kind is kind.READ_FENCE:
            return _read_reply(await self._client.get(self._fence_key))
        if call.kind is kind.GRANT:
            ttl = self.machine.cfg.ttl
            granted = await self._client.grant(ttl)
            if isinstance(granted, result.Err):
                return _failure_reply(granted.err_value)
            return lease.Reply(lease.Outcome.OK, lease=granted.ok_value)
        if call.kind is kind.RENEW:
            renewed = await self._client.renew(call.lease)
            if isinstance(renewed, result.Err):
                return _failure_reply(renewed.err_value)
            return lease.Reply(lease.Outcome.OK)
        return await self._put(call)

    async def _put(self, call: lease.Call) -> lease.Reply:
        if call.kind is lease.CallKind.PUT_KEY:
            value: object = {"holder": call.holder}
            put = await self._client.put(
                self.key, value, call.expected_revision, call.lease
            )
        else:
            fence = lease.Fence(
                call.number, call.holder, call.released, call.settled
            )
            # A contender whose key was deleted early must not raise the number
            # above that of the present holder.
            put = await self._client.commit(
                {
                    self._fence_key: call.expected_revision,
                    self.key: call.key_revision,
                },
                [store.Put(self._fence_key, msgspec.json.encode(fence))],
            )
        if isinstance(put, result.Err):
            return _failure_reply(put.err_value)
        return lease.Reply(lease.Outcome.OK, revision=put.ok_value)


def _read_reply(
    response: result.Result[store.StoreEntry, store.StoreError],
) -> lease.Reply:
    if isinstance(response, result.Err):
        if response.err_value.failure is store.StoreFailure.MISSING:
            return lease.Reply(lease.Outcome.OK)
        return _failure_reply(response.err_value)
    entry = response.ok_value
    try:
        fence = msgspec.convert(entry.value, lease.Fence)
    except msgspec.ValidationError as exc:
        # A claim that overwrites a malformed value could break fencing.
        logs.event(
            _LOG, "lease_malformed", logging.ERROR, key=entry.key, why=exc
        )
        return lease.Reply(lease.Outcome.FAILED)
    return lease.Reply(
        lease.Outcome.OK,
        revision=entry.revision,
        holder=fence.holder,
        fence=fence,
    )


def _failure_reply(error: store.StoreError) -> lease.Reply:
    failure = store.StoreFailure
    if error.failure in (failure.CONFLICT, failure.MISSING):
        return lease.Reply(lease.Outcome.LOST)
    if error.failure is failure.UNKNOWN:
        return lease.Reply(lease.Outcome.UNKNOWN)
    return lease.Reply(lease.Outcome.FAILED)
