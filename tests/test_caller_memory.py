"""Test the account of the bytes that an instance holds for callers."""

import typing

import hypothesis
from hypothesis import strategies
import pytest

from hibiscussaddle.callers import connections
from hibiscussaddle.callers import memory

MIB: typing.Final = 1 << 20
BUDGET: typing.Final = 20 * MIB
# Steps: caller, bytes of its next piece, seconds before it.
STEPS: typing.Final = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 7),
        strategies.sampled_from([1, 1_000, 65_536, MIB, 5 * MIB]),
        strategies.sampled_from([0.0, 0.3, 2.0]),
    ),
    max_size=60,
)


class Bodies:
    """Hold an account with a clock of its own and the bodies being read."""

    def __init__(self, budget: int = BUDGET) -> None:
        """Create an account without bodies."""
        self.now = 0.0
        self.account = memory.Account(budget, lambda: self.now)
        self.evicted: list[memory.Hold] = []

    def open(
        self, is_evictable: bool = True, holder: str = "bodies"
    ) -> memory.Hold:
        """Start a body, or a hold of another holder."""
        hold = self.account.open(holder)
        if is_evictable:
            hold.on_evict = lambda: self.evicted.append(hold)
        return hold

    def add(self, hold: memory.Hold, count: int) -> bool:
        """Receive a piece; return whether the body may go on."""
        hold.moved_bytes += count
        return hold.resize(hold.size + count)


@hypothesis.given(steps=STEPS)
def test_budget_is_never_exceeded(
    steps: list[tuple[int, int, float]],
) -> None:
    """Fails when bodies together exceed the budget, or bytes leak."""
    bodies = Bodies()
    holds = {number: bodies.open() for number in range(8)}
    for number, count, seconds in steps:
        bodies.now += seconds
        if not bodies.add(holds[number], count):
            holds[number].close()
            holds[number] = bodies.open()
        assert 0 <= bodies.account.held_bytes <= BUDGET
        # Two callers of one body must not end each other by turns.
        assert len(set(bodies.evicted)) == len(bodies.evicted)
    for hold in holds.values():
        hold.close()
        hold.close()
    for hold in bodies.evicted:
        hold.close()
    assert bodies.account.held_bytes == 0
    assert not any(bodies.account.by_holder.values())


@hypothesis.given(steps=STEPS)
def test_small_requests_are_admitted(
    steps: list[tuple[int, int, float]],
) -> None:
    """Fails when large bodies leave no room for an ordinary request."""
    bodies = Bodies()
    holds = {number: bodies.open() for number in range(8)}
    for number, count, seconds in steps:
        bodies.now += seconds
        bodies.add(holds[number], count)
        small = bodies.open()
        assert bodies.add(small, memory.SMALL_BYTES)
        small.close()


def test_slowest_body_is_refused_first() -> None:
    """Fails when a stalled body keeps the memory that others ask for."""
    bodies = Bodies()
    stalled, moving = bodies.open(), bodies.open()
    assert bodies.add(stalled, 8 * MIB)
    bodies.now = 4.0
    assert bodies.add(moving, 8 * MIB)
    bodies.now = 5.0
    newcomer = bodies.open()
    assert bodies.add(newcomer, 4 * MIB)
    assert bodies.evicted == [stalled]
    assert not stalled.resize(1)


def test_complete_body_is_not_refused() -> None:
    """Fails when a request that is under way loses its body."""
    bodies = Bodies()
    complete = bodies.open(is_evictable=False)
    assert bodies.add(complete, 17 * MIB)
    bodies.now = 60.0
    newcomer = bodies.open()
    assert not bodies.add(newcomer, 4 * MIB)
    assert complete.size == 17 * MIB


def test_refused_body_holds_nothing() -> None:
    """Fails when the bytes of a refused body stay in the account."""
    bodies = Bodies()
    hold = bodies.open()
    assert bodies.add(hold, 10 * MIB)
    assert not bodies.add(hold, 10 * MIB)
    assert bodies.account.held_bytes == 0
    assert bodies.account.refusals["bodies", "refused"] == 1


