"""The clocks of a process."""

import time


def monotonic():
    """Return seconds on the monotonic clock, for time-outs and durations."""
    return time.monotonic()


def boottime():
    """Return seconds since the instance booted, including suspends.

    Cached state must age during a suspend. The monotonic clock stops
    meanwhile, and the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
