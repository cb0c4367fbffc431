"""Occupy a machine with a disk, which the platform requires to have a role.

Nothing of the service lasts on these machines, so this program keeps no
state, calls nobody and only waits for its end.
"""

import logging
import signal
import sys

_LOG = logging.getLogger(__name__)


def main() -> None:
    """Wait for SIGTERM."""
    logging.basicConfig(
        stream=sys.stdout, level="INFO", format="time=%(asctime)s %(message)s"
    )
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    _LOG.info("event=started role=standby")
    while (number := signal.sigwait(signals)) == signal.SIGHUP:
        # There are no settings to read again.
        _LOG.info("event=reload_ignored signal=SIGHUP")
    _LOG.info("event=stopped signal=%s", signal.Signals(number).name)


if __name__ == "__main__":
    main()
