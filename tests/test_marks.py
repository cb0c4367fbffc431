"""Leave marks over several instances with cut links."""

import dataclasses
import pathlib
import random

import anyio
import builders
import fleet as fleet_lib
import httpx
import hypothesis
from hypothesis import strategies as st
import loopback

from hibiscussaddle.adapters import peers
from hibiscussaddle.adapters import store as store_client
from hibiscussaddle.controllers import endpoints as endpoint_list
from hibiscussaddle.controllers import marks as marks_controller
from hibiscussaddle.controllers import membership
from hibiscussaddle import endpoints
from hibiscussaddle import gossip
from hibiscussaddle import leave_marks
from hibiscussaddle import lifecycle
from hibiscussaddle.operations import instances
from hibiscussaddle import operator_app
from hibiscussaddle.platform.standins import store
from hibiscussaddle.policy import marks

TLS = pathlib.Path(__file__).parent / "data" / "tls"
# Nothing listens at port 1.
NO_STORE = "http://127.0.0.1:1"
LIMIT_SECONDS = 3.0
ENGINE = fleet_lib.ENGINE


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(1, 3), st.booleans()),
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_boards_agree_in_any_order_and_leave_wins(
    orders: list[tuple[int, int, bool]], rng: random.Random
) -> None:
    """Guards against a mark that depends on the order of arrival."""
    boards = [marks.MarkTable() for _ in range(3)]
    clocks = [rng.randint(0, 5) for _ in boards]
    made = []
    for number, incarnation, left in orders:
        now = clocks[number] = clocks[number] + rng.randint(0, 2)
        mark = boards[number].superseding_mark(
            "engine-1", incarnation, left, now
        )
        boards[number].put(mark)
        made.append(mark)
        assert boards[number].is_marked("engine-1", incarnation) is left
        # A restarted endpoint is no longer the one that was marked.
        assert not boards[number].is_marked("engine-1", 9)
    for board in boards:
        shuffled = list(made)
        rng.shuffle(shuffled)
        for mark in shuffled:
            board.put(mark)
    newest = {board.get("engine-1") for board in boards}
    assert len(newest) <= 1
    for mark in made:
        found = boards[0].get("engine-1")
        assert found is not None and found.order >= mark.order


def test_order_is_not_undone_by_an_earlier_one() -> None:
    """Guards against a leave through a new instance that is reverted.

    The store told that instance of an older clear with a higher counter.
    """

    async def job() -> None:
        fake = store.Store()
        async with loopback.serve(store.create_app(fake)) as url:
            async with fleet_lib.fleet(2, store_url=url) as fleet:
                taker = fleet.runtimes["entry-0"]
                for left in (True, False, True, False):
                    await leave_marks.change(taker, "engine-1", 7, left)
                await fleet_lib.until(
                    lambda: not taker.directory.marks.unsaved_targets, 10
                )
            async with fleet_lib.fleet(2, store_url=NO_STORE) as fleet:
                taker = fleet.runtimes["entry-0"]
                mark, _ = await leave_marks.change(taker, "engine-1", 7, True)
                client = store_client.create_client(taker.client, url)
                assert await marks_controller.load(taker, client)
                assert len(fleet.marked()) == 2
                ahead = dataclasses.replace(
                    mark, left=False, counter=mark.counter + 60_000
                )
                taker.facts.publish(leave_marks.to_fact(ahead, "entry-9"))
                await leave_marks.change(taker, "engine-1", 7, True)
                assert len(fleet.marked()) == 2

    anyio.run(job)


