"""Decide whether a request may be sent after endpoints ended under it.

A request that makes its endpoint crash is known by its content, since each
attempt of a caller has an ID of its own. Only ends that endpoint_ends has
confirmed count; a suspected one makes a request wait for a short time at most.
Callers pass the time in, and nothing here performs I/O.
"""

import collections
from collections import abc
import enum
import hashlib
import typing

import msgspec

from hibiscussaddle.endpoint_ends import decision

# A request under which as many endpoints ended is not sent again.
MAX_ENDED: typing.Final = 2
# How long a request is refused after the last endpoint that ended under it.
MARK_SECONDS: typing.Final = 600.0
# How long one endpoint that ended under a request makes it a suspect: longer
# than the deadlines of requests and the retries of callers.
SUSPECT_SECONDS: typing.Final = 60.0
# Requests that are remembered; the oldest ones are forgotten first. Each takes
# some 400 bytes.
MAX_REQUESTS: typing.Final = 4096
# How long a suspected end counts like a confirmed one for a request that it
# would mark. Peers answer within 0.2 s, and the list of endpoints names a new
# incarnation within about 2 s.
CAUTION_SECONDS: typing.Final = 2.0
# How long a suspected end may still be confirmed: until the entry of an
# endpoint that ended has expired, also in an outage of the store.
PENDING_SECONDS: typing.Final = 10.0
_FINGERPRINT_BYTES: typing.Final = 16
# Names no request in evidence that only withdraws ends.
_NO_REQUEST: typing.Final = b""

Fingerprint: typing.TypeAlias = bytes
Lifetime: typing.TypeAlias = decision.Lifetime


class Verdict(enum.Enum):
    """Say how a request may be sent."""

    FREE = "free"
    # One endpoint ended under it: it may reach one endpoint at a time, and no
    # endpoint that another suspect has reached.
    SUSPECT = "suspect"
    # It must not be sent.
    MARKED = "marked"
    # It waits until it is known whether an endpoint ended under it, since it
    # would be marked then.
    UNDECIDED = "undecided"


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Pass on which endpoints ended under a request."""

    fingerprint: Fingerprint
    ended: tuple[Lifetime, ...]
    # Seconds since the last one ended, or was withdrawn.
    age: float
    # Ends that proved wrong, whatever request they were found with.
    withdrawn: tuple[Lifetime, ...] = ()
    # Builds before take a refused connection of one instance for an end, and
    # pass it on without this field.
    is_confirmed: bool = False
    # Seconds since each one ended, if there are several.
    ages: tuple[float, ...] = ()

    def each_age(self) -> dict[Lifetime, float]:
        """Return the seconds since each lifetime ended."""
        ages = self.ages
        if len(ages) != len(self.ended):
            ages = (self.age,) * len(self.ended)
        return dict(zip(self.ended, ages, strict=True))


class _Pending(msgspec.Struct):
    """Hold an end that is only suspected."""

    # Monotonic seconds of the broken connection.
    at: float
    # Whether the endpoint was reached since then. A later incarnation may have
    # answered, so the end may still be confirmed.
    is_refuted: bool = False


class _Record(msgspec.Struct):
    """Hold what is known of one request."""

    # Monotonic seconds at which each endpoint ended.
    ended: dict[Lifetime, float]
    # The same for the last one.
    ended_at: float
    # Revision of the table at the newest change.
    revision: int = 0

    @property
    def is_marked(self) -> bool:
        """Return whether the request must not be sent."""
        return len(self.ended) >= MAX_ENDED


def fingerprint(
    method: str, host: str, target: str, body: bytes | bytearray
) -> Fingerprint:
    """Return what identifies a request across a caller's attempts."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (method, host, target):
        digest.update(part.encode(errors="surrogateescape") + b"\0")
    digest.update(body)
    return digest.digest()


