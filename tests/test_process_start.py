"""Guard the start of the deployment's programs, with real processes."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import pytest

import ports

pytestmark = pytest.mark.process

_SOURCES: typing.Final = pathlib.Path(__file__).parent.parent / "src"
_TIMEOUT_SECONDS: typing.Final = 20.0
_SIGNAL_INTERVAL_SECONDS: typing.Final = 0.005


def _start(program: str, log: pathlib.Path, **env: str) -> subprocess.Popen:
    with log.open("wb") as out:
        return subprocess.Popen(
            [sys.executable, "-m", "hibiscussaddle.process_start", program],
            env={**os.environ, "PYTHONPATH": str(_SOURCES), **env},
            stdout=out,
            stderr=subprocess.STDOUT,
        )


def _gateway_env() -> dict[str, str]:
    names = ("caller", "ready", "peer", "metrics", "store")
    free = ports.free_ports(len(names))
    return {
        "HIBISCUSSADDLE_INSTANCE": "gateway-1",
        "HIBISCUSSADDLE_ZONE": "zone-a",
        **{
            f"HIBISCUSSADDLE_{name.upper()}_ADDRESS": f"127.0.0.1:{port}"
            for name, port in zip(names, free, strict=True)
        },
    }


def _ignores_reload(pid: int) -> bool:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return bool(int(fields["SigIgn"], 16) & (1 << (signal.SIGHUP - 1)))


def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        return sock.connect_ex((host, int(port))) == 0


@pytest.mark.parametrize("program", ["gateway", "standby"])
def test_reload_signal_during_the_start_does_not_end_the_process(
    program: str, tmp_path: pathlib.Path
) -> None:
    """Fails when SIGHUP ends a process that is still starting.

    A gateway ended when the signal came within 0.45 s of its start.
    """
    log = tmp_path / "log"
    process = _start(program, log, **_gateway_env())
    try:
        deadline = time.monotonic() + _TIMEOUT_SECONDS
        while not _ignores_reload(process.pid):
            assert time.monotonic() < deadline
            assert b"event=started" not in log.read_bytes()
        # The handler logs the signal once it is installed.
        while b"event=reload_ignored" not in log.read_bytes():
            assert time.monotonic() < deadline
            process.send_signal(signal.SIGHUP)
            assert process.poll() is None, log.read_text()
            time.sleep(_SIGNAL_INTERVAL_SECONDS)
        process.send_signal(signal.SIGTERM)
        assert process.wait(_TIMEOUT_SECONDS) == 0
    finally:
        process.kill()
        process.wait()


def test_gateway_waits_for_a_port_that_is_in_use(
    tmp_path: pathlib.Path,
) -> None:
    """Fails when a gateway ends since a port is taken for a moment."""
    env = _gateway_env()
    log = tmp_path / "log"
    address = env["HIBISCUSSADDLE_PEER_ADDRESS"]
    host, _, port = address.rpartition(":")
    with socket.socket() as taken:
        taken.bind((host, int(port)))
        taken.listen()
        process = _start("gateway", log, **env)
        try:
            deadline = time.monotonic() + _TIMEOUT_SECONDS
            while b"event=port_in_use" not in log.read_bytes():
                assert time.monotonic() < deadline
                assert process.poll() is None, log.read_text()
            # The other servers don't wait for this one.
            while not _accepts(env["HIBISCUSSADDLE_READY_ADDRESS"]):
                assert time.monotonic() < deadline
            taken.close()
            while not _accepts(address):
                assert time.monotonic() < deadline
                assert process.poll() is None, log.read_text()
        finally:
            process.kill()
            process.wait()


def test_unknown_program_is_refused(tmp_path: pathlib.Path) -> None:
    """Fails when a misspelled program starts something else."""
    log = tmp_path / "log"
    assert _start("gatewya", log).wait(_TIMEOUT_SECONDS) == 1
    assert "gateway|standby" in log.read_text()
