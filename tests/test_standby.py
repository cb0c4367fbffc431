"""Test the idle program on machines with disks."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

pytestmark = pytest.mark.process

_SOURCES = pathlib.Path(__file__).parent.parent / "src"


def test_reload_signal_does_not_end_the_process() -> None:
    """Fails when SIGHUP ends the process, which is its default action.

    deploy/days/clocks-and-connections.toml ended all three processes that way.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", "hibiscussaddle.standby"],
        env={**os.environ, "PYTHONPATH": str(_SOURCES)},
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    try:
        assert "event=started" in process.stdout.readline()
        process.send_signal(signal.SIGHUP)
        assert "event=reload_ignored" in process.stdout.readline()
        process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        assert process.wait(10) == 0
        assert time.monotonic() - started < 5
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
