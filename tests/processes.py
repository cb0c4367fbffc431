"""Start real processes for tests and end them."""

from collections import abc
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

import httpx

import builders

START_SECONDS: typing.Final = 20.0
# Ports from its base up that a fleet uses.
PORTS: typing.Final = 60
OPERATOR: typing.Final = {"authorization": f"Bearer {builders.SECRET}"}
CALLER: typing.Final = {"authorization": f"Bearer {builders.CUSTOMER_KEY}"}
_SOURCES: typing.Final = pathlib.Path(__file__).parent.parent / "src"


class Process:
    """Hold one running process and its log."""

    def __init__(self, log: pathlib.Path, *args: str) -> None:
        """Start a command of the service."""
        env = {
            **os.environ,
            "PYTHONPATH": str(_SOURCES),
            "HIBISCUSSADDLE_OPERATOR_SECRET": builders.SECRET,
            "HIBISCUSSADDLE_PEER_SECRET": builders.SECRET,
        }
        command = [sys.executable, "-m", "hibiscussaddle", *args]
        self.log = log
        with log.open("wb") as out:
            self._popen = subprocess.Popen(
                command, stdout=out, stderr=subprocess.STDOUT, env=env
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._popen.send_signal(number)

    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._popen.poll() is None

    def wait(self, seconds: float) -> int:
        """Return the exit status."""
        return self._popen.wait(seconds)

    def end(self) -> None:
        """End the process at once."""
        self._popen.kill()
        self._popen.wait()


class Fleet:
    """Hold stand-ins and instances on ports from a base up."""

    def __init__(self, folder: pathlib.Path, base: int) -> None:
        """Start the store and the platform's list."""
        self.folder = folder
        self.base = base
        self.store = f"http://127.0.0.1:{base}"
        self.platform = f"http://127.0.0.1:{base + 1}"
        self.processes: list[Process] = []
        self.start("standin", "store", "--port", str(base))
        self.start("standin", "platform", "--port", str(base + 1))
        self.client = httpx.Client(timeout=30.0, trust_env=False)

    def start(self, *args: str) -> Process:
        """Start a command of the service."""
        log = self.folder / f"{len(self.processes)}-{'-'.join(args[:2])}.log"
        process = Process(log, *args)
        self.processes.append(process)
        return process

    def start_engine(self, port: int, **options: object) -> Process:
        """Start a fake engine."""
        more = [f"--{name}={value}" for name, value in options.items()]
        return self.start(
            "standin",
            "engine",
            f"--port={port}",
            f"--id=engine-{port}",
            f"--platform_url={self.platform}",
            *more,
        )

    def start_service(self, port: int) -> Process:
        """Start a fake booking service."""
        return self.start(
            "standin",
            "service",
            f"--port={port}",
            f"--id=booking-{port}",
            "--service=booking",
            f"--platform_url={self.platform}",
        )

    def start_entry(self, number: int, *more: str) -> Process:
        """Start an instance; its caller port is base + 20 + 10 x number."""
        port = self.base + 20 + 10 * number
        peer = f"127.0.0.1:{self.base + 20 + 10 + 2}"
        return self.start(
            "entry",
            f"--instance=entry-{number}",
            "--zone=zone-a",
            f"--caller_port={port}",
            f"--operator_port={port + 1}",
            f"--peer_port={port + 2}",
            f"--peers={peer}",
            f"--store_url={self.store}",
            f"--platform_url={self.platform}",
            *more,
        )

    def url(self, number: int) -> str:
        """Return the address of an instance for callers."""
        return f"http://127.0.0.1:{self.base + 20 + 10 * number}"

    def accept_contract(self, number: int) -> None:
        """Put the tests' contract in force through an instance."""
        body = {
            "contract": builders.contract().to_dict(),
            "expected_revision": 0,
            "who": "test",
            "reason": "test",
        }
        port = self.base + 20 + 10 * number + 1
        url = f"http://127.0.0.1:{port}/v1/contracts/cereza"
        self.until(
            lambda: (
                self.client.put(url, json=body, headers=OPERATOR).is_success
            )
        )

    def until_ready(self, number: int) -> None:
        """Wait until an instance serves the customer's engine or service."""
        url = self.url(number)
        body = {"model": "base", "max_tokens": 4}
        self.until(
            lambda: (
                self.client.post(
                    url + "/v1/chat/completions", json=body, headers=CALLER
                ).status_code
                == 200
            )
        )

    def until(self, condition: abc.Callable[[], bool]) -> None:
        """Wait for a condition; connection failures count as not yet."""
        ends = time.monotonic() + START_SECONDS
        while True:
            with contextlib.suppress(httpx.HTTPError, json.JSONDecodeError):
                if condition():
                    return
            assert time.monotonic() < ends, "not in time"
            time.sleep(0.02)


@contextlib.contextmanager
def run_fleet(folder: pathlib.Path, base: int) -> abc.Iterator[Fleet]:
    """Run processes until the block ends."""
    fleet = Fleet(folder, base)
    try:
        yield fleet
    finally:
        fleet.client.close()
        for process in fleet.processes:
            process.end()
