"""Idle on a machine with a disk, where the platform requires a process.

The service stores nothing on these machines, so this program keeps no state,
makes no calls and only waits for SIGTERM.
"""

import logging
import signal
import sys

_LOG = logging.getLogger(__name__)


def main() -> None:
    """Wait for SIGTERM or SIGINT."""
    logging.basicConfig(
        stream=sys.stdout, level="INFO", format="time=%(asctime)s %(message)s"
    )
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    _LOG.info("event=started role=standby")
    while (number := signal.sigwait(signals)) == signal.SIGHUP:
        # There are no settings to reload.
        _LOG.info("event=reload_ignored signal=SIGHUP")
    _LOG.info("event=stopped signal=%s", signal.Signals(number).name)


if __name__ == "__main__":
    main()
