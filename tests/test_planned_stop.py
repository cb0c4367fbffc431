"""Check with real processes that a planned stop cuts nothing."""

from collections import abc
import pathlib
import signal
import threading
import time

import httpx
import pytest

import processes
import stack as stack_lib

pytestmark = pytest.mark.process

TOKENS = 1200


@pytest.fixture(name="fleet")
def create_fleet(tmp_path: pathlib.Path) -> abc.Iterator[processes.Fleet]:
    """Run one instance, a slow engine and a service."""
    with processes.run_fleet(tmp_path) as fleet:
        fleet.start_engine(token_seconds=0.002)
        fleet.start_service()
        fleet.start_entry(1)
        fleet.accept_contract(1)
        fleet.wait_until_ready(1)
        quote = fleet.url(1) + "/v1/services/booking/quotes"
        fleet.wait_until(
            lambda: (
                fleet.client.get(
                    quote, headers=processes.CALLER_HEADERS
                ).is_success
            )
        )
        yield fleet


def _read_stream(
    fleet: processes.Fleet, begun: threading.Event, out: list[str]
) -> None:
    body = {"model": "base", "stream": True, "max_tokens": TOKENS}
    text = ""
    try:
        with httpx.stream(
            "POST",
            fleet.url(1) + "/v1/chat/completions",
            json=body,
            headers=processes.CALLER_HEADERS,
            timeout=30.0,
            trust_env=False,
        ) as resp:
            for part in resp.iter_text():
                text += part
                begun.set()
    except httpx.HTTPError:
        pass
    finally:
        out.append(text)
        begun.set()


def _start_stream(
    fleet: processes.Fleet,
) -> tuple[threading.Thread, list[str]]:
    begun, out = threading.Event(), list[str]()
    thread = threading.Thread(target=_read_stream, args=(fleet, begun, out))
    thread.start()
    assert begun.wait(20.0)
    return thread, out


def test_stop_finishes_streams_and_bookings(fleet: processes.Fleet) -> None:
    """Fails when SIGTERM cuts a stream, loses a booking or takes work."""
    entry = fleet.processes[-1]
    service = f"http://127.0.0.1:{fleet.port('service')}"
    fleet.client.post(service + "/faults", json={"delay_seconds": 1.0})
    headers = dict(processes.CALLER_HEADERS)
    answer = fleet.client.post(fleet.url(1) + "/v1/tickets", headers=headers)
    headers["idempotency-key"] = answer.json()["ticket"]
    booked: list[httpx.Response] = []

    def book() -> None:
        booked.append(
            httpx.post(
                fleet.url(1) + "/v1/services/booking/orders",
                content=b"net 7",
                headers=headers,
                timeout=30.0,
                trust_env=False,
            )
        )

    booking = threading.Thread(target=book)
    booking.start()
    thread, out = _start_stream(fleet)
    url = fleet.url(1)
    # Its thread can start so late that a stop refuses the booking.
    running = 'hibiscussaddle_requests_running{kind="service_run"} 1'
    fleet.wait_until(
        lambda: running in fleet.client.get(url + "/metrics").text
    )
    entry.signal(signal.SIGTERM)
    fleet.wait_until(
        lambda: fleet.client.get(url + "/readyz").status_code == 503
    )
    body = {"model": "base", "max_tokens": 4}
    refused = fleet.client.post(
        url + "/v1/chat/completions",
        json=body,
        headers=processes.CALLER_HEADERS,
    )
    assert refused.json()["code"] == 1101
    assert fleet.client.get(url + "/healthz").status_code == 200
    assert thread.is_alive(), "the stream ended before the refusal"
    thread.join(30.0)
    booking.join(30.0)
    events, is_whole = stack_lib.read_events(out[0])
    assert is_whole
    assert sum(event["tokens"] for event in events) == TOKENS
    assert booked[0].json().get("echo") == "net 7", booked[0].text
    assert entry.wait(10.0) == 0


def test_second_signal_names_and_cuts_after_five_seconds(
    fleet: processes.Fleet,
) -> None:
    """Fails when a first signal cuts or a second one never does."""
    entry = fleet.processes[-1]
    fleet.client.post(
        f"http://127.0.0.1:{fleet.port('engine')}/behaviour",
        json={"slow_factor": 20.0},
    )
    thread, out = _start_stream(fleet)
    entry.signal(signal.SIGTERM)
    url = fleet.url(1)
    fleet.wait_until(
        lambda: fleet.client.get(url + "/readyz").status_code == 503
    )
    started = time.monotonic()
    entry.signal(signal.SIGTERM)
    assert entry.wait(20.0) == 0
    took = time.monotonic() - started
    thread.join(10.0)
    assert 5.0 <= took < 10.0
    _, is_whole = stack_lib.read_events(out[0].rsplit("\n\n", 1)[0])
    assert not is_whole
    log = entry.log.read_text()
    assert "event=cut why=second_signal model=1" in log
