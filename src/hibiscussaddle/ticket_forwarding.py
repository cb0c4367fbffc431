"""Bring calls with a ticket to its issuer, and ledgers to a successor."""

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
# Time for the way to the issuer and back, besides the call itself.
_MARGIN_SECONDS: typing.Final = 0.5
PART_SECONDS: typing.Final = 2.0
HANDOVER_SECONDS: typing.Final = 30.0
MAX_CANDIDATES: typing.Final = 5
# A successor that stops has a successor of its own.
MAX_HOPS: typing.Final = 5
MAX_HEIRS: typing.Final = 10_000
_BY_NUMBER: typing.Final = {code.value.number: code for code in codes.Code}
_GONE: typing.Final = (members.MemberState.LEFT, members.MemberState.DEAD)


@peers.message("forward")
@dataclasses.dataclass(frozen=True)
class Forward:
    """Ask the issuer or its successor to run a call or answer its repeat."""

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
    """Carry the answer, or the number and message of a refusal."""

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
    """Tell whether the successor took the part."""

    accepted: bool


async def forward(
    runtime: runtime_lib.Runtime,
    req: exchange.Request,
    ticket: tickets.Ticket,
) -> exchange.Outcome:
    """Return the answer of the ticket's issuer or of its successor."""
    decision = runtime.callers.successor.decide(
        ticket, runtime.clock(), service_runs.request_digest(req)
    )
    if decision.verdict is not tickets.Verdict.UNKNOWN:
        return service_runs.decision_outcome(decision)
    target = find_target(runtime, ticket.issuer)
    if target is None:
        return exchange.refuse(
            codes.Code.OUTCOME_UNKNOWN,
            f"the issuer {ticket.issuer.instance!r} is gone",
        )
    seconds = req.deadline - runtime.clock()
    msg = Forward(
        req.headers[repeats.TICKET_HEADER],
        req.request_id,
        req.method,
        req.path,
        req.query,
        dict(req.params),
        {name: req.headers[name] for name in _passed(req)},
        req.body,
        seconds,
    )
    timeout = max(0.0, seconds) + _MARGIN_SECONDS
    answer = await runtime.peers.request(target, msg, timeout)
    if isinstance(answer, result.Err):
        # Even an issuer that was not reached may have run an earlier send.
        return exchange.refuse(
            codes.Code.OUTCOME_UNKNOWN,
            f"the issuer {target.id!r} did not answer: "
            f"{answer.err_value.kind.value}",
        )
    return _to_outcome(answer.ok_value)


def find_target(
    runtime: runtime_lib.Runtime, issuer: tickets.Issuer
) -> members.Member | None:
    """Return the member that answers for a ledger."""
    member = runtime.members.get(issuer.instance)
    if (
        member is not None
        and member.incarnation == issuer.incarnation
        and member.state not in _GONE
        and not member.successor
    ):
        return member
    heir = runtime.callers.successor_ids.get(
        (issuer.instance, issuer.incarnation)
    )
    for _ in range(MAX_HOPS):
        member = runtime.members.get(heir) if heir else None
        if member is None or not member.successor:
            break
        heir = member.successor
    if member is None or member.state in _GONE or heir == runtime.cfg.instance:
        return None
    return member


def _passed(req: exchange.Request) -> list[str]:
    return [n for n in service_runs.FORWARDED_HEADERS if n in req.headers]


def _to_outcome(reply: ForwardReply) -> exchange.Outcome:
    if reply.answer is not None:
        kept = tickets.Decision(tickets.Verdict.KEPT, reply.answer)
        return service_runs.decision_outcome(kept)
    code = _BY_NUMBER.get(reply.code, codes.Code.OUTCOME_UNKNOWN)
    # The filter 'repeats' leaves refusals alone that the issuer decided.
    return exchange.refuse(
        code, reply.message, reply.retry_after, decided="issuer"
    )


@peers.handles(Forward)
async def answer_forward(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: Forward
) -> ForwardReply:
    """Run a call of an own ticket once, or answer for a closed ledger."""
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
        return _refuse(codes.Code.NOT_READY, "the issuer has no contracts")
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
async def answer_handover(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: Handover
) -> HandoverReply:
    """Take a part of a closed ledger, unless this instance stops too."""
    if runtime.lifecycle.phase is lifecycle.Phase.STOPPING:
        return HandoverReply(False)
    successor = runtime.callers.successor
    return HandoverReply(successor.accept(msg.part, runtime.clock()))


@shared_facts.applies(membership.FACT_KIND)
def note_heir(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Remember a successor beyond the restart of the stopped instance."""
    member = msgspec.convert(fact.value, members.Member)
    if member.successor:
        heirs = runtime.callers.successor_ids
        heirs[member.id, member.incarnation] = member.successor
        if len(heirs) > MAX_HEIRS:
            del heirs[next(iter(heirs))]


async def hand_over(runtime: runtime_lib.Runtime) -> str:
    """Give the closed ledger to a peer; return its id, empty for none."""
    now = runtime.clock()
    parts = runtime.ledger.handover_parts(now)
    parts += runtime.callers.successor.handover_parts(now)
    candidates = list(runtime.members.others())
    runtime.rng.shuffle(candidates)
    candidates.sort(key=lambda member: member.zone != runtime.cfg.zone)
    with anyio.move_on_after(HANDOVER_SECONDS):
        for member in candidates[:MAX_CANDIDATES]:
            if await _send_all(runtime, member, parts):
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


async def _send_all(
    runtime: runtime_lib.Runtime,
    member: members.Member,
    parts: tuple[tickets.HandoverPart, ...],
) -> bool:
    for part in parts:
        answer = await runtime.peers.request(
            member, Handover(part), PART_SECONDS
        )
        if isinstance(answer, result.Err) or not answer.ok_value.accepted:
            return False
    return True
