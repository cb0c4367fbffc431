"""Check with real processes that a planned stop drains running work."""

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
    fleet: processes.Fleet, started: threading.Event, texts: list[str]
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
            for chunk in resp.iter_text():
                text += chunk
                started.set()
    except httpx.HTTPError:
        pass
    finally:
        texts.append(text)
        started.set()


def _start_stream(
    fleet: processes.Fleet,
) -> tuple[threading.Thread, list[str]]:
    started, texts = threading.Event(), list[str]()
    thread = threading.Thread(
        target=_read_stream, args=(fleet, started, texts)
    )
    thread.start()
    assert started.wait(20.0)
    return thread, texts


def test_stop_finishes_streams_and_bookings(fleet: processes.Fleet) -> None:
    """Guards against a SIGTERM that cuts a stream or loses a booking.

    New work must be refused while the running work is finished.
    """
    entry = fleet.processes[-1]
    service = f"http://127.0.0.1:{fleet.port('service')}"
    fleet.client.post(service + "/faults", json={"delay_seconds": 1.0})
    headers = dict(processes.CALLER_HEADERS)
    response = fleet.client.post(fleet.url(1) + "/v1/tickets", headers=headers)
    headers["idempotency-key"] = response.json()["ticket"]
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
    thread, texts = _start_stream(fleet)
    url = fleet.url(1)
    # Without this wait, the stop could refuse a booking that starts late.
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
    events, is_complete = stack_lib.read_events(texts[0])
    assert is_complete
    assert sum(event["tokens"] for event in events) == TOKENS
    assert booked[0].json().get("echo") == "net 7", booked[0].text
    assert entry.wait(10.0) == 0


def test_second_signal_aborts_and_logs_after_five_seconds(
    fleet: processes.Fleet,
) -> None:
    """Guards against a first signal that aborts or a second that does not."""
    entry = fleet.processes[-1]
    fleet.client.post(
        f"http://127.0.0.1:{fleet.port('engine')}/behaviour",
        json={"slow_factor": 20.0},
    )
    thread, texts = _start_stream(fleet)
    entry.signal(signal.SIGTERM)
    url = fleet.url(1)
    fleet.wait_until(
        lambda: fleet.client.get(url + "/readyz").status_code == 503
    )
    signalled_at = time.monotonic()
    entry.signal(signal.SIGTERM)
    assert entry.wait(20.0) == 0
    elapsed = time.monotonic() - signalled_at
    thread.join(10.0)
    assert 5.0 <= elapsed < 10.0
    _, is_complete = stack_lib.read_events(texts[0].rsplit("\n\n", 1)[0])
    assert not is_complete
    log = entry.log.read_text()
    assert "event=cut why=second_signal model=1" in log