def test_mark_reaches_all_in_time_with_the_store_down() -> None:
    """Guards against work sent to a leaving endpoint after 3 s."""

    async def job() -> None:
        async with fleet_lib.fleet(8, store_url=NO_STORE) as fleet:
            # The direct message to one instance and back is lost.
            fleet.separate([0], [5])
            taker = fleet.runtimes["entry-0"]
            app = operator_app.create_app(taker)
            client = httpx.AsyncClient(
                transport=httpx.ASGITransport(app=app), base_url="http://op"
            )
            headers = {"authorization": f"Bearer {builders.SECRET}"}
            answers = []

            async def order(verb: str) -> None:
                path = f"/v1/endpoints/engine-1/{verb}"
                resp = await client.post(path, headers=headers)
                answers.append(resp.json())

            for verb, count in (("leave", 8), ("clear", 0)):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(order, verb)
                    await fleet_lib.until(
                        lambda count=count: len(fleet.marked()) == count,
                        LIMIT_SECONDS,
                    )
            for answer in answers:
                assert [i["instance"] for i in answer["not_reached"]] == [
                    "entry-5"
                ]
                assert answer["name"] == "partly_reached"
                assert len(answer["known_on"]) == 7
                assert not answer["in_store"]
            listed = await client.get("/v1/endpoints", headers=headers)
            assert [e["leaving"] for e in listed.json()["endpoints"]] == [
                False
            ]
            missing = await client.post(
                "/v1/endpoints/engine-9/leave", headers=headers
            )
            assert missing.status_code == 404

    anyio.run(job)


def test_mark_survives_its_taker_and_a_partition() -> None:
    """Guards against marks and members lost by restarts and partitions."""

    async def job() -> None:
        async with fleet_lib.fleet(4, store_url=NO_STORE) as fleet:
            fleet.separate([0, 1], [2, 3])
            await fleet_lib.until(
                lambda: fleet.live_counts() == [2, 2, 2, 2], 15
            )
            await leave_marks.change(
                fleet.runtimes["entry-0"], "engine-1", 7, True
            )
            assert fleet.marked() == ["entry-0", "entry-1"]
            await fleet.stop(0)
            fleet.start(0, store_url=NO_STORE)
            # Nobody but a peer can tell the restarted taker.
            await fleet_lib.until(lambda: "entry-0" in fleet.marked(), 5)
            assert fleet.marked() == ["entry-0", "entry-1"]
            fleet.cut.clear()
            await fleet_lib.until(
                lambda: fleet.live_counts() == [4, 4, 4, 4], 15
            )
            await fleet_lib.until(lambda: len(fleet.marked()) == 4, 5)
            renewed = dataclasses.replace(ENGINE, incarnation=8)
            for runtime in fleet.runtimes.values():
                runtime.directory.put(renewed)
            assert fleet.marked() == []

    anyio.run(job)


def test_mark_is_saved_and_read_back_by_a_new_fleet() -> None:
    """Guards against marks lost when every instance is replaced."""

    async def job() -> None:
        fake = store.Store()
        async with loopback.serve(store.create_app(fake)) as url:
            async with fleet_lib.fleet(2, store_url=url) as fleet:
                taker = fleet.runtimes["entry-0"]
                await leave_marks.change(taker, "engine-1", 7, True)
                await fleet_lib.until(
                    lambda: not taker.directory.marks.unsaved_targets, 10
                )
            async with fleet_lib.fleet(1, store_url=url) as fleet:
                await fleet_lib.until(lambda: len(fleet.marked()) == 1, 5)
            async with httpx.AsyncClient(trust_env=False) as client:
                saved = store_client.create_client(client, url)
                entry = (await saved.get("mark/engine-1")).unwrap()
                assert entry.value["left"]

    anyio.run(job)