def test_response_is_kept_at_the_expense_of_a_slow_one() -> None:
    """Fails when responses that nobody reads keep out a ready one."""
    bodies = Bodies()
    unread, read, ready = (bodies.open() for _ in range(3))
    unread.force(9 * MIB)
    read.force(9 * MIB)
    read.moved_bytes = MIB
    ready.force(9 * MIB)
    assert bodies.evicted == [unread]
    assert ready.size == 9 * MIB


@pytest.mark.parametrize("size", [BUDGET + 1, 17 * MIB])
def test_body_that_never_fits_ends_no_other(size: int) -> None:
    """Fails when an asker ends others although it is refused in the end."""
    bodies = Bodies()
    complete = bodies.open(is_evictable=False)
    assert bodies.add(complete, 4 * MIB)
    for _ in range(3):
        assert bodies.add(bodies.open(), 4 * MIB)
    bodies.now = 60.0
    assert not bodies.add(bodies.open(), size)
    assert not bodies.evicted
    assert bodies.account.held_bytes == 16 * MIB


def test_moving_body_survives_a_newcomer() -> None:
    """Fails when a burst of a new caller ends a body that moves."""
    bodies = Bodies()
    moving = bodies.open()
    for _ in range(3):
        assert bodies.add(moving, 5 * MIB)
        bodies.now += 0.9
    newcomer = bodies.open()
    assert not bodies.add(newcomer, 15 * MIB)
    assert bodies.add(moving, 1)
    assert not bodies.evicted


def test_newcomer_ends_a_body_of_tiny_pieces() -> None:
    """Fails when a byte each moment keeps the memory from all newcomers."""
    bodies = Bodies()
    tiny = bodies.open()
    assert bodies.add(tiny, 15 * MIB)
    bodies.now = 600.0
    assert bodies.add(tiny, 1)
    assert bodies.add(bodies.open(), 10 * MIB)
    assert bodies.evicted == [tiny]


@pytest.mark.parametrize("age", [0.5, 60.0])
def test_body_ends_no_response(age: float) -> None:
    """Fails when a response that has run is lost to a body.

    The body can be refused truthfully; the caller of the response can't know
    that its request has run.
    """
    bodies = Bodies()
    unread = bodies.open(holder=memory.RESPONSES)
    unread.force(15 * MIB)
    bodies.now = 60.0 - age
    newcomer = bodies.open()
    bodies.now = 60.0
    assert not bodies.add(newcomer, 10 * MIB)
    assert not bodies.evicted


@pytest.mark.parametrize("holder", ["input", "endpoint_responses", "batches"])
def test_forced_growth_ends_bodies_only(holder: str) -> None:
    """Fails when input that is read ends a response that has run."""
    bodies = Bodies()
    unread = bodies.open(holder=memory.RESPONSES)
    unread.force(9 * MIB)
    bodies.now = 60.0
    body = bodies.open()
    assert bodies.add(body, 9 * MIB)
    bodies.open(holder=holder).force(9 * MIB)
    assert bodies.evicted == [body]


def test_response_that_has_just_begun_is_not_the_slowest() -> None:
    """Fails when a response is ended before its caller could take any."""
    bodies = Bodies()
    old, other = (bodies.open(holder=memory.RESPONSES) for _ in range(2))
    old.force(9 * MIB)
    old.moved_bytes = MIB
    bodies.now = 60.0
    fresh = bodies.open(holder=memory.RESPONSES)
    fresh.force(9 * MIB)
    other.force(9 * MIB)
    assert bodies.evicted == [old]


def test_descriptors_are_not_taken_from_a_fresh_response() -> None:
    """Fails when the slowest caller is the one that has just begun."""
    bodies = Bodies()
    stalled = bodies.open()
    assert bodies.add(stalled, MIB)
    bodies.now = 60.0
    fresh = bodies.open(holder=memory.RESPONSES)
    fresh.force(800)
    holders = ("bodies", memory.RESPONSES)
    assert bodies.account.evict_slowest(holders, "descriptors")
    assert bodies.evicted == [stalled]
    assert bodies.account.evict_slowest(holders, "descriptors")
    assert bodies.evicted == [stalled, fresh]


def test_largest_legal_body_fits_into_the_smallest_machine() -> None:
    """Fails when a single legal body is refused in calm on 150 MB."""
    bodies = Bodies(memory.budget_bytes(150))
    assert bodies.add(bodies.open(), 33_554_432)


