"""Spread accepted contracts to every instance, and learn them at start."""

import dataclasses
import logging
import typing

import anyio
import msgspec
import result

from hibiscussaddle.adapters import peers
from hibiscussaddle import broadcast
from hibiscussaddle import contracts
from hibiscussaddle import logs
from hibiscussaddle.policy import contract_document as documents
from hibiscussaddle.policy import facts as facts_policy
from hibiscussaddle import runtime as runtime_lib
from hibiscussaddle import shared_facts

_LOG = logging.getLogger(__name__)
KIND: typing.Final = "contract"
CONFIRMED_KIND: typing.Final = "confirmed"
# Every instance states the same fact, so that it spreads only once.
_ORIGIN: typing.Final = "store"
PEER_SECONDS: typing.Final = 1.0
# Half of the largest frame.
MAX_PAGE_BYTES: typing.Final = 512 * 1024


@peers.message("confirm")
@dataclasses.dataclass(frozen=True)
class Confirm:
    """Tell a contract that the store accepted."""

    customer: str
    revision: int
    document: documents.Json


@peers.message("contracts_of")
@dataclasses.dataclass(frozen=True)
class ContractsOf:
    """Ask for the contracts in force on a peer."""

    # Customers up to this one are known already.
    after: str = ""


@dataclasses.dataclass(frozen=True)
class InForce:
    """Hold one contract in force."""

    revision: int
    document: documents.Json


@peers.message("contracts_page")
@dataclasses.dataclass(frozen=True)
class ContractsPage:
    """Answer with contracts, ordered by customer."""

    # False while the peer itself has not learnt the contracts.
    known: bool
    # Seconds since the store confirmed what the peer knows.
    age: float = 0.0
    found: tuple[InForce, ...] = ()
    more: bool = False


@peers.handles(Confirm)
async def answer_confirm(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: Confirm
) -> peers.Ack:
    """Put a contract in force; an error leaves the sender unconfirmed."""
    put_in_force(runtime, msg.document, msg.revision)
    record = runtime.contracts.get(msg.customer)
    if record is None or record.revision < msg.revision:
        raise ValueError(f"contract of {msg.customer!r} is malformed")
    return peers.Ack()


@peers.handles(ContractsOf)
async def answer_contracts_of(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: ContractsOf
) -> ContractsPage:
    """Return the contracts after a customer, as many as fit."""
    age = runtime.contracts.age()
    if age is None:
        return ContractsPage(known=False)
    found: list[InForce] = []
    size = 0
    for record in runtime.contracts.all():
        if record.contract.customer <= msg.after:
            continue
        item = InForce(record.revision, record.contract.to_dict())
        size += len(msgspec.msgpack.encode(item))
        if found and size > MAX_PAGE_BYTES:
            return ContractsPage(True, age, tuple(found), more=True)
        found.append(item)
    return ContractsPage(True, age, tuple(found))


@shared_facts.applies(KIND)
def apply_contract(
    runtime: runtime_lib.Runtime, fact: facts_policy.Fact
) -> None:
    """Put a contract that a peer told in force."""
    parsed = contracts.parse(fact.value)
    if isinstance(parsed, result.Err):
        why = parsed.err_value.message
        logs.event(_LOG, "contract_malformed", key=fact.key, why=why)
        return
    record = contracts.ContractRecord(parsed.ok_value, fact.version)
    if runtime.contracts.apply(record):
        logs.event(
            _LOG,
            "contract_applied",
            customer=record.contract.customer,
            revision=record.revision,
        )


@shared_facts.applies(CONFIRMED_KIND)
def apply_confirmed(
    runtime: runtime_lib.Runtime, _: facts_policy.Fact
) -> None:
    """Note that a reader of this zone just heard from the store."""
    if runtime.contracts.confirmed_at is not None:
        runtime.contracts.confirm()


def put_in_force(
    runtime: runtime_lib.Runtime, document: documents.Json, revision: int
) -> None:
    """Put a contract in force here and pass it on if it is newer."""
    # Parsed first: a fact that no instance can apply must not spread.
    parsed = contracts.parse(document)
    if isinstance(parsed, result.Err):
        why = parsed.err_value.message
        logs.event(_LOG, "contract_malformed", revision=revision, why=why)
        return
    contract = parsed.ok_value
    runtime.facts.publish(
        facts_policy.Fact(
            KIND, contract.customer, revision, _ORIGIN, contract.to_dict()
        )
    )


def tell_confirmed(runtime: runtime_lib.Runtime, count: int) -> None:
    """Tell the zone that the store confirmed the contracts just now."""
    version = runtime.incarnation + count
    name = runtime.cfg.instance
    runtime.facts.publish(
        facts_policy.Fact(CONFIRMED_KIND, name, version, name, None)
    )


async def confirm_everywhere(
    runtime: runtime_lib.Runtime, record: contracts.ContractRecord
) -> broadcast.Reach:
    """Send a contract to every member; return who put it in force."""
    contract = record.contract
    msg = Confirm(contract.customer, record.revision, contract.to_dict())
    return await broadcast.send(runtime, msg)


async def learn_from_peers(runtime: runtime_lib.Runtime, count: int) -> int:
    """Take the contracts of some peers; return how many told all."""
    others = list(runtime.members.others())
    runtime.rng.shuffle(others)
    # Peers of the own zone first: in a cut-off zone only they answer.
    others.sort(key=lambda member: member.zone != runtime.cfg.zone)
    answered = 0

    async def ask(member: peers.Target) -> None:
        nonlocal answered
        answered += await _learn_from(runtime, member)

    async with anyio.create_task_group() as tasks:
        for member in others[:count]:
            tasks.start_soon(ask, member)
    return answered


async def _learn_from(
    runtime: runtime_lib.Runtime, member: peers.Target
) -> bool:
    after = ""
    while True:
        answer = await runtime.peers.request(
            member, ContractsOf(after), PEER_SECONDS
        )
        if isinstance(answer, result.Err):
            return False
        page: ContractsPage = answer.ok_value
        if not page.known:
            return False
        for item in page.found:
            put_in_force(runtime, item.document, item.revision)
        if not page.more:
            runtime.contracts.confirm(page.age)
            return True
        after = str(page.found[-1].document["customer"])
