"""Start the project's programs as the deploy file says, with stand-ins.

Everything is on loopback addresses. The platform fills in the settings of a
small deployment: three zones, machines of 0.537 x 2 cores.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback

import engine as engine_lib
import http11
import store as store_lib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "fit.example"
MODEL = "m0"
SERVICE = "advice-llm"
_USED = set()


def free_port():
    """Return a port that no call returned before.

    It lies below those that the system gives to outgoing connections, so that
    none of these takes it before its process starts.
    """
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _USED:
            _USED.add(port)
            return port


def address():
    """Return a free loopback address."""
    return f"127.0.0.1:{free_port()}"


class Gateway:
    """One gateway process; it is started again when it ends by itself."""

    def __init__(self, rig, name, zone):
        """Choose addresses; start() starts the process."""
        self.rig, self.name, self.zone = rig, name, zone
        self.front, self.ready = address(), address()
        self.peer, self.metrics = address(), address()
        self.process = None
        self.own_ends = []

    def fields(self):
        """Return the platform's settings that the deploy file refers to."""
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "listenAddresses.front": self.front,
            "listenAddresses.ready": self.ready,
            "ipAddress": "127.0.0.1",
            "internalPortRange.0": self.metrics.rpartition(":")[2],
            "internalPortRange.1": self.peer.rpartition(":")[2],
            "platform.address": self.rig.store_address,
            "limits.cpuShare": "0.537",
            "limits.cpuCores": "2",
            "bounds.graceS": "8",
        }

    def start(self):
        """Start the process with the deploy file's command."""
        role = self.rig.deploy["roles"]["gateway"]
        fields = self.fields()

        def fill(text):
            return re.sub(r"\{\{(.+?)\}\}", lambda m: fields[m[1]], text)

        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.rig.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "HIBISCUSSADDLE_CONFIG": str(self.rig.folder / "settings.toml"),
            **{name: fill(text) for name, text in role["env"].items()},
        }
        log = (self.rig.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            fill(role["run"]).split(" "),
            cwd=REPOSITORY,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def log(self):
        """Return what the process has written."""
        path = self.rig.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def call(self, method, target, headers=(), body=b"", timeout=10.0):
        """Send one request of a requester."""
        return await http11.call(
            self.front, method, target, headers, body, timeout
        )


class Rig:
    """Hold the stand-ins and the gateways of one case."""

    def __init__(self, case_folder):
        """Prepare the record and a temporary folder."""
        self.case_folder = pathlib.Path(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads(
            (REPOSITORY / "deploy" / "system.toml").read_text()
        )
        self.record = (self.case_folder / "record.txt").open("w")
        self.started = time.monotonic()
        self.store = store_lib.Store()
        self.store_address = address()
        self.gateways = {}
        self.engines = {}
        self.tasks = []
        self.ended = []

    def note(self, text):
        """Write a line to the record."""
        seconds = time.monotonic() - self.started
        self.record.write(f"{seconds:8.3f} {text}\n")
        self.record.flush()

    def put(self, key, value):
        """Write a key as the operator, a trainer or a server does."""
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.store.put(key, data)

    def spawn(self, job):
        """Run a coroutine until the case ends."""
        self.tasks.append(asyncio.get_running_loop().create_task(job))

    async def start_store(self):
        """Start the store."""
        host, _, port = self.store_address.rpartition(":")
        await http11.serve(host, int(port), self.store.handle)
        self.spawn(self.store.expire_loop())

    async def start_engine(self, name, zone, **options):
        """Start a server; one without a model is a plain service."""
        options = {"service": SERVICE, "model": MODEL, **options}
        where = address()
        created = engine_lib.Engine(
            self.store, name, where, zone=zone, **options
        )
        self.engines[name] = created
        host, _, port = where.rpartition(":")
        await http11.serve(host, int(port), created.handle)
        self.spawn(created.beat_loop())
        return created

    def start_gateway(self, name, zone):
        """Start a gateway."""
        gateway = self.gateways[name] = Gateway(self, name, zone)
        gateway.start()
        return gateway

    async def supervise(self, delay=0.5):
        """Start processes that end again, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for gateway in self.gateways.values():
                code = gateway.process.poll()
                if code is not None:
                    self.note(f"{gateway.name} ended by itself, status {code}")
                    gateway.own_ends.append(time.monotonic())
                    await asyncio.sleep(delay)
                    gateway.start()

    async def until_ready(self, seconds=20.0):
        """Wait until every gateway reports that it is ready."""
        deadline = time.monotonic() + seconds
        for gateway in self.gateways.values():
            while True:
                found = await http11.call(
                    gateway.ready, "GET", "/-/readiness", timeout=1.0
                )
                if found.status == 200:
                    break
                if time.monotonic() > deadline:
                    raise CouldNotRun(
                        f"{gateway.name} isn't ready: {found.status} "
                        f"{found.body!r} {gateway.log()[-2000:]}"
                    )
                await asyncio.sleep(0.05)

    def write_config(self, version=3, routes=None):
        """Put a desired state in force."""
        self.put(
            "op/config",
            {
                "version": version,
                "routes": routes if routes is not None else [rollout_route()],
                "services": [{"name": SERVICE, "healthPath": "/health"}],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 33554432,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    def close(self):
        """End every process that the case started."""
        for gateway in self.gateways.values():
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    """Signal that the case couldn't be played."""


def rollout_route(**changes):
    """Return a route for batch submissions like those of the site files."""
    return {
        "name": "fit-rollout",
        "host": HOST,
        "prefix": "/fit/",
        "kind": "rollout",
        "service": SERVICE,
        "timeoutMs": 10000,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": 3,
        "resultDeadlineMs": 7500,
        "retentionS": 40,
        "resumable": True,
        **changes,
    }


def submission(
    step,
    groups=6,
    size=4,
    min_version=1,
    prefix="",
    wanted=None,
    body_bytes=600,
):
    """Return a trainer's batch submission."""
    items = []
    for group in range(groups):
        for member in range(size):
            item = f"{prefix}i{step:02}{group:02}{member:02}"
            items.append(
                {
                    "id": item,
                    "path": f"/fit/3/{item}",
                    "headers": {
                        "X-Model": MODEL,
                        "X-Token-Counts": "1016,300",
                        "X-Prompt-Prefix": (
                            f"{group + 1:x}:1000,{item[-6:]}:16"
                        ),
                    },
                    "body": base64.b64encode(
                        f"body of {item} ".encode().ljust(body_bytes, b".")
                    ).decode(),
                    "tokens": 1316,
                    "group": f"{prefix}g{step}-{group}",
                }
            )
    return {
        "step": step,
        "model": MODEL,
        "minVersion": min_version,
        "groupCount": wanted or groups,
        "items": items,
    }


async def submit(gateway, batch_id, body, timeout=10.0, prefix="/fit/"):
    """Submit a batch once."""
    return await gateway.call(
        "POST",
        f"{prefix}{batch_id}",
        [
            ("host", HOST),
            ("x-request-id", batch_id),
            ("x-deadline-ms", "10000"),
            ("content-type", "application/json"),
        ],
        json.dumps(body).encode(),
        timeout,
    )


async def read(gateway, batch_id, after=0, wait_ms=None, timeout=10.0):
    """Read a batch's results from a position."""
    headers = [("host", HOST)]
    if wait_ms is not None:
        headers.append(("x-wait-ms", str(wait_ms)))
    return await gateway.call(
        "GET", f"/-/lots/{batch_id}?after={after}", headers, timeout=timeout
    )


def main(case, case_folder):
    """Play a case and exit with its outcome."""

    async def play():
        rig = Rig(case_folder)
        rig.note(f"TROUBLE={int(TROUBLE)}")
        outcome = COULD_NOT_RUN
        playing = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, playing.cancel
            )
        try:
            await rig.start_store()
            async with asyncio.timeout(112):
                outcome = await case(rig)
        except (Exception, asyncio.CancelledError) as exc:
            rig.note(f"could not run: {exc!r}")
            rig.note(traceback.format_exc())
            outcome = COULD_NOT_RUN
        finally:
            for task in rig.tasks:
                task.cancel()
            rig.note(f"exit status {outcome}")
            rig.close()
        return outcome

    status = asyncio.run(play())
    os._exit(status)
