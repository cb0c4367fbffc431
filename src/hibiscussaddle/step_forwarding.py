"""Forward opening and pulling a step to the instance that owns it.

The owner only avoids duplicate work: any instance can serve the step instead.
"""

import dataclasses
import typing

import result

from hibiscussaddle.adapters import peers
from hibiscussaddle import codes
from hibiscussaddle import lifecycle
from hibiscussaddle import members
from hibiscussaddle.policy import facts
from hibiscussaddle.policy import ownership
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import shared_facts
from hibiscussaddle import step_delivery
from hibiscussaddle import steps

OPEN_TIMEOUT_SECONDS: typing.Final = 2.0
# Connecting to an unreachable owner takes 1 s, which would delay every pull
# until the owner is declared dead.
UNAVAILABLE_SECONDS: typing.Final = 2.0
# Time for the round trip to the owner, besides the wait of the pull.
_TIMEOUT_MARGIN_SECONDS: typing.Final = 2.0

PullResult: typing.TypeAlias = result.Result[steps.PullResponse, codes.Refusal]


@peers.message("open_for")
@dataclasses.dataclass(frozen=True)
class OpenStepMessage:
    """Request the owner to open a step."""

    customer: str
    spec: steps.StepSpec


@peers.message("pull_for")
@dataclasses.dataclass(frozen=True)
class PullStepMessage:
    """Request the owner to serve a pull."""

    key: steps.StepKey
    pull: steps.PullRequest


@peers.message("step_reply")
@dataclasses.dataclass(frozen=True)
class StepReply:
    """Carry the response of the owner, or the number of its refusal."""

    code: int
    message: str = ""
    answer: steps.PullResponse | None = None


_CODES_BY_NUMBER: typing.Final = {
    code.value.number: code for code in codes.Code
}
# Refusals that concern the owner and not the step.
_OWNER_UNAVAILABLE_CODES: typing.Final = frozenset(
    {codes.Code.STOPPING, codes.Code.NOT_READY, codes.Code.OVERLOADED}
)


def find_owner(
    runtime: runtime_lib.Runtime, key: steps.StepKey
) -> members.Member | None:
    """Return the peer that owns the step; None to serve it locally."""
    own = runtime.members.me
    marks = runtime.directory.marks
    candidates = {
        m.id: m
        for m in runtime.members.live()
        if m.zone == own.zone and not marks.is_marked(m.id, m.incarnation)
    }
    name = f"{key.customer}/{key.trainer}/{key.step}"
    owner_id = ownership.owner(name, candidates)
    if owner_id is None or owner_id == own.id:
        return None
    if runtime.clock() < runtime.steps.unavailable_until.get(owner_id, 0.0):
        return None
    return candidates[owner_id]


async def open_step(
    runtime: runtime_lib.Runtime, customer: str, spec: steps.StepSpec
) -> result.Result[None, codes.Refusal]:
    """Open a step here and at its owner, which generates the samples.

    This instance keeps the definition, so that it can serve the step when
    the owner is unreachable.
    """
    opened = runtime.steps.open(customer, spec, runtime.clock())
    if isinstance(opened, result.Err):
        return opened
    run = opened.ok_value
    owner = find_owner(runtime, run.key)
    if owner is not None:
        reply = await _request_owner(
            runtime,
            owner,
            OpenStepMessage(customer, spec),
            OPEN_TIMEOUT_SECONDS,
        )
        if reply is not None:
            return reply.map(lambda _: None)
    runtime.steps.activate(run)
    return result.Ok(None)


async def pull_step(
    runtime: runtime_lib.Runtime,
    key: steps.StepKey,
    pull: steps.PullRequest,
    deadline: float,
) -> PullResult:
    """Serve a pull from the owner, or locally when it is unreachable."""
    owner = find_owner(runtime, key)
    if owner is not None:
        started_at = runtime.clock()
        response = await _pull_from_owner(runtime, owner, key, pull, deadline)
        if response is not None:
            return response
        elapsed = runtime.clock() - started_at
        remaining = max(0.0, pull.wait_seconds - elapsed)
        pull = dataclasses.replace(pull, wait_seconds=remaining)
    return await step_delivery.pull_local_step(runtime, key, pull, deadline)


