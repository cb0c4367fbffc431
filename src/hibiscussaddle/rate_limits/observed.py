"""The rate limits that endpoints name in their responses."""

import collections
import dataclasses
import logging
import typing

import httpx
import msgspec

from hibiscussaddle import endpoints
from hibiscussaddle import logs
from hibiscussaddle.platform import endpoint_wire

_LOG = logging.getLogger(__name__)


# Incarnations whose limit is kept; the longest unchanged one is evicted first.
_MAX_LIMITS: typing.Final = 4096


@dataclasses.dataclass(frozen=True)
class ObservedLimit:
    """Hold what one endpoint incarnation last said of its rate limit."""

    # Requests per second from all instances; None without a limit.
    rate: float | None = None
    # Monotonic seconds at which an instance got the response with it.
    observed_at: float = float("-inf")


_NO_LIMIT: typing.Final = ObservedLimit()


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Pass a limit on to another instance."""

    endpoint_id: str
    incarnation: int
    # Requests per second; None if the limit ended.
    rate: float | None
    # Seconds since the endpoint said so.
    age: float


class ObservedLimits:
    """Track the rate limits of all endpoints that ever named one."""

    def __init__(self) -> None:
        """Start without any limit."""
        # By id and incarnation: peers may still ask for permits of the
        # incarnation before.
        self._limits: collections.OrderedDict[tuple[str, int], ObservedLimit]
        self._limits = collections.OrderedDict()
        # Increased when a limit begins or ends, with its value at the newest
        # such change of each incarnation.
        self.revision = 0
        self._revisions: dict[tuple[str, int], int] = {}

    def limit(self, endpoint_id: str, incarnation: int) -> ObservedLimit:
        """Return what an incarnation of an endpoint last said."""
        return self._limits.get((endpoint_id, incarnation), _NO_LIMIT)

    def changes_after(
        self, revision: int | None, now: float
    ) -> tuple[LimitReport, ...]:
        """Return the limits that began or ended after a revision.

        Return all limits in force if the revision is None.
        """
        reports = []
        for key, changed in self._revisions.items():
            known = self._limits[key]
            if (
                changed > revision
                if revision is not None
                else known.rate is not None
            ):
                age = now - known.observed_at
                reports.append(LimitReport(*key, known.rate, age))
        return tuple(reports)

    def apply_report(
        self, report: LimitReport, now: float, source: str
    ) -> bool:
        """Record what another instance knows; return if it changed this."""
        return self.apply(
            report.endpoint_id,
            report.incarnation,
            report.rate,
            now - report.age,
            source,
        )

    def apply(
        self,
        endpoint_id: str,
        incarnation: int,
        rate: float | None,
        observed_at: float,
        source: str,
    ) -> bool:
        """Record a limit unless a newer one is known.

        Return whether the known limit changed. The source is the id of the
        request whose response named the limit, or the name of a peer.
        """
        known = self.limit(endpoint_id, incarnation)
        if observed_at <= known.observed_at:
            return False
        if rate is None and known is _NO_LIMIT:
            return False
        key = (endpoint_id, incarnation)
        self._limits[key] = ObservedLimit(rate, observed_at)
        if rate == known.rate:
            return False
        self._limits.move_to_end(key)
        if len(self._limits) > _MAX_LIMITS:
            self._revisions.pop(self._limits.popitem(last=False)[0], None)
        if known.rate is None or rate is None:
            self.revision += 1
            self._revisions[key] = self.revision
        logs.event(
            _LOG,
            "endpoint_limit_changed",
            endpoint=endpoint_id,
            source=source,
            rate="none" if rate is None else rate,
            rate_before="none" if known.rate is None else known.rate,
        )
        return True

    def observe(
        self,
        endpoint: endpoints.Endpoint,
        resp: httpx.Response,
        request_id: str,
        now: float,
        is_run: bool = True,
    ) -> bool:
        """Record the limit that a response names; return if it changed.

        Only a response of a run ends a limit by naming none: endpoints may
        leave the header out of refusals and reports.
        """
        if resp.status_code == httpx.codes.MISDIRECTED_REQUEST:
            # Another endpoint at the same address responded.
            return False
        values = resp.headers.get_list(endpoint_wire.RATE_LIMIT_HEADER)
        try:
            rate = endpoint_wire.decode_rate_limit(values)
        except ValueError as exc:
            logs.event(
                _LOG,
                "endpoint_limit_malformed",
                logging.WARNING,
                endpoint=endpoint.id,
                request=request_id,
                why=exc,
            )
            return False
        if rate is None and not (is_run and resp.is_success):
            return False
        return self.apply(
            endpoint.id, endpoint.incarnation, rate, now, request_id
        )
