"""Clocks of the operating system."""

import time


def boot_seconds() -> float:
    """Return the seconds since boot, including the time spent suspended.

    A lease keeps running while its holder's machine is suspended, but the
    monotonic clock stops.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