@pytest.mark.parametrize(
    ("memory_mb", "largest_bytes"), [(88, 8_640_000), (128, 30_240_000)]
)
def test_small_machines_take_what_the_documents_say(
    memory_mb: int, largest_bytes: int
) -> None:
    """Fails when docs/OPERATIONS.md states another largest body."""
    bodies = Bodies(memory.budget_bytes(memory_mb))
    hold = bodies.open()
    assert bodies.add(hold, largest_bytes)
    hold.close()
    assert not bodies.add(bodies.open(), largest_bytes + 1)


def test_unknown_memory_refuses_nothing() -> None:
    """Fails when an instance that doesn't know its memory refuses bodies."""
    bodies = Bodies(memory.budget_bytes(0))
    assert bodies.add(bodies.open(), 1 << 36)


def test_descriptors_are_freed_by_a_caller_of_that_port() -> None:
    """Fails when a crowd of callers closes the connections of peers."""
    bodies = Bodies()
    peer = bodies.account.open("input")
    peer.on_evict = lambda: bodies.evicted.append(peer)
    caller = bodies.open()
    bodies.now = 5.0
    assert bodies.add(caller, MIB)
    assert bodies.account.evict_slowest(("bodies",), "descriptors")
    assert bodies.evicted == [caller]
    assert not bodies.account.evict_slowest(("bodies",), "descriptors")


class _Connection:
    def __init__(self) -> None:
        self.is_closed = False

    def close_idle(self) -> None:
        """Record the end."""
        self.is_closed = True

    def abort(self) -> None:
        """Record the end."""
        self.is_closed = True


def test_unused_connections_close_before_idle_ones() -> None:
    """Fails when a crowd that sends nothing takes over kept connections."""
    table = connections.ConnectionTable(3)
    kept, busy, unused, newcomer = (_Connection() for _ in range(4))
    for conn in (kept, busy, unused):
        assert table.admit(conn)
    table.mark_busy(kept)
    table.mark_idle(kept)
    table.mark_busy(busy)
    assert table.admit(newcomer)
    assert unused.is_closed
    table.mark_busy(newcomer)
    last = _Connection()
    assert table.admit(last)
    assert kept.is_closed
    table.mark_busy(last)
    assert not table.admit(_Connection())
    assert table.open_count == 3
    assert not busy.is_closed
    assert table.closed == {"unused": 1, "idle": 1, "refused": 1}


def test_closed_connection_is_not_idle() -> None:
    """Fails when a response after the close brings a connection back."""
    table = connections.ConnectionTable(1)
    conn = _Connection()
    assert table.admit(conn)
    table.remove(conn)
    table.mark_idle(conn)
    assert table.admit(_Connection())
    assert not conn.is_closed


def test_connection_limits_follow_from_the_descriptors() -> None:
    """Fails when connections of callers leave none for endpoints."""
    callers = connections.caller_limit(1_638)
    peers = connections.peer_limit(1_638)
    assert 2 * callers + peers <= 1_638 - 200
    assert callers > 500
    assert connections.caller_limit(0) == connections.UNLIMITED


def test_check_gets_in_beside_busy_connections() -> None:
    """Fails when requests that never end keep the platform's checks out."""
    table = connections.ConnectionTable(3, ends_oldest=True)
    busy = [_Connection() for _ in range(3)]
    for conn in busy:
        assert table.admit(conn)
        table.mark_busy(conn)
    check, newcomer = _Connection(), _Connection()
    assert table.admit(check)
    assert [conn.is_closed for conn in busy] == [True, False, False]
    # The check is not the next one to end, although it has sent nothing.
    assert table.admit(newcomer)
    assert [conn.is_closed for conn in busy] == [True, True, False]
    assert not check.is_closed
    assert table.open_count == 3


def test_connection_limit_follows_from_the_memory() -> None:
    """Fails when connections alone exceed the memory, or few are allowed."""
    for memory_mb in (120, 128, 150, 512):
        budget = memory.budget_bytes(memory_mb)
        limit = connections.caller_limit(100_000, budget)
        assert limit >= 256
        # Measured: a busy connection takes 0.115 MB.
        assert memory.CALM_BYTES + limit * 115_000 <= memory_mb * 1_000_000
