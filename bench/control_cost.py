"""Measure the control traffic cost of running entry instances.

Run by bench/control_cost.sh with the first operator port, the seconds to
settle and to measure, and the process ids. Reads /proc and /v1/status only.
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
_TICKS_PER_SECOND: typing.Final = os.sysconf("SC_CLK_TCK")
START_TIMEOUT_SECONDS: typing.Final = 120.0


@dataclasses.dataclass(frozen=True)
class CounterSnapshot:
    """Store the counters of one instance at one time."""

    cpu_seconds: float
    memory_bytes: int
    bytes_sent: int
    live: int


def read_counters(
    client: httpx.Client, port: int, pid: int
) -> CounterSnapshot:
    """Return the current counters of one instance."""
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
    return CounterSnapshot(
        (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND,
        resident * 1024,
        status["peer_bytes_sent"],
        members.get("alive", 0) + members.get("suspect", 0),
    )


def wait_until_joined(
    client: httpx.Client, first_port: int, size: int
) -> float:
    """Wait until all instances know each other; return the seconds."""
    started = time.monotonic()
    pending = list(range(size))
    while pending:
        if time.monotonic() - started > START_TIMEOUT_SECONDS:
            raise SystemExit(f"not joined in time: {pending}")
        try:
            status = client.get(
                f"http://127.0.0.1:{first_port + pending[0]}/v1/status",
                headers={"authorization": f"Bearer {SECRET}"},
            ).json()
            if status["members"].get("alive", 0) == size:
                pending.pop(0)
                continue
        except httpx.HTTPError:
            pass
        time.sleep(0.2)
    return time.monotonic() - started


def put_contract(client: httpx.Client) -> None:
    """Store one contract, without which instances do not become ready."""
    first = json.loads(os.environ["FIRST_CONTRACT"])
    value = base64.b64encode(json.dumps(first["value"]).encode()).decode()
    change = {
        "expected": [{"key": "contract/cereza", "revision": 0}],
        "put": [{"key": "contract/cereza", "value": value}],
    }
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            client.post(STORE_URL + "/-/kv-txn", json=change)
            return
        except httpx.HTTPError:
            time.sleep(0.2)
    raise SystemExit("the store did not start in time")


def store_calls(client: httpx.Client) -> dict[str, int]:
    """Return the number of store calls of each kind."""
    if not STORE_URL:
        return {}
    return {
        str(kind): int(count)
        for kind, count in client.get(STORE_URL + "/calls").json().items()
    }


def main() -> None:
    """Print one line of measurements for the fleet."""
    first_port, settle, seconds = (float(arg) for arg in sys.argv[1:4])
    pids = [int(arg) for arg in sys.argv[4:]]
    ports = [int(first_port) + number for number in range(len(pids))]
    # Kept connections would add load to the measured instances.
    limits = httpx.Limits(max_keepalive_connections=0)
    with httpx.Client(limits=limits, trust_env=False, timeout=10) as client:
        if STORE_URL:
            put_contract(client)
        joined_seconds = wait_until_joined(client, int(first_port), len(pids))
        time.sleep(settle)
        before = [
            read_counters(client, *pair)
            for pair in zip(ports, pids, strict=True)
        ]
        calls_before = store_calls(client)
        started = time.monotonic()
        time.sleep(seconds)
        calls_after = store_calls(client)
        after = [
            read_counters(client, *pair)
            for pair in zip(ports, pids, strict=True)
        ]
        elapsed_seconds = time.monotonic() - started
    cpu = [
        (b.cpu_seconds - a.cpu_seconds) / elapsed_seconds
        for a, b in zip(before, after, strict=True)
    ]
    sent = [
        (b.bytes_sent - a.bytes_sent) / elapsed_seconds
        for a, b in zip(before, after, strict=True)
    ]
    memory = [snapshot.memory_bytes / 2**20 for snapshot in after]
    calls = {
        kind: (count - calls_before.get(kind, 0)) / elapsed_seconds
        for kind, count in calls_after.items()
    }
    wrong_views = sum(snapshot.live != len(pids) for snapshot in after)
    print(
        f"case=control_cost size={len(pids)} "
        f"joined_seconds={joined_seconds:.1f} "
        f"measured_seconds={elapsed_seconds:.1f} wrong_views={wrong_views} "
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
