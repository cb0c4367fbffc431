"""Forward opens and pulls of a step to its soft owner."""

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

OPEN_SECONDS: typing.Final = 2.0
# A connection attempt to a cut-off owner takes 1 s, which each pull would
# wait until the owner is declared dead.
UNFIT_SECONDS: typing.Final = 2.0
# Time for the way to the owner and back, besides the pull's own wait.
_MARGIN_SECONDS: typing.Final = 2.0

Pulled: typing.TypeAlias = result.Result[steps.PullAnswer, codes.Refusal]


@peers.message("open_for")
@dataclasses.dataclass(frozen=True)
class OpenFor:
    """Ask the owner to open a step."""

    customer: str
    spec: steps.StepSpec


@peers.message("pull_for")
@dataclasses.dataclass(frozen=True)
class PullFor:
    """Ask the owner to answer a pull."""

    key: steps.StepKey
    pull: steps.PullBody


@peers.message("step_reply")
@dataclasses.dataclass(frozen=True)
class StepReply:
    """Carry the owner's answer or the number of its refusal."""

    code: int
    message: str = ""
    answer: steps.PullAnswer | None = None


_BY_NUMBER: typing.Final = {code.value.number: code for code in codes.Code}
# The owner's refusals that say something about the owner, not the step.
_OWNER_UNFIT: typing.Final = frozenset(
    {codes.Code.STOPPING, codes.Code.NOT_READY, codes.Code.OVERLOADED}
)


def find_owner(
    runtime: runtime_lib.Runtime, key: steps.StepKey
) -> members.Member | None:
    """Return the peer that owns the step; None to serve it here."""
    own = runtime.members.me
    marks = runtime.directory.marks
    zone = {
        m.id: m
        for m in runtime.members.live()
        if m.zone == own.zone and not marks.is_marked(m.id, m.incarnation)
    }
    name = f"{key.customer}/{key.trainer}/{key.step}"
    chosen = ownership.owner(name, zone)
    if chosen is None or chosen == own.id:
        return None
    if runtime.clock() < runtime.steps.unfit_until.get(chosen, 0.0):
        return None
    return zone[chosen]


async def open_step(
    runtime: runtime_lib.Runtime, customer: str, spec: steps.StepSpec
) -> result.Result[None, codes.Refusal]:
    """Open a step here and at its owner, which makes the samples.

    This instance keeps the definition, so that it can serve the step when
    the owner cannot be reached.
    """
    opened = runtime.steps.open(customer, spec, runtime.clock())
    if isinstance(opened, result.Err):
        return opened
    run = opened.ok_value
    owner = find_owner(runtime, run.key)
    if owner is not None:
        reply = await _ask(
            runtime, owner, OpenFor(customer, spec), OPEN_SECONDS
        )
        if reply is not None:
            return reply.map(lambda _: None)
    runtime.steps.activate(run)
    return result.Ok(None)


async def pull_step(
    runtime: runtime_lib.Runtime,
    key: steps.StepKey,
    pull: steps.PullBody,
    deadline: float,
) -> Pulled:
    """Answer a pull at its owner, or here when it cannot be reached."""
    owner = find_owner(runtime, key)
    if owner is not None:
        started_at = runtime.clock()
        answered = await _pull_at(runtime, owner, key, pull, deadline)
        if answered is not None:
            return answered
        spent = runtime.clock() - started_at
        left = max(0.0, pull.wait_seconds - spent)
        pull = dataclasses.replace(pull, wait_seconds=left)
    return await step_delivery.pull_here(runtime, key, pull, deadline)


async def _pull_at(
    runtime: runtime_lib.Runtime,
    owner: members.Member,
    key: steps.StepKey,
    pull: steps.PullBody,
    deadline: float,
) -> Pulled | None:
    """Return the owner's answer; None when this instance has to answer."""
    run = runtime.steps.get(key)
    wait = min(pull.wait_seconds, max(0.0, deadline - runtime.clock()))
    # The owner may not know the newest version that is known here.
    newest = pull.newest_version
    if run is not None:
        newest = max(newest, runtime.steps.newest(run))
    msg = PullFor(
        key,
        dataclasses.replace(pull, wait_seconds=wait, newest_version=newest),
    )
    timeout = wait + _MARGIN_SECONDS
    reply = await _ask(runtime, owner, msg, timeout)
    if run is not None and _is_unknown(reply):
        # The owner restarted, or another instance became the owner.
        opened = await _ask(
            runtime, owner, OpenFor(key.customer, run.spec), OPEN_SECONDS
        )
        if opened is None:
            return None
        reply = await _ask(runtime, owner, msg, timeout)
    if isinstance(reply, result.Err):
        return reply
    if reply is None or reply.ok_value is None:
        return None
    if run is not None:
        run.rest(runtime.clock())
    return result.Ok(reply.ok_value)


def _is_unknown(reply: typing.Any) -> bool:
    return (
        isinstance(reply, result.Err)
        and reply.err_value.code is codes.Code.STEP_UNKNOWN
    )


async def _ask(
    runtime: runtime_lib.Runtime,
    owner: members.Member,
    msg: OpenFor | PullFor,
    timeout: float,
) -> result.Result[steps.PullAnswer | None, codes.Refusal] | None:
    """Return the owner's reply; None when it gave none or is not fit."""
    found = await runtime.peers.request(owner, msg, timeout)
    reply = found.ok_value if isinstance(found, result.Ok) else None
    code = _BY_NUMBER.get(getattr(reply, "code", 0))
    if reply is None or code is None or code in _OWNER_UNFIT:
        until = runtime.clock() + UNFIT_SECONDS
        runtime.steps.unfit_until[owner.id] = until
        return None
    if code is not codes.Code.OK:
        return result.Err(codes.Refusal(code, reply.message))
    return result.Ok(reply.answer)


@peers.handles(OpenFor)
async def answer_open(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: OpenFor
) -> StepReply:
    """Open a step that another instance forwards."""
    refused = _refuse_while_stopping(runtime)
    if refused is not None:
        return refused
    opened = step_delivery.open_here(runtime, msg.customer, msg.spec)
    if isinstance(opened, result.Err):
        return _to_reply(opened.err_value)
    return StepReply(codes.Code.OK.value.number)


@peers.handles(PullFor)
async def answer_pull(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: PullFor
) -> StepReply:
    """Answer a pull that another instance forwards."""
    refused = _refuse_while_stopping(runtime)
    if refused is not None:
        return refused
    deadline = runtime.clock() + msg.pull.wait_seconds
    # A planned stop waits for it as for a request of its own.
    runtime.lifecycle.enter("pull_for")
    try:
        answered = await step_delivery.pull_here(
            runtime, msg.key, msg.pull, deadline
        )
    finally:
        runtime.lifecycle.leave("pull_for")
    if isinstance(answered, result.Err):
        return _to_reply(answered.err_value)
    return StepReply(codes.Code.OK.value.number, "", answered.ok_value)


def _refuse_while_stopping(runtime: runtime_lib.Runtime) -> StepReply | None:
    if runtime.lifecycle.phase is not lifecycle.Phase.STOPPING:
        return None
    return StepReply(codes.Code.STOPPING.value.number, "instance is stopping")


def _to_reply(refusal: codes.Refusal) -> StepReply:
    return StepReply(refusal.code.value.number, refusal.message)


@shared_facts.applies("version")
def apply_version(runtime: runtime_lib.Runtime, fact: facts.Fact) -> None:
    """Take over the newest version of a model from a fact."""
    runtime.steps.note_newest(fact.key, fact.version, runtime.clock())
