"""Replicate accepted contracts to every instance and load them at start."""

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
# Every instance publishes an identical fact, so that it is forwarded once.
_ORIGIN: typing.Final = "store"
PEER_TIMEOUT_SECONDS: typing.Final = 1.0
# Half of the maximum frame size.
MAX_PAGE_BYTES: typing.Final = 512 * 1024


@peers.message("confirm")
@dataclasses.dataclass(frozen=True)
class Confirm:
    """Send a contract that the store accepted."""

    customer: str
    revision: int
    document: documents.Json


@peers.message("contracts_of")
@dataclasses.dataclass(frozen=True)
class ContractsOf:
    """Request the contracts in force on a peer."""

    # Only customers after this one are returned.
    after: str = ""


@dataclasses.dataclass(frozen=True)
class InForce:
    """Describe one contract in force."""

    revision: int
    document: documents.Json


@peers.message("contracts_page")
@dataclasses.dataclass(frozen=True)
class ContractsPage:
    """Return contracts, ordered by customer."""

    # False while the peer itself has not loaded the contracts.
    known: bool
    # Seconds since the store confirmed the peer's contracts.
    age: float = 0.0
    found: tuple[InForce, ...] = ()
    more: bool = False


@peers.handles(Confirm)
async def handle_confirm(
    runtime: runtime_lib.Runtime, _: peers.Sender, msg: Confirm
) -> peers.Ack:
    """Apply a contract; an error leaves it unconfirmed at the sender."""
    publish_contract(runtime, msg.document, msg.revision)
    record = runtime.contracts.get(msg.customer)
    if record is None or record.revision < msg.revision:
        raise ValueError(f"contract of {msg.customer!r} is malformed")
    return peers.Ack()


@peers.handles(ContractsOf)
async def handle_contracts_of(
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
    """Apply a contract received from a peer."""
    parsed = contracts.parse(fact.value)
    if isinstance(parsed, result.Err):
        reason = parsed.err_value.message
        logs.event(_LOG, "contract_malformed", key=fact.key, why=reason)
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
def apply_confirmation(
    runtime: runtime_lib.Runtime, _: facts_policy.Fact
) -> None:
    """Record a confirmation that a store reader of this zone received."""
    # Before the first load, this instance may lack contracts.
    if runtime.contracts.confirmed_at is not None:
        runtime.contracts.confirm()


def publish_contract(
    runtime: runtime_lib.Runtime, document: documents.Json, revision: int
) -> None:
    """Apply a contract on this instance and forward it if it is newer."""
    # Parsed first: a fact that no instance can apply must not be forwarded.
    parsed = contracts.parse(document)
    if isinstance(parsed, result.Err):
        reason = parsed.err_value.message
        logs.event(_LOG, "contract_malformed", revision=revision, why=reason)
        return
    contract = parsed.ok_value
    runtime.facts.publish(
        facts_policy.Fact(
            KIND, contract.customer, revision, _ORIGIN, contract.to_dict()
        )
    )


def publish_confirmation(runtime: runtime_lib.Runtime, count: int) -> None:
    """Notify the zone that the store has just confirmed the contracts.

    The count of confirmations orders the facts of this incarnation.
    """
    version = runtime.incarnation + count
    name = runtime.cfg.instance
    runtime.facts.publish(
        facts_policy.Fact(CONFIRMED_KIND, name, version, name, None)
    )


async def broadcast_contract(
    runtime: runtime_lib.Runtime, record: contracts.ContractRecord
) -> broadcast.DeliveryReport:
    """Send a contract to every member; return which members applied it."""
    contract = record.contract
    msg = Confirm(contract.customer, record.revision, contract.to_dict())
    return await broadcast.send(runtime, msg)


async def fetch_from_peers(runtime: runtime_lib.Runtime, count: int) -> int:
    """Fetch contracts from up to count peers; return how many succeeded."""
    others = list(runtime.members.others())
    runtime.rng.shuffle(others)
    # Peers of the own zone first: in a partitioned zone only they respond.
    others.sort(key=lambda member: member.zone != runtime.cfg.zone)
    success_count = 0

    async def fetch_from_member(member: peers.Target) -> None:
        nonlocal success_count
        success_count += await _fetch_from(runtime, member)

    async with anyio.create_task_group() as tasks:
        for member in others[:count]:
            tasks.start_soon(fetch_from_member, member)
    return success_count


async def _fetch_from(
    runtime: runtime_lib.Runtime, member: peers.Target
) -> bool:
    after = ""
    while True:
        response = await runtime.peers.request(
            member, ContractsOf(after), PEER_TIMEOUT_SECONDS
        )
        if isinstance(response, result.Err):
            return False
        page: ContractsPage = response.ok_value
        if not page.known:
            return False
        for item in page.found:
            publish_contract(runtime, item.document, item.revision)
        if not page.more:
            runtime.contracts.confirm(page.age)
            return True
        after = str(page.found[-1].document["customer"])
