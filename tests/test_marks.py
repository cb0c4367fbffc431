"""Tests of leave marks on several instances with network partitions."""

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
# No process listens on port 1.
NO_STORE = "http://127.0.0.1:1"
SPREAD_TIMEOUT_SECONDS = 3.0
ENGINE = fleet_lib.ENGINE


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(1, 3), st.booleans()),
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_tables_converge_in_any_order_and_leave_wins(
    orders: list[tuple[int, int, bool]], rng: random.Random
) -> None:
    """Guards against a mark that depends on the order of arrival."""
    tables = [marks.MarkTable() for _ in range(3)]
    clocks = [rng.randint(0, 5) for _ in tables]
    created = []
    for number, incarnation, left in orders:
        now = clocks[number] = clocks[number] + rng.randint(0, 2)
        mark = tables[number].superseding_mark(
            "engine-1", incarnation, left, now
        )
        tables[number].put(mark)
        created.append(mark)
        assert tables[number].is_marked("engine-1", incarnation) is left
        # A mark does not apply to a restarted endpoint.
        assert not tables[number].is_marked("engine-1", 9)
    for table in tables:
        shuffled = list(created)
        rng.shuffle(shuffled)
        for mark in shuffled:
            table.put(mark)
    newest = {table.get("engine-1") for table in tables}
    assert len(newest) <= 1
    for mark in created:
        found = tables[0].get("engine-1")
        assert found is not None and found.order >= mark.order


def test_mark_is_not_reverted_by_an_earlier_change() -> None:
    """Guards against a leave through a new instance that is reverted.

    The new instance then reads an older clear with a higher counter from
    the store.
    """

    async def job() -> None:
        store_state = store.Store()
        async with loopback.serve(store.create_app(store_state)) as url:
            async with fleet_lib.fleet(2, store_url=url) as fleet:
                receiver = fleet.runtimes["entry-0"]
                for left in (True, False, True, False):
                    await leave_marks.change(receiver, "engine-1", 7, left)
                await fleet_lib.wait_until(
                    lambda: not receiver.directory.marks.unsaved_targets, 10
                )
            async with fleet_lib.fleet(2, store_url=NO_STORE) as fleet:
                receiver = fleet.runtimes["entry-0"]
                mark, _ = await leave_marks.change(
                    receiver, "engine-1", 7, True
                )
                client = store_client.create_client(receiver.client, url)
                assert await marks_controller.load(receiver, client)
                assert len(fleet.draining_instances()) == 2
                ahead = dataclasses.replace(
                    mark, left=False, counter=mark.counter + 60_000
                )
                receiver.facts.publish(leave_marks.to_fact(ahead, "entry-9"))
                await leave_marks.change(receiver, "engine-1", 7, True)
                assert len(fleet.draining_instances()) == 2

    anyio.run(job)


def test_mark_reaches_all_instances_in_time_without_the_store() -> None:
    """Guards against requests sent to a leaving endpoint after 3 s."""

    async def job() -> None:
        async with fleet_lib.fleet(8, store_url=NO_STORE) as fleet:
            # Direct messages between two instances are lost.
            fleet.cut_links_between([0], [5])
            receiver = fleet.runtimes["entry-0"]
            app = operator_app.create_app(receiver)
            client = httpx.AsyncClient(
                transport=httpx.ASGITransport(app=app), base_url="http://op"
            )
            headers = {"authorization": f"Bearer {builders.SECRET}"}
            responses = []

            async def send_order(verb: str) -> None:
                path = f"/v1/endpoints/engine-1/{verb}"
                resp = await client.post(path, headers=headers)
                responses.append(resp.json())

            for verb, count in (("leave", 8), ("clear", 0)):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_order, verb)
                    await fleet_lib.wait_until(
                        lambda count=count: (
                            len(fleet.draining_instances()) == count
                        ),
                        SPREAD_TIMEOUT_SECONDS,
                    )
            for response in responses:
                assert [i["instance"] for i in response["not_reached"]] == [
                    "entry-5"
                ]
                assert response["name"] == "partly_reached"
                assert len(response["known_on"]) == 7
                assert not response["in_store"]
            listed = await client.get("/v1/endpoints", headers=headers)
            assert [e["leaving"] for e in listed.json()["endpoints"]] == [
                False
            ]
            missing = await client.post(
                "/v1/endpoints/engine-9/leave", headers=headers
            )
            assert missing.status_code == 404

    anyio.run(job)


def test_mark_survives_a_restart_of_its_receiver_and_a_partition() -> None:
    """Guards against marks and members lost in restarts and partitions."""

    async def job() -> None:
        async with fleet_lib.fleet(4, store_url=NO_STORE) as fleet:
            fleet.cut_links_between([0, 1], [2, 3])
            await fleet_lib.wait_until(
                lambda: fleet.live_counts() == [2, 2, 2, 2], 15
            )
            await leave_marks.change(
                fleet.runtimes["entry-0"], "engine-1", 7, True
            )
            assert fleet.draining_instances() == ["entry-0", "entry-1"]
            await fleet.stop(0)
            fleet.start(0, store_url=NO_STORE)
            # Only a peer can send the mark to the restarted receiver.
            await fleet_lib.wait_until(
                lambda: "entry-0" in fleet.draining_instances(), 5
            )
            assert fleet.draining_instances() == ["entry-0", "entry-1"]
            fleet.cut_links.clear()
            await fleet_lib.wait_until(
                lambda: fleet.live_counts() == [4, 4, 4, 4], 15
            )
            await fleet_lib.wait_until(
                lambda: len(fleet.draining_instances()) == 4, 5
            )
            restarted = dataclasses.replace(ENGINE, incarnation=8)
            for runtime in fleet.runtimes.values():
                runtime.directory.put(restarted)
            assert fleet.draining_instances() == []

    anyio.run(job)


