"""Call the platform's control API in the name of the duties' holder."""

import dataclasses
import time

import anyio
import httpx

from hibiscussaddle.adapters import connections
from hibiscussaddle.duties import lease as duty_lease
from hibiscussaddle.platform import control_wire


@dataclasses.dataclass(frozen=True)
class CallResult:
    """Hold the outcome of one call."""

    outcome: control_wire.Outcome
    # None without a response.
    status: int | None = None
    # None if nothing was sent.
    fencing_number: int | None = None
    # Why there is no response; empty with one.
    why: str = ""


class ControlClient:
    """Send calls one at a time, in the name of the duties' holder."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        address: str,
        instance: str,
        lease: duty_lease.DutyLease,
        calls_per_second: float,
    ) -> None:
        """Keep within a rate, which all duties share."""
        self._client = client
        self._url = f"http://{address}"
        self._instance = instance
        self._lease = lease
        self._interval = 1.0 / calls_per_second
        self._next_call_at = 0.0
        self._lock = anyio.Lock()

    @property
    def is_holder(self) -> bool:
        """Return whether a call may be sent now."""
        return self._fencing_number() is not None

    def _fencing_number(self) -> int | None:
        # The API may not check fencing numbers, so a call waits until those of
        # the previous holder have arrived.
        return self._lease.fencing_number(guarded=False)

    async def call(
        self, path: str, body: bytes, timeout: float | None = None
    ) -> CallResult:
        """Send one call; neither repeat it nor follow a redirect.

        Without a timeout in seconds it is that of all effects of the lease.
        """
        if timeout is None:
            timeout = self._lease.machine.cfg.effect_seconds
        async with self._lock:
            wait = self._next_call_at - time.monotonic()
            await anyio.sleep(max(0.0, wait))
            # The lease may end during the wait, so it is checked afterwards.
            number = self._fencing_number()
            if number is None:
                return CallResult(control_wire.Outcome.NOT_HELD)
            self._next_call_at = time.monotonic() + self._interval
            return await self._send(path, body, number, timeout)

    async def _send(
        self, path: str, body: bytes, number: int, timeout: float
    ) -> CallResult:
        try:
            with anyio.fail_after(timeout):
                resp = await self._client.post(
                    self._url + path,
                    content=body,
                    headers=control_wire.encode_headers(
                        self._instance, number
                    ),
                    timeout=timeout,
                    # Calls have no ID by which a repeated response to an
                    # earlier call could be recognised.
                    extensions={connections.SINGLE_USE: True},
                    follow_redirects=False,
                )
        except (httpx.HTTPError, TimeoutError) as exc:
            is_unsent = isinstance(
                exc, httpx.ConnectError | httpx.ConnectTimeout
            )
            outcome = control_wire.Outcome.UNKNOWN
            if is_unsent:
                outcome = control_wire.Outcome.REFUSED
            why = str(exc) or type(exc).__name__
            return CallResult(outcome, None, number, why)
        return CallResult(
            control_wire.decode_status(resp.status_code),
            resp.status_code,
            number,
        )
