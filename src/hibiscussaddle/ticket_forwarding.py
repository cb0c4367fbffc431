"""Forward calls to the issuer of their ticket and hand ledgers over."""

import dataclasses
import logging
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import peers
from hibiscussaddle import codes
from hibiscussaddle import exchange
from hibiscussaddle.filters import repeats
from hibiscussaddle import lifecycle
from hibiscussaddle import logs
from hibiscussaddle import members
from hibiscussaddle.policy import facts
from hibiscussaddle.policy import membership
from hibiscussaddle.policy import tickets
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import service_runs
from hibiscussaddle import shared_facts

_LOG = logging.getLogger(__name__)
# Time for the network round trip to the issuer, besides the call itself.
_ROUND_TRIP_MARGIN_SECONDS: typing.Final = 0.5
PART_TIMEOUT_SECONDS: typing.Final = 2.0
HANDOVER_TIMEOUT_SECONDS: typing.Final = 30.0
MAX_CANDIDATES: typing.Final = 5
# Each successor that stops too names its own successor.
MAX_HOPS: typing.Final = 5
MAX_SUCCESSORS: typing.Final = 10_000
_CODE_BY_NUMBER: typing.Final = {
    code.value.number: code for code in codes.Code
}
_DEPARTED_STATES: typing.Final = (
    members.MemberState.LEFT,
    members.MemberState.DEAD,
)


@peers.message("forward")
@dataclasses.dataclass(frozen=True)
class ForwardMessage:
    """Ask the issuer or its successor to run a call or return its result."""

    ticket: str
    request_id: str
    method: str
    path: str
    query: str
    params: dict[str, str]
    headers: dict[str, str]
    body: bytes
    # Time left until the caller's deadline.
    seconds: float


@peers.message("forward_reply")
@dataclasses.dataclass(frozen=True)
class ForwardReply:
    """Carry the response, or the number and message of a refusal."""

    code: int
    message: str = ""
    retry_after: float | None = None
    answer: tickets.KeptResult | None = None


@peers.message("handover")
@dataclasses.dataclass(frozen=True)
class Handover:
    """Carry a part of a closed ledger to the successor."""

    part: tickets.HandoverPart


@peers.message("handover_reply")
@dataclasses.dataclass(frozen=True)
class HandoverReply:
    """Report whether the successor accepted the part."""

    accepted: bool


async def forward(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    ticket: tickets.Ticket,
) -> exchange.Outcome:
    """Return the response of the ticket's issuer or of its successor."""
    decision = runtime.callers.successor.decide(
        ticket, runtime.clock(), service_runs.request_digest(req)
    )
    if decision.verdict is not tickets.Verdict.UNKNOWN:
        return service_runs.decision_outcome(decision)
    target = find_ledger_holder(runtime, ticket.issuer)
    if target is None:
        return exchange.refuse(
            codes.Code.OUTCOME_UNKNOWN,
            "no other instance is known to hold the ledger of the issuer "
            f"{ticket.issuer.instance!r}",
        )
    seconds = req.deadline - runtime.clock()
    msg = ForwardMessage(
        req.headers[repeats.TICKET_HEADER],
        req.request_id,
        req.method,
        req.path,
        req.query,
        dict(req.params),
        {name: req.headers[name] for name in _forwarded_headers(req)},
        req.body,
        seconds,
    )
    timeout = max(0.0, seconds) + _ROUND_TRIP_MARGIN_SECONDS
    response = await runtime.peers.request(target, msg, timeout)
    if isinstance(response, result.Err):
        # Even an unreachable issuer may have run an earlier attempt.
        return exchange.refuse(
            codes.Code.OUTCOME_UNKNOWN,
            f"no response from instance {target.id!r}, which holds the "
            "ticket's ledger: "
            f"{response.err_value.kind.value}",
        )
    return _to_outcome(response.ok_value)


def find_ledger_holder(
    runtime: runtime_lib.Runtime, issuer: tickets.Issuer
) -> members.Member | None:
    """Return the member that holds an issuer's ledger; None if unknown."""
    member = runtime.members.get(issuer.instance)
    if (
        member is not None
        and member.incarnation == issuer.incarnation
        and member.state not in _DEPARTED_STATES
        and not member.successor
    ):
        return member
    successor_id = runtime.callers.successor_ids.get(
        (issuer.instance, issuer.incarnation)
    )
    for _ in range(MAX_HOPS):
        member = runtime.members.get(successor_id) if successor_id else None
        if member is None or not member.successor:
            break
        successor_id = member.successor
    if (
        member is None
        or member.state in _DEPARTED_STATES
        or successor_id == runtime.cfg.instance
    ):
        return None
    return member


def _forwarded_headers(req: exchange.Request) -> list[str]:
    return [n for n in service_runs.FORWARDED_HEADERS if n in req.headers]


