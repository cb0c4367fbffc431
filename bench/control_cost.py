"""Read what running entry instances pay for control.

Run by bench/control_cost.sh with the first operator port, the seconds to
settle and to measure, and the process ids. Only reads /proc and /v1/status.
"""

import base64
import dataclasses
import json
import os
import statistics
import sys
import time
import typing

import httpx

SECRET: typing.Final = os.environ.get("HIBISCUSSADDLE_OPERATOR_SECRET", "")
STORE_URL: typing.Final = os.environ.get("STORE_URL", "")
_TICKS: typing.Final = os.sysconf("SC_CLK_TCK")
START_SECONDS: typing.Final = 120.0


@dataclasses.dataclass(frozen=True)
class Reading:
    """Hold the counters of one instance."""

    cpu_seconds: float
    memory_bytes: int
    bytes_sent: int
    live: int


def read(client: httpx.Client, port: int, pid: int) -> Reading:
    """Return the counters of one instance now."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as source:
        fields = source.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as source:
        resident = next(
            int(line.split()[1]) for line in source if line.startswith("VmRSS")
        )
    status = client.get(
        f"http://127.0.0.1:{port}/v1/status",
        headers={"authorization": f"Bearer {SECRET}"},
    ).json()
    members = status["members"]
    return Reading(
        (int(fields[11]) + int(fields[12])) / _TICKS,
        resident * 1024,
        status["peer_bytes_sent"],
        members.get("alive", 0) + members.get("suspect", 0),
    )


def wait_joined(client: httpx.Client, first_port: int, size: int) -> float:
    """Wait until every instance knows all others; return the seconds."""
    started = time.monotonic()
    waiting = list(range(size))
    while waiting:
        if time.monotonic() - started > START_SECONDS:
            raise SystemExit(f"not joined in time: {waiting}")
        try:
            status = client.get(
                f"http://127.0.0.1:{first_port + waiting[0]}/v1/status",
                headers={"authorization": f"Bearer {SECRET}"},
            ).json()
            if status["members"].get("alive", 0) == size:
                waiting.pop(0)
                continue
        except httpx.HTTPError:
            pass
        time.sleep(0.2)
    return time.monotonic() - started


def put_contract(client: httpx.Client) -> None:
    """Give the store one contract, so that instances become ready."""
    first = json.loads(os.environ["FIRST_CONTRACT"])
    value = base64.b64encode(json.dumps(first["value"]).encode()).decode()
    change = {
        "expected": [{"key": "contract/cereza", "revision": 0}],
        "put": [{"key": "contract/cereza", "value": value}],
    }
    until = time.monotonic() + START_SECONDS
    while time.monotonic() < until:
        try:
            client.post(STORE_URL + "/-/kv-txn", json=change)
            return
        except httpx.HTTPError:
            time.sleep(0.2)
    raise SystemExit("the store did not start in time")


def store_calls(client: httpx.Client) -> dict[str, int]:
    """Return the calls that the store has counted, by kind."""
    if not STORE_URL:
        return {}
    return {
        str(kind): int(count)
        for kind, count in client.get(STORE_URL + "/calls").json().items()
    }


def main() -> None:
    """Print one line of figures for each node."""
    first_port, settle, seconds = (float(arg) for arg in sys.argv[1:4])
    pids = [int(arg) for arg in sys.argv[4:]]
    ports = [int(first_port) + number for number in range(len(pids))]
    # One connection for each port would stay open and be served.
    limits = httpx.Limits(max_keepalive_connections=0)
    with httpx.Client(limits=limits, trust_env=False, timeout=10) as client:
        if STORE_URL:
            put_contract(client)
        joined = wait_joined(client, int(first_port), len(pids))
        time.sleep(settle)
        before = [
            read(client, *pair) for pair in zip(ports, pids, strict=True)
        ]
        calls_before = store_calls(client)
        started = time.monotonic()
        time.sleep(seconds)
        calls_after = store_calls(client)
        after = [read(client, *pair) for pair in zip(ports, pids, strict=True)]
        taken = time.monotonic() - started
    cpu = [
        (b.cpu_seconds - a.cpu_seconds) / taken
        for a, b in zip(before, after, strict=True)
    ]
    sent = [
        (b.bytes_sent - a.bytes_sent) / taken
        for a, b in zip(before, after, strict=True)
    ]
    memory = [reading.memory_bytes / 2**20 for reading in after]
    calls = {
        kind: (count - calls_before.get(kind, 0)) / taken
        for kind, count in calls_after.items()
    }
    wrong = sum(reading.live != len(pids) for reading in after)
    print(
        f"case=control_cost size={len(pids)} joined_seconds={joined:.1f} "
        f"measured_seconds={taken:.1f} wrong_views={wrong} "
        f"cpu_percent_mean={100 * statistics.mean(cpu):.3f} "
        f"cpu_percent_max={100 * max(cpu):.3f} "
        f"memory_mib_mean={statistics.mean(memory):.2f} "
        f"memory_mib_max={max(memory):.2f} "
        f"sent_bytes_per_second_mean={statistics.mean(sent):.0f} "
        f"sent_bytes_per_second_max={max(sent):.0f} "
        + "".join(
            f"store_{kind}_per_second={rate:.2f} "
            for kind, rate in sorted(calls.items())
        )
        + f"load_average={os.getloadavg()[0]:.1f}",
        flush=True,
    )


if __name__ == "__main__":
    main()
