"""Clocks of the machine."""

import time


def boot_seconds() -> float:
    """Return seconds since the boot, with the time of a suspend counted.

    A lease runs on while its holder's machine is suspended, and the monotonic
    clock does not.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
