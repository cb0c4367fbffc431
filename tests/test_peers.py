"""Requests between instances over real sockets on loopback."""

import contextlib
import dataclasses
import typing

import anyio
import ports
import result

from hibiscussaddle.adapters import peer_sockets
from hibiscussaddle.adapters import peers

PORTS = ports.free_ports(10)
SECRET = "secret-for-tests-0123456789"


@peers.message("test_echo")
@dataclasses.dataclass(frozen=True)
class Echo:
    """Ask for the same text back."""

    text: str = ""
    wait: float = 0.0


CALLS: list[str] = []


@peers.handles(Echo)
async def answer_echo(
    runtime: typing.Any, sender: peers.Sender, msg: Echo
) -> Echo | None:
    """Answer after the wait."""
    CALLS.append(msg.text)
    await anyio.sleep(msg.wait)
    if msg.text == "raise":
        raise ValueError(msg.text)
    return Echo(f"{sender.id}:{msg.text}")


@dataclasses.dataclass(frozen=True)
class Target:
    """Name a peer."""

    id: str
    address: str


def create(
    name: str, port: int, secret: str = SECRET, limit: int = 8
) -> peers.PeerTransport:
    """Return a transport on loopback."""
    return peers.PeerTransport(
        peers.Sender(name, 1),
        secret,
        f"127.0.0.1:{port}",
        peer_sockets.SocketCache(None, limit),
    )


@contextlib.asynccontextmanager
async def serving(*transports: peers.PeerTransport) -> typing.Any:
    """Serve the transports, then close them."""
    async with anyio.create_task_group() as tasks:
        for transport in transports:
            tasks.start_soon(transport.serve, typing.cast(typing.Any, None))
        await anyio.sleep(0)
        yield
        tasks.cancel_scope.cancel()
    for transport in transports:
        transport.close()


def kind_of(answer: typing.Any) -> peers.PeerErrorKind:
    """Return the kind of a failed request."""
    assert isinstance(answer, result.Err), answer
    return answer.err_value.kind


def test_slow_answers_do_not_block_or_mix() -> None:
    """Guards against answers that reach the wrong caller or queue up."""

    async def job() -> None:
        one, two = create("one", PORTS[0]), create("two", PORTS[1])
        target = Target("two", two.address)
        found: dict[str, typing.Any] = {}

        async def ask(text: str, wait: float) -> None:
            found[text] = await one.request(target, Echo(text, wait), 5.0)

        async with serving(one, two), anyio.create_task_group() as tasks:
            for number in range(50):
                # Earlier requests are answered later.
                tasks.start_soon(ask, str(number), (50 - number) / 100)
        for text, answer in found.items():
            assert answer.ok_value.text == f"one:{text}"
        assert len(found) == 50

    anyio.run(job)


def test_failures_tell_whether_the_handler_may_have_run() -> None:
    """Guards against "not run" for a message that a peer handled."""

    async def job() -> None:
        one, two = create("one", PORTS[0]), create("two", PORTS[1])
        forger = create("forger", PORTS[2], secret="x" * 20)
        target = Target("two", two.address)
        async with serving(one, two):
            CALLS.clear()
            gone = Target("gone", f"127.0.0.1:{PORTS[9]}")
            answer = await one.request(gone, Echo("gone"), 0.2)
            assert kind_of(answer) is peers.PeerErrorKind.UNREACHABLE
            other = Target("three", two.address)
            answer = await one.request(other, Echo("other"), 2.0)
            assert kind_of(answer) is peers.PeerErrorKind.MISDIRECTED
            large = Echo("x" * peers.MAX_FRAME_BYTES)
            answer = await one.request(target, large, 2.0)
            assert kind_of(answer) is peers.PeerErrorKind.TOO_LARGE
            answer = await forger.request(target, Echo("forged"), 0.2)
            assert kind_of(answer) is peers.PeerErrorKind.TIMEOUT
            two.link_filter = lambda way, _: way is peers.Direction.SEND
            answer = await one.request(target, Echo("cut"), 0.2)
            assert kind_of(answer) is peers.PeerErrorKind.TIMEOUT
            assert CALLS == []
            two.link_filter = lambda way, _: way is peers.Direction.RECEIVE
            answer = await one.request(target, Echo("answer cut"), 0.2)
            assert kind_of(answer) is peers.PeerErrorKind.TIMEOUT
            assert answer.err_value.ran == "unknown"
            two.link_filter = None
            answer = await one.request(target, Echo("raise"), 2.0)
            assert kind_of(answer) is peers.PeerErrorKind.FAILED
            answer = await one.request(target, Echo("slow", 0.4), 0.2)
            assert kind_of(answer) is peers.PeerErrorKind.TIMEOUT
            assert CALLS == ["answer cut", "raise", "slow"]
        forger.close()

    anyio.run(job)


def test_socket_cache_is_bounded() -> None:
    """Guards against one socket per member of a large fleet."""

    async def job() -> None:
        one = create("one", PORTS[0], limit=2)
        names = ("two", "three", "four")
        others = [
            create(name, PORTS[1 + number])
            for number, name in enumerate(names)
        ]
        sockets = one._sockets
        async with serving(one, *others):
            for other in others + others:
                target = Target(other.identity.id, other.address)
                answer = await one.request(target, Echo("a"), 2.0)
                assert answer.ok_value.text == "one:a"
                assert len(sockets) <= 2

    anyio.run(job)


def test_restarted_peer_is_reached_again() -> None:
    """Guards against a cached socket that stays with the old process."""

    async def job() -> None:
        one = create("one", PORTS[0])
        target = Target("two", f"127.0.0.1:{PORTS[1]}")
        for _ in range(2):
            async with serving(create("two", PORTS[1])):
                answer = await one.request(target, Echo("a"), 5.0)
                assert answer.ok_value.text == "one:a"
        one.close()

    anyio.run(job)