def _to_outcome(reply: ForwardReply) -> exchange.Outcome:
    if reply.answer is not None:
        kept = tickets.Decision(tickets.Verdict.KEPT, reply.answer)
        return service_runs.decision_outcome(kept)
    code = _CODE_BY_NUMBER.get(reply.code, codes.Code.OUTCOME_UNKNOWN)
    # The filter 'repeats' passes on refusals that the issuer decided.
    return exchange.refuse(
        code, reply.message, reply.retry_after, decided="issuer"
    )


@peers.handles(ForwardMessage)
async def handle_forward(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: ForwardMessage
) -> ForwardReply:
    """Run a call of an own ticket once, or look it up in a received ledger."""
    parsed = runtime.ledger.parse(msg.ticket)
    if isinstance(parsed, result.Err):
        return _refuse(codes.Code.TICKET_INVALID, parsed.err_value)
    ticket = parsed.ok_value
    now = runtime.clock()
    req = exchange.Request(
        kind=exchange.Kind.SERVICE,
        request_id=msg.request_id,
        method=msg.method,
        path=msg.path,
        headers=msg.headers,
        body=msg.body,
        received_at=now,
        deadline=now + msg.seconds,
        params=msg.params,
        query=msg.query,
        record=runtime.contracts.get(ticket.customer),
    )
    if not runtime.ledger.is_own(ticket):
        decision = runtime.callers.successor.decide(
            ticket, now, service_runs.request_digest(req)
        )
        return _to_reply(service_runs.decision_outcome(decision))
    if req.record is None and not runtime.ledger.may_have_run(ticket, now):
        return _refuse(
            codes.Code.NOT_READY,
            f"instance {runtime.cfg.instance!r}, which issued the ticket, "
            f"has no contract of customer {ticket.customer!r}",
        )
    return _to_reply(await service_runs.run_ticket(runtime, req, ticket))


def _refuse(code: codes.Code, message: str) -> ForwardReply:
    return ForwardReply(code.value.number, message)


def _to_reply(outcome: exchange.Outcome) -> ForwardReply:
    if isinstance(outcome, result.Err):
        refusal = outcome.err_value
        number = refusal.code.value.number
        return ForwardReply(number, refusal.message, refusal.retry_after)
    resp = outcome.ok_value
    assert isinstance(resp.body, bytes)
    kept = tickets.KeptResult(resp.status, resp.body, resp.media_type)
    return ForwardReply(resp.code.value.number, answer=kept)


@peers.handles(Handover)
async def handle_handover(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: Handover
) -> HandoverReply:
    """Accept a part of a closed ledger, unless this instance stops too."""
    if runtime.lifecycle.phase is lifecycle.Phase.STOPPING:
        return HandoverReply(False)
    successor = runtime.callers.successor
    return HandoverReply(successor.accept(msg.part, runtime.clock()))


@shared_facts.applies(membership.FACT_KIND)
def record_successor(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Record the successor of an incarnation that stopped.

    After a restart, the member fact describes the next incarnation only.
    """
    member = msgspec.convert(fact.value, members.Member)
    if member.successor:
        successor_ids = runtime.callers.successor_ids
        successor_ids[member.id, member.incarnation] = member.successor
        if len(successor_ids) > MAX_SUCCESSORS:
            del successor_ids[next(iter(successor_ids))]


async def hand_over_ledger(runtime: runtime_lib.Runtime) -> str:
    """Send the closed ledger to a peer; return its id, empty if none."""
    now = runtime.clock()
    parts = runtime.ledger.handover_parts(now)
    parts += runtime.callers.successor.handover_parts(now)
    candidates = list(runtime.members.others())
    runtime.rng.shuffle(candidates)
    candidates.sort(key=lambda member: member.zone != runtime.cfg.zone)
    with anyio.move_on_after(HANDOVER_TIMEOUT_SECONDS):
        for member in candidates[:MAX_CANDIDATES]:
            if await _send_parts(runtime, member, parts):
                logs.event(
                    _LOG,
                    "handed_over",
                    successor=member.id,
                    parts=len(parts),
                    entries=sum(len(part.entries) for part in parts),
                )
                return member.id
    level = logging.WARNING if candidates else logging.INFO
    logs.event(_LOG, "not_handed_over", level, tried=len(candidates))
    return ""


async def _send_parts(
    runtime: runtime_lib.Runtime,
    member: members.Member,
    parts: tuple[tickets.HandoverPart, ...],
) -> bool:
    for part in parts:
        response = await runtime.peers.request(
            member, Handover(part), PART_TIMEOUT_SECONDS
        )
        if isinstance(response, result.Err) or not response.ok_value.accepted:
            return False
    return True