def test_stop_reaches_the_named_instance_only() -> None:
    """Guards against a stop of the wrong process, or of none."""

    async def job() -> None:
        async with fleet_lib.fleet(3) as fleet:
            taker = fleet.runtimes["entry-0"]
            named = fleet.runtimes["entry-1"]
            app = operator_app.create_app(taker)
            client = httpx.AsyncClient(
                transport=httpx.ASGITransport(app=app),
                base_url="http://op",
                headers={"authorization": f"Bearer {builders.SECRET}"},
            )
            stale = instances.StopMessage(named.incarnation - 1)
            refused = await taker.peers.request(named.members.me, stale, 2.0)
            assert refused.is_err()
            assert not named.lifecycle.stop_requested.is_set()
            resp = await client.post("/v1/instances/entry-1/stop")
            assert resp.is_success
            assert named.lifecycle.stop_requested.is_set()
            assert not taker.lifecycle.stop_requested.is_set()
            # Its own mark takes it out of everybody's choice.
            board = taker.directory.marks
            await fleet_lib.until(
                lambda: board.is_marked("entry-1", named.incarnation), 3
            )
            await membership.leave(named)
            await fleet_lib.until(
                lambda: (
                    taker.members.get("entry-1") == named.members.me
                    and len(taker.members.live()) == 2
                ),
                3,
            )
            await fleet.stop(1)
            resp = await client.post("/v1/instances/entry-1/stop")
            assert resp.json()["name"] == "unreachable"

    anyio.run(job)


def test_one_bad_link_evicts_nobody_over_sockets() -> None:
    """Guards against indirect probes that do not work between processes."""

    async def job() -> None:
        async with fleet_lib.fleet(4) as fleet:
            fleet.separate([0], [1])
            with anyio.move_on_after(8):
                while True:
                    assert fleet.live_counts() == [4, 4, 4, 4]
                    await anyio.sleep(0.05)

    anyio.run(job)


def test_peers_with_tls_refuse_a_peer_without() -> None:
    """Guards against plain traffic on ports that should be encrypted."""

    async def job() -> None:
        tls = {
            "tls_ca": str(TLS / "ca.pem"),
            "tls_cert": str(TLS / "peer.pem"),
            "tls_key": str(TLS / "peer.key"),
        }
        async with fleet_lib.fleet(3, **tls) as fleet:
            port = fleet.ports[0]
            sockets = peers.peer_sockets.SocketCache(None)
            plain = peers.PeerTransport(
                peers.Sender("plain", 1), builders.SECRET, "", sockets
            )
            ping = gossip.Ping("zone-a", (), {})
            answer = await plain.request_address(
                f"127.0.0.1:{port}", ping, 1.0
            )
            assert answer.is_err()
            plain.close()

    anyio.run(job)


def test_readiness_waits_for_the_first_list() -> None:
    """Guards against calls refused because no endpoint is known yet."""
    life = lifecycle.Lifecycle(["endpoints", "marks"])
    life.set_ready()
    life.release("marks")
    assert life.phase is lifecycle.Phase.STARTING
    life.release("endpoints")
    assert life.phase is lifecycle.Phase.READY
    stopping = lifecycle.Lifecycle(["endpoints"])
    stopping.set_ready()
    stopping.request_stop()
    stopping.release("endpoints")
    assert stopping.phase is lifecycle.Phase.STOPPING


def test_readers_pass_the_list_to_their_zone() -> None:
    """Guards against endpoints unknown to instances that do not poll."""

    async def job() -> None:
        async with fleet_lib.fleet(4) as fleet:
            reader = fleet.runtimes["entry-0"]
            listed = dataclasses.replace(ENGINE, id="engine-2")
            leaving = dataclasses.replace(
                ENGINE, id="engine-3", state=endpoints.EndpointState.LEAVING
            )
            endpoint_list.publish(reader, [listed, leaving])
            endpoint_list.mark_leaving(reader, [listed, leaving])
            near, far = fleet.runtimes["entry-2"], fleet.runtimes["entry-3"]
            await fleet_lib.until(
                lambda: near.directory.get("engine-3") is not None, 5
            )
            # The list stays in its zone, and the mark does not.
            await fleet_lib.until(
                lambda: far.directory.marks.is_marked("engine-3", 7), 3
            )
            assert far.directory.get("engine-2") is None
            endpoint_list.publish(reader, [listed])
            await fleet_lib.until(
                lambda: near.directory.get("engine-3") is None, 5
            )

    anyio.run(job)