class Suspects:
    """Remember the requests under which endpoints ended."""

    def __init__(self) -> None:
        """Start without any request."""
        # Increased with each change.
        self.revision = 0
        # Called with each piece of evidence that this instance finds.
        self.on_evidence: abc.Callable[[Evidence], None] = lambda _: None
        # Called with each end that another instance reports, with the seconds
        # since then and whether it is confirmed.
        self.on_report: abc.Callable[[Lifetime, float, bool], None]
        self.on_report = lambda *_: None
        # Called after each change.
        self.on_change: abc.Callable[[], None] = lambda: None
        self._records: collections.OrderedDict[Fingerprint, _Record]
        self._records = collections.OrderedDict()
        # Ends that a later response showed to be no evidence. Other instances
        # still know of them, and send all that they know to a new reader.
        self._refuted: collections.OrderedDict[Fingerprint, set[Lifetime]]
        self._refuted = collections.OrderedDict()
        # Suspected ends, which are known to this instance only.
        self._pending: collections.OrderedDict[
            Fingerprint, dict[Lifetime, _Pending]
        ]
        self._pending = collections.OrderedDict()
        # Monotonic seconds up to which each lifetime is known to have lived,
        # and the revision of the table at which that was found.
        self._withdrawn: collections.OrderedDict[Lifetime, tuple[float, int]]
        self._withdrawn = collections.OrderedDict()

    def __bool__(self) -> bool:
        """Return whether any request is remembered."""
        return bool(self._records or self._pending)

    def marked_count(self) -> int:
        """Return the number of marked requests."""
        return sum(record.is_marked for record in self._records.values())

    def pending_requests(self) -> int:
        """Return the number of requests with a suspected end."""
        return len(self._pending)

    def verdict(self, request: Fingerprint, now: float) -> Verdict:
        """Return whether a request may be sent now."""
        ended = self.ended_count(request, now)
        if ended >= MAX_ENDED:
            return Verdict.MARKED
        pending = self.pending_count(request, now)
        if pending and ended + pending >= MAX_ENDED:
            return Verdict.UNDECIDED
        return Verdict.SUSPECT if ended or pending else Verdict.FREE

    def ended_count(self, request: Fingerprint, now: float) -> int:
        """Return how many endpoints are known to have ended under it."""
        record = self._get(request, now)
        return len(record.ended) if record else 0

    def pending_count(self, request: Fingerprint, now: float) -> int:
        """Return how many more ends count until they are decided."""
        pending = self._pending.get(request)
        if pending is None:
            return 0
        for lifetime, suspicion in list(pending.items()):
            if now - suspicion.at >= PENDING_SECONDS:
                del pending[lifetime]
        if not pending:
            del self._pending[request]
            return 0
        return sum(
            not suspicion.is_refuted and now - suspicion.at < CAUTION_SECONDS
            for suspicion in pending.values()
        )

    def forget_old(self, now: float) -> None:
        """Forget the requests whose ends count no more."""
        for request in list(self._pending):
            self.pending_count(request, now)
        for request in list(self._records):
            self._get(request, now)

    def last_ended_at(self, request: Fingerprint, now: float) -> float:
        """Return the monotonic seconds of the newest end, or -inf."""
        record = self._get(request, now)
        return record.ended_at if record else float("-inf")

    def lifetimes(self, request: Fingerprint) -> tuple[Lifetime, ...]:
        """Return the lifetimes that ended under a request."""
        record = self._records.get(request)
        return tuple(sorted(record.ended)) if record else ()

    def record_suspicion(
        self,
        request: Fingerprint,
        lifetime: Lifetime,
        now: float,
        is_refuted: bool = False,
    ) -> None:
        """Record that an endpoint may have ended; nothing is passed on.

        One that was reached since then may be the next incarnation.
        """
        self._refuted.get(request, set()).discard(lifetime)
        pending = self._pending.setdefault(request, {})
        pending[lifetime] = _Pending(now, is_refuted)
        if len(self._pending) > MAX_REQUESTS:
            self._pending.popitem(last=False)

    def record_end(
        self,
        request: Fingerprint,
        lifetime: Lifetime,
        now: float,
        age: float = 0.0,
    ) -> bool:
        """Record that an endpoint ended; return if this marks the request.

        The age is the seconds since then.
        """
        self._refuted.get(request, set()).discard(lifetime)
        self._withdrawn.pop(lifetime, None)
        self._drop_pending(request, lifetime)
        evidence = Evidence(request, (lifetime,), age, is_confirmed=True)
        is_marked = self.apply(evidence, now)
        self.on_evidence(evidence)
        return is_marked

    def confirm(
        self, lifetime: Lifetime, now: float
    ) -> list[tuple[Fingerprint, int]]:
        """Count the suspected ends of a lifetime that has ended.

        Returns the requests, each with the number of its ends.
        """
        confirmed = []
        for request, pending in list(self._pending.items()):
            suspicion = pending.get(lifetime)
            if suspicion is None or now - suspicion.at >= PENDING_SECONDS:
                continue
            self.record_end(request, lifetime, now, now - suspicion.at)
            confirmed.append((request, self.ended_count(request, now)))
        return confirmed

    def refute(self, lifetime: Lifetime, until: float) -> None:
        """Let the suspected ends of a lifetime that was reached not count.

        They are those up to the given monotonic seconds.
        """
        for pending in self._pending.values():
            suspicion = pending.get(lifetime)
            if suspicion is not None and suspicion.at <= until:
                suspicion.is_refuted = True

    def drop(self, lifetime: Lifetime) -> None:
        """Drop the suspected ends of a lifetime."""
        for request in list(self._pending):
            self._drop_pending(request, lifetime)

    def withdraw(self, lifetime: Lifetime, until: float, now: float) -> int:
        """Drop what was found with a lifetime, here and everywhere.

        It lived until then, or left in order. Returns the number of requests
        whose ends change.
        """
        changed = self._withdraw(lifetime, until)
        if changed:
            self._keep_withdrawn(lifetime, until)
            self.on_evidence(
                Evidence(_NO_REQUEST, (), max(0.0, now - until), (lifetime,))
            )
        return changed

    def _withdraw(self, lifetime: Lifetime, until: float) -> int:
        for request, pending in list(self._pending.items()):
            suspicion = pending.get(lifetime)
            if suspicion is not None and suspicion.at <= until:
                self._drop_pending(request, lifetime)
        changed = 0
        for request, record in list(self._records.items()):
            if record.ended.get(lifetime, float("inf")) > until:
                continue
            changed += 1
            del record.ended[lifetime]
            if not record.ended:
                del self._records[request]
        return changed

    def _lived_until(self, lifetime: Lifetime) -> float:
        """Return the monotonic seconds up to which a lifetime lived."""
        until, _ = self._withdrawn.get(lifetime, (float("-inf"), 0))
        return until

    def _keep_withdrawn(self, lifetime: Lifetime, until: float) -> None:
        """Ignore older evidence, and tell the followers."""
        if until <= self._lived_until(lifetime):
            return
        self.revision += 1
        self._withdrawn[lifetime] = (until, self.revision)
        self._withdrawn.move_to_end(lifetime)
        if len(self._withdrawn) > MAX_REQUESTS:
            self._withdrawn.popitem(last=False)
        self.on_change()

    def record_response(self, request: Fingerprint) -> None:
        """Record that an endpoint responded, so the request ends none."""
        self._pending.pop(request, None)
        record = self._records.pop(request, None)
        if record is None:
            return
        self._refuted.setdefault(request, set()).update(record.ended)
        if len(self._refuted) > MAX_REQUESTS:
            self._refuted.popitem(last=False)

    def receive(self, evidence: Evidence, now: float) -> bool:
        """Apply evidence of another instance; return if it marks the request.

        Ends that it didn't confirm are only suspected here.
        """
        for lifetime in evidence.withdrawn:
            self._withdraw(lifetime, now - evidence.age)
            self._keep_withdrawn(lifetime, now - evidence.age)
        if evidence.is_confirmed:
            is_marked = self.apply(evidence, now)
            # What is known here may refute the end at once.
            for lifetime, age in evidence.each_age().items():
                self.on_report(lifetime, age, True)
            return (
                is_marked
                and self.ended_count(evidence.fingerprint, now) >= MAX_ENDED
            )
        refuted = self._refuted.get(evidence.fingerprint, set())
        for lifetime in set(evidence.ended) - refuted:
            if self._is_news(evidence, lifetime, now):
                self.record_suspicion(
                    evidence.fingerprint, lifetime, now - evidence.age
                )
                self.on_report(lifetime, evidence.age, False)
        return False

    def _is_news(
        self, evidence: Evidence, lifetime: Lifetime, now: float
    ) -> bool:
        """Return whether an unconfirmed end is to be checked."""
        if evidence.age >= PENDING_SECONDS:
            return False
        record = self._get(evidence.fingerprint, now)
        if record is not None and lifetime in record.ended:
            return False
        if now - evidence.age <= self._lived_until(lifetime):
            return False
        return lifetime not in self._pending.get(evidence.fingerprint, {})

    def apply(self, evidence: Evidence, now: float) -> bool:
        """Apply confirmed evidence; return whether it marks the request."""
        if evidence.age >= SUSPECT_SECONDS and (
            len(evidence.ended) < MAX_ENDED or evidence.age >= MARK_SECONDS
        ):
            return False
        refuted = self._refuted.get(evidence.fingerprint, set())
        ended = {
            lifetime: now - age
            for lifetime, age in evidence.each_age().items()
            if lifetime not in refuted
            and now - age > self._lived_until(lifetime)
        }
        if not ended:
            return False
        record = self._get(evidence.fingerprint, now)
        if record is None:
            record = self._put(evidence.fingerprint)
        was_marked = record.is_marked
        if record.ended.keys() >= ended.keys():
            return False
        record.ended = ended | record.ended
        record.ended_at = max(record.ended.values())
        self.revision += 1
        record.revision = self.revision
        for lifetime in ended:
            self._drop_pending(evidence.fingerprint, lifetime)
        self.on_change()
        return record.is_marked and not was_marked

    def changes_after(
        self, revision: int | None, now: float
    ) -> tuple[Evidence, ...]:
        """Return the evidence since a revision, or all if it is None."""
        after = revision or 0
        ends = [
            Evidence(
                request,
                tuple(record.ended),
                now - record.ended_at,
                is_confirmed=True,
                ages=tuple(now - at for at in record.ended.values()),
            )
            for request, record in self._records.items()
            if record.revision > after
        ]
        withdrawals = [
            Evidence(_NO_REQUEST, (), max(0.0, now - until), (lifetime,))
            for lifetime, (until, found_at) in self._withdrawn.items()
            if found_at > after and now - until < MARK_SECONDS
        ]
        return (*withdrawals, *ends)

    def _drop_pending(self, request: Fingerprint, lifetime: Lifetime) -> None:
        pending = self._pending.get(request)
        if pending is not None:
            pending.pop(lifetime, None)
            if not pending:
                del self._pending[request]

    def _get(self, request: Fingerprint, now: float) -> _Record | None:
        record = self._records.get(request)
        if record is None:
            return None
        limit = MARK_SECONDS if record.is_marked else SUSPECT_SECONDS
        if now - record.ended_at < limit:
            return record
        del self._records[request]
        return None

    def _put(self, request: Fingerprint) -> _Record:
        record = self._records[request] = _Record({}, float("-inf"))
        if len(self._records) > MAX_REQUESTS:
            self._records.popitem(last=False)
        return record
