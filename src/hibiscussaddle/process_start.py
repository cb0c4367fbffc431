"""Start a program of the deployment.

python -m hibiscussaddle.process_start gateway|standby

The imports of a program take most of its start. Until its signal handlers are
in place, SIGHUP would end it, so this module first ignores that signal.
"""

import importlib
import signal
import sys
import typing

_PROGRAMS: typing.Final = {
    "gateway": "hibiscussaddle.gateway_process",
    "standby": "hibiscussaddle.standby",
}


def ignore_reload_signal() -> None:
    """Ignore SIGHUP until the program handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> None:
    """Run the program that the first argument names."""
    ignore_reload_signal()
    module = _PROGRAMS.get(" ".join(sys.argv[1:]))
    if module is None:
        sys.exit(f"usage: process_start {'|'.join(_PROGRAMS)}")
    importlib.import_module(module).main()


if __name__ == "__main__":
    main()