async def _pull_from_owner(
    runtime: runtime_lib.Runtime,
    owner: members.Member,
    key: steps.StepKey,
    pull: steps.PullRequest,
    deadline: float,
) -> PullResult | None:
    """Return the response of the owner; None to serve the pull locally."""
    run = runtime.steps.get(key)
    wait = min(pull.wait_seconds, max(0.0, deadline - runtime.clock()))
    # The owner may not know yet the newest version that is known here.
    newest = pull.newest_version
    if run is not None:
        newest = max(newest, runtime.steps.newest_version(run))
    msg = PullStepMessage(
        key,
        dataclasses.replace(pull, wait_seconds=wait, newest_version=newest),
    )
    timeout = wait + _TIMEOUT_MARGIN_SECONDS
    reply = await _request_owner(runtime, owner, msg, timeout)
    if run is not None and _is_unknown_step(reply):
        # The owner restarted, or another instance became the owner.
        opened = await _request_owner(
            runtime,
            owner,
            OpenStepMessage(key.customer, run.spec),
            OPEN_TIMEOUT_SECONDS,
        )
        if opened is None:
            return None
        reply = await _request_owner(runtime, owner, msg, timeout)
    if isinstance(reply, result.Err):
        return reply
    if reply is None or reply.ok_value is None:
        return None
    if run is not None:
        run.deactivate(runtime.clock())
    return result.Ok(reply.ok_value)


def _is_unknown_step(reply: typing.Any) -> bool:
    return (
        isinstance(reply, result.Err)
        and reply.err_value.code is codes.Code.STEP_UNKNOWN
    )


async def _request_owner(
    runtime: runtime_lib.Runtime,
    owner: members.Member,
    msg: OpenStepMessage | PullStepMessage,
    timeout: float,
) -> result.Result[steps.PullResponse | None, codes.Refusal] | None:
    """Return the reply of the owner; None if it is unavailable."""
    outcome = await runtime.peers.request(owner, msg, timeout)
    reply = outcome.ok_value if isinstance(outcome, result.Ok) else None
    code = _CODES_BY_NUMBER.get(getattr(reply, "code", 0))
    if reply is None or code is None or code in _OWNER_UNAVAILABLE_CODES:
        until = runtime.clock() + UNAVAILABLE_SECONDS
        runtime.steps.unavailable_until[owner.id] = until
        return None
    if code is not codes.Code.OK:
        return result.Err(codes.Refusal(code, reply.message))
    return result.Ok(reply.answer)


@peers.handles(OpenStepMessage)
async def handle_open(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: OpenStepMessage
) -> StepReply:
    """Open a step that another instance forwards."""
    refusal = _refusal_while_stopping(runtime)
    if refusal is not None:
        return refusal
    opened = step_delivery.open_local_step(runtime, msg.customer, msg.spec)
    if isinstance(opened, result.Err):
        return _to_reply(opened.err_value)
    return StepReply(codes.Code.OK.value.number)


@peers.handles(PullStepMessage)
async def handle_pull(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: PullStepMessage
) -> StepReply:
    """Serve a pull that another instance forwards."""
    refusal = _refusal_while_stopping(runtime)
    if refusal is not None:
        return refusal
    deadline = runtime.clock() + msg.pull.wait_seconds
    # A planned stop waits for forwarded pulls as for requests of callers.
    runtime.lifecycle.record_start("pull_for")
    try:
        response = await step_delivery.pull_local_step(
            runtime, msg.key, msg.pull, deadline
        )
    finally:
        runtime.lifecycle.record_end("pull_for")
    if isinstance(response, result.Err):
        return _to_reply(response.err_value)
    return StepReply(codes.Code.OK.value.number, "", response.ok_value)


def _refusal_while_stopping(runtime: runtime_lib.Runtime) -> StepReply | None:
    if runtime.lifecycle.phase is not lifecycle.Phase.STOPPING:
        return None
    return StepReply(
        codes.Code.STOPPING.value.number, "the owner of the step is stopping"
    )


def _to_reply(refusal: codes.Refusal) -> StepReply:
    return StepReply(refusal.code.value.number, refusal.message)


@shared_facts.applies("version")
def apply_version(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Record the newest version of a model from a fact."""
    runtime.steps.record_newest_version(
        fact.key, fact.version, runtime.clock()
    )