def test_mark_is_saved_and_read_back_by_a_new_fleet() -> None:
    """Guards against marks lost when every instance is replaced."""

    async def job() -> None:
        store_state = store.Store()
        async with loopback.serve(store.create_app(store_state)) as url:
            async with fleet_lib.fleet(2, store_url=url) as fleet:
                receiver = fleet.runtimes["entry-0"]
                await leave_marks.change(receiver, "engine-1", 7, True)
                await fleet_lib.wait_until(
                    lambda: not receiver.directory.marks.unsaved_targets, 10
                )
            async with fleet_lib.fleet(1, store_url=url) as fleet:
                await fleet_lib.wait_until(
                    lambda: len(fleet.draining_instances()) == 1, 5
                )
            async with httpx.AsyncClient(trust_env=False) as client:
                saved = store_client.create_client(client, url)
                entry = (await saved.get("mark/engine-1")).unwrap()
                assert entry.value["left"]

    anyio.run(job)


def test_stop_reaches_only_its_target_instance() -> None:
    """Guards against a stop of the wrong process, or of no process."""

    async def job() -> None:
        async with fleet_lib.fleet(3) as fleet:
            receiver = fleet.runtimes["entry-0"]
            target = fleet.runtimes["entry-1"]
            app = operator_app.create_app(receiver)
            client = httpx.AsyncClient(
                transport=httpx.ASGITransport(app=app),
                base_url="http://op",
                headers={"authorization": f"Bearer {builders.SECRET}"},
            )
            stale = instances.StopMessage(target.incarnation - 1)
            refused = await receiver.peers.request(
                target.members.me, stale, 2.0
            )
            assert refused.is_err()
            assert not target.lifecycle.stop_requested.is_set()
            resp = await client.post("/v1/instances/entry-1/stop")
            assert resp.is_success
            assert target.lifecycle.stop_requested.is_set()
            assert not receiver.lifecycle.stop_requested.is_set()
            # Its own mark excludes it from placement on every instance.
            table = receiver.directory.marks
            await fleet_lib.wait_until(
                lambda: table.is_marked("entry-1", target.incarnation), 3
            )
            await membership.leave(target)
            await fleet_lib.wait_until(
                lambda: (
                    receiver.members.get("entry-1") == target.members.me
                    and len(receiver.members.live()) == 2
                ),
                3,
            )
            await fleet.stop(1)
            resp = await client.post("/v1/instances/entry-1/stop")
            assert resp.json()["name"] == "unreachable"

    anyio.run(job)


def test_one_broken_link_evicts_no_member_over_sockets() -> None:
    """Guards against indirect probes that fail over real sockets."""

    async def job() -> None:
        async with fleet_lib.fleet(4) as fleet:
            fleet.cut_links_between([0], [1])
            with anyio.move_on_after(8):
                while True:
                    assert fleet.live_counts() == [4, 4, 4, 4]
                    await anyio.sleep(0.05)

    anyio.run(job)


def test_peers_with_tls_reject_a_peer_without_tls() -> None:
    """Guards against unencrypted traffic on ports that require TLS."""

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
            response = await plain.request_address(
                f"127.0.0.1:{port}", ping, 1.0
            )
            assert response.is_err()
            plain.close()

    anyio.run(job)


def test_readiness_waits_for_the_first_list() -> None:
    """Guards against calls rejected because no endpoint is known yet."""
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


def test_readers_publish_the_list_to_their_zone() -> None:
    """Guards against endpoints unknown to instances that do not poll."""

    async def job() -> None:
        async with fleet_lib.fleet(4) as fleet:
            reader = fleet.runtimes["entry-0"]
            listed = dataclasses.replace(ENGINE, id="engine-2")
            leaving = dataclasses.replace(
                ENGINE, id="engine-3", state=endpoints.EndpointState.LEAVING
            )
            endpoint_list.publish(reader, [listed, leaving])
            endpoint_list.mark_leaving_endpoints(reader, [listed, leaving])
            same_zone, other_zone = (
                fleet.runtimes["entry-2"],
                fleet.runtimes["entry-3"],
            )
            await fleet_lib.wait_until(
                lambda: same_zone.directory.get("engine-3") is not None, 5
            )
            # The list is published within its zone, the mark to all zones.
            await fleet_lib.wait_until(
                lambda: other_zone.directory.marks.is_marked("engine-3", 7), 3
            )
            assert other_zone.directory.get("engine-2") is None
            endpoint_list.publish(reader, [listed])
            await fleet_lib.wait_until(
                lambda: same_zone.directory.get("engine-3") is None, 5
            )

    anyio.run(job)
