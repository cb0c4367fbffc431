"""Start gateways with the run command of deploy/system.toml, and stand-ins."""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import httpd

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HOST = "desk.example"


class CannotRunError(Exception):
    """Signal that the case could not run."""


_given_ports = set()


def free_port():
    """Return a port that nobody uses, outside those of outgoing channels."""
    while True:
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        with socket.socket() as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Fleet:
    """Hold the processes of one case."""

    def __init__(self, record):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.started_at = time.monotonic()
        self._record = open(record, "w")
        self.processes = {}
        self.gateways = {}
        self.tasks = []
        self.store_port = free_port()
        self.engines = []

    def note(self, text):
        """Write a line to record.txt."""
        at = time.monotonic() - self.started_at
        self._record.write(f"{at:8.3f} {text}\n")
        self._record.flush()

    def spawn(self, name, command, env):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
        )
        return self.processes[name]

    async def start_store(self):
        self.spawn(
            "store",
            [sys.executable, "-S", str(HERE / "store.py"),
             str(self.store_port)],
            {"PATH": os.environ["PATH"]},
        )
        for _ in range(200):
            status, _, _ = await httpd.call(
                self.store_port, "GET", "/-/kv-range?prefix=none", timeout=1
            )
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the store does not answer")

    async def put(self, key, value):
        """Write a key to the store as operators, trainers and servers do."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        body = json.dumps({"put": [{"key": key, "value": data}]}).encode()
        status, _, _ = await httpd.call(
            self.store_port, "POST", "/-/kv-txn", body=body
        )
        if status != 200:
            raise CannotRunError(f"the store refused {key}: {status}")

    async def remove(self, key):
        body = json.dumps({"remove": [key]}).encode()
        await httpd.call(self.store_port, "POST", "/-/kv-txn", body=body)

    async def keys(self, prefix):
        """Return the keys and decoded values of a prefix."""
        _, _, data = await httpd.call(
            self.store_port, "GET", f"/-/kv-range?prefix={prefix}"
        )
        return {
            item["key"]: base64.b64decode(item["value"])
            for item in json.loads(data)["items"]
        }

    def start_gateway(self, name, zone, memory_mb=300, **more):
        """Start or restart a gateway on its ports."""
        ports = self.gateways.setdefault(
            name,
            {k: free_port() for k in ("front", "ready", "peer", "metrics")},
        )
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = role["roles"]["gateway"]["run"].split()
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'target/deps'}",
            "HIBISCUSSADDLE_INSTANCE": name,
            "HIBISCUSSADDLE_ZONE": zone,
            "HIBISCUSSADDLE_CALLER_ADDRESS": f"127.0.0.1:{ports['front']}",
            "HIBISCUSSADDLE_READY_ADDRESS": f"127.0.0.1:{ports['ready']}",
            "HIBISCUSSADDLE_METRICS_ADDRESS": f"127.0.0.1:{ports['metrics']}",
            "HIBISCUSSADDLE_PEER_ADDRESS": f"127.0.0.1:{ports['peer']}",
            "HIBISCUSSADDLE_STORE_ADDRESS": f"127.0.0.1:{self.store_port}",
            "HIBISCUSSADDLE_CPU_SHARE": "0.537",
            "HIBISCUSSADDLE_CPU_CORES": "2",
            "HIBISCUSSADDLE_GRACE_SECONDS": "8",
            "HIBISCUSSADDLE_MEMORY_MB": str(memory_mb),
            "HIBISCUSSADDLE_FILE_DESCRIPTORS": "4100",
            **more,
        }
        return self.spawn(name, command, env)

    async def wait_ready(self, *names, timeout=20.0):
        end = time.monotonic() + timeout
        for name in names:
            port = self.gateways[name]["ready"]
            while True:
                status, _, _ = await httpd.call(
                    port, "GET", "/-/readiness", timeout=1
                )
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRunError(f"{name} is not ready: {status}")
                await asyncio.sleep(0.1)

    async def call(self, name, method, path, headers=None, body=b"",
                   timeout=10.0):
        """Call a gateway as a requester."""
        return await httpd.call(
            self.gateways[name]["front"],
            method,
            path,
            {"Host": HOST, **(headers or {})},
            body,
            timeout,
        )

    def resident_mb(self, name, field="VmRSS"):
        """Return the resident memory in MB, 0 if the process has ended."""
        pid = self.processes[name].pid
        try:
            text = pathlib.Path(f"/proc/{pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def kill(self, name):
        """Kill a process that this case started."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def config(version=3, **more):
    """Return a desired state like that of a small deployment."""
    return {
        "version": version,
        "routes": [
            {
                "name": "fit-rollout",
                "host": HOST,
                "prefix": "/fit/",
                "kind": "rollout",
                "service": "advice-llm",
                "timeoutMs": 10000,
                "targetLatencyMs": 500,
                "priority": 1,
                "maxAttempts": 3,
                "retentionS": 40,
                "resultDeadlineMs": 7500,
                "resumable": True,
                "sticky": True,
            },
            {
                "name": "hire-booking",
                "host": HOST,
                "prefix": "/hire/",
                "kind": "idempotent",
                "service": "booking-desk",
                "timeoutMs": 1500,
                "targetLatencyMs": 190,
                "priority": 2,
                "maxAttempts": 3,
            },
            *more.pop("routes", []),
        ],
        "services": [
            {"name": "advice-llm", "healthPath": "/health"},
            {"name": "booking-desk", "healthPath": "/health"},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        **more,
    }


def run_case(main):
    """Run a case and exit with 1, 0 or 2."""
    case = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    # "timeout" in run.sh ends the case with SIGTERM; its processes end too.
    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)

    async def run():
        fleet = Fleet(case / "record.txt")
        fleet.note(f"trouble={int(trouble)}")
        try:
            broken = await asyncio.wait_for(main(fleet, trouble), 110)
        # A fault of the case itself must not pass for a broken rule.
        except Exception as exc:
            fleet.note(f"could not run: {exc!r}")
            return 2
        finally:
            fleet.close()
        return 1 if broken else 0

    status = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.exit(status)
